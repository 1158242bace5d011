"""HTTP client for administration APIs and entries; addresses are tried in turn."""

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

IO_TIMEOUT_S: Final = 30.0
RESPONSE_MAX_BYTES: Final = 64 * 1024 * 1024
_TOKEN_LINE: Final = re.compile(rb"([A-Za-z0-9_.-]+):([!-~]+)")
_CONNECT_TIMEOUT_S: Final = 3.0
# The process cannot serve requests now, but the one at the next address may.
_TRY_NEXT_CODES: Final = frozenset({Code.DRAINING, Code.NOT_READY})
_NOT_SENT_ERRORS: Final = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.PoolTimeout,
)


@dataclass(frozen=True, slots=True)
class Token:
    """Credentials of an operator."""

    operator: str
    secret: str = field(repr=False)

    def authorization(self) -> str:
        """Return the value of the ``Authorization`` header."""
        return f"Bearer {self.operator}:{self.secret}"


def read_token(path: str) -> Token:
    """Return the token in a file with one line ``operator:token``.

    Raises OSError or ValueError, whose text never has the contents of the file.
    """
    match = _TOKEN_LINE.fullmatch(Path(path).read_bytes().strip())
    if match is None:
        raise ValueError("not one line operator:token")
    return Token(match[1].decode(), match[2].decode())


TOKEN_FILE: Final = make_param_type(
    "file", read_token, "a file with one line operator:token"
)


@dataclass(frozen=True, slots=True)
class ApiClient:
    """Client of an API that is served at one or more URLs."""

    urls: Sequence[str]
    token: Token | None = None
    ca_file: str | None = None

    def get(self, path: str) -> Result[Any]:
        """Return the JSON response; Err(CONNECT_FAILED) if no address responds."""
        return self._request_any("GET", path, None)

    def post(self, path: str, data: Any) -> Result[Any]:
        """Send JSON; Err(WRITE_UNKNOWN) if the request may have been executed.

        Only for requests that are safe to repeat, such as a numbered ticket.
        """
        return self._request_any("POST", path, json.dumps(data).encode())

    def _request_any(self, method: str, path: str, body: bytes | None) -> Result[Any]:
        last_err = Err(Code.CONNECT_FAILED, "no address was given")
        may_be_executed = False
        for url in self.urls:
            result = _send_request(
                method, f"{url}{path}", body, self.token, self.ca_file
            )
            if isinstance(result, Ok):
                return result
            may_be_executed = may_be_executed or result.code is Code.WRITE_UNKNOWN
            last_err = result
            if may_be_executed and result.code is Code.TOKEN_REFUSED:
                # The refusal does not tell whether the earlier request was executed.
                continue
            if result.code not in (
                *_TRY_NEXT_CODES,
                Code.CONNECT_FAILED,
                Code.STORE_UNAVAILABLE,
                Code.WRITE_UNKNOWN,
            ):
                return result
        return Err(Code.WRITE_UNKNOWN, last_err.text) if may_be_executed else last_err


def _ssl_context(ca_file: str | None) -> ssl.SSLContext | None:
    """Return a context that trusts ``ca_file``; None trusts the system's CAs."""
    return ssl.create_default_context(cafile=ca_file) if ca_file else None


def _send_request(
    method: str,
    url: str,
    body: bytes | None,
    token: Token | None,
    ca_file: str | None = None,
) -> Result[Any]:
    headers: dict[bytes | str, bytes | str] = {"Content-Type": "application/json"}
    if token is not None:
        headers["Authorization"] = token.authorization()
    try:
        with httpcore.ConnectionPool(ssl_context=_ssl_context(ca_file)) as pool:
            status, content = _exchange(pool, method, url, headers, body)
    except _NOT_SENT_ERRORS as exc:
        return Err(Code.CONNECT_FAILED, f"{url}: {exc}")
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
    ) as exc:
        code = Code.CONNECT_FAILED if body is None else Code.WRITE_UNKNOWN
        return Err(code, f"{url}: no complete response: {type(exc).__name__} {exc}")
    try:
        data = json.loads(content)
        if status < 400:
            return Ok(data)
        error = data["error"]
        return Err(Code(error["code"]), str(error["text"]))
    except (ValueError, KeyError, TypeError):
        if status == 404:
            return Err(Code.REQUEST_NOT_FOUND, f"{url}: not found")
        text = f"{url}: status {status} with an unexpected body"
        # The response is not from the API, so it does not tell whether a write was
        # executed.
        return Err(Code.CONNECT_FAILED if body is None else Code.WRITE_UNKNOWN, text)


def _exchange(
    pool: httpcore.ConnectionPool,
    method: str,
    url: str,
    headers: dict[bytes | str, bytes | str],
    body: bytes | None,
) -> tuple[int, bytes]:
    """Send a request and return the status and the body of the response."""
    timeouts = dict.fromkeys(("read", "write", "pool"), IO_TIMEOUT_S)
    extensions = {"timeout": timeouts | {"connect": _CONNECT_TIMEOUT_S}}
    with pool.stream(
        method, url, headers=headers, content=body, extensions=extensions
    ) as response:
        content = bytearray()
        for part in response.iter_stream():
            content += part
            if len(content) > RESPONSE_MAX_BYTES:
                text = f"the response exceeds {RESPONSE_MAX_BYTES} bytes"
                raise httpcore.RemoteProtocolError(text)
        return response.status, bytes(content)
