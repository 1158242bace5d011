"""Stand-in for the platform's host list, which readers see with a delay."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Awaitable, Callable
from typing import Any

import click
import hypercorn.trio
import trio
from hypercorn.config import Config

from mustardfront.settings import ADDRESS, decimal, setting

_REQUIRED_FIELDS = ("place", "role", "address")


class HostTable:
    """The current host list and the delayed version that readers see."""

    def __init__(self, lag_s: float) -> None:
        self.lag_s = lag_s
        self._hosts: dict[str, dict[str, str]] = {}
        self._snapshots: list[tuple[float, list[dict[str, str]]]] = [
            (float("-inf"), [])
        ]

    def put(self, name: str, entry: dict[str, str]) -> None:
        """Add or replace a host; readers see it after the lag."""
        self._hosts[name] = {"name": name, "state": "live"} | entry
        self._record_snapshot()

    def delete(self, name: str) -> bool:
        """Remove a host and return whether it existed."""
        found = self._hosts.pop(name, None) is not None
        self._record_snapshot()
        return found

    def _record_snapshot(self) -> None:
        self._snapshots.append((trio.current_time(), list(self._hosts.values())))

    def visible(self) -> list[dict[str, str]]:
        """Return the list as it was ``lag_s`` ago."""
        limit = trio.current_time() - self.lag_s
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= limit:
            self._snapshots.pop(0)
        return self._snapshots[0][1]


def make_app(table: HostTable) -> Callable[..., Awaitable[None]]:
    """Return the ASGI application of the host list."""

    async def app(scope: Any, receive: Any, send: Any) -> None:
        if scope["type"] == "lifespan":
            for state in ("startup", "shutdown"):
                await receive()
                await send({"type": f"lifespan.{state}.complete"})
            return
        if scope["type"] != "http":
            return
        body = b""
        while True:
            message = await receive()
            if message["type"] != "http.request":
                return
            body += message["body"]
            if not message.get("more_body"):
                break
        headers = dict(scope["headers"])
        status, answer = _handle_request(table, scope["method"], scope["path"], body)
        data = json.dumps(answer).encode()
        tag = b'"' + hashlib.sha256(data).hexdigest()[:16].encode() + b'"'
        if scope["method"] == "GET" and headers.get(b"if-none-match") == tag:
            status, data = 304, b""
        fields = [(b"content-type", b"application/json"), (b"etag", tag)]
        start = {"type": "http.response.start", "status": status, "headers": fields}
        await send(start)
        await send({"type": "http.response.body", "body": data})

    return app


def _handle_request(
    table: HostTable, method: str, path: str, body: bytes
) -> tuple[int, Any]:
    if method == "GET" and path == "/v1/hosts":
        return 200, {"hosts": table.visible()}
    name = path.removeprefix("/v1/hosts/")
    if not name or name == path or "/" in name:
        return 404, {"error": f"no {path}"}
    if method == "DELETE":
        return (200, {}) if table.delete(name) else (404, {"error": f"no host {name}"})
    if method != "PUT":
        return 405, {"error": f"no method {method}"}
    try:
        entry = json.loads(body)
        missing = [
            field for field in _REQUIRED_FIELDS if not isinstance(entry[field], str)
        ]
    except (ValueError, KeyError, TypeError) as exc:
        return 400, {"error": f"not a host entry: {exc!r}"}
    if missing or entry.get("state", "live") not in ("live", "leaving"):
        return 400, {"error": "place, role, address and state must be valid"}
    keep = {key: entry[key] for key in (*_REQUIRED_FIELDS, "state") if key in entry}
    table.put(name, keep)
    return 200, {}


async def serve(listen: tuple[str, int], lag_s: float) -> None:
    """Serve the host list and print its address as a JSON line when ready."""
    config = Config()
    config.bind = [f"{listen[0]}:{listen[1]}"]
    config.errorlog = None
    async with trio.open_nursery() as nursery:
        app = make_app(HostTable(lag_s))
        binds = await nursery.start(hypercorn.trio.serve, app, config)
        address = binds[0].removeprefix("http://")
        ready = {"ready": True, "address": address, "url": f"http://{address}"}
        click.echo(json.dumps(ready))


@click.command()
@setting("--listen", ADDRESS, "Address to listen on.", default="127.0.0.1:0")
@setting("--lag-s", decimal(0, 3_600), "Seconds until changes are seen.", default="0")
def main(listen: tuple[str, int], lag_s: float) -> None:
    """Run the host list stand-in."""
    trio.run(serve, listen, lag_s)


if __name__ == "__main__":
    main()
