"""The real sidecar process against real stand-ins, with kills and freezes."""

import json
import signal
from contextlib import asynccontextmanager

import pytest
import trio

from mustardfront.codes import Code
from mustardfront.protocol import Cancelled, End, Refused
from mustardfront_standins.tokens import answer_tokens
from running import (
    KEY,
    caller,
    completion,
    make_config,
    make_request,
    program,
    sidecar,
    sidecar_flags,
    standin,
)

NOTHING = "http://127.0.0.1:1"


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / "key"
    path.write_bytes(KEY)
    return path


@asynccontextmanager
async def served(key_file, name="engine", *args, cfg=None):
    """Yield the stand-in, its ready line, the sidecar, its address and a caller."""
    async with (
        standin(name, *args) as (upstream, ready),
        standin("kv") as (_, kv),
        sidecar(ready["url"], key_file, kv["url"]) as (side, address),
        caller(address) as one,
    ):
        await one.push(cfg or make_config())
        yield upstream, ready, side, address, one


async def test_stream_arrives_whole_after_the_first_configuration(key_file):
    # Guards against a sidecar that needs a configuration to start, or a short answer.
    async with (
        standin("engine", "--step-ms", "1") as (_, ready),
        standin("kv") as (_, kv),
        sidecar(ready["url"], key_file, kv["url"]) as (_, address),
        caller(address) as one,
    ):
        early = await one.run(completion("p", 8))
        assert early.last.code == Code.NOT_READY and early.last.not_run
        await one.push(make_config())
        got = await one.run(completion("p", 200))
        assert got.tokens == answer_tokens("p", 200)
        assert got.last == End(got.last.stream, Code.ANSWERED, "answered", 200)
        cut = await one.run(completion("p <cut>", 20))
        assert cut.last.code == Code.STREAM_CUT and cut.last.chunks == 10
        text = "".join(cut.tokens)
        rest = await one.run(
            completion("p <cut>", 20, resume_from=10, resume_text=text)
        )
        assert cut.tokens + rest.tokens == answer_tokens("p <cut>", 20)


async def test_kill_in_mid_stream_is_a_crash_and_the_second_one_holds(key_file):
    # The caller learns of the crash before the end, and a restart serves again.
    async with served(key_file, "engine", "--step-ms", "5") as (
        engine,
        ready,
        _side,
        address,
        one,
    ):
        listen = ready["address"]
        async with caller(address, "entry-2") as other:

            async def kill(_call, got):
                if len(got.chunks) == 3:
                    engine.signal(signal.SIGKILL)

            got = await one.run(completion("p", 500, fingerprint=b"p"), on_chunk=kill)
            assert got.last.code == Code.STREAM_CUT and got.last.outcome == "unknown"
            assert got.last.chunks == len(got.chunks) < 500
            assert one.quarantine.crashes_of(b"p") == 1
            down = await one.run(completion("q", 1))
            assert isinstance(down.last, Refused) and down.last.not_run
            for crashes in (1, 2):
                async with standin("engine", "--listen", listen):
                    bad = completion("<crash>", 4, fingerprint=b"bad")
                    got = await one.run_when_up(bad)
                    assert got.last.code == Code.UPSTREAM_CRASHED
                    assert other.quarantine.crashes_of(b"bad") == crashes
            held = await one.run(bad)
            assert held.last.code == Code.REQUEST_HELD and held.last.not_run


async def test_frozen_engine_lets_its_callers_go_elsewhere(key_file):
    async with served(key_file) as (engine, *_, one):

        async def freeze(_call, got):
            if len(got.chunks) == 3:
                engine.signal(signal.SIGSTOP)

        req = completion("p", 100_000, fingerprint=b"p")
        got = await one.run(req, on_chunk=freeze)
        assert got.last.code == Code.UPSTREAM_TIMEOUT
        assert got.last.chunks == len(got.chunks)
        # A frozen process has not crashed.
        assert one.reports == []
        engine.signal(signal.SIGCONT)
        got = await one.run_when_up(completion("q", 8))
        assert got.tokens == answer_tokens("q", 8)


async def test_second_instance_cannot_take_the_port(key_file):
    # The port is what keeps two sidecars from sending orders to one upstream.
    async with served(key_file) as (_, ready, _, address, one):
        flags = sidecar_flags(ready["url"], key_file, NOTHING, address)
        async with program("mustardfront.programs.sidecar", *flags) as second:
            assert await second.wait() == 2
            refused = await second.line_with("message_type", "setting-refused")
            assert address in refused["text"]
        assert (await one.run(completion("p", 4))).last.code == Code.ANSWERED


async def test_sigterm_lets_streams_end_and_a_second_one_changes_nothing(key_file):
    async with served(key_file) as (_, _, side, _, one):
        refused = []

        async def stop(_call, got):
            if len(got.chunks) in (3, 10):
                side.signal(signal.SIGTERM)
                await one.leaving.wait()
            if len(got.chunks) == 10:
                refused.append(await one.run(completion("q", 1)))

        got = await one.run(completion("p", 600), on_chunk=stop)
        assert got.tokens == answer_tokens("p", 600)
        assert refused[0].last.code == Code.DRAINING and refused[0].last.not_run
        assert await side.wait() == 0


async def test_second_sigint_ends_at_once(key_file):
    async with served(key_file) as (_, _, side, _, one):

        async def interrupt(_call, got):
            if len(got.chunks) in (3, 10):
                side.signal(signal.SIGINT)
                await one.leaving.wait()

        got = await one.run(completion("p", 100_000), on_chunk=interrupt)
        assert got.last.code == Code.PEER_LOST
        assert await side.wait() == 130


async def test_booking_runs_once_whatever_its_caller_does(key_file):
    async with served(key_file, "plain", "--delay-ms", "300") as (*_, address, one):
        book = make_request(path="/records/b1", idempotent=False)
        async with caller(address, "entry-2") as gone:
            with trio.move_on_after(0.1):
                await gone.run(book)

        async def cancel():
            with one.calls.open() as call:
                await one.calls.start(call, make_request(path="/records/b2"))
                await call.next_reply()
                await call.cancel()
                return await call.next_reply()

        assert isinstance(await cancel(), Cancelled)
        look_up = make_request(method="GET", path="/records/b1")
        got = await one.run(look_up)
        assert json.loads(got.body) == {"id": "b1", "runs": 1}
        crash = make_request(path="/records/b3?crash=after", idempotent=False)
        got = await one.run(crash)
        assert got.last.code == Code.UPSTREAM_CRASHED
        assert got.last.outcome == "unknown"


async def test_large_body_arrives_whole(key_file):
    async with served(key_file, "plain") as (*_, one):
        for query in ("size=3000000", "size=3000000&chunked=1"):
            req = make_request(method="GET", path=f"/bytes?{query}")
            got = await one.run(req)
            assert len(got.body) == 3_000_000 and got.last.code == Code.ANSWERED
