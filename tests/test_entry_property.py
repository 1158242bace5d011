"""Property test: answers have no gaps and "not-run" is true, whatever sidecars do."""

import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from entry_fakes import front_with, send_end, send_tokens
from mustardfront.codes import Code
from mustardfront.protocol import Cancelled, End, Refused

TOKENS = 5
# Offsets from the next expected index: 0 in order, -1 repeated, 1 skips a token.
STEPS = st.lists(st.sampled_from([0, 0, 0, 0, -1, 1]), max_size=TOKENS + 2)
ENDS = st.sampled_from(
    ["whole", "short", "lost tail", "crash", "cut", "refuse", "cancelled", "silent"]
)
ATTEMPTS = st.lists(st.tuples(STEPS, ENDS), min_size=1, max_size=4)


class Upstreams:
    """Sidecars that play a list of attempts and record whether any attempt ran."""

    def __init__(self, attempts) -> None:
        self.attempts = list(attempts)
        self.ran = False

    async def serve(self, conn, req) -> None:
        steps, end = self.attempts.pop(0) if self.attempts else ([], "refuse")
        if end == "refuse":
            await conn.send(Refused(req.stream, int(Code.DRAINING), True))
            return
        if end == "cancelled":
            await conn.send(Cancelled(req.stream, started=False))
            return
        self.ran = True
        next_index = req.resume_from
        for step in steps:
            index = max(0, next_index + step)
            await send_tokens(conn, req, [index])
            next_index = max(next_index, index + 1)
        if end == "whole":
            await send_tokens(conn, req, range(next_index, TOKENS))
            await send_end(conn, req, TOKENS)
        elif end == "short":
            await send_end(conn, req, next_index)
        elif end == "lost tail":
            await send_end(conn, req, TOKENS)
        elif end in ("crash", "cut"):
            code = Code.UPSTREAM_CRASHED if end == "crash" else Code.STREAM_CUT
            await conn.send(End(req.stream, int(code), "unknown", next_index))
        else:
            await trio.sleep_forever()


@settings(derandomize=True, max_examples=400, deadline=None)
@given(ATTEMPTS)
def test_answer_is_complete_or_its_outcome_is_true(attempts):
    async def run():
        upstreams = Upstreams(attempts)
        scripts = {"w1": upstreams.serve, "w2": upstreams.serve}
        async with front_with(scripts, dict.fromkeys(scripts, "writer")) as client:
            tokens, last = await client.stream(deadline_ms=2_000)
        return upstreams, tokens, last

    clock = trio.testing.MockClock(autojump_threshold=0)
    upstreams, tokens, last = trio.run(run, clock=clock)
    # Tokens arrive in order from the start, without a gap or a repetition.
    assert tokens == [str(index) for index in range(len(tokens))]
    if last["outcome"] == "not-run":
        assert not upstreams.ran and not tokens
    if last["outcome"] == "answered":
        ended_short = any(end == "short" for _, end in attempts)
        assert len(tokens) >= TOKENS or ended_short
