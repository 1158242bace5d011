"""Fixed limits and defaults; units are part of each name."""

from __future__ import annotations

from typing import Final

# Configuration snapshots are sent in pieces, so one frame never needs more.
FRAME_MAX_BYTES: Final = 4 * 1024 * 1024
PROTOCOL_VERSION: Final = 1
PROTOCOL_VERSION_MIN: Final = 1
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
