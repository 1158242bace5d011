"""Streams through an entry: complete, resumed, or visibly incomplete."""

import pytest

from entry_fakes import (
    TWO_WRITERS,
    crash_after,
    front_with,
    send_end,
    send_tokens,
    serve_ten,
)
from mustardfront.codes import Code
from mustardfront.protocol import Chunk, Head


async def test_stream_is_complete(autojump_clock):
    async with front_with({"w1": serve_ten}, {"w1": "writer"}) as client:
        tokens, last = await client.stream()
    assert tokens == [str(index) for index in range(10)]
    assert last["code"] == Code.ANSWERED


async def test_cut_stream_resumes_on_another_upstream(autojump_clock):
    # Guards against lost or repeated tokens after a crash and a wrong resume text.
    resumed = []

    async def record(conn, req):
        if req.resume_from:
            resumed.append((req.resume_from, req.resume_text))
        await serve_ten(conn, req)

    for first, second in (("w1", "w2"), ("w2", "w1")):
        scripts = {first: crash_after(4), second: record}
        async with front_with(scripts, TWO_WRITERS) as client:
            # The retry budget's minimum allows three retries.
            for number in range(3):
                tokens, last = await client.stream(f"prompt {number}")
                assert tokens == [str(index) for index in range(10)]
                assert last["outcome"] == "answered"
    assert set(resumed) == {(4, "0123")}


async def test_refused_resume_ends_the_stream_with_an_error(autojump_clock):
    # Guards against sending a second answer inside a stream that has started.
    async def refuse_resume(conn, req):
        if req.resume_from:
            await conn.send(Head(req.stream, 400))
            await conn.send(Chunk(req.stream, 0, b"wrong resume text"))
            await send_end(conn, req, 1)
            return
        await crash_after(4)(conn, req)

    scripts = {"w1": refuse_resume, "w2": refuse_resume}
    async with front_with(scripts, TWO_WRITERS) as client:
        tokens, last = await client.stream()
    assert tokens == ["0", "1", "2", "3"]
    assert (last["code"], last["outcome"]) == (Code.UPSTREAM_BAD_ANSWER, "unknown")


async def test_resume_with_another_content_type_is_not_put_into_the_stream(
    autojump_clock,
):
    """Guards against an error's text between the tokens of a stream."""

    async def answer_json(conn, req):
        if req.resume_from:
            headers = (("content-type", "application/json"),)
            await conn.send(Head(req.stream, 200, headers))
            await conn.send(Chunk(req.stream, req.resume_from, b'{"error": 1}'))
            await send_end(conn, req, req.resume_from + 1)
            return
        await crash_after(4)(conn, req)

    scripts = {"w1": answer_json, "w2": answer_json}
    async with front_with(scripts, TWO_WRITERS) as client:
        tokens, last = await client.stream()
    assert tokens == ["0", "1", "2", "3"]
    assert (last["code"], last["outcome"]) == (Code.UPSTREAM_BAD_ANSWER, "unknown")


@pytest.mark.parametrize(
    ("sent", "count"), [([0, 1, 3], 4), ([0, 1], 3), ([1, 2], 3), ([], 1)]
)
async def test_stream_with_a_gap_is_not_answered(autojump_clock, sent, count):
    async def gap(conn, req):
        await send_tokens(conn, req, sent)
        await send_end(conn, req, count)

    async with front_with({"w1": gap}, {"w1": "writer"}) as client:
        tokens, last = await client.stream()
    assert tokens == [str(index) for index in range(len(tokens))]
    assert last["code"] == Code.STREAM_CUT
    assert last["outcome"] == "unknown"


async def test_repeated_tokens_reach_the_caller_once(autojump_clock):
    async def repeat_tokens(conn, req):
        await send_tokens(conn, req, [0, 1, 0, 1, 2, 2])
        await send_end(conn, req, 3)

    async with front_with({"w1": repeat_tokens}, {"w1": "writer"}) as client:
        tokens, last = await client.stream()
    assert tokens == ["0", "1", "2"]
    assert last["code"] == Code.ANSWERED
