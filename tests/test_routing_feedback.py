"""Tests of how the end of an attempt affects the health of its upstream."""

import trio

from entry_fakes import front_with
from mustardfront.codes import Code
from mustardfront.protocol import Refused

NAMES = ("w1", "w2", "w3")
BODY = b'{"model": "writer", "prompt": "p", "stream": true}'


async def never_answer(conn, req):
    await trio.sleep_forever()


async def refuse_queue_full(conn, req):
    await conn.send(Refused(req.stream, int(Code.QUEUE_FULL), True))


def ejected_upstreams(client) -> list[str]:
    table = client.front.forwarder.table
    return [state.name for state in table.fronts("writer") if state.health.ejected]


async def test_disconnected_callers_do_not_eject(autojump_clock):
    # Guards against the ejection of healthy upstreams because callers disconnect before
    # the answer.
    scripts = dict.fromkeys(NAMES, never_answer)
    async with front_with(scripts, dict.fromkeys(NAMES, "writer")) as client:
        for _ in range(20):
            disconnected = trio.Event()
            async with trio.open_nursery() as nursery:

                async def call(disconnected=disconnected):
                    path = "/v1/completions"
                    await client.call("POST", path, BODY, disconnected=disconnected)

                nursery.start_soon(call)
                await trio.sleep(0.1)
                disconnected.set()
        assert ejected_upstreams(client) == []


async def test_upstream_that_never_answers_is_ejected(autojump_clock):
    scripts = dict.fromkeys(NAMES, never_answer)
    async with front_with(scripts, dict.fromkeys(NAMES, "writer")) as client:
        for _ in range(12):
            await client.stream(deadline_ms=100)
        # All three fail, but at most a third of the upstreams is ejected.
        assert len(ejected_upstreams(client)) == 1


async def test_refusals_for_lack_of_capacity_do_not_eject(autojump_clock):
    scripts = dict.fromkeys(NAMES, refuse_queue_full)
    async with front_with(scripts, dict.fromkeys(NAMES, "writer")) as client:
        for _ in range(20):
            await client.stream()
        assert ejected_upstreams(client) == []
