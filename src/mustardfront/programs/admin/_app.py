"""HTTP endpoints of the administration API."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import parse_qs

import msgspec
import trio

from mustardfront.codes import Code
from mustardfront.constants import BODY_MAX_BYTES
from mustardfront.coordination.config import (
    check_ticket,
    list_tickets,
    parse_ticket_json,
    read_snapshot,
    read_ticket,
    submit_ticket,
)
from mustardfront.events import Event, log
from mustardfront.programs._runtime import Process
from mustardfront.programs.admin._operators import Operators
from mustardfront.programs.admin._status import read_status
from mustardfront.results import Err, Ok, Result
from mustardfront.state import SECTIONS, Ticket, ticket_to_data

LIST_COUNT_DEFAULT: Final = 20
LIST_COUNT_MAX: Final = 500
_HTTP_STATUS: Final = {
    Code.TICKET_MALFORMED: 400,
    Code.MALFORMED_REQUEST: 400,
    Code.TOKEN_REFUSED: 401,
    Code.TICKET_AUTHOR_REFUSED: 403,
    Code.BODY_TOO_LARGE: 413,
    Code.TICKET_TOO_LARGE: 413,
    Code.TICKET_NOT_FOUND: 404,
    Code.NO_ROUTE: 404,
    Code.TICKET_OUT_OF_ORDER: 409,
    Code.TICKET_RACED: 409,
    Code.TICKET_INVALID_REFERENCE: 422,
    Code.STORE_UNAVAILABLE: 503,
    Code.DRAINING: 503,
    Code.WRITE_UNKNOWN: 504,
}


@dataclass(frozen=True, slots=True)
class _ApiRequest:
    """A request to the API, with its body."""

    method: str
    path: str
    query: dict[str, list[str]]
    authorization: list[str]
    body: bytes


def make_app(process: Process, operators: Operators) -> Callable[..., Awaitable[None]]:
    """Return the ASGI application; ``/readyz`` fails as soon as draining starts."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        started_s = trio.current_time()
        body = await _read_body(receive)
        if body is None:
            return
        query = parse_qs(scope["query_string"].decode("latin-1"))
        tokens = [
            value.decode("latin-1")
            for name, value in scope["headers"]
            if name == b"authorization"
        ]
        req = _ApiRequest(scope["method"], scope["path"], query, tokens, body)
        status, kind, data = await _respond(process, operators, req)
        process.metrics.count("mustardfront_admin_requests", status=str(status))
        process.metrics.observe(
            "mustardfront_admin_request_seconds", trio.current_time() - started_s
        )
        headers = [(b"content-type", kind), (b"content-length", b"%d" % len(data))]
        if status == _HTTP_STATUS[Code.TOKEN_REFUSED]:
            headers.append((b"www-authenticate", b"Bearer"))
        if process.draining.is_set():
            headers.append((b"connection", b"close"))
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        await send({"type": "http.response.body", "body": data})

    return app


async def _read_body(receive: Any) -> bytes | None:
    """Return the body, or None when the caller disconnects.

    A body over the limit is truncated to one byte more than the limit.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        if len(body) <= BODY_MAX_BYTES:
            body += message.get("body", b"")
        if not message.get("more_body"):
            return bytes(body[: BODY_MAX_BYTES + 1])


async def _respond(
    process: Process, operators: Operators, req: _ApiRequest
) -> tuple[int, bytes, bytes]:
    if req.path == "/metrics":
        text = process.metrics.render().encode()
        return 200, b"text/plain; version=0.0.4", text
    if req.path == "/healthz":
        return _json_response(200, {"instance": process.identity.instance})
    if req.path == "/readyz":
        reason = process.not_ready_reason()
        return _json_response(
            503 if reason else 200, {"ready": not reason, "reason": reason}
        )
    result = await _authenticate_and_route(process, operators, req)
    if isinstance(result, Ok):
        return _json_response(200, result.value)
    error = {"code": int(result.code), "name": result.code.name, "text": result.text}
    return _json_response(_HTTP_STATUS.get(result.code, 500), {"error": error})


def _json_response(status: int, data: Any) -> tuple[int, bytes, bytes]:
    return status, b"application/json", msgspec.json.encode(data)


async def _authenticate_and_route(
    process: Process, operators: Operators, req: _ApiRequest
) -> Result[Any]:
    """Handle a request that has a valid operator's token; refuse others."""
    operator = await operators.authenticate(req.authorization)
    if isinstance(operator, Err):
        return operator
    if len(req.body) > BODY_MAX_BYTES:
        text = f"the body is larger than {BODY_MAX_BYTES} bytes"
        return Err(Code.BODY_TOO_LARGE, text)
    return await _route(process, operator.value, req)


