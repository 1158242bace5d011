"""The real sidecar process against real stand-ins, with kills and freezes."""

import json
import signal
from dataclasses import replace

import httpcore
import trio

from mustardfront.codes import Code
from mustardfront.protocol import Cancelled, End, Refused
from mustardfront.state import Config, Group, Upstream
from mustardfront_standins.fleet import Fleet, poll_until
from mustardfront_standins.tokens import answer_tokens
from running import (
    NOTHING,
    caller,
    completion,
    exit_code,
    make_config,
    make_request,
    served,
    sidecar_flags,
    start_sidecar,
)


async def test_stream_arrives_whole_after_the_first_configuration():
    # Guards against a sidecar that needs a configuration to start, or a short answer.
    async with served("engine", "--step-ms", "1", cfg=Config()) as run:
        one = run.caller
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


async def test_kill_in_mid_stream_is_a_crash_and_the_second_one_holds():
    # The caller learns of the crash before the end, and a restart serves again.
    async with served() as run, caller(run.address, "entry-2") as other:
        one = run.caller

        async def kill(_call, got):
            if len(got.chunks) == 3:
                run.upstream.kill()

        got = await one.run(completion("p", 500, fingerprint=b"p"), on_chunk=kill)
        assert got.last.code == Code.UPSTREAM_CRASHED and got.last.outcome == "unknown"
        assert got.last.chunks == len(got.chunks) < 500
        assert one.quarantine.crashes_of(b"p") == 1
        down = await one.run(completion("q", 1))
        assert isinstance(down.last, Refused) and down.last.not_run
        listen = run.upstream.ready["address"]
        bad = completion("<crash>", 4, fingerprint=b"bad")
        for crashes in (1, 2):
            name = f"engine-{crashes}"
            await run.fleet.start_standin(name, "engine", "--listen", listen)
            got = await one.run_when_up(bad)
            assert got.last.code == Code.UPSTREAM_CRASHED
            assert other.quarantine.crashes_of(b"bad") == crashes
        held = await one.run(bad)
        assert held.last.code == Code.REQUEST_HELD and held.last.not_run


async def test_frozen_engine_lets_its_callers_go_elsewhere():
    async with served() as run:
        one = run.caller

        async def freeze(_call, got):
            if len(got.chunks) == 3:
                run.upstream.send_signal(signal.SIGSTOP)

        req = completion("p", 100_000, fingerprint=b"p")
        got = await one.run(req, on_chunk=freeze)
        assert got.last.code == Code.STREAM_CUT
        assert got.last.chunks == len(got.chunks)
        # A frozen process has not crashed.
        assert one.reports == []
        run.upstream.send_signal(signal.SIGCONT)
        got = await one.run_when_up(completion("q", 8))
        assert got.tokens == answer_tokens("q", 8)


async def test_second_instance_cannot_take_the_port():
    # The port is what keeps two sidecars from sending orders to one upstream.
    async with served() as run:
        url = run.upstream.ready["url"]
        flags = sidecar_flags(run.fleet, url, NOTHING, run.address)
        module = "mustardfront.programs.sidecar"
        second = await run.fleet.start("second", module, *flags)
        with trio.fail_after(20):
            refused = await second.wait_event("setting-refused")
        assert run.address in refused["text"] and await exit_code(second) == 2
        got = await run.caller.run(completion("p", 4))
        assert got.last.code == Code.ANSWERED


async def test_sigterm_lets_streams_end_and_a_second_one_changes_nothing():
    async with served() as run:
        one = run.caller
        refused = []

        async def stop(_call, got):
            if len(got.chunks) in (3, 10):
                run.side.send_signal(signal.SIGTERM)
                await one.leaving.wait()
            if len(got.chunks) == 10:
                refused.append(await one.run(completion("q", 1)))

        got = await one.run(completion("p", 600), on_chunk=stop)
        assert got.tokens == answer_tokens("p", 600)
        assert refused[0].last.code == Code.DRAINING and refused[0].last.not_run
        assert await exit_code(run.side) == 0


async def test_second_sigint_ends_at_once():
    async with served() as run:

        async def interrupt(_call, got):
            if len(got.chunks) in (3, 10):
                run.side.send_signal(signal.SIGINT)
                await run.caller.leaving.wait()

        got = await run.caller.run(completion("p", 100_000), on_chunk=interrupt)
        assert got.last.code == Code.PEER_LOST
        assert await exit_code(run.side) == 130


async def test_booking_runs_once_whatever_its_caller_does():
    async with served("plain", "--delay-ms", "300") as run:
        one = run.caller
        book = make_request(path="/records/b1", idempotent=False)
        async with caller(run.address, "entry-2") as gone:
            with trio.move_on_after(0.1):
                await gone.run(book)
        with one.calls.open() as call:
            await one.calls.start(call, make_request(path="/records/b2"))
            await call.next_reply()
            await call.cancel()
            assert isinstance(await call.next_reply(), Cancelled)
        got = await one.run(make_request(method="GET", path="/records/b1"))
        assert json.loads(got.body) == {"id": "b1", "runs": 1}
        crash = make_request(path="/records/b3?crash=after", idempotent=False)
        got = await one.run(crash)
        assert got.last.code == Code.UPSTREAM_CRASHED
        assert got.last.outcome == "unknown"


async def test_large_body_arrives_whole():
    async with served("plain") as run:
        for query in ("size=3000000", "size=3000000&chunked=1"):
            req = make_request(method="GET", path=f"/bytes?{query}")
            got = await run.caller.run(req)
            assert len(got.body) == 3_000_000 and got.last.code == Code.ANSWERED


async def test_group_forms_through_the_sidecars_of_its_ranks():
    # Guards against orders that no sidecar carries out, or a group without coordinator.
    async with Fleet() as fleet:
        kv = await fleet.start_standin("kv", "kv")
        exchange = await fleet.start_standin("x", "rank", "exchange", "--ranks", "2")
        upstreams, urls, addresses = {}, [], []
        for index in range(2):
            flags = ["--index", str(index), "--exchange", exchange.ready["url"]]
            name = f"w{index}"
            rank = await fleet.start_standin(name, "rank", "serve", *flags)
            urls.append(rank.ready["url"])
            _, address = await start_sidecar(fleet, urls[-1], kv.ready["url"], name)
            addresses.append(address)
            upstreams[name] = Upstream("svc", "h1", address)
        group = Group("svc", ("w0", "w1"), experts=4, slots_per_rank=2)
        cfg = replace(make_config(), upstreams=upstreams, groups={"g": group})
        for address in addresses:
            async with caller(address) as one:
                await one.push(cfg)
                await one.settle()
        async with httpcore.AsyncConnectionPool() as pool:

            async def formed():
                states = [
                    json.loads((await pool.request("GET", f"{url}/rank/state")).content)
                    for url in urls
                ]
                return all(state["map_version"] and state["step"] for state in states)

            assert await poll_until(formed, 30)
