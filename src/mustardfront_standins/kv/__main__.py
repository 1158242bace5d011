"""Run the stand-in: ``python -m mustardfront_standins.kv --listen 127.0.0.1:0``."""

from __future__ import annotations

import json

import click
import trio

from mustardfront.settings import ADDRESS
from mustardfront_standins.kv import serve_kv


@click.command()
@click.option("--listen", type=ADDRESS, default="127.0.0.1:0", show_default=True)
def main(listen: tuple[str, int]) -> None:
    """Serve until killed; print a JSON line with the address when ready."""

    async def run() -> None:
        async with trio.open_nursery() as nursery:
            address = await nursery.start(serve_kv, listen)
            host, port = address
            ready = {"address": f"{host}:{port}", "url": f"http://{host}:{port}"}
            click.echo(json.dumps(ready))

    trio.run(run)


if __name__ == "__main__":
    main()
