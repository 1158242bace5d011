"""Fixed limits and defaults; units are part of each name."""

from __future__ import annotations

from typing import Final

# Larger configuration snapshots are split, so no message needs a larger frame.
FRAME_MAX_BYTES: Final = 4 * 1024 * 1024
# Anyone may connect, and has proved nothing before the handshake is over.
HANDSHAKE_FRAME_MAX_BYTES: Final = 16 * 1024
PROTOCOL_VERSION: Final = 3
PROTOCOL_VERSION_MIN: Final = 1
# Peers with this protocol version or a newer one accept several chunks per message.
CHUNKS_VERSION: Final = 2
# Data in a message with several chunks; a single larger chunk is sent alone.
CHUNKS_MAX_BYTES: Final = 64 * 1024
# Peers with this protocol version or a newer one accept compressed orders and replies.
COMPRESSION_VERSION: Final = 3
HANDSHAKE_TIMEOUT_S: Final = 5.0
CONNECT_TIMEOUT_S: Final = 2.0
SEND_QUEUE_MESSAGES: Final = 512
# Chunks of a stream that may be in flight before the caller has read the first.
STREAM_CREDIT_CHUNKS: Final = 64
# Queue slots of a call for control messages, on top of those for its chunks.
CALL_QUEUE_SLACK_MESSAGES: Final = 8
PING_INTERVAL_S: Final = 2.0
# A peer that is silent for three ping intervals is treated as lost.
PEER_TIMEOUT_S: Final = 6.0

# An entry reconnects to a sidecar with exponential backoff and jitter.
LINK_RETRY_MIN_S: Final = 0.2
LINK_RETRY_MAX_S: Final = 5.0
LINK_IDLE_S: Final = 60.0
# Interval at which the host list is applied to the routing table.
HOSTS_APPLY_INTERVAL_S: Final = 1.0

BODY_MAX_BYTES: Final = 2 * 1024 * 1024
# A longer response that is not streamed would fill the memory of the process that
# holds it for its caller.
RESPONSE_BODY_MAX_BYTES: Final = 16 * 1024 * 1024
REQUEST_ID_MAX_CHARS: Final = 128
DEADLINE_DEFAULT_MS: Final = 30_000
DEADLINE_MAX_MS: Final = 600_000
# An entry's deadline is this much later than the sidecar's, so that the entry
# receives the outcome of the attempt.
DEADLINE_GRACE_S: Final = 0.25
PRIORITY_DEFAULT: Final = 1
PRIORITY_MAX: Final = 9

READINESS_GRACE_S: Final = 1.0
DRAIN_TIMEOUT_S: Final = 600.0

# Response body parts queued for a slow caller, besides the HTTP server's own buffer.
RESPONSE_QUEUE_PARTS: Final = 8
# Includes the first attempt; the retry budget usually ends a request sooner.
ATTEMPTS_MAX: Final = 4
# Finished requests whose routing decisions an entry keeps for ``explain``.
EXPLAIN_REQUESTS: Final = 2_000
EXPLAIN_EVENTS_PER_REQUEST: Final = 16

# More partitions are distributed more evenly over the owners, but each needs a lease.
IDEMPOTENCY_PARTITIONS: Final = 16

KV_CALL_TIMEOUT_S: Final = 2.0
# Concurrent key-value calls of one process.
KV_CONNECTIONS: Final = 8

# Largest difference between the wall clocks of hosts. An idempotency key with a later
# time is malformed.
CLOCK_SKEW_MAX_S: Final = 300
# A request whose claim is not written within this time is refused as not run.
CLAIM_WAIT_S: Final = 5.0
# Claims made within this time after a write are batched into the next one. This limits
# a sidecar to 50 writes a second at any request rate.
CLAIM_BATCH_INTERVAL_S: Final = 0.02
# Results are written with the next claims, or on their own after this time.
RESULT_FLUSH_S: Final = 0.5
# The newest part of a record is rewritten with each claim, so it is kept small. Its
# size determines the bytes per write and the segments of a full record (2,000).
RECORD_HEAD_BYTES: Final = 1024
# Keeps a transaction well below the key-value service's limit of 1 MB.
RECORD_WRITE_BYTES: Final = 512 * 1024
# A full partition refuses new claims. A sole owner holds 16 partitions in memory.
RECORD_MAX_BYTES: Final = 2 * 1024 * 1024
# A response with a larger body is recorded as complete, but without the body.
RECORDED_BODY_MAX_BYTES: Final = 16 * 1024
OWNER_LEASE_S: Final = 10
OWNER_KEEPALIVE_S: Final = 3.0
OWNER_CHECK_INTERVAL_S: Final = 3.0
# Minimum time between two membership reads that requests trigger.
OWNER_CHECK_MIN_INTERVAL_S: Final = 0.25
# A new owner gives a live previous owner this long to record its results.
HANDOVER_TIMEOUT_S: Final = 15.0
KV_RETRY_DELAY_S: Final = 0.5
