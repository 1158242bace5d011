"""The real sidecar process against real stand-ins, with kills and freezes."""

import json
import signal
from dataclasses import replace

import httpcore
import trio

from mustardfront.codes import Code
from mustardfront.protocol import Cancelled, End, Refused, Started
from mustardfront.state import Config, Group, Upstream
from mustardfront_standins.fleet import Fleet, poll_until
from mustardfront_standins.tokens import answer_tokens
from running import (
    NOTHING,
    booking,
    caller,
    completion,
    exit_code,
    make_config,
    make_request,
    new_key,
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
        load = {"limit": got.last.limit, "latency_ms": got.last.latency_ms}
        end = End(got.last.stream, Code.ANSWERED, "answered", 200, state="ready")
        assert got.last == replace(end, **load)
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
    cfg = make_config(kind="plain")
    async with served("plain", "--delay-ms", "300", cfg=cfg) as run:
        one, key = run.caller, new_key()
        await one.run_when_up(booking("b0"))
        async with caller(run.address, "entry-2") as gone:
            with trio.move_on_after(0.1):
                await gone.run(booking("b1", key))
        # The resend waits for the first attempt, and a later one reads its record.
        resent = await one.run(booking("b1", key))
        again = await one.run(booking("b1", key))
        assert resent.body == again.body and json.loads(again.body)["runs"] == 1
        assert again.last.code == Code.ANSWERED_FROM_RECORD
        other = await one.run(booking("b1", key, body=b"{}"))
        assert other.last.code == Code.KEY_CONFLICT and other.last.not_run
        with one.calls.open() as call:
            await one.calls.start(call, booking("b2", key2 := new_key()))
            assert await call.next_reply() == Started(call.stream)
            await call.cancel()
            assert await call.next_reply() == Cancelled(call.stream, started=True)
        got = await one.run(booking("b2", key2))
        assert json.loads(got.body) == {"id": "b2", "runs": 1, "bytes": 0}
        runs = await one.run(make_request(method="GET", path="/runs"))
        assert json.loads(runs.body) == {"b0": 1, "b1": 1, "b2": 1}


async def test_booking_whose_upstream_crashed_stays_unknown():
    async with served("plain", cfg=make_config(kind="plain")) as run:
        one, key = run.caller, new_key()
        await one.run_when_up(booking("b0"))
        for crash, code, not_run in (
            ("b1?crash=after", Code.UPSTREAM_CRASHED, None),
            ("b1?crash=after", Code.CLAIM_UNRESOLVED, False),
        ):
            got = await one.run(booking(crash, key))
            assert got.last.code == code
            assert getattr(got.last, "not_run", None) is not_run
        listen = run.upstream.ready["address"]
        await run.fleet.start_standin("plain-2", "plain", "--listen", listen)
        await one.run_when_up(booking("b2"))
        assert (await one.run(booking("b1?crash=after", key))).last.not_run is False


async def test_sigterm_lets_a_booking_end():
    cfg = make_config(kind="plain")
    async with served("plain", "--delay-ms", "2500", cfg=cfg) as run:
        await run.caller.run_when_up(make_request(method="GET", path="/records/b"))

        async def stop():
            await trio.sleep(0.5)
            run.side.send_signal(signal.SIGTERM)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            got = await run.caller.run(booking("b1"))
        assert got.last.code == Code.ANSWERED
        assert await exit_code(run.side) == 0


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
