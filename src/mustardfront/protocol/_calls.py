"""Calls in flight on one connection; replies are matched by stream number."""

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
    """One attempt on one connection: its replies in order and its flow control."""

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
        self._uncredited_chunks = 0

    async def next_reply(self) -> Reply | Err:
        """Return the next reply; Err(PEER_LOST) if the connection ended before it."""
        try:
            reply = await self._replies.receive()
        except trio.EndOfChannel:
            return Err(Code.PEER_LOST, "the connection to the sidecar was lost")
        self.finished = isinstance(reply, Refused | End | Cancelled)
        return reply

    async def acknowledge(self) -> None:
        """Count one chunk as delivered to the caller.

        The sidecar gets the credit of several chunks in one message.
        """
        self._uncredited_chunks += 1
        if self._uncredited_chunks * 2 < STREAM_CREDIT_CHUNKS:
            return
        chunks, self._uncredited_chunks = self._uncredited_chunks, 0
        await self.conn.send(Credit(self.stream, chunks))

    async def cancel(self) -> Result[None]:
        """Ask the sidecar to stop; it replies with ``Cancelled`` or ``End``."""
        return await self.conn.send(Cancel(self.stream))


class Calls:
    """The calls in flight on one connection."""

    def __init__(self, conn: PeerConnection) -> None:
        self._conn = conn
        self._streams = itertools.count(1)
        self._reply_channels: dict[int, trio.MemorySendChannel[Reply]] = {}

    def __len__(self) -> int:
        return len(self._reply_channels)

    @contextmanager
    def open(self) -> Iterator[Call]:
        """Yield a call with a new stream number; remove it on exit.

        A call whose last reply has not been read by then is cancelled at the sidecar.
        """
        stream = next(self._streams)
        send, receive = trio.open_memory_channel[Reply](
            STREAM_CREDIT_CHUNKS + CALL_QUEUE_SLACK_MESSAGES
        )
        self._reply_channels[stream] = send
        self._conn.calls_in_flight += 1
        call = Call(self._conn, stream, receive)
        try:
            yield call
        finally:
            self._reply_channels.pop(stream, None)
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
        """Queue a reply for its call; Err(FLOW_CONTROL) if the call's queue is full.

        A late reply to a finished call is dropped; stream numbers are never reused, so
        it cannot reach another call.
        """
        if not isinstance(message, Refused | Started | Head | Chunk | End | Cancelled):
            return None
        channel = self._reply_channels.get(message.stream)
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
            return Err(Code.FLOW_CONTROL, f"stream {message.stream} exceeds its credit")
        return None

    def close(self) -> None:
        """End all calls because the connection ended."""
        for channel in self._reply_channels.values():
            channel.close()
        self._reply_channels.clear()
