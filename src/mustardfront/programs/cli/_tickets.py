"""Commands for tickets: check, submit, show, list, replay and drain."""

from __future__ import annotations

import getpass
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import click

from mustardfront.codes import Code
from mustardfront.coordination.config import read_ticket_file
from mustardfront.programs.cli._client import ApiClient
from mustardfront.programs.cli._output import format_table, print_result, value_or_exit
from mustardfront.results import Err, Ok, Result
from mustardfront.state import Ticket, ticket_to_data

# A submission without a response is repeated; a ticket is accepted only once.
_SUBMIT_ATTEMPTS: Final = 3
# A generated ticket gets the next number when another ticket has taken its number.
_RACE_ATTEMPTS: Final = 5
_DRAINING_STATE: Final = {"state": "draining"}
_json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
_file_argument = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


def _author_option(function: Callable[..., Any]) -> Callable[..., Any]:
    option = click.option("--author", help="Author; the token's operator by default.")
    return option(function)


@click.group(name="ticket")
def ticket_group() -> None:
    """Check, submit and read change tickets."""


@ticket_group.command()
@_file_argument
@_json_option
@click.pass_obj
def check(api: ApiClient, file: Path, as_json: bool) -> None:
    """Check a ticket file; with --admin also against the accepted configuration."""
    ticket = value_or_exit(read_ticket_file(file), as_json=as_json)
    if not api.urls:
        text = (
            f"{file}: ticket {ticket.number} is well-formed (no --admin to check with)"
        )
        print_result({"number": ticket.number}, text, as_json=as_json)
        return
    result = api.post("/v1/tickets/check", ticket_to_data(ticket))
    if isinstance(result, Err) and result.code is Code.WRITE_UNKNOWN:
        # A check writes nothing, so a lost response does not leave a write unknown.
        result = Err(Code.CONNECT_FAILED, result.text)
    data = value_or_exit(result, as_json=as_json)
    print_result(
        data, f"{file}: ticket {ticket.number} can be submitted", as_json=as_json
    )


@ticket_group.command()
@_file_argument
@_json_option
@click.pass_obj
def submit(api: ApiClient, file: Path, as_json: bool) -> None:
    """Submit a ticket file; submitting an accepted file again changes nothing."""
    ticket = value_or_exit(read_ticket_file(file), as_json=as_json)
    data = value_or_exit(
        _submit_with_retries(api, ticket_to_data(ticket)), as_json=as_json
    )
    _print_accepted(data, as_json)


@ticket_group.command(name="show")
@click.argument("number", type=click.IntRange(min=1))
@_json_option
@click.pass_obj
def show_ticket(api: ApiClient, number: int, as_json: bool) -> None:
    """Show an accepted ticket."""
    data = value_or_exit(api.get(f"/v1/tickets/{number}"), as_json=as_json)
    print_result(data, json.dumps(data, indent=2), as_json=as_json)


@ticket_group.command(name="list")
@click.option("--last", type=click.IntRange(1, 500), default=20, show_default=True)
@_json_option
@click.pass_obj
def list_command(api: ApiClient, last: int, as_json: bool) -> None:
    """List the newest accepted tickets."""
    data = value_or_exit(api.get(f"/v1/tickets?last={last}"), as_json=as_json)
    rows = [
        (
            ticket["ticket"],
            ticket["author"],
            _summarize_changes(ticket),
            ticket["reason"],
        )
        for ticket in data["tickets"]
    ]
    text = format_table(("ticket", "author", "touches", "reason"), rows)
    print_result(data, text, as_json=as_json)


@ticket_group.command()
@click.argument("number", type=click.IntRange(min=1))
@click.option("--reason", help='Reason; "replay of ticket N" by default.')
@_author_option
@_json_option
@click.pass_obj
def replay(
    api: ApiClient, number: int, reason: str | None, author: str | None, as_json: bool
) -> None:
    """Submit an accepted ticket's state again, under the next number."""
    author = author or _default_author(api)
    original = value_or_exit(api.get(f"/v1/tickets/{number}"), as_json=as_json)

    def build_ticket() -> Result[dict[str, Any]]:
        places = api.get("/v1/config/places")
        if isinstance(places, Err):
            return places
        removed: dict[str, list[str]] = {}
        for section, names in original["remove"].items():
            existing = api.get(f"/v1/config/{section}")
            if isinstance(existing, Err):
                return existing
            # A ticket cannot remove entries that no longer exist.
            removed[section] = [n for n in names if n in existing.value["names"]]
        text = reason or f"replay of ticket {number}"
        state = {"set": original["set"], "remove": removed}
        return Ok(_make_ticket_data(places.value["version"], author, text, state))

    _print_accepted(
        value_or_exit(submit_next_number(api, build_ticket), as_json=as_json), as_json
    )


