"""Command line of the sidecar program."""

from __future__ import annotations

import sys

import click

from mustardfront import settings
from mustardfront.programs._runtime import Settings, run_process
from mustardfront.programs.sidecar._program import SidecarProgram


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
    common = Settings(peer_listen, host, place, kv, host_list, key_file)
    program = SidecarProgram(upstream_url)
    code = run_process(
        "sidecar",
        common,
        program.serve,
        upstream=upstream_name,
        make_peer_handler=program.peer_handler,
    )
    sys.exit(code)
