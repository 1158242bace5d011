"""Requests whose content crashes upstreams, through entries over loopback sockets."""

from __future__ import annotations

from functools import partial

import trio

from crashing_upstream import CrashingUpstream
from gateway_fakes import (
    gateway,
    instance,
    respond,
    send_request,
)
from mustardfront.codes import Code
from mustardfront.coordination.quarantine import (
    CrashEvidence,
    CrashReport,
    RequestContent,
)
from mustardfront.coordination.traffic import Snapshot, TrafficState, Upstream
from mustardfront.programs.gateway._crash import CrashReporter
from mustardfront.results import Err, Ok, Result

# Five crashes show the cause; three more requests may be on their way by then.
REQUESTS_MAX = 5 + 3


async def test_prompt_part_that_crashes_upstreams_is_not_forwarded_again():
    """Guards against one crashed upstream for each new request with the part."""
    upstreams = {f"u{n}": CrashingUpstream("bad") for n in range(4)}
    async with gateway(upstreams) as gw:
        for number in range(15):
            with trio.fail_after(5):
                await send_request(
                    gw,
                    "/draft/x",
                    headers={
                        "x-request-id": f"r{number}",
                        "x-prompt-parts": f"common:40,bad:300,own{number}:9",
                    },
                    body=b"%d" % number,
                )
                sound = await send_request(
                    gw,
                    "/draft/x",
                    headers={
                        "x-request-id": f"s{number}",
                        "x-prompt-parts": f"common:40,own-s{number}:9",
                    },
                )
            await trio.sleep(0.3)
        assert sound.complete
    assert sum(one.requests_with("bad") for one in upstreams.values()) <= REQUESTS_MAX


async def test_request_that_crashes_upstreams_is_not_forwarded_again():
    """Guards against a repeated request that crashes an upstream each time."""
    upstreams = {f"u{n}": CrashingUpstream("bad") for n in range(4)}
    async with gateway(upstreams) as gw:
        for number in range(8):
            headers = {"x-request-id": f"r{number}", "x-prompt-parts": "bad:9"}
            refused = await send_request(gw, "/get/x", headers=headers, body=b"same")
            await trio.sleep(0.3)
    # It may have run as long as it was forwarded; the last answer is a refusal.
    assert sum(one.requests_with("bad") for one in upstreams.values()) <= 3
    assert refused.status == 503 and float(refused.headers["retry-after"]) > 60


async def test_entry_learns_from_the_crashes_of_others_and_after_a_restart():
    """Guards against each entry, or each new process, counting its own crashes."""
    feeds = [RecordingFeed(), RecordingFeed()]
    for number, feed in enumerate(feeds):
        evidence = CrashEvidence(trio.current_time)
        reporter = CrashReporter(f"entry{number}", evidence)
        upstream = Upstream(instance(f"u{number}", ("127.0.0.1", 9), "svc"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(reporter.run, feed.report_crash)
            reporter.record(upstream, RequestContent(f"d{number}", ("first", "bad")))
            with trio.fail_after(5):
                await feed.taken.wait()
            nursery.cancel_scope.cancel()
        assert evidence.held_content(RequestContent("d9", ("first", "bad"))) is None
    reports = tuple(report for feed in feeds for report in feed.reports)
    state = TrafficState(trio.current_time)
    state.replace(Snapshot(1, None, {}, crashes=reports), keep_missing=False)
    held = state.crash_evidence.held_content(RequestContent("d9", ("first", "bad")))
    assert held == "bad"


async def test_sound_request_that_two_crashes_cut_off_is_served_again():
    """Guards against refusing a popular page for ten minutes after a rack failed."""
    upstreams = {f"u{n}": CrashingUpstream("bad") for n in range(2)}
    arrived = trio.Event()

    async def wait(request, conn):
        if all(upstream.requests for upstream in upstreams.values()):
            arrived.set()
        await trio.sleep_forever()

    for upstream in upstreams.values():
        upstream.scripts = [wait]
    async with gateway(upstreams) as gw:
        async with trio.open_nursery() as callers:
            for number in range(2):
                headers = {"x-request-id": f"r{number}"}
                callers.start_soon(partial(send_request, gw, "/get/x", headers=headers))
            with trio.fail_after(5):
                await arrived.wait()
            for upstream in upstreams.values():
                upstream.scripts = [respond(200)]
                upstream.crash()
        await trio.sleep(1.0)
        response = await send_request(gw, "/get/x")
        assert response.status == 200
        # An entry that starts now has the reports of this one, and nothing else.
        evidence = TrafficState(trio.current_time).crash_evidence
        reports = gw.frontend.forwarder.crash_reporter.reports()
        assert len(reports) == 2
        for report in reports:
            evidence.record_crash(report)
        assert not evidence.held()


async def test_output_of_a_suspect_reaches_entries_that_refuse_it():
    """Guards against a part that one entry knows as sound and the others refuse."""
    feed = RecordingFeed()
    evidence = CrashEvidence(trio.current_time)
    reporter = CrashReporter("entry0", evidence)
    other = TrafficState(trio.current_time)
    for number in range(2):
        report = CrashReport(
            f"u{number}.0", "entry1", (RequestContent(f"s{number}", ("p",)),)
        )
        evidence.record_crash(report)
        other.apply(report, keep_missing=False)
    assert other.crash_evidence.held() == {"p"}
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reporter.run, feed.report_crash)
        reporter.record_output(RequestContent("s5", ("p",)))
        with trio.fail_after(5):
            while len(feed.reports) < 2:  # noqa: ASYNC110
                await trio.sleep(0.01)
        nursery.cancel_scope.cancel()
    for report in feed.reports:
        other.apply(report, keep_missing=False)
    assert not other.crash_evidence.held()


async def test_output_that_another_entry_has_reported_is_not_reported_again():
    """Guards against as many writes as there are entries for each crash."""
    feed = RecordingFeed()
    evidence = CrashEvidence(trio.current_time)
    reporter = CrashReporter("entry0", evidence)
    crashes = [f"u{number}.0" for number in range(2)]
    for crash in crashes:
        suspect = RequestContent(f"s-{crash}", ("p",))
        evidence.record_crash(CrashReport(crash, "entry1", (suspect,)))
    reporter.record_output(RequestContent("s5", ("p",)))
    for crash in crashes:
        evidence.record_crash(CrashReport(crash, "entry2", (), cleared=("p",)))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(reporter.run, feed.report_crash)
        await trio.sleep(2.2)
        nursery.cancel_scope.cancel()
    assert feed.reports == []


class RecordingFeed:
    """A store that is away for the first write."""

    def __init__(self) -> None:
        self.reports: list[CrashReport] = []
        self.taken = trio.Event()
        self._is_away = True

    async def report_crash(self, report: CrashReport, ttl_s: float) -> Result[int]:
        if self._is_away:
            self._is_away = False
            return Err(Code.STORE_UNAVAILABLE, "away")
        self.reports.append(report)
        self.taken.set()
        return Ok(1)
