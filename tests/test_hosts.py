"""The host list: outages, the rate of polling, and malformed lists."""

import random

import pytest
import trio

from mustardfront.codes import Code
from mustardfront.coordination.hosts import (
    HostEntry,
    HostList,
    HostListResponse,
    parse_hosts,
)
from mustardfront.coordination.hosts._list import POLL_BYTES_PER_S
from mustardfront.results import Err, Ok
from mustardfront_standins.hosts import HostTable

LIVE = HostEntry("h1", "pa", "entry", "127.0.0.1:1")
LEAVING = HostEntry("h2", "pa", "sidecar", "127.0.0.1:2", "leaving")


async def test_last_list_is_kept_while_the_service_is_unavailable(autojump_clock):
    responses = [
        Ok(HostListResponse((LIVE, LEAVING), 200)),
        Err(Code.UPSTREAM_DOWN, "down"),
    ]

    async def fetch(_tag):
        return responses.pop(0) if len(responses) > 1 else responses[0]

    hosts = HostList("", fetch=fetch, rng=random.Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(hosts.run)
        await trio.sleep(100)
        assert hosts.current == (LIVE, LEAVING)
        assert [hosts.state_of(name) for name in ("h1", "h2", "h3")] == [
            "live",
            "leaving",
            "",
        ]
        nursery.cancel_scope.cancel()


async def test_polling_a_long_list_stays_within_the_rate(autojump_clock):
    async def fetch(_tag):
        return Ok(HostListResponse((LIVE,), 300_000))

    hosts = HostList("", fetch=fetch, rng=random.Random(1))
    with trio.move_on_after(10_000):
        await hosts.run()
    assert hosts.bytes_read / 10_000 <= 1.25 * POLL_BYTES_PER_S


@pytest.mark.parametrize(
    "body",
    [b"", b"[]", b"{}", b'{"hosts": [{"name": "h"}]}', b'{"hosts": 3}', b"\xff"]
    + [
        b'{"hosts": [{"name": "h", "place": "p", "role": "%s", "address": "a",'
        b' "state": "%s"}]}' % fields
        for fields in ((b"cook", b"live"), (b"entry", b"asleep"))
    ],
)
def test_malformed_list_is_rejected(body):
    result = parse_hosts(body)
    assert isinstance(result, Err) and result.code is Code.UPSTREAM_BAD_ANSWER


async def test_stand_in_publishes_changes_after_its_lag(autojump_clock):
    table = HostTable(lag_s=5)
    table.put("h1", {"place": "pa", "role": "entry", "address": "127.0.0.1:1"})
    assert table.visible() == []
    await trio.sleep(5)
    assert [entry["name"] for entry in table.visible()] == ["h1"]
    table.delete("h1")
    assert len(table.visible()) == 1
    await trio.sleep(5)
    assert table.visible() == []
