"""What the end of an attempt tells routing about the upstream."""

import trio

from entry_fakes import front_with
from mustardfront.codes import Code
from mustardfront.protocol import Refused

NAMES = ("w1", "w2", "w3")
BODY = b'{"model": "writer", "prompt": "p", "stream": true}'


async def silent(conn, req):
    await trio.sleep_forever()


async def full(conn, req):
    await conn.send(Refused(req.stream, int(Code.QUEUE_FULL), True))


def ejected(client) -> list[str]:
    table = client.front.forwarder.table
    return [state.name for state in table.fronts("writer") if state.health.ejected]


async def test_callers_that_go_away_do_not_eject(autojump_clock):
    # Guards against impatient callers taking healthy upstreams out of service.
    scripts = dict.fromkeys(NAMES, silent)
    async with front_with(scripts, dict.fromkeys(NAMES, "writer")) as client:
        for _ in range(20):
            gone = trio.Event()
            async with trio.open_nursery() as nursery:

                async def call(gone=gone):
                    path = "/v1/completions"
                    await client.call("POST", path, BODY, disconnected=gone)

                nursery.start_soon(call)
                await trio.sleep(0.1)
                gone.set()
        assert ejected(client) == []


async def test_upstream_that_never_answers_is_ejected(autojump_clock):
    scripts = dict.fromkeys(NAMES, silent)
    async with front_with(scripts, dict.fromkeys(NAMES, "writer")) as client:
        for _ in range(12):
            await client.stream(deadline_ms=100)
        # A third of three groups is one, though all of them fail.
        assert len(ejected(client)) == 1


async def test_refusals_for_lack_of_room_do_not_eject(autojump_clock):
    scripts = dict.fromkeys(NAMES, full)
    async with front_with(scripts, dict.fromkeys(NAMES, "writer")) as client:
        for _ in range(20):
            await client.stream()
        assert ejected(client) == []
