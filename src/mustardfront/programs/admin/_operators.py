"""The operators who may use the administration API, read again when they change."""

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
_LINE: Final = re.compile(r"([A-Za-z0-9_.-]+):([0-9a-f]{64})")
_BEARER: Final = re.compile(r"Bearer +([^:\s]+):(\S+)", re.IGNORECASE)
# Compared with the token of an unknown operator, so that both take the same time.
_NO_DIGEST: Final = "0" * 64


class Operators:
    """The operators of a file with ``operator:sha256-of-token`` lines.

    Raises OSError or ValueError when the file cannot be used at the start.
    """

    def __init__(self, path: str) -> None:
        self._path = Path(path)
        self._digests = _read(self._path)
        if not self._digests:
            raise ValueError("the file names no operator")
        self._fault = ""
        self._lock = trio.Lock()

    async def authenticate(self, headers: list[str]) -> Result[str]:
        """Return the operator of the ``Authorization`` headers; Err(TOKEN_REFUSED)."""
        if not headers:
            return Err(Code.TOKEN_REFUSED, "the request has no Authorization header")
        match = _BEARER.fullmatch(headers[0].strip())
        if len(headers) > 1 or match is None:
            text = "Authorization is not one 'Bearer <operator>:<token>'"
            return Err(Code.TOKEN_REFUSED, text)
        await self.reload()
        operator, token = match.groups()
        digest = hashlib.sha256(token.encode("latin-1")).hexdigest()
        known = self._digests.get(operator, _NO_DIGEST)
        if not hmac.compare_digest(digest, known):
            # Does not say which of the two is wrong, so names cannot be probed.
            text = "the operator is unknown or the token is wrong"
            return Err(Code.TOKEN_REFUSED, text)
        return Ok(operator)

    async def reload(self) -> None:
        """Read the file; keep the last good list when it cannot be used."""
        # Without the lock, an older read that ends late would undo a revocation.
        async with self._lock:
            try:
                digests = await trio.to_thread.run_sync(_read, self._path)
            except (OSError, ValueError) as exc:
                fault = str(exc)
                if fault != self._fault:
                    log(Event.OPERATORS_UNREADABLE, file=str(self._path), text=fault)
                self._fault = fault
                return
            self._fault = ""
            if digests != self._digests:
                self._digests = digests
                log(Event.OPERATORS_CHANGED, operators=sorted(digests))

    async def poll(self) -> None:
        """Read the file every second, so faults are logged without any request."""
        while True:
            await trio.sleep(POLL_INTERVAL_S)
            await self.reload()


def _read(path: Path) -> dict[str, str]:
    """Return the token digests by operator; blank lines and ``#`` lines are skipped."""
    with path.open("rb") as file:
        data = file.read(FILE_MAX_BYTES + 1)
    if len(data) > FILE_MAX_BYTES:
        raise ValueError(f"over {FILE_MAX_BYTES} bytes")
    digests: dict[str, str] = {}
    for number, line in enumerate(data.decode().splitlines(), start=1):
        text = line.strip()
        if not text or text.startswith("#"):
            continue
        match = _LINE.fullmatch(text)
        # The line itself is not shown: it may hold a token by mistake.
        if match is None:
            raise ValueError(f"line {number} is not operator:sha256-of-token")
        if match[1] in digests:
            raise ValueError(f"line {number} names {match[1]!r} again")
        digests[match[1]] = match[2]
    return digests


TOKEN_FILE: Final = make_param_type(
    "file", Operators, "a readable file of operator:sha256-of-token lines"
)
