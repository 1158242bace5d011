"""Fixed limits and defaults; units are part of each name."""

from __future__ import annotations

from typing import Final

# Configuration snapshots are sent in pieces, so one frame never needs more.
FRAME_MAX_BYTES: Final = 4 * 1024 * 1024
PROTOCOL_VERSION: Final = 3
PROTOCOL_VERSION_MIN: Final = 1
# Peers of this version or newer take many chunks in one message.
CHUNKS_VERSION: Final = 2
# Such a message holds at most so much data, unless a single chunk has more.
CHUNKS_MAX_BYTES: Final = 64 * 1024
# Peers of this version or newer take orders and replies with compressed data.
PACKED_VERSION: Final = 3
HANDSHAKE_TIMEOUT_S: Final = 5.0
CONNECT_TIMEOUT_S: Final = 2.0
SEND_QUEUE_MESSAGES: Final = 512
# A stream may have this many chunks on the way before its caller has read one.
STREAM_CREDIT_CHUNKS: Final = 64
# Control messages that may arrive beside the chunks of one stream.
CALL_QUEUE_SLACK_MESSAGES: Final = 8
PING_INTERVAL_S: Final = 2.0
# A peer that answers no ping for three intervals is treated as lost.
PEER_SILENCE_S: Final = 6.0

# An entry reconnects to a sidecar with growing, jittered pauses.
LINK_RETRY_MIN_S: Final = 0.2
LINK_RETRY_MAX_S: Final = 5.0
LINK_IDLE_S: Final = 60.0
# How often the host list is compared with the routing table.
HOSTS_APPLY_INTERVAL_S: Final = 1.0

BODY_MAX_BYTES: Final = 2 * 1024 * 1024
REQUEST_ID_MAX_CHARS: Final = 128
DEADLINE_DEFAULT_MS: Final = 30_000
DEADLINE_MAX_MS: Final = 600_000
# An entry waits this much longer than a sidecar, to hear how the attempt ended.
DEADLINE_GRACE_S: Final = 0.25
PRIORITY_DEFAULT: Final = 1
PRIORITY_MAX: Final = 9

READINESS_GRACE_S: Final = 1.0
DRAIN_TIMEOUT_S: Final = 600.0

# Parts of an answer that wait for a slow caller, beside the server's own buffer.
ANSWER_QUEUE_PARTS: Final = 8
# First attempt included; the retry budget usually ends a request sooner.
ATTEMPTS_MAX: Final = 4
# Finished requests whose decisions an entry keeps for ``explain``.
EXPLAIN_REQUESTS: Final = 2_000
EXPLAIN_EVENTS_PER_REQUEST: Final = 16

# More partitions spread better over owners; each costs its owner one lease.
IDEMPOTENCY_PARTITIONS: Final = 16

KV_CALL_TIMEOUT_S: Final = 2.0
# Calls of one process that may be under way at the same time.
KV_CONNECTIONS: Final = 8

# Hosts' wall clocks agree within this; a key from further ahead is malformed.
CLOCK_SKEW_MAX_S: Final = 300
# A request waits at most this long for its claim, and is then refused as not run.
CLAIM_WAIT_S: Final = 5.0
# Claims that come within this time of the last write go into the next one. It bounds
# the writes of a sidecar to 50 a second at any request rate.
CLAIM_GROUP_S: Final = 0.02
# Results wait this long for a write that carries claims; then they get their own.
RESULT_FLUSH_S: Final = 0.5
# The newest part of a record is rewritten with each claim, so it is kept small: its
# size sets the bytes written, and the number of segments of a full record (2,000).
RECORD_HEAD_BYTES: Final = 1024
# One transaction stays well under the service's limit of 1 MB.
RECORD_WRITE_BYTES: Final = 512 * 1024
# A full partition refuses new claims; 16 of these are a sole owner's memory.
RECORD_MAX_BYTES: Final = 2 * 1024 * 1024
# A larger answer is recorded as complete, but without its body.
RECORDED_BODY_MAX_BYTES: Final = 16 * 1024
OWNER_LEASE_S: Final = 10
OWNER_KEEPALIVE_S: Final = 3.0
OWNER_CHECK_S: Final = 3.0
# Least time between two looks at the members, when requests ask for one.
OWNER_RECHECK_S: Final = 0.25
# A new owner waits this long for the old one, while that lives, to record results.
HANDOVER_WAIT_S: Final = 15.0
KV_RETRY_S: Final = 0.5
