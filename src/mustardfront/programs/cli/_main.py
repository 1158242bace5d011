"""The command groups of ``mustardfront``."""

from __future__ import annotations

from typing import Any

import click

from mustardfront.codes import Code
from mustardfront.programs.cli._client import TOKEN_FILE, ApiClient, Token
from mustardfront.programs.cli._output import (
    exit_with_error,
    format_table,
    print_result,
    value_or_exit,
)
from mustardfront.programs.cli._plan import plan
from mustardfront.programs.cli._tickets import drain, ticket_group
from mustardfront.results import Ok
from mustardfront.settings import CA_FILE, HTTP_OR_HTTPS_URL, env_name

_EXIT_CODES = """
Exit codes: 0 done, 1 refused, 2 wrong usage, 3 unreachable, 4 outcome unknown.
"""


@click.group(epilog=_EXIT_CODES)
@click.option(
    "--admin",
    "admins",
    type=HTTP_OR_HTTPS_URL,
    multiple=True,
    envvar=env_name("--admin"),
    show_envvar=True,
    help="URL of an administration API; several are tried in turn.",
)
@click.option(
    "--token-file",
    type=TOKEN_FILE,
    envvar=env_name("--token-file"),
    show_envvar=True,
    help="File with your operator:token for the administration API.",
)
@click.option(
    "--ca-file",
    type=CA_FILE,
    envvar=env_name("--ca-file"),
    show_envvar=True,
    help="CA certificates for verifying https servers; default: the system's.",
)
@click.pass_context
def main(
    ctx: click.Context,
    admins: tuple[str, ...],
    token_file: Token | None,
    ca_file: str | None,
) -> None:
    """Operate mustardfront: change tickets, status and decisions."""
    ctx.obj = ApiClient(admins, token_file, ca_file)


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def status(api: ApiClient, as_json: bool) -> None:
    """Show which configuration version each process has in force."""
    data = value_or_exit(api.get("/v1/status"), as_json=as_json)
    outdated_count = sum(
        row["version"] != data["accepted"] for row in data["processes"]
    )
    rows = [
        (row["host"], row["role"], row["place"], row["state"], row["version"])
        for row in data["processes"]
    ]
    summary = f"accepted version {data['accepted']}; {len(rows)} processes"
    if data["accepted"] is None:
        summary = f"accepted version unknown: {data['error']}; {len(rows)} processes"
    else:
        summary += f", {outdated_count} without it"
    text = format_table(("host", "role", "place", "state", "version"), rows)
    print_result(data, f"{summary}\n{text}", as_json=as_json)


@main.command()
@click.argument("request")
@click.option(
    "--entry",
    "entries",
    type=HTTP_OR_HTTPS_URL,
    multiple=True,
    required=True,
    envvar=env_name("--entry"),
    show_envvar=True,
    help="URL of an entry's operations API; several are tried in turn.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def explain(
    api: ApiClient, request: str, entries: tuple[str, ...], as_json: bool
) -> None:
    """Show the decisions that entries made for a request ID."""
    from urllib.parse import quote

    last_err = None
    for entry in entries:
        result = ApiClient([entry], ca_file=api.ca_file).get(
            f"/explain/{quote(request, safe='')}"
        )
        if isinstance(result, Ok):
            print_result(
                result.value, _format_explanation(result.value), as_json=as_json
            )
            return
        # Prefer the error of an entry that responded to a failed connection.
        if last_err is None or last_err.code is Code.CONNECT_FAILED:
            last_err = result
    if last_err is not None:
        exit_with_error(last_err, as_json=as_json)


def _format_explanation(data: Any) -> str:
    """Format the events of an explanation, one per line, with their fields."""
    events = data
    if isinstance(data, dict):
        events = next((v for v in data.values() if isinstance(v, list)), [data])
    if not isinstance(events, list):
        return str(data)
    return "\n".join(
        "  ".join(f"{name}={value}" for name, value in event.items())
        if isinstance(event, dict)
        else str(event)
        for event in events
    )


main.add_command(ticket_group)
main.add_command(drain)
main.add_command(plan)