@click.command()
@click.argument("host")
@click.option("--reason", help='Reason; "drain HOST" by default.')
@_author_option
@_json_option
@click.pass_obj
def drain(
    api: ApiClient, host: str, reason: str | None, author: str | None, as_json: bool
) -> None:
    """Submit the ticket that drains a host: its upstreams get no new work."""
    from urllib.parse import quote

    author = author or _default_author(api)
    path = f"/v1/config/hosts/{quote(host, safe='')}"
    data = value_or_exit(api.get(path), as_json=as_json)
    if data["entry"]["state"] == "draining":
        print_result(
            {"host": host, "state": "draining"},
            f"{host} is already draining",
            as_json=as_json,
        )
        return

    def build_ticket() -> Result[dict[str, Any]]:
        # Read the host for each attempt: another ticket may have changed it.
        current = api.get(path)
        if isinstance(current, Err):
            return current
        state = {"set": {"hosts": {host: current.value["entry"] | _DRAINING_STATE}}}
        text = reason or f"drain {host}"
        return Ok(_make_ticket_data(current.value["version"], author, text, state))

    _print_accepted(
        value_or_exit(submit_next_number(api, build_ticket), as_json=as_json), as_json
    )


def _default_author(api: ApiClient) -> str:
    """Return the operator of the token, or the login name without a token."""
    return getpass.getuser() if api.token is None else api.token.operator


def submit_next_number(
    api: ApiClient, build_ticket: Callable[[], Result[dict[str, Any]]]
) -> Result[Any]:
    """Submit the ticket of ``build_ticket``; rebuild it when its number is taken."""
    result: Result[Any] = Err(Code.TICKET_RACED, "no attempt was made")
    for _ in range(_RACE_ATTEMPTS):
        ticket = build_ticket()
        if isinstance(ticket, Err):
            return ticket
        result = _submit_with_retries(api, ticket.value)
        if isinstance(result, Ok) or result.code not in (
            Code.TICKET_RACED,
            Code.TICKET_OUT_OF_ORDER,
        ):
            return result
    return result


def _submit_with_retries(api: ApiClient, ticket: dict[str, Any]) -> Result[Any]:
    """Submit a ticket; repeat it while it is unknown whether it was accepted.

    A refusal after an attempt without a response still applies to this ticket.
    """
    # A refused token does not tell whether an earlier attempt was executed.
    inconclusive = (Code.CONNECT_FAILED, Code.STORE_UNAVAILABLE, Code.TOKEN_REFUSED)
    unknown: Err | None = None
    for _ in range(_SUBMIT_ATTEMPTS):
        result = api.post("/v1/tickets", ticket)
        if isinstance(result, Ok):
            return result
        if result.code is Code.WRITE_UNKNOWN:
            unknown = result
        elif result.code not in inconclusive or unknown is None:
            return result
    return unknown or Err(Code.CONNECT_FAILED, "no attempt was made")


def _make_ticket_data(
    version: int, author: str, reason: str, state: dict[str, Any]
) -> dict[str, Any]:
    """Return the ticket with the number after ``version``.

    ``version`` must be read before the entries that ``state`` is made from. If another
    ticket is accepted after that read, it has this number, so a state made from
    outdated entries is refused.
    """
    ticket = Ticket(version + 1, author, reason)
    return ticket_to_data(ticket) | state


def _print_accepted(data: Any, as_json: bool) -> None:
    suffix = " (it was accepted before)" if data["repeated"] else ""
    print_result(data, f"ticket {data['number']} is accepted{suffix}", as_json=as_json)


def _summarize_changes(ticket: dict[str, Any]) -> str:
    """Return the number of entries set and removed by section: ``hosts +2 -1``."""
    parts = []
    for section in sorted({*ticket["set"], *ticket["remove"]}):
        added = len(ticket["set"].get(section, ()))
        removed = len(ticket["remove"].get(section, ()))
        parts.append(
            section + (f" +{added}" if added else "") + (f" -{removed}" * bool(removed))
        )
    return ", ".join(parts)
