"""Authenticated, multiplexed connections between processes."""

from __future__ import annotations

import hmac
import secrets
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Final, TypeAlias, TypeVar

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import (
    CHUNKS_MAX_BYTES,
    CHUNKS_VERSION,
    CONNECT_TIMEOUT_S,
    FRAME_MAX_BYTES,
    HANDSHAKE_FRAME_MAX_BYTES,
    HANDSHAKE_TIMEOUT_S,
    PROTOCOL_VERSION,
    PROTOCOL_VERSION_MIN,
    SEND_QUEUE_MESSAGES,
)
from mustardfront.protocol._codec import (
    ENCODE_ERRORS,
    decode,
    decode_all,
    encode,
    encode_chunks,
)
from mustardfront.protocol._messages import Chunk, Fault, Hello, Message, Proof
from mustardfront.results import Err, Ok, Result
from mustardfront.transport import FrameStream

_NONCE_BYTES: Final = 16
HandshakeMessage = TypeVar("HandshakeMessage", Hello, Proof)


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a process; ``instance`` is new at each start."""

    role: str
    host: str
    place: str
    instance: str
    upstream: str = ""


class PeerConnection:
    """A connection after its handshake, with a bounded send queue.

    ``dialled`` is true if this process opened the connection. ``version`` is the
    protocol version in use, the newest that both sides support.
    """

    def __init__(
        self,
        frames: FrameStream,
        remote: Hello,
        queue: trio.MemorySendChannel[Message],
        *,
        dialled: bool,
        version: int = PROTOCOL_VERSION,
    ) -> None:
        self.remote = remote
        self.dialled = dialled
        self.version = version
        # Messages of the last frame that ``receive`` has not returned yet.
        self._received: deque[Message] = deque()
        self._frames = frames
        self._queue = queue
        self.closed: Err | None = None
        # Time of the last frame. Messages of any type show that the peer is alive.
        self.last_received_s = trio.current_time()
        # When the oldest unanswered ping was sent; None if no ping is unanswered.
        self.pinged_at_s: float | None = None
        self.calls_in_flight = 0

    async def send(self, message: Message) -> Result[None]:
        """Queue a message; wait while the queue is full."""
        if self.closed is not None:
            return self.closed
        try:
            await self._queue.send(message)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return self.closed or Err(Code.CONNECTION_CLOSED, "connection closed")
        return Ok(None)

    def send_nowait(self, message: Message) -> bool:
        """Queue a message without waiting; return whether it was queued.

        It is not if the queue is full or the connection is closed.
        """
        if self.closed is not None:
            return False
        try:
            self._queue.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def receive(self) -> Result[Message]:
        """Return the next message; Err if the connection has ended.

        A malformed frame or message ends the connection, and the peer gets a ``Fault``.
        """
        while not self._received:
            frame = await self._frames.receive()
            if isinstance(frame, Err):
                return self._fail(frame)
            self.last_received_s = trio.current_time()
            self.pinged_at_s = None
            messages = decode_all(frame.value)
            if isinstance(messages, Err):
                return self._fail(messages)
            self._received.extend(messages.value)
        message = self._received.popleft()
        if isinstance(message, Fault):
            return self._fail(
                Err(Code.CONNECTION_CLOSED, f"peer reported a fault: {message.text}")
            )
        return Ok(message)

    def _fail(self, err: Err) -> Err:
        """Record why the connection ends; log malformed input and send a ``Fault``."""
        if err.code is not Code.CONNECTION_CLOSED:
            events.log(
                events.Event.PEER_BAD_MESSAGE,
                peer=self.remote.instance,
                code=int(err.code),
                text=err.text,
            )
            self.send_nowait(Fault(int(err.code), err.text))
        self.closed = err
        return err


PeerHandler: TypeAlias = Callable[[PeerConnection], Awaitable[None]]


@asynccontextmanager
async def connect_peer(
    address: tuple[str, int], identity: Identity, key: bytes
) -> AsyncIterator[Result[PeerConnection]]:
    """Connect to a peer at (IP, port) and yield the connection or the error."""
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(*address)
    except (OSError, trio.TooSlowError) as exc:
        yield Err(Code.CONNECT_FAILED, f"{address[0]}:{address[1]}: {exc}")
        return
    async with open_peer(stream, identity, key, dialled=True) as conn:
        yield conn


@asynccontextmanager
async def open_peer(
    stream: trio.abc.Stream,
    identity: Identity,
    key: bytes,
    *,
    dialled: bool,
    version: int = PROTOCOL_VERSION,
) -> AsyncIterator[Result[PeerConnection]]:
    """Perform the handshake on a byte stream and yield the connection or the error.

    The writer task runs while the context is open. ``version`` is the newest protocol
    version that this side offers.
    """
    async with FrameStream(stream) as frames:
        frames.receive_max_bytes = HANDSHAKE_FRAME_MAX_BYTES
        hello = await _handshake(
            frames, identity, key, dialled=dialled, version=version
        )
        frames.receive_max_bytes = FRAME_MAX_BYTES
        if isinstance(hello, Err):
            events.log(events.Event.PEER_REFUSED, code=int(hello.code), text=hello.text)
            yield hello
            return
        send, receive = trio.open_memory_channel[Message](SEND_QUEUE_MESSAGES)
        conn = PeerConnection(
            frames,
            hello.value,
            send,
            dialled=dialled,
            version=min(version, hello.value.version),
        )
        events.log(
            events.Event.PEER_CONNECTED,
            peer=hello.value.instance,
            role=hello.value.role,
            peer_host=hello.value.host,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_writer, frames, receive, conn)
            try:
                yield Ok(conn)
            finally:
                send.close()
                # Gives the writer up to 1 s to send what is queued: a peer that does
                # not read must not delay the exit any longer.
                nursery.cancel_scope.deadline = trio.current_time() + 1.0
                if conn.closed is None:
                    conn.closed = Err(Code.CONNECTION_CLOSED, "closed by this process")
        events.log(
            events.Event.PEER_CLOSED,
            peer=hello.value.instance,
            role=hello.value.role,
            text=conn.closed.text,
        )


async def serve_peers(
    address: tuple[str, int],
    identity: Identity,
    key: bytes,
    handler: PeerHandler,
    *,
    task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept peers at (IP, port) and run ``handler`` for each connection.

    ``task_status`` gets the bound address. The port is bound without sharing, so that
    no second process can bind it.
    """

    async def accept(stream: trio.SocketStream) -> None:
        with events.log_exceptions("accepted peer"):
            async with open_peer(stream, identity, key, dialled=False) as conn:
                if isinstance(conn, Ok):
                    await handler(conn.value)

    host, port = address
    listeners = await trio.open_tcp_listeners(port, host=host)
    bound = listeners[0].socket.getsockname()
    task_status.started((bound[0], bound[1]))
    await trio.serve_listeners(accept, listeners)


