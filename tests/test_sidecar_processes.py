"""Sidecar processes against stand-in processes, which are killed or frozen."""

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


async def test_stream_is_complete_after_the_first_configuration():
    # Guards against a sidecar that does not start without a configuration, and against
    # missing tokens.
    async with served("engine", "--step-ms", "1", cfg=Config()) as setup:
        entry = setup.caller
        early = await entry.run(completion("p", 8))
        assert early.last.code == Code.NOT_READY and early.last.not_run
        await entry.push(make_config())
        replies = await entry.run(completion("p", 200))
        assert replies.tokens == answer_tokens("p", 200)
        load = {"limit": replies.last.limit, "latency_ms": replies.last.latency_ms}
        end = End(replies.last.stream, Code.ANSWERED, "answered", 200, state="ready")
        assert replies.last == replace(end, **load)
        cut = await entry.run(completion("p <cut>", 20))
        assert cut.last.code == Code.STREAM_CUT and cut.last.chunks == 10
        text = "".join(cut.tokens)
        rest = await entry.run(
            completion("p <cut>", 20, resume_from=10, resume_text=text)
        )
        assert cut.tokens + rest.tokens == answer_tokens("p <cut>", 20)


async def test_kill_is_a_crash_and_a_second_crash_quarantines_the_request():
    # Callers get the crash report before the final reply, and a restarted engine is
    # used again.
    async with served() as setup, caller(setup.address, "entry-2") as other_entry:
        entry = setup.caller

        async def kill(_call, replies):
            if len(replies.chunks) == 3:
                setup.upstream.kill()

        replies = await entry.run(completion("p", 500, fingerprint=b"p"), on_chunk=kill)
        assert (
            replies.last.code == Code.UPSTREAM_CRASHED
            and replies.last.outcome == "unknown"
        )
        assert replies.last.chunks == len(replies.chunks) < 500
        assert entry.quarantine.crashes_of(b"p") == 1
        down = await entry.run(completion("q", 1))
        assert isinstance(down.last, Refused) and down.last.not_run
        listen = setup.upstream.ready["address"]
        bad = completion("<crash>", 4, fingerprint=b"bad")
        for crashes in (1, 2):
            name = f"engine-{crashes}"
            await setup.fleet.start_standin(name, "engine", "--listen", listen)
            replies = await entry.run_when_up(bad)
            assert replies.last.code == Code.UPSTREAM_CRASHED
            assert other_entry.quarantine.crashes_of(b"bad") == crashes
        held = await entry.run(bad)
        assert held.last.code == Code.REQUEST_HELD and held.last.not_run


async def test_frozen_engine_ends_its_streams_so_that_callers_can_retry():
    async with served() as setup:
        entry = setup.caller

        async def freeze(_call, replies):
            if len(replies.chunks) == 3:
                setup.upstream.send_signal(signal.SIGSTOP)

        req = completion("p", 100_000, fingerprint=b"p")
        replies = await entry.run(req, on_chunk=freeze)
        assert replies.last.code == Code.STREAM_CUT
        assert replies.last.chunks == len(replies.chunks)
        # A frozen process is not reported as crashed.
        assert entry.reports == []
        setup.upstream.send_signal(signal.SIGCONT)
        replies = await entry.run_when_up(completion("q", 8))
        assert replies.tokens == answer_tokens("q", 8)


async def test_second_sidecar_cannot_use_the_same_port():
    # Only the port prevents two sidecars from sending orders to one upstream.
    async with served() as setup:
        url = setup.upstream.ready["url"]
        flags = sidecar_flags(setup.fleet, url, NOTHING, setup.address)
        module = "mustardfront.programs.sidecar"
        second = await setup.fleet.start("second", module, *flags)
        with trio.fail_after(20):
            refused = await second.wait_event("setting-refused")
        assert setup.address in refused["text"] and await exit_code(second) == 2
        replies = await setup.caller.run(completion("p", 4))
        assert replies.last.code == Code.ANSWERED


async def test_sigterm_lets_streams_complete_even_if_repeated():
    async with served() as setup:
        entry = setup.caller
        refused = []

        async def stop(_call, replies):
            if len(replies.chunks) in (3, 10):
                setup.side.send_signal(signal.SIGTERM)
                await entry.leaving.wait()
            if len(replies.chunks) == 10:
                refused.append(await entry.run(completion("q", 1)))

        replies = await entry.run(completion("p", 600), on_chunk=stop)
        assert replies.tokens == answer_tokens("p", 600)
        assert refused[0].last.code == Code.DRAINING and refused[0].last.not_run
        assert await exit_code(setup.side) == 0


async def test_second_sigint_exits_at_once():
    async with served() as setup:

        async def interrupt(_call, replies):
            if len(replies.chunks) in (3, 10):
                setup.side.send_signal(signal.SIGINT)
                await setup.caller.leaving.wait()

        replies = await setup.caller.run(completion("p", 100_000), on_chunk=interrupt)
        assert replies.last.code == Code.PEER_LOST
        assert await exit_code(setup.side) == 130


