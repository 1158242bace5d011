"""Ticket commands: check, submit, show, list, replay and drain."""

from __future__ import annotations

import getpass
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import click

from mustardfront.codes import Code
from mustardfront.coordination.config import read_ticket_file
from mustardfront.programs.cli._client import Api
from mustardfront.programs.cli._output import show, table, value_or_fail
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Ticket, ticket_to_data

# A lost answer is asked for again; the same numbered ticket is accepted only once.
_SUBMIT_ATTEMPTS: Final = 3
# Tickets made here take the next number again when another operator was faster.
_RACES_MAX: Final = 5
_DRAINING: Final = {"state": "draining"}
_as_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_file = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


def _author(function: Callable[..., Any]) -> Callable[..., Any]:
    option = click.option("--author", help="Author; the token's operator by default.")
    return option(function)


@click.group(name="ticket")
def ticket_group() -> None:
    """Check, submit and read change tickets."""


@ticket_group.command()
@_file
@_as_json
@click.pass_obj
def check(api: Api, file: Path, as_json: bool) -> None:
    """Check a ticket file; with --admin also against the accepted configuration."""
    ticket = value_or_fail(read_ticket_file(file), as_json=as_json)
    if not api.urls:
        text = f"{file}: ticket {ticket.number} is well-formed (no --admin to ask)"
        show({"number": ticket.number}, text, as_json=as_json)
        return
    answer = api.post("/v1/tickets/check", ticket_to_data(ticket))
    if isinstance(answer, Err) and answer.code is Code.WRITE_UNKNOWN:
        # A check writes nothing, so a lost answer leaves nothing in doubt.
        answer = Err(Code.CONNECT_FAILED, answer.text)
    data = value_or_fail(answer, as_json=as_json)
    show(data, f"{file}: ticket {ticket.number} can be submitted", as_json=as_json)


@ticket_group.command()
@_file
@_as_json
@click.pass_obj
def submit(api: Api, file: Path, as_json: bool) -> None:
    """Submit a ticket file; submitting an accepted file again changes nothing."""
    ticket = value_or_fail(read_ticket_file(file), as_json=as_json)
    data = value_or_fail(_submit(api, ticket_to_data(ticket)), as_json=as_json)
    _show_accepted(data, as_json)


@ticket_group.command(name="show")
@click.argument("number", type=click.IntRange(min=1))
@_as_json
@click.pass_obj
def show_ticket(api: Api, number: int, as_json: bool) -> None:
    """Show an accepted ticket."""
    data = value_or_fail(api.get(f"/v1/tickets/{number}"), as_json=as_json)
    show(data, json.dumps(data, indent=2), as_json=as_json)


@ticket_group.command(name="list")
@click.option("--last", type=click.IntRange(1, 500), default=20, show_default=True)
@_as_json
@click.pass_obj
def list_command(api: Api, last: int, as_json: bool) -> None:
    """List the newest accepted tickets."""
    data = value_or_fail(api.get(f"/v1/tickets?last={last}"), as_json=as_json)
    rows = [
        (ticket["ticket"], ticket["author"], _touched(ticket), ticket["reason"])
        for ticket in data["tickets"]
    ]
    text = table(("ticket", "author", "touches", "reason"), rows)
    show(data, text, as_json=as_json)


@ticket_group.command()
@click.argument("number", type=click.IntRange(min=1))
@click.option("--reason", help='Reason; "replay of ticket N" by default.')
@_author
@_as_json
@click.pass_obj
def replay(
    api: Api, number: int, reason: str | None, author: str | None, as_json: bool
) -> None:
    """Submit an accepted ticket's state again, under the next number."""
    author = author or _operator(api)
    old = value_or_fail(api.get(f"/v1/tickets/{number}"), as_json=as_json)

    def make() -> Result[dict[str, Any]]:
        head = api.get("/v1/config/places")
        if isinstance(head, Err):
            return head
        removed: dict[str, list[str]] = {}
        for section, names in old["remove"].items():
            present = api.get(f"/v1/config/{section}")
            if isinstance(present, Err):
                return present
            # What is gone already needs no removal.
            removed[section] = [n for n in names if n in present.value["names"]]
        text = reason or f"replay of ticket {number}"
        state = {"set": old["set"], "remove": removed}
        return Ok(_make_ticket(head.value["version"], author, text, state))

    _show_accepted(value_or_fail(submit_next(api, make), as_json=as_json), as_json)