async def _run_writer(
    frames: FrameStream,
    queue: trio.MemoryReceiveChannel[Message],
    conn: PeerConnection,
) -> None:
    async with queue:
        async for message in queue:
            batch = [message]
            # Sends all messages that are already queued in the same write.
            while len(batch) < SEND_QUEUE_MESSAGES:
                try:
                    batch.append(queue.receive_nowait())
                except (trio.WouldBlock, trio.EndOfChannel):
                    break
            sent = await frames.send(_encode_batch(batch, conn.version))
            if isinstance(sent, Err):
                conn.closed = conn.closed or sent
                return


def _encode_batch(messages: list[Message], version: int) -> list[bytes]:
    """Encode messages in order; drop and log those that cannot be encoded.

    A message with a value out of range or with text that is not valid Unicode must not
    end the connection and the other calls on it.
    """
    try:
        if version >= CHUNKS_VERSION:
            return _encode_merging_chunks(messages, version)
        return [encode(message, version) for message in messages]
    except ENCODE_ERRORS:
        payloads: list[bytes] = []
        for message in messages:
            try:
                payloads.append(encode(message, version))
            except ENCODE_ERRORS as exc:
                type_name = type(message).__name__
                text = f"dropped a {type_name} that cannot be encoded: {str(exc)[:200]}"
                events.log(events.Event.TASK_FAILED, task="send", text=text)
        return payloads


