"""Length-prefixed frames over a byte stream."""

from __future__ import annotations

from collections.abc import Iterable
from types import TracebackType
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.constants import FRAME_MAX_BYTES
from mustardfront.results import Err, Ok, Result

_LENGTH_BYTES: Final = 4
_RECEIVE_MAX_BYTES: Final = 65_536


class FrameStream:
    """A byte stream of frames: a 4-byte big-endian length, then the payload.

    It owns the byte stream and closes it on exit. At most one task may send and one
    may receive at a time. ``receive_max_bytes`` bounds the payloads that it accepts.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.receive_max_bytes = FRAME_MAX_BYTES
        self._stream = stream
        self._buffer = bytearray()

    async def __aenter__(self) -> FrameStream:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await trio.aclose_forcefully(self._stream)

    async def send(self, payloads: Iterable[bytes]) -> Result[None]:
        """Send all payloads in one write.

        Err(FRAME_TOO_LARGE) for an oversized payload, and nothing is sent;
        Err(CONNECTION_CLOSED) if the write fails.
        """
        parts: list[bytes] = []
        for payload in payloads:
            if len(payload) > FRAME_MAX_BYTES:
                return Err(
                    Code.FRAME_TOO_LARGE,
                    f"frame of {len(payload)} bytes exceeds the size limit",
                )
            parts += (len(payload).to_bytes(_LENGTH_BYTES, "big"), payload)
        try:
            await self._stream.send_all(b"".join(parts))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return Err(Code.CONNECTION_CLOSED, f"send failed: {exc}")
        return Ok(None)

    async def receive(self) -> Result[bytes]:
        """Return the next payload; Err if the stream ended or a frame is oversized."""
        while True:
            frame = self._pop_frame()
            if frame is not None:
                return frame
            try:
                data = await self._stream.receive_some(_RECEIVE_MAX_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                return Err(Code.CONNECTION_CLOSED, f"receive failed: {exc}")
            if not data:
                detail = " in the middle of a frame" if self._buffer else ""
                return Err(Code.CONNECTION_CLOSED, f"closed by the peer{detail}")
            self._buffer += data

    def _pop_frame(self) -> Result[bytes] | None:
        """Take the first payload from the buffer; None while it is incomplete."""
        if len(self._buffer) < _LENGTH_BYTES:
            return None
        size = int.from_bytes(self._buffer[:_LENGTH_BYTES], "big")
        if size > self.receive_max_bytes:
            return Err(
                Code.FRAME_TOO_LARGE,
                f"incoming frame of {size} bytes exceeds the size limit",
            )
        end = _LENGTH_BYTES + size
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[_LENGTH_BYTES:end])
        del self._buffer[:end]
        return Ok(payload)
