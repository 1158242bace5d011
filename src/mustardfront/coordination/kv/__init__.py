"""Client of the platform's key-value service."""

from mustardfront.coordination.kv._client import (
    KvClient,
    KvEvent,
    KvValue,
    TxnResult,
)

__all__ = ["KvClient", "KvEvent", "KvValue", "TxnResult"]
