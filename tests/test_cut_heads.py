"""Answers that break off inside their head, at every reader of this project."""

from __future__ import annotations

import socket

import pytest
import trio

from answer_readers import READERS, RESET, cutting_server
from gateway_fakes import FakeUpstream, gateway, send_request

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-answer-seal: s1\r\n"
    b"x-request-id: r1\r\ncontent-length: 40\r\n\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
# Each byte around the end of a line, and some in the middle of one.
ENDS = [at for at in range(len(HEAD)) if HEAD[at : at + 1] in b"\r\n"]
CUTS = sorted({cut for at in ENDS for cut in (at, at + 1)} | {0, 5, 70})
CUT_HEADS = [HEAD[:cut] for cut in CUTS if cut < len(HEAD)]
CUT_HEADS += [INTERIM, INTERIM + HEAD[:30], INTERIM + HEAD[:-2]]
BY_RESET = (False, True)


@pytest.mark.parametrize("by_reset", BY_RESET)
@pytest.mark.parametrize("call", READERS)
async def test_answer_cut_inside_its_head_is_an_error(call, by_reset):
    """Guards against a cut answer that counts as a success with an empty body."""
    for head in CUT_HEADS:
        async with cutting_server(head, by_reset) as address:
            with trio.fail_after(5):
                assert await call(address[:2]), head


@pytest.mark.parametrize("by_reset", BY_RESET)
@pytest.mark.parametrize("target", ["/get/x", "/book/x", "/draft/x", "/once/x"])
async def test_caller_gets_no_success_for_an_answer_cut_inside_its_head(
    target, by_reset
):
    """Guards against a 200 with an empty or short body that is framed as whole."""
    cut_heads = list(CUT_HEADS)

    async def cut(request, conn):
        await conn.send_all(cut_heads[0])
        if by_reset:
            await trio.sleep(0.01)
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    async with gateway({"u1": FakeUpstream([cut])}, retry_minimum=10_000) as gw:
        while cut_heads:
            with trio.fail_after(5):
                # A retry finds no other upstream, and waits a part of this time.
                headers = {"x-deadline-ms": "300"}
                response = await send_request(gw, target, headers=headers)
            assert response.status in (0, 502, 503, 504), cut_heads[0]
            cut_heads.pop(0)
