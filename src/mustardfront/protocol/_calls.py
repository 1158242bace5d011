"""Requests in flight on one connection, matched to answers by stream number."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import TypeAlias

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import CALL_QUEUE_SLACK_MESSAGES, STREAM_CREDIT_CHUNKS
from mustardfront.protocol._messages import (
    Cancel,
    Cancelled,
    Chunk,
    Credit,
    End,
    Head,
    Message,
    Refused,
    Request,
    Started,
)
from mustardfront.protocol._peer import PeerConnection
from mustardfront.results import Err, Result

Reply: TypeAlias = Refused | Started | Head | Chunk | End | Cancelled


class Call:
    """One attempt on one connection: its replies in order, and its flow control."""

    def __init__(
        self,
        conn: PeerConnection,
        stream: int,
        replies: trio.MemoryReceiveChannel[Reply],
    ) -> None:
        self.conn = conn
        self.stream = stream
        self.finished = False
        self._replies = replies
        self._unacknowledged = 0

    async def next_reply(self) -> Reply | Err:
        """Return the next reply; Err(PEER_LOST) when the connection ended first."""
        try:
            reply = await self._replies.receive()
        except trio.EndOfChannel:
            return Err(Code.PEER_LOST, "the connection to the sidecar was lost")
        self.finished = isinstance(reply, Refused | End | Cancelled)
        return reply

    async def acknowledge(self) -> None:
        """Tell the sidecar that one chunk reached the caller; sent in groups."""
        self._unacknowledged += 1
        if self._unacknowledged * 2 < STREAM_CREDIT_CHUNKS:
            return
        chunks, self._unacknowledged = self._unacknowledged, 0
        await self.conn.send(Credit(self.stream, chunks))

    async def cancel(self) -> Result[None]:
        """Ask the sidecar to stop; its ``Cancelled`` or ``End`` follows as a reply."""
        return await self.conn.send(Cancel(self.stream))


class Calls:
    """The calls in flight on one connection."""

    def __init__(self, conn: PeerConnection) -> None:
        self._conn = conn
        self._streams = itertools.count(1)
        self._open: dict[int, trio.MemorySendChannel[Reply]] = {}

    def __len__(self) -> int:
        return len(self._open)

    @contextmanager
    def open(self) -> Iterator[Call]:
        """Yield a call with a new stream number; forget it on exit.

        A call that is left before its last reply is cancelled at the sidecar.
        """
        stream = next(self._streams)
        send, receive = trio.open_memory_channel[Reply](
            STREAM_CREDIT_CHUNKS + CALL_QUEUE_SLACK_MESSAGES
        )
        self._open[stream] = send
        self._conn.calls_in_flight += 1
        call = Call(self._conn, stream, receive)
        try:
            yield call
        finally:
            self._open.pop(stream, None)
            self._conn.calls_in_flight -= 1
            send.close()
            receive.close()
            if not call.finished:
                self._conn.send_nowait(Cancel(stream))

    async def start(self, call: Call, req: Request) -> Result[None]:
        """Send ``req`` under the call's stream number with the initial credit."""
        return await self._conn.send(
            replace(req, stream=call.stream, credit=STREAM_CREDIT_CHUNKS)
        )

    def dispatch(self, message: Message) -> Err | None:
        """Hand a reply to its call; Err(FLOW_CONTROL) when the peer sent too much.

        A reply to a call that is over is dropped: it can match no other call.
        """
        if not isinstance(message, Refused | Started | Head | Chunk | End | Cancelled):
            return None
        channel = self._open.get(message.stream)
        if channel is None:
            events.log(
                events.Event.LATE_MESSAGE_DROPPED,
                stream=message.stream,
                kind=type(message).__name__,
            )
            return None
        try:
            channel.send_nowait(message)
        except trio.WouldBlock:
            return Err(Code.FLOW_CONTROL, f"stream {message.stream} over its credit")
        return None

    def close(self) -> None:
        """End all calls because the connection is over."""
        for channel in self._open.values():
            channel.close()
        self._open.clear()
