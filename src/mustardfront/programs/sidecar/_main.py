"""Settings and start of the sidecar program."""

from __future__ import annotations

import sys
from functools import partial

import click
import trio

from mustardfront import events, settings
from mustardfront.programs.sidecar._program import Settings, run_sidecar


@click.command()
@settings.setting(
    "--upstream-name", settings.NAME, "Name of the upstream in the configuration."
)
@settings.setting("--upstream-url", settings.URL, "Address of the upstream.")
@settings.common_settings
def main(
    upstream_name: str,
    upstream_url: str,
    peer_listen: tuple[str, int],
    host: str,
    place: str,
    kv: str,
    host_list: str,
    key_file: bytes,
) -> None:
    """Admit, run and report the requests of one upstream."""
    events.start_logging("sidecar", host=host, upstream_name=upstream_name)
    events.log(events.Event.PROCESS_STARTED)
    checked = Settings(
        peer_listen, upstream_name, upstream_url, host, place, kv, host_list, key_file
    )
    try:
        trio.run(partial(run_sidecar, checked))
    except* OSError as group:
        address = f"{peer_listen[0]}:{peer_listen[1]}"
        variable = settings.env_name("--peer-listen")
        text = (
            f"--peer-listen (variable {variable}) has the value {address!r}:"
            f" {_first(group)}; allowed: a free address of this host"
        )
        events.log(events.Event.SETTING_REFUSED, text=text)
        click.echo(f"Error: {text}", err=True)
        sys.exit(2)


def _first(group: BaseExceptionGroup[OSError]) -> str:
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return str(exc)
