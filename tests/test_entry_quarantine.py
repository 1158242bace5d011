"""Prompts whose start crashes upstreams, at an entry with scripted sidecars."""

from __future__ import annotations

import xxhash

from entry_fakes import front_with, send_end, send_tokens
from mustardfront.codes import Code
from mustardfront.programs._crash_reports import record_suspects
from mustardfront.programs.entry._callers import PREFIX_CHARS
from mustardfront.protocol import CrashReport


async def serve_ten(conn, req):
    await send_tokens(conn, req, range(10))
    await send_end(conn, req, 10)


async def test_prompts_whose_start_crashes_upstreams_are_refused(autojump_clock):
    """Guards against one crashed upstream for each new prompt with the same start."""
    async with front_with({"w1": serve_ten}, {"w1": "writer"}) as client:
        start = "x" * PREFIX_CHARS
        part = xxhash.xxh3_64_intdigest(f"writer\0{start}".encode()).to_bytes(8, "big")
        evidence = client.front.forwarder.crash_evidence
        for number in range(2):
            fingerprints = (b"f%d" % number,)
            report = CrashReport("w1", f"i{number}", (), fingerprints, (part,))
            record_suspects(evidence, report)
        _, last = await client.stream(start + "rest")
        assert (last["code"], last["outcome"]) == (Code.REQUEST_HELD, "not-run")
        tokens, _ = await client.stream("y" + start)
        assert len(tokens) == 10
