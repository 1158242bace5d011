"""Numbered result codes, as listed in ``docs/result-codes.md``."""

from __future__ import annotations

from enum import IntEnum, StrEnum


class Outcome(StrEnum):
    """What the caller may conclude about the execution of its request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """Result codes; the first digit is the class.

    1xxx answered, 2xxx refused because of the request, 3xxx capacity, 4xxx upstream,
    5xxx store, 6xxx tickets, 7xxx peers, 8xxx expert maps, 9xxx the process itself.
    """

    ANSWERED = 1000
    ANSWERED_FROM_RECORD = 1001

    MALFORMED_REQUEST = 2000
    UNKNOWN_TEAM = 2001
    WRONG_KEY = 2002
    UNKNOWN_SERVICE = 2003
    NO_ROUTE = 2004
    TEAM_NOT_ALLOWED = 2005
    BODY_TOO_LARGE = 2006
    KEY_REQUIRED = 2007
    KEY_MALFORMED = 2008
    KEY_EXPIRED = 2009
    KEY_CONFLICT = 2010
    DUPLICATE_REQUEST_ID = 2011
    REQUEST_NOT_FOUND = 2012
    TOKEN_REFUSED = 2013

    TEAM_LIMIT = 3000
    UPSTREAM_LIMIT = 3001
    QUEUE_FULL = 3002
    DEADLINE_UNREACHABLE = 3003
    DEADLINE_PASSED = 3004
    NO_CAPABLE_UPSTREAM = 3005
    DRAINING = 3006
    RETRY_BUDGET_SPENT = 3007
    REQUEST_HELD = 3008
    NOT_READY = 3009
    SHED = 3010
    NOT_OWNER = 3011
    CANCELLED = 3012
    VIEW_UNCONFIRMED = 3013

    UPSTREAM_DOWN = 4000
    UPSTREAM_CRASHED = 4001
    UPSTREAM_TIMEOUT = 4002
    STREAM_CUT = 4003
    PEER_LOST = 4004
    CLAIM_UNRESOLVED = 4005
    UPSTREAM_BAD_ANSWER = 4006
    UPSTREAM_REPLACED = 4007

    STORE_UNAVAILABLE = 5000
    STORE_CONFLICT = 5001
    WRITE_UNKNOWN = 5002
    LEASE_LOST = 5003
    STORE_HISTORY_GONE = 5004

    TICKET_MALFORMED = 6000
    TICKET_OUT_OF_ORDER = 6001
    TICKET_RACED = 6002
    TICKET_INVALID_REFERENCE = 6003
    TICKET_NOT_FOUND = 6004
    TICKET_TOO_LARGE = 6005
    TICKET_AUTHOR_REFUSED = 6006

    FRAME_TOO_LARGE = 7000
    BAD_MESSAGE = 7001
    BAD_VERSION = 7002
    BAD_PROOF = 7003
    CONNECTION_CLOSED = 7004
    FLOW_CONTROL = 7005
    CONNECT_FAILED = 7006
    HANDSHAKE_TIMEOUT = 7007

    FENCED = 8000
    VOTE_REFUSED = 8001
    RANK_UNREACHABLE = 8002
    MAP_INVALID = 8003

    SETTING_INVALID = 9000
    ADDRESS_IN_USE = 9001
    INTERNAL_ERROR = 9999


def parse_code(number: int) -> Code:
    """Return the code with a number; INTERNAL_ERROR for one only newer peers know."""
    try:
        return Code(number)
    except ValueError:
        return Code.INTERNAL_ERROR


def parse_outcome(text: str) -> Outcome:
    """Return the outcome in a message; UNKNOWN for text that is not an outcome."""
    try:
        return Outcome(text)
    except ValueError:
        return Outcome.UNKNOWN
