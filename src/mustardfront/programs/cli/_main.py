"""The command groups of ``mustardfront``."""

from __future__ import annotations

from typing import Any

import click

from mustardfront.codes import Code
from mustardfront.programs.cli._client import TOKEN_FILE, Api, Token
from mustardfront.programs.cli._output import fail, show, table, value_or_fail
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
    help="An administration API; several are tried in turn.",
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
    help="Certificates that https addresses are checked with; default: the system's.",
)
@click.pass_context
def main(
    ctx: click.Context,
    admins: tuple[str, ...],
    token_file: Token | None,
    ca_file: str | None,
) -> None:
    """Operate mustardfront: change tickets, status and decisions."""
    ctx.obj = Api(admins, token_file, ca_file)


@main.command()
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def status(api: Api, as_json: bool) -> None:
    """Show which configuration version each process has in force."""
    data = value_or_fail(api.get("/v1/status"), as_json=as_json)
    behind = sum(row["version"] != data["accepted"] for row in data["processes"])
    rows = [
        (row["host"], row["role"], row["place"], row["state"], row["version"])
        for row in data["processes"]
    ]
    head = f"accepted version {data['accepted']}; {len(rows)} processes"
    if data["accepted"] is None:
        head = f"accepted version unknown: {data['error']}; {len(rows)} processes"
    else:
        head += f", {behind} without it"
    text = table(("host", "role", "place", "state", "version"), rows)
    show(data, f"{head}\n{text}", as_json=as_json)


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
    help="An entry's operators' address; all given are asked.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def explain(api: Api, request: str, entries: tuple[str, ...], as_json: bool) -> None:
    """Show the decisions that entries made for a request id."""
    from urllib.parse import quote

    last = None
    for entry in entries:
        answer = Api([entry], ca_file=api.ca_file).get(
            f"/explain/{quote(request, safe='')}"
        )
        if isinstance(answer, Ok):
            show(answer.value, _explanation(answer.value), as_json=as_json)
            return
        # An entry that answered says more than one that cannot be reached.
        if last is None or last.code is Code.CONNECT_FAILED:
            last = answer
    if last is not None:
        fail(last, as_json=as_json)


def _explanation(data: Any) -> str:
    """Return an explanation's events, one a line, with their fields."""
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
