"""Command that runs the administration API."""

from __future__ import annotations

import sys
from collections.abc import Mapping

import click
import trio

from mustardfront.programs._runtime import Process, Settings, run_process, serve_http
from mustardfront.programs.admin._app import make_app
from mustardfront.programs.admin._operators import TOKEN_FILE, Operators
from mustardfront.settings import ADDRESS, common_settings, setting, tls_setting


@click.command()
@setting("--listen", ADDRESS, "Address of the HTTP API.")
@setting("--token-file", TOKEN_FILE, "File with the operators' token digests.")
@tls_setting
@common_settings
def main(
    listen: tuple[str, int],
    tls_file: str | None,
    token_file: Operators,
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
            nursery.start_soon(token_file.poll)
            async with trio.open_nursery() as http_nursery:
                app = make_app(process, token_file)
                address = await http_nursery.start(
                    serve_http, app, listen, process, tls_file
                )
                task_status.started({"listen": address})
            nursery.cancel_scope.cancel()

    sys.exit(run_process("admin", settings, serve))
