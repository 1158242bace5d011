"""One attempt at a request, as the tasks of the sidecar share it."""

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

# Pieces of a plain body; a frame holds one with room for the rest of the message.
PIECE_MAX_BYTES: Final = 256 * 1024


class Replies(Protocol):
    """What takes the replies to an attempt: a peer connection, or a collector."""

    async def send(self, message: Message) -> Result[None]:
        """Take a reply, when there is room."""

    def send_nowait(self, message: Message) -> bool:
        """Take a reply if there is room; say whether there was."""


_NAME_MAX_CHARS: Final = 64
_TOKEN_BYTES: Final = 6


class Attempt:
    """A request from one connection, its deadline in trio time, and its progress."""

    def __init__(self, req: Request, conn: Replies, deadline_s: float) -> None:
        self.req = req
        self.conn = conn
        self.deadline_s = deadline_s
        # Callers choose request IDs, so two may use the same one, with any text.
        name = quote(req.request_id, safe="")[:_NAME_MAX_CHARS]
        self.upstream_id = f"{name}-{secrets.token_hex(_TOKEN_BYTES)}"
        # True from immediately before the first byte goes to the upstream.
        self.handed_over = False
        # The upstream's instance when the request was handed over.
        self.instance = ""
        # The upstream's connection ended before the answer did.
        self.lost = False
        # It ran as the only suspect of crashing upstreams.
        self.isolated = False
        # It runs under a claim of its idempotency key.
        self.claimed = False
        # Its key's owner runs it, or knows of an earlier run.
        self.delegated = False
        # The caller no longer listens, but the upstream's run goes on.
        self.detached = False
        # Its last reply is known.
        self.finished = False
        self.next_index = req.resume_from
        self._scope = trio.CancelScope(deadline=deadline_s)
        self._cancelled = False
        self._abort: Err | None = None
        self._credit: float = req.credit
        self._credited = trio.Event()

    @property
    def scope(self) -> trio.CancelScope:
        """Return the scope that bounds the attempt."""
        return self._scope

    @property
    def running(self) -> bool:
        """Say whether the upstream may be running it."""
        return self.handed_over and not self.finished

    def cancel(self) -> None:
        """Stop for the caller; a started call that must not be repeated runs on.

        Stopping such a call would not undo it and would lose its result.
        """
        if self.detached or self._cancelled or self.finished:
            return
        if self.delegated or (self.handed_over and not self.req.idempotent):
            self.detached = True
            self.add_credit(math.inf)
            self.conn.send_nowait(Cancelled(self.req.stream, started=True))
            return
        self._cancelled = True
        self._scope.cancel()

    def abort(self, err: Err) -> None:
        """Stop because of the upstream; the caller gets ``err``."""
        self._abort = self._abort or err
        self._scope.cancel()

    def add_credit(self, chunks: float) -> None:
        """Let ``chunks`` more parts go to the caller."""
        self._credit += chunks
        credited, self._credited = self._credited, trio.Event()
        credited.set()

    async def take_credit(self) -> None:
        """Wait until one more part may go to the caller."""
        while self._credit < 1:
            await self._credited.wait()
        self._credit -= 1

    async def send(self, message: Message) -> None:
        """Send to the caller, unless it no longer listens."""
        if self.detached:
            return
        # Queueing without a checkpoint saves a pass of the scheduler for each token.
        if not self.conn.send_nowait(message):
            await self.conn.send(message)

    async def send_body(self, data: bytes) -> None:
        """Send part of a plain body, in pieces that fit into a frame."""
        for start in range(0, len(data), PIECE_MAX_BYTES):
            await self.take_credit()
            piece = data[start : start + PIECE_MAX_BYTES]
            await self.send(Chunk(self.req.stream, self.next_index, piece))
            self.next_index += 1

    def refused(self, err: Err, retry_after_ms: int = 0) -> Refused:
        """Return a refusal, which is proof that the upstream saw nothing."""
        return Refused(
            self.req.stream, int(err.code), True, retry_after_ms, text=err.text
        )

    def ended(self, err: Err) -> End:
        """Return the end of an attempt that the upstream may have run."""
        return End(
            self.req.stream,
            int(err.code),
            Outcome.UNKNOWN,
            self.next_index,
            text=err.text,
        )

    def answered(self) -> End:
        """Return the end of an attempt with a whole answer."""
        return End(
            self.req.stream, int(Code.ANSWERED), Outcome.ANSWERED, self.next_index
        )

    def interrupted(self) -> Refused | End | Cancelled:
        """Return the last reply after the scope was cancelled or ran out of time."""
        if self._cancelled:
            return Cancelled(self.req.stream, self.handed_over)
        if self._abort is not None:
            err = self._abort
            return self.ended(err) if self.handed_over else self.refused(err)
        if self.handed_over or self.delegated:
            err = Err(Code.UPSTREAM_TIMEOUT, "no whole answer before the deadline")
            return self.ended(err)
        return self.refused(Err(Code.DEADLINE_PASSED, "the deadline passed in queue"))