@click.command()
@click.argument("host")
@click.option("--reason", help='Reason; "drain HOST" by default.')
@_author
@_as_json
@click.pass_obj
def drain(
    api: Api, host: str, reason: str | None, author: str | None, as_json: bool
) -> None:
    """Submit the ticket that drains a host: its upstreams get no new work."""
    from urllib.parse import quote

    author = author or _operator(api)
    path = f"/v1/config/hosts/{quote(host, safe='')}"
    data = value_or_fail(api.get(path), as_json=as_json)
    if data["entry"]["state"] == "draining":
        show({"host": host, "state": "draining"}, f"{host} drains", as_json=as_json)
        return

    def make() -> Result[dict[str, Any]]:
        # Read again for each number: another ticket may have changed the host.
        current = api.get(path)
        if isinstance(current, Err):
            return current
        state = {"set": {"hosts": {host: current.value["entry"] | _DRAINING}}}
        text = reason or f"drain {host}"
        return Ok(_make_ticket(current.value["version"], author, text, state))

    _show_accepted(value_or_fail(submit_next(api, make), as_json=as_json), as_json)


def _operator(api: Api) -> str:
    """Return the token's operator, or the user's name without a token."""
    return getpass.getuser() if api.token is None else api.token.operator


def submit_next(api: Api, make: Callable[[], Result[dict[str, Any]]]) -> Result[Any]:
    """Submit what ``make`` returns; on a race make it again with the next number."""
    result: Result[Any] = Err(Code.TICKET_RACED, "no attempt was made")
    for _ in range(_RACES_MAX):
        ticket = make()
        if isinstance(ticket, Err):
            return ticket
        result = _submit(api, ticket.value)
        if isinstance(result, Ok) or result.code not in (
            Code.TICKET_RACED,
            Code.TICKET_OUT_OF_ORDER,
        ):
            return result
    return result


def _submit(api: Api, ticket: dict[str, Any]) -> Result[Any]:
    """Submit a ticket; a refusal after a lost answer is still about this ticket."""
    # A refused token says nothing about an earlier attempt whose answer was lost.
    no_answer = (Code.CONNECT_FAILED, Code.STORE_UNAVAILABLE, Code.TOKEN_REFUSED)
    in_doubt: Err | None = None
    for _ in range(_SUBMIT_ATTEMPTS):
        answer = api.post("/v1/tickets", ticket)
        if isinstance(answer, Ok):
            return answer
        if answer.code is Code.WRITE_UNKNOWN:
            in_doubt = answer
        elif answer.code not in no_answer or in_doubt is None:
            return answer
    return in_doubt or Err(Code.CONNECT_FAILED, "no attempt was made")


def _make_ticket(
    version: int, author: str, reason: str, state: dict[str, Any]
) -> dict[str, Any]:
    """Return the ticket after ``version``, the one that was read before its state.

    A ticket that another operator submits after that read takes the number, so a state
    made from older entries is never accepted.
    """
    ticket = Ticket(version + 1, author, reason)
    return ticket_to_data(ticket) | state


def _show_accepted(data: Any, as_json: bool) -> None:
    before = " (it already was)" if data["repeated"] else ""
    show(data, f"ticket {data['number']} is accepted{before}", as_json=as_json)


def _touched(ticket: dict[str, Any]) -> str:
    """Return what a ticket touches, such as ``hosts +2 -1``."""
    parts = []
    for section in sorted({*ticket["set"], *ticket["remove"]}):
        added = len(ticket["set"].get(section, ()))
        removed = len(ticket["remove"].get(section, ()))
        parts.append(
            section + (f" +{added}" if added else "") + (f" -{removed}" * bool(removed))
        )
    return ", ".join(parts)
