"""Length-prefixed frames over a byte stream."""

from __future__ import annotations

from collections.abc import Iterable
from types import TracebackType
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.constants import FRAME_MAX_BYTES
from mustardfront.results import Err, Ok, Result

_HEADER_BYTES: Final = 4
_READ_BYTES: Final = 65_536


class FrameStream:
    """Frames of a 4-byte big-endian length and a payload; owns its byte stream.

    One task receives and one task sends.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._buffer = bytearray()

    async def __aenter__(self) -> FrameStream:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await trio.aclose_forcefully(self._stream)

    async def send(self, payloads: Iterable[bytes]) -> Result[None]:
        """Send all payloads in one write; Err(CONNECTION_CLOSED) when that fails."""
        parts: list[bytes] = []
        for payload in payloads:
            if len(payload) > FRAME_MAX_BYTES:
                return Err(Code.FRAME_TOO_LARGE, f"frame of {len(payload)} bytes")
            parts += (len(payload).to_bytes(_HEADER_BYTES, "big"), payload)
        try:
            await self._stream.send_all(b"".join(parts))
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            return Err(Code.CONNECTION_CLOSED, f"send failed: {exc}")
        return Ok(None)

    async def receive(self) -> Result[bytes]:
        """Return the next payload; Err on a closed stream or an oversized frame."""
        while True:
            ready = self._take()
            if ready is not None:
                return ready
            try:
                data = await self._stream.receive_some(_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                return Err(Code.CONNECTION_CLOSED, f"receive failed: {exc}")
            if not data:
                cut = " inside a frame" if self._buffer else ""
                return Err(Code.CONNECTION_CLOSED, f"closed by the peer{cut}")
            self._buffer += data

    def _take(self) -> Result[bytes] | None:
        if len(self._buffer) < _HEADER_BYTES:
            return None
        size = int.from_bytes(self._buffer[:_HEADER_BYTES], "big")
        if size > FRAME_MAX_BYTES:
            return Err(Code.FRAME_TOO_LARGE, f"frame of {size} bytes announced")
        end = _HEADER_BYTES + size
        if len(self._buffer) < end:
            return None
        payload = bytes(self._buffer[_HEADER_BYTES:end])
        del self._buffer[:end]
        return Ok(payload)
