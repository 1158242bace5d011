"""At-most-once execution of non-idempotent requests, by idempotency key."""

from mustardfront.coordination.idempotency._execution import (
    Execute,
    Execution,
    not_run,
    unknown,
)
from mustardfront.coordination.idempotency._key import (
    owner_order,
    parse_key,
    partition_of,
)
from mustardfront.coordination.idempotency._owner import PartitionOwner

__all__ = [
    "Execute",
    "Execution",
    "PartitionOwner",
    "not_run",
    "owner_order",
    "parse_key",
    "partition_of",
    "unknown",
]
