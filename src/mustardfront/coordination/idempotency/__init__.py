"""Non-idempotent requests run at most once."""

from mustardfront.coordination.idempotency._partitions import (
    owner_order,
    partition_of,
)

__all__ = ["owner_order", "partition_of"]