async def _route(process: Process, operator: str, req: _ApiRequest) -> Result[Any]:
    match (req.method, *req.path.strip("/").split("/")):
        case ("POST", "v1", "tickets"):
            return await _submit_ticket(process, operator, req.body)
        case ("POST", "v1", "tickets", "check"):
            return await _check_ticket(process, operator, req.body)
        case ("GET", "v1", "tickets"):
            return await _list_tickets(process, req)
        case ("GET", "v1", "tickets", number):
            return await _show_ticket(process, number)
        case ("GET", "v1", "config", section) if section in SECTIONS:
            return await _list_names(process, section)
        case ("GET", "v1", "config", section, name) if section in SECTIONS:
            return await _show_entry(process, section, name)
        case ("GET", "v1", "status"):
            return Ok(await read_status(process))
        case _:
            return Err(Code.NO_ROUTE, f"unknown endpoint {req.method} {req.path}")


async def _submit_ticket(process: Process, operator: str, body: bytes) -> Result[Any]:
    ticket = _parse_operator_ticket(operator, body)
    if isinstance(ticket, Err):
        return ticket
    in_force = process.store.current.version
    result = await submit_ticket(process.kv, ticket.value, in_force=in_force)
    code = Code.ANSWERED if isinstance(result, Ok) else result.code
    process.metrics.count("mustardfront_tickets", result=code.name)
    return result


def _parse_operator_ticket(operator: str, body: bytes) -> Result[Ticket]:
    """Parse a ticket; Err(TICKET_AUTHOR_REFUSED) unless its author is ``operator``."""
    ticket = parse_ticket_json(body)
    if isinstance(ticket, Ok) and ticket.value.author != operator:
        text = (
            f"the ticket's author is {ticket.value.author!r}, but the token belongs to"
            f" {operator!r}"
        )
        code = Code.TICKET_AUTHOR_REFUSED
        number, author = ticket.value.number, ticket.value.author
        log(
            Event.TICKET_REFUSED,
            ticket=number,
            author=author,
            code=int(code),
            text=text,
        )
        return Err(code, text)
    return ticket


async def _check_ticket(process: Process, operator: str, body: bytes) -> Result[Any]:
    ticket = _parse_operator_ticket(operator, body)
    if isinstance(ticket, Err):
        return ticket
    merged = await check_ticket(process.kv, ticket.value)
    if isinstance(merged, Err):
        return merged
    counts = {section: len(getattr(merged.value, section)) for section in SECTIONS}
    return Ok({"number": ticket.value.number, "counts": counts})


async def _list_tickets(process: Process, req: _ApiRequest) -> Result[Any]:
    text = req.query.get("last", [str(LIST_COUNT_DEFAULT)])[0]
    if not text.isdigit() or not 1 <= int(text) <= LIST_COUNT_MAX:
        return Err(
            Code.MALFORMED_REQUEST,
            f"last={text} is not a number from 1 to {LIST_COUNT_MAX}",
        )
    tickets = await list_tickets(process.kv, int(text))
    if isinstance(tickets, Err):
        return tickets
    return Ok({"tickets": [ticket_to_data(ticket) for ticket in tickets.value]})


async def _show_ticket(process: Process, number: str) -> Result[Any]:
    if not number.isdigit():
        return Err(Code.MALFORMED_REQUEST, f"{number!r} is not a ticket number")
    ticket = await read_ticket(process.kv, int(number))
    return ticket if isinstance(ticket, Err) else Ok(ticket_to_data(ticket.value))


async def _list_names(process: Process, section: str) -> Result[Any]:
    """Return the names in a section of the latest accepted configuration."""
    cfg = await read_snapshot(process.kv)
    if isinstance(cfg, Err):
        return cfg
    names = sorted(getattr(cfg.value, section))
    return Ok({"version": cfg.value.version, "names": names})


async def _show_entry(process: Process, section: str, name: str) -> Result[Any]:
    """Return an entry of the latest accepted configuration and its version."""
    cfg = await read_snapshot(process.kv)
    if isinstance(cfg, Err):
        return cfg
    entry = getattr(cfg.value, section).get(name)
    if entry is None:
        return Err(
            Code.TICKET_INVALID_REFERENCE,
            f"the configuration has no entry {section}/{name}",
        )
    return Ok({"version": cfg.value.version, "entry": entry})
