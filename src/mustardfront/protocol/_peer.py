"""One authenticated, multiplexed connection between two processes."""

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
M = TypeVar("M", Hello, Proof)


@dataclass(frozen=True, slots=True)
class Identity:
    """Who this process is; ``instance`` differs at each start."""

    role: str
    host: str
    place: str
    instance: str
    upstream: str = ""


class PeerConnection:
    """A connection after its handshake: a bounded send queue and a receive call.

    ``dialled`` is true when this process opened it. ``version`` is the protocol
    version that both sides speak.
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
        # Chunks that came together and are not handed out yet; at most one frame.
        self._received: deque[Message] = deque()
        self._frames = frames
        self._queue = queue
        self.closed: Err | None = None
        # Time of the last frame; traffic of any kind shows that the peer is alive.
        self.last_received_s = trio.current_time()
        # When the oldest unanswered ping went out.
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
        """Queue a message unless the queue is full or closed; say whether it was."""
        if self.closed is not None:
            return False
        try:
            self._queue.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def receive(self) -> Result[Message]:
        """Return the next message; Err when the connection is over.

        A bad frame or message is answered with a ``Fault`` and ends the connection.
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
                Err(Code.CONNECTION_CLOSED, f"peer fault: {message.text}")
            )
        return Ok(message)

    def _fail(self, err: Err) -> Err:
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


Handler: TypeAlias = Callable[[PeerConnection], Awaitable[None]]


@asynccontextmanager
async def connect_peer(
    address: tuple[str, int], identity: Identity, key: bytes
) -> AsyncIterator[Result[PeerConnection]]:
    """Connect to a peer at (IP, port) and yield the connection, or why not."""
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
    """Do the handshake on a byte stream and run its writer while in the context.

    ``version`` is the newest protocol version that this side offers.
    """
    async with FrameStream(stream) as frames:
        hello = await _handshake(
            frames, identity, key, dialled=dialled, version=version
        )
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
            nursery.start_soon(_write, frames, receive, conn)
            try:
                yield Ok(conn)
            finally:
                send.close()
                # The writer drains what is queued, but not for a peer that is stuck.
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
    handler: Handler,
    *,
    task_status: trio.TaskStatus[tuple[str, int]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Accept peers at (IP, port) and run ``handler`` for each; report the address.

    The port is bound without sharing, so a second process cannot take its place.
    """

    async def accept(stream: trio.SocketStream) -> None:
        with events.faults_logged("accepted peer"):
            async with open_peer(stream, identity, key, dialled=False) as conn:
                if isinstance(conn, Ok):
                    await handler(conn.value)

    host, port = address
    listeners = await trio.open_tcp_listeners(port, host=host)
    bound = listeners[0].socket.getsockname()
    task_status.started((bound[0], bound[1]))
    await trio.serve_listeners(accept, listeners)


async def _write(
    frames: FrameStream,
    queue: trio.MemoryReceiveChannel[Message],
    conn: PeerConnection,
) -> None:
    async with queue:
        async for message in queue:
            batch = [message]
            # Everything already queued goes out in the same write.
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
    """Encode messages in order, without those that cannot be encoded.

    One message with a value out of range or text that is no Unicode must not end the
    connection and all other calls on it.
    """
    try:
        if version >= CHUNKS_VERSION:
            return _encode_together(messages, version)
        return [encode(message, version) for message in messages]
    except ENCODE_ERRORS:
        payloads: list[bytes] = []
        for message in messages:
            try:
                payloads.append(encode(message, version))
            except ENCODE_ERRORS as exc:
                kind = type(message).__name__
                text = f"a {kind} cannot be encoded: {str(exc)[:200]}"
                events.log(events.Event.TASK_FAILED, task="send", text=text)
        return payloads


def _encode_together(messages: Iterable[Message], version: int) -> list[bytes]:
    """Encode messages in order, with the chunks that follow each other as one."""
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
    mine = Hello(
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
        sent = await frames.send([encode(mine)])
        if isinstance(sent, Err):
            return sent
        theirs = await _expect(frames, Hello)
        if isinstance(theirs, Err):
            return theirs
        hello = theirs.value
        if max(hello.min_version, PROTOCOL_VERSION_MIN) > min(hello.version, version):
            text = f"peer speaks {hello.min_version} to {hello.version}"
            return await _reject(frames, Err(Code.BAD_VERSION, text))
        await frames.send([encode(Proof(_mac(key, mine, hello, dialled)))])
        proof = await _expect(frames, Proof)
        if isinstance(proof, Err):
            return proof
        if not hmac.compare_digest(
            proof.value.mac, _mac(key, hello, mine, not dialled)
        ):
            return await _reject(frames, Err(Code.BAD_PROOF, "wrong shared key"))
        return Ok(hello)
    return Err(Code.HANDSHAKE_TIMEOUT, f"no handshake in {HANDSHAKE_TIMEOUT_S} s")


async def _reject(frames: FrameStream, err: Err) -> Err:
    await frames.send([encode(Fault(int(err.code), err.text))])
    return err


async def _expect(frames: FrameStream, kind: type[M]) -> Result[M]:
    frame = await frames.receive()
    if isinstance(frame, Err):
        return frame
    message = decode(frame.value)
    if isinstance(message, Err):
        return await _reject(frames, message)
    if isinstance(message.value, Fault):
        return Err(Code.CONNECTION_CLOSED, f"peer fault: {message.value.text}")
    if not isinstance(message.value, kind):
        text = f"{type(message.value).__name__} instead of {kind.__name__}"
        return await _reject(frames, Err(Code.BAD_MESSAGE, text))
    return Ok(message.value)


def _mac(key: bytes, sender: Hello, receiver: Hello, sender_dialled: bool) -> bytes:
    """Return the proof of ``sender``; the direction keeps a proof from being echoed."""
    parts = (
        b"dialled" if sender_dialled else b"accepted",
        sender.nonce,
        receiver.nonce,
        sender.role.encode(),
        sender.instance.encode(),
        receiver.role.encode(),
    )
    return hmac.digest(key, b"\0".join(parts), "sha256")
