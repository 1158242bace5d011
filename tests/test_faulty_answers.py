"""Answers of upstreams in trouble that are no answer, at every reader."""

from __future__ import annotations

import pytest
import trio

from answer_readers import (
    call_key_value_service,
    call_rank,
    call_sidecar_upstream,
    call_store,
    check_health,
    cutting_server,
    read_hosts,
)
from mustardfront.http_streams import HEAD_MAX_BYTES, HeadScanner

# What each reader takes as an answer, if nothing is wrong with its head.
SOUND_BODIES = {
    call_sidecar_upstream: b"{}",
    check_health: b'{"instance": "i1"}',
    call_rank: b'{"size": 2, "step": 1, "map": 0, "group": {"name": "g", "epoch": 1,'
    b' "rank": 0, "state": "open"}}',
    call_store: b'{"asOf": 1, "revision": 1, "lease": 1}',
    call_key_value_service: b'{"header": {"revision": "1"}, "succeeded": true}',
    read_hosts: b'{"hosts": []}',
}
readers = pytest.mark.parametrize("call", SOUND_BODIES)


def answer(body: bytes, status: bytes = b"200", line: bytes = b"x-a: 1\r\n") -> bytes:
    length = b"content-length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b" X\r\n" + length + line + b"\r\n" + body


async def is_refused(call, response: bytes) -> bool:
    async with cutting_server(response, by_reset=False) as address:
        with trio.fail_after(5):
            return await call(address[:2])


@readers
async def test_sound_answer_is_taken(call):
    """Guards against tests below that pass since the reader takes no answer at all."""
    assert not await is_refused(call, answer(SOUND_BODIES[call]))


def test_head_of_many_pieces_is_found():
    """Guards against a limit on heads that counts the bytes of bodies."""
    scanner = HeadScanner()
    for byte in b"HTTP/1.1 103 Early\r\nlink: x\r\n\r\n" + answer(b""):
        assert not scanner.is_complete
        scanner.feed(bytes([byte]))
    assert scanner.is_complete
    HeadScanner().feed(answer(b"x" * (2 * HEAD_MAX_BYTES)))