async def test_booking_runs_once_despite_resends_and_a_cancel():
    cfg = make_config(kind="plain")
    async with served("plain", "--delay-ms", "300", cfg=cfg) as setup:
        entry, key = setup.caller, new_key()
        await entry.run_when_up(booking("b0"))
        async with caller(setup.address, "entry-2") as departed_entry:
            with trio.move_on_after(0.1):
                await departed_entry.run(booking("b1", key))
        # The resend waits for the first attempt; a later one gets the recorded answer.
        resent = await entry.run(booking("b1", key))
        again = await entry.run(booking("b1", key))
        assert resent.body == again.body and json.loads(again.body)["runs"] == 1
        assert again.last.code == Code.ANSWERED_FROM_RECORD
        conflict = await entry.run(booking("b1", key, body=b"{}"))
        assert conflict.last.code == Code.KEY_CONFLICT and conflict.last.not_run
        with entry.calls.open() as call:
            await entry.calls.start(call, booking("b2", key2 := new_key()))
            assert await call.next_reply() == Started(call.stream)
            await call.cancel()
            assert await call.next_reply() == Cancelled(call.stream, started=True)
        replies = await entry.run(booking("b2", key2))
        assert json.loads(replies.body) == {"id": "b2", "runs": 1, "bytes": 0}
        runs = await entry.run(make_request(method="GET", path="/runs"))
        assert json.loads(runs.body) == {"b0": 1, "b1": 1, "b2": 1}


async def test_booking_outcome_stays_unknown_after_a_crash():
    async with served("plain", cfg=make_config(kind="plain")) as setup:
        entry, key = setup.caller, new_key()
        await entry.run_when_up(booking("b0"))
        for crash, code, not_run in (
            ("b1?crash=after", Code.UPSTREAM_CRASHED, None),
            ("b1?crash=after", Code.CLAIM_UNRESOLVED, False),
        ):
            replies = await entry.run(booking(crash, key))
            assert replies.last.code == code
            assert getattr(replies.last, "not_run", None) is not_run
        listen = setup.upstream.ready["address"]
        await setup.fleet.start_standin("plain-2", "plain", "--listen", listen)
        await entry.run_when_up(booking("b2"))
        assert (await entry.run(booking("b1?crash=after", key))).last.not_run is False


async def test_sigterm_lets_a_booking_complete():
    cfg = make_config(kind="plain")
    async with served("plain", "--delay-ms", "2500", cfg=cfg) as setup:
        await setup.caller.run_when_up(make_request(method="GET", path="/records/b"))

        async def stop():
            await trio.sleep(0.5)
            setup.side.send_signal(signal.SIGTERM)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(stop)
            replies = await setup.caller.run(booking("b1"))
        assert replies.last.code == Code.ANSWERED
        assert await exit_code(setup.side) == 0


async def test_large_body_is_relayed_completely():
    async with served("plain") as setup:
        for query in ("size=3000000", "size=3000000&chunked=1"):
            req = make_request(method="GET", path=f"/bytes?{query}")
            replies = await setup.caller.run(req)
            assert len(replies.body) == 3_000_000 and replies.last.code == Code.ANSWERED


async def test_group_runs_steps_with_a_map_through_its_sidecars():
    # Guards against orders that no sidecar executes and a group without a coordinator.
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
            async with caller(address) as entry:
                await entry.push(cfg)
                await entry.settle()
        async with httpcore.AsyncConnectionPool() as pool:

            async def formed():
                states = [
                    json.loads((await pool.request("GET", f"{url}/rank/state")).content)
                    for url in urls
                ]
                return all(state["map_version"] and state["step"] for state in states)

            assert await poll_until(formed, 30)


async def test_prompts_with_one_start_that_crashes_are_quarantined():
    """Guards against one crash for each new prompt, and after an entry's restart."""
    async with served() as setup:
        entry = setup.caller
        listen = setup.upstream.ready["address"]
        for crashes in (1, 2):
            fingerprint = b"bad%d" % crashes
            bad = completion("<crash>", 4, fingerprint=fingerprint, part=b"start")
            replies = await entry.run_when_up(bad)
            assert replies.last.code == Code.UPSTREAM_CRASHED
            name = f"engine-{crashes}"
            await setup.fleet.start_standin(name, "engine", "--listen", listen)
        await entry.run_when_up(completion("q", 1, fingerprint=b"q", part=b"other"))
        new = completion("<crash>", 4, fingerprint=b"bad3", part=b"start")
        held = await entry.run(new)
        assert held.last.code == Code.REQUEST_HELD and held.last.not_run
        async with caller(setup.address, "entry-2") as later:
            await later.settle()
            suspects = [report.suspect_parts for report in later.reports]
            assert suspects.count((b"start",)) == 2
