"""Operators who may use the administration API, from a file that is polled."""

from __future__ import annotations

import hashlib
import hmac
import re
from pathlib import Path
from typing import Final

import trio

from mustardfront.codes import Code
from mustardfront.events import Event, log
from mustardfront.results import Err, Ok, Result
from mustardfront.settings import make_param_type

POLL_INTERVAL_S: Final = 1.0
FILE_MAX_BYTES: Final = 1024 * 1024
_OPERATOR_LINE: Final = re.compile(r"([A-Za-z0-9_.-]+):([0-9a-f]{64})")
_BEARER_HEADER: Final = re.compile(r"Bearer +([^:\s]+):(\S+)", re.IGNORECASE)
# Compared with the token of an unknown operator, so that unknown and known operators
# take the same time.
_UNKNOWN_OPERATOR_DIGEST: Final = "0" * 64


class Operators:
    """Operators listed in a file with ``operator:sha256-of-token`` lines.

    Raises OSError or ValueError when the file cannot be used at start.
    """

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._digests = _read_digests(self._path)
        if not self._digests:
            raise ValueError("the file lists no operators")
        self._last_error = ""
        self._lock = trio.Lock()

    async def authenticate(self, headers: list[str]) -> Result[str]:
        """Return the operator whose token is in the header, or Err(TOKEN_REFUSED).

        ``headers`` has the values of all ``Authorization`` headers of a request.
        """
        if not headers:
            return Err(Code.TOKEN_REFUSED, "the request has no Authorization header")
        match = _BEARER_HEADER.fullmatch(headers[0].strip())
        if len(headers) > 1 or match is None:
            text = "Authorization must be one header 'Bearer <operator>:<token>'"
            return Err(Code.TOKEN_REFUSED, text)
        await self.reload()
        operator, token = match.groups()
        digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
        known = self._digests.get(operator, _UNKNOWN_OPERATOR_DIGEST)
        if not hmac.compare_digest(digest, known):
            # The text does not say which is wrong, so that names cannot be probed.
            text = "the operator is unknown or the token is wrong"
            return Err(Code.TOKEN_REFUSED, text)
        return Ok(operator)

    async def reload(self) -> None:
        """Read the file again; keep the current operators when it cannot be used."""
        # Without the lock, an earlier read could finish after a later one and undo a
        # revocation.
        async with self._lock:
            try:
                digests = await trio.to_thread.run_sync(_read_digests, self._path)
            except (OSError, ValueError) as exc:
                error = str(exc)
                if error != self._last_error:
                    log(Event.OPERATORS_UNREADABLE, file=str(self._path), text=error)
                self._last_error = error
                return
            self._last_error = ""
            if digests != self._digests:
                self._digests = digests
                log(Event.OPERATORS_CHANGED, operators=sorted(digests))

    async def poll(self) -> None:
        """Read the file every second, so that errors are logged without a request."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            await self.reload()


def _read_digests(path: Path) -> dict[str, str]:
    """Return token digests by operator; skip blank lines and ``#`` comments."""
    with path.open("rb") as file:
        data = file.read(FILE_MAX_BYTES + 1)
    if len(data) > FILE_MAX_BYTES:
        raise ValueError(f"the file is larger than {FILE_MAX_BYTES} bytes")
    digests: dict[str, str] = {}
    for number, line in enumerate(data.decode().splitlines(), start=1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        match = _OPERATOR_LINE.fullmatch(text)
        # The error does not quote the line, which may have a token by mistake.
        if match is None:
            raise ValueError(f"line {number} is not operator:sha256-of-token")
        if match[1] in digests:
            raise ValueError(f"line {number} repeats the operator {match[1]!r}")
        digests[match[1]] = match[2]
    return digests


TOKEN_FILE: Final = make_param_type(
    "file", Operators, "a readable file of operator:sha256-of-token lines"
)
