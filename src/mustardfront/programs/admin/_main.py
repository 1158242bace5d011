"""The command of the administration API."""

from __future__ import annotations

import sys
from collections.abc import Mapping

import click
import trio

from mustardfront.programs._runtime import Process, Settings, run_process, serve_http
from mustardfront.programs.admin._app import make_app
from mustardfront.settings import ADDRESS, common_settings, setting


@click.command()
@setting("--listen", ADDRESS, "Address of the HTTP API.")
@common_settings
def main(
    listen: tuple[str, int],
    peer_listen: tuple[str, int],
    host: str,
    place: str,
    kv: str,
    host_list: str,
    key_file: bytes,
) -> None:
    """Serve the administration API: tickets, status, health and metrics."""
    settings = Settings(peer_listen, host, place, kv, host_list, key_file)

    async def serve(
        process: Process, *, task_status: trio.TaskStatus[Mapping[str, str]]
    ) -> None:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(
                serve_http, make_app(process), listen, process
            )
            task_status.started({"listen": address})

    sys.exit(run_process("admin", settings, serve))