def _encode_merging_chunks(messages: Iterable[Message], version: int) -> list[bytes]:
    """Encode messages in order; merge consecutive chunks into one message."""
    payloads: list[bytes] = []
    chunks: list[Chunk] = []
    size = 0
    for message in messages:
        fits = isinstance(message, Chunk) and (
            size + len(message.data) <= CHUNKS_MAX_BYTES
        )
        if chunks and not fits:
            payloads.append(encode_chunks(chunks))
            chunks, size = [], 0
        if isinstance(message, Chunk):
            chunks.append(message)
            size += len(message.data)
        else:
            payloads.append(encode(message, version))
    if chunks:
        payloads.append(encode_chunks(chunks))
    return payloads


async def _handshake(
    frames: FrameStream, identity: Identity, key: bytes, *, dialled: bool, version: int
) -> Result[Hello]:
    """Exchange ``Hello`` and ``Proof``; return the peer's ``Hello``."""
    own_hello = Hello(
        version=version,
        min_version=PROTOCOL_VERSION_MIN,
        instance=identity.instance,
        role=identity.role,
        host=identity.host,
        place=identity.place,
        nonce=secrets.token_bytes(_NONCE_BYTES),
        upstream=identity.upstream,
    )
    with trio.move_on_after(HANDSHAKE_TIMEOUT_S):
        sent = await frames.send([encode(own_hello)])
        if isinstance(sent, Err):
            return sent
        received = await _receive_expected(frames, Hello)
        if isinstance(received, Err):
            return received
        hello = received.value
        if max(hello.min_version, PROTOCOL_VERSION_MIN) > min(hello.version, version):
            text = f"peer supports versions {hello.min_version} to {hello.version}"
            return await _reject_peer(frames, Err(Code.BAD_VERSION, text))
        await frames.send([encode(Proof(_proof_mac(key, own_hello, hello, dialled)))])
        proof = await _receive_expected(frames, Proof)
        if isinstance(proof, Err):
            return proof
        if not hmac.compare_digest(
            proof.value.mac, _proof_mac(key, hello, own_hello, not dialled)
        ):
            return await _reject_peer(frames, Err(Code.BAD_PROOF, "shared keys differ"))
        return Ok(hello)
    return Err(
        Code.HANDSHAKE_TIMEOUT, f"handshake not finished within {HANDSHAKE_TIMEOUT_S} s"
    )


async def _reject_peer(frames: FrameStream, err: Err) -> Err:
    """Send ``err`` to the peer as a ``Fault`` and return it."""
    await frames.send([encode(Fault(int(err.code), err.text))])
    return err


async def _receive_expected(
    frames: FrameStream, message_type: type[HandshakeMessage]
) -> Result[HandshakeMessage]:
    frame = await frames.receive()
    if isinstance(frame, Err):
        return frame
    message = decode(frame.value)
    if isinstance(message, Err):
        return await _reject_peer(frames, message)
    if isinstance(message.value, Fault):
        return Err(
            Code.CONNECTION_CLOSED, f"peer reported a fault: {message.value.text}"
        )
    if not isinstance(message.value, message_type):
        text = f"peer sent {type(message.value).__name__}, not {message_type.__name__}"
        return await _reject_peer(frames, Err(Code.BAD_MESSAGE, text))
    return Ok(message.value)


def _proof_mac(
    key: bytes, sender: Hello, receiver: Hello, sender_dialled: bool
) -> bytes:
    """Return the MAC in the proof of ``sender``.

    It covers the direction, so that a peer cannot send back the proof it received.
    """
    parts = (
        b"dialled" if sender_dialled else b"accepted",
        sender.nonce,
        receiver.nonce,
        sender.role.encode(),
        sender.instance.encode(),
        receiver.role.encode(),
    )
    return hmac.digest(key, b"\0".join(parts), "sha256")
