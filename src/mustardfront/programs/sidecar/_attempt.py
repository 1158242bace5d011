"""State of one attempt at a request, shared by the tasks of the sidecar."""

from __future__ import annotations

import math
import secrets
from typing import Final, Protocol
from urllib.parse import quote

import trio

from mustardfront.codes import Code, Outcome
from mustardfront.protocol import (
    Cancelled,
    Chunk,
    End,
    Message,
    Refused,
    Request,
)
from mustardfront.results import Err, Result

# A body is sent in chunks of up to this size, which leave room in a frame for the
# rest of the message.
BODY_CHUNK_MAX_BYTES: Final = 256 * 1024


class ReplySink(Protocol):
    """Receiver of the replies to an attempt: a peer connection or a collector."""

    async def send(self, message: Message) -> Result[None]:
        """Send a reply; wait until there is room for it."""

    def send_nowait(self, message: Message) -> bool:
        """Send a reply if there is room; return whether it was sent."""


_ID_PREFIX_MAX_CHARS: Final = 64
_ID_SUFFIX_BYTES: Final = 6


class Attempt:
    """A request from one connection, its deadline in trio time and its progress."""

    def __init__(self, req: Request, conn: ReplySink, deadline_s: float) -> None:
        self.req = req
        self.conn = conn
        self.deadline_s = deadline_s
        # Callers choose request IDs: any text, and possibly the same ID twice.
        prefix = quote(req.request_id, safe="")[:_ID_PREFIX_MAX_CHARS]
        self.upstream_request_id = f"{prefix}-{secrets.token_hex(_ID_SUFFIX_BYTES)}"
        # Set immediately before the first byte is sent to the upstream.
        self.forwarded = False
        # Instance of the upstream to which the request was forwarded.
        self.instance = ""
        # The connection to the upstream ended before the answer was complete.
        self.connection_lost = False
        # It ran as a suspect of crashing upstreams while no other suspect ran.
        self.isolated = False
        # Its idempotency key is claimed for this run.
        self.claimed = False
        # The partition owner of its idempotency key runs it or has a record of it.
        self.delegated = False
        # The caller takes no more replies, but the upstream still runs the request.
        self.detached = False
        # Its final reply is known.
        self.finished = False
        self.next_index = req.resume_from
        self._scope = trio.CancelScope(deadline=deadline_s)
        self._cancelled = False
        self._abort: Err | None = None
        self._credit: float = req.credit
        self._credit_added = trio.Event()

    @property
    def scope(self) -> trio.CancelScope:
        """Return the cancel scope of the attempt, which ends at its deadline."""
        return self._scope

    @property
    def running(self) -> bool:
        """Return whether the upstream may be running the request."""
        return self.forwarded and not self.finished

    def cancel(self) -> None:
        """Cancel for the caller; a forwarded non-idempotent request runs on detached.

        Stopping such a request would not undo it and would lose its result.
        """
        if self.detached or self._cancelled or self.finished:
            return
        if self.delegated or (self.forwarded and not self.req.idempotent):
            self.detached = True
            self.add_credit(math.inf)
            self.conn.send_nowait(Cancelled(self.req.stream, started=True))
            return
        self._cancelled = True
        self._scope.cancel()

    def abort(self, err: Err) -> None:
        """Stop because the upstream failed; ``err`` is sent to the caller."""
        self._abort = self._abort or err
        self._scope.cancel()

    def add_credit(self, chunks: float) -> None:
        """Allow ``chunks`` more chunks to be sent to the caller."""
        self._credit += chunks
        event, self._credit_added = self._credit_added, trio.Event()
        event.set()

    async def consume_credit(self) -> None:
        """Wait until one more chunk may be sent to the caller, and count it."""
        while self._credit < 1:
            await self._credit_added.wait()
        self._credit -= 1

    async def send(self, message: Message) -> None:
        """Send to the caller, unless the attempt is detached."""
        if self.detached:
            return
        # Queueing without a checkpoint saves one scheduler pass for each token.
        if not self.conn.send_nowait(message):
            await self.conn.send(message)

    async def send_body(self, data: bytes) -> None:
        """Send part of a body other than a token stream, in chunks that fit a frame."""
        for start in range(0, len(data), BODY_CHUNK_MAX_BYTES):
            await self.consume_credit()
            chunk = data[start : start + BODY_CHUNK_MAX_BYTES]
            await self.send(Chunk(self.req.stream, self.next_index, chunk))
            self.next_index += 1

    def refused_reply(self, err: Err, retry_after_ms: int = 0) -> Refused:
        """Return a refusal, which proves that nothing was sent to the upstream."""
        return Refused(
            self.req.stream, int(err.code), True, retry_after_ms, text=err.text
        )

    def unknown_reply(self, err: Err) -> End:
        """Return the final reply when the upstream may have run the request."""
        return End(
            self.req.stream,
            int(err.code),
            Outcome.UNKNOWN,
            self.next_index,
            text=err.text,
        )

    def answered_reply(self) -> End:
        """Return the final reply after a complete answer."""
        return End(
            self.req.stream, int(Code.ANSWERED), Outcome.ANSWERED, self.next_index
        )

    def interrupted_reply(self) -> Refused | End | Cancelled:
        """Return the final reply after the scope was cancelled or timed out."""
        if self._cancelled:
            return Cancelled(self.req.stream, self.forwarded)
        if self._abort is not None:
            err = self._abort
            return (
                self.unknown_reply(err) if self.forwarded else self.refused_reply(err)
            )
        if self.forwarded or self.delegated:
            err = Err(
                Code.UPSTREAM_TIMEOUT,
                "the upstream did not complete its answer before the deadline",
            )
            return self.unknown_reply(err)
        return self.refused_reply(
            Err(
                Code.DEADLINE_PASSED, "the deadline passed while the request was queued"
            )
        )
