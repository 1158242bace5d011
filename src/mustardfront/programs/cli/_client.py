"""HTTP calls on administration APIs and entries, tried in turn."""

from __future__ import annotations

import json
import re
import ssl
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import httpcore

from mustardfront.codes import Code
from mustardfront.results import Err, Ok, Result
from mustardfront.settings import make_param_type

TIMEOUT_S: Final = 30.0
_TOKEN_LINE: Final = re.compile(rb"([A-Za-z0-9_.-]+):([!-~]+)")
_CONNECT_TIMEOUT_S: Final = 3.0
# The API that answers is not at fault, but another one may be able to help.
_TRY_NEXT: Final = frozenset({Code.DRAINING, Code.NOT_READY})
_NOT_SENT: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


@dataclass(frozen=True, slots=True)
class Token:
    """An operator's name and token."""

    operator: str
    secret: str = field(repr=False)

    def header(self) -> str:
        """Return the value of ``Authorization``."""
        return f"Bearer {self.operator}:{self.secret}"


def read_token(path: str) -> Token:
    """Return the token of a file with one line ``operator:token``.

    Raises OSError or ValueError; the text never holds the file's contents.
    """
    match = _TOKEN_LINE.fullmatch(Path(path).read_bytes().strip())
    if match is None:
        raise ValueError("not one line operator:token")
    return Token(match[1].decode(), match[2].decode())


TOKEN_FILE: Final = make_param_type(
    "file", read_token, "a file with one line operator:token"
)


@dataclass(frozen=True, slots=True)
class Api:
    """The same API at one or more addresses."""

    urls: Sequence[str]
    token: Token | None = None
    ca_file: str | None = None

    def get(self, path: str) -> Result[Any]:
        """Return the JSON answer; Err(CONNECT_FAILED) when no address answers."""
        return self._call("GET", path, None)

    def post(self, path: str, data: Any) -> Result[Any]:
        """Send JSON; Err(WRITE_UNKNOWN) when it may have been taken.

        Only for calls that are safe to repeat, such as a numbered ticket.
        """
        return self._call("POST", path, json.dumps(data).encode())

    def _call(self, method: str, path: str, body: bytes | None) -> Result[Any]:
        last = Err(Code.CONNECT_FAILED, "no address given")
        in_doubt = False
        for url in self.urls:
            answer = _request(method, f"{url}{path}", body, self.token, self.ca_file)
            if isinstance(answer, Ok):
                return answer
            in_doubt = in_doubt or answer.code is Code.WRITE_UNKNOWN
            last = answer
            if in_doubt and answer.code is Code.TOKEN_REFUSED:
                # It says nothing about the call whose answer was lost.
                continue
            if answer.code not in (
                *_TRY_NEXT,
                Code.CONNECT_FAILED,
                Code.STORE_UNAVAILABLE,
                Code.WRITE_UNKNOWN,
            ):
                return answer
        return Err(Code.WRITE_UNKNOWN, last.text) if in_doubt else last


def _ssl_context(ca_file: str | None) -> ssl.SSLContext | None:
    """Return what checks servers' certificates; None uses the system's authorities."""
    return ssl.create_default_context(cafile=ca_file) if ca_file else None


def _request(
    method: str,
    url: str,
    body: bytes | None,
    token: Token | None,
    ca_file: str | None = None,
) -> Result[Any]:
    headers: dict[bytes | str, bytes | str] = {"Content-Type": "application/json"}
    if token is not None:
        headers["Authorization"] = token.header()
    timeouts = dict.fromkeys(("read", "write", "pool"), TIMEOUT_S)
    try:
        with httpcore.ConnectionPool(ssl_context=_ssl_context(ca_file)) as pool:
            response = pool.request(
                method,
                url,
                headers=headers,
                content=body,
                extensions={"timeout": timeouts | {"connect": _CONNECT_TIMEOUT_S}},
            )
    except _NOT_SENT as exc:
        return Err(Code.CONNECT_FAILED, f"{url}: {exc}")
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as exc:
        code = Code.CONNECT_FAILED if body is None else Code.WRITE_UNKNOWN
        return Err(code, f"{url}: the answer was lost: {type(exc).__name__} {exc}")
    try:
        data = json.loads(response.content)
        if response.status < 400:
            return Ok(data)
        error = data["error"]
        return Err(Code(error["code"]), str(error["text"]))
    except (ValueError, KeyError, TypeError):
        if response.status == 404:
            return Err(Code.REQUEST_NOT_FOUND, f"{url}: not found")
        text = f"{url}: status {response.status} without a readable answer"
        # Something else than the API answered, so a write was not proved either way.
        return Err(Code.CONNECT_FAILED if body is None else Code.WRITE_UNKNOWN, text)
