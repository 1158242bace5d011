"""A process with one partition owner, driven over its standard input and output.

An input line ``{"id", "key", "took_s"}`` runs a request whose execution takes
``took_s`` seconds. The execution appends a line to the runs file, which stands for the
upstream's side effect. Each outcome is a line on standard output.
"""

import json
import os
import sys

import trio

from mustardfront.codes import Code, Outcome
from mustardfront.coordination.idempotency import Execution, PartitionOwner
from mustardfront.coordination.idempotency import _members as members_module
from mustardfront.coordination.idempotency import _owner as owner_module
from mustardfront.coordination.kv import KvClient
from mustardfront.protocol import Request

# Shorter than in production, so that tests need not wait long for a lease to expire.
members_module.OWNER_LEASE_S = 2
members_module.OWNER_KEEPALIVE_S = 0.5
owner_module.OWNER_CHECK_INTERVAL_S = 0.5


async def main(url: str, upstream: str, instance: str, runs: str) -> None:
    descriptor = os.open(runs, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    async with KvClient(url) as kv, trio.open_nursery() as nursery:
        owner = PartitionOwner("ledger", upstream, instance, kv)

        async def run_request(id: int, key: str, took_s: float = 0) -> None:
            async def execute() -> Execution:
                os.write(descriptor, f"{key} {id}\n".encode())
                await trio.sleep(took_s)
                return Execution(Outcome.ANSWERED, Code.ANSWERED, body=b"booked")

            last_fields = (b"book 5", 20_000, 1, key)
            req = Request(1, "r", 1, "lofts", "ledger", "POST", "/", (), *last_fields)
            result = await owner.run(req, execute)
            write_line(
                id=id, outcome=result.outcome, code=result.code, text=result.text
            )

        await nursery.start(owner.serve)
        stdin = trio.lowlevel.FdStream(os.dup(0))
        write_line(ready=True)
        buffer = b""
        while data := await stdin.receive_some(65_536):
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                nursery.start_soon(
                    lambda fields: run_request(**fields), json.loads(line)
                )
        nursery.cancel_scope.cancel()


def write_line(**fields: object) -> None:
    sys.stdout.write(json.dumps(fields) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    trio.run(main, *sys.argv[1:])
