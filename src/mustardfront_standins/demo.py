"""Run ``make demo``, which sends requests of both deployments to real programs."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Final

import click
import trio

from mustardfront.codes import Code
from mustardfront_standins.caller import Caller, CallerAnswer
from mustardfront_standins.deployments import (
    BELANGER,
    NETZWERK,
    Deployment,
    UpstreamPlan,
    completion,
    drain_ticket,
    first_ticket,
    new_key,
)
from mustardfront_standins.fleet import Fleet, poll_until
from mustardfront_standins.system import System, start_system
from mustardfront_standins.tokens import answer_text

_DRAFT_TOKENS: Final = 40
_LONG_TOKENS: Final = 400
_TIMEOUT_S: Final = 120.0
_LIMITED_TEAM: Final = BELANGER.teams[1]


@dataclass(slots=True)
class Report:
    """Prints the table of requests and collects the failed checks."""

    failures: list[str] = field(default_factory=list)
    # Titles and request IDs of the printed rows.
    printed_requests: list[tuple[str, str]] = field(default_factory=list)

    def print_row(
        self, title: str, team: str, service: str, answer: CallerAnswer
    ) -> None:
        """Print the row of one request."""
        self.printed_requests.append((title, answer.request_id))
        code = Code(answer.code).name if answer.code else "NO ANSWER"
        click.echo(
            f"{title:<26} {team:<16} {service:<14} {answer.upstream:<16}"
            f" {answer.outcome:<9} {code:<22} {answer.elapsed_s * 1000:7.1f} ms"
        )

    def check(self, holds: bool, text: str) -> None:
        """Record and print a failure unless ``holds``."""
        if not holds:
            self.failures.append(text)
            click.echo(f"  WRONG: {text}")

    def check_code(self, title: str, answer: CallerAnswer, *codes: Code) -> None:
        """Check that the result code is one of ``codes``."""
        names = [code.name for code in codes]
        self.check(
            answer.code in codes,
            f"{title}: code {answer.code} ({answer.text}), must be one of {names}",
        )


async def _serve_deployment(
    system: System, caller: Caller, report: Report, deployment: Deployment
) -> None:
    team = deployment.teams[0]
    entry, other = system.entry_urls
    prompt = f"{deployment.name}: first draft"
    draft = await caller.complete(entry, team, deployment.model, prompt, _DRAFT_TOKENS)
    report.print_row("streamed draft", team, deployment.model, draft)
    report.check_code("streamed draft", draft, Code.ANSWERED)
    report.check(
        draft.answer_text == answer_text(prompt, _DRAFT_TOKENS),
        "streamed draft: the tokens are not the engine's",
    )
    path = f"/s/{deployment.plain}/records/{deployment.plain}-1001"
    key = {"idempotency-key": new_key()}
    created = await caller.call(entry, "POST", path, team, b"{}", key)
    report.print_row("non-idempotent call", team, deployment.plain, created)
    report.check_code("non-idempotent call", created, Code.ANSWERED)
    repeated = await caller.call(other, "POST", path, team, b"{}", key)
    report.print_row("the same, sent again", team, deployment.plain, repeated)
    report.check_code("sent again", repeated, Code.ANSWERED_FROM_RECORD)
    report.check(repeated.body == created.body, "sent again: another answer")
    look_up = await caller.call(other, "GET", path, team)
    report.print_row("look-up", team, deployment.plain, look_up)
    report.check_code("look-up", look_up, Code.ANSWERED)


async def _send_refused_requests(
    system: System, caller: Caller, report: Report
) -> None:
    entry = system.entry_urls[0]
    team, model = NETZWERK.teams[0], NETZWERK.model
    body = completion(model, "refused", 5)
    path = "/v1/completions"
    key = {"idempotency-key": "not-a-uuid"}
    record_path = f"/s/{NETZWERK.plain}/records/1"
    wrong_key = {"authorization": f"Bearer {team}:guess"}
    cases: Sequence[tuple[str, str, str, str, bytes, dict[str, str], Code]] = (
        ("unknown team", "nobody", "POST", path, body, {}, Code.UNKNOWN_TEAM),
        ("wrong key", team, "POST", path, body, wrong_key, Code.WRONG_KEY),
        ("malformed body", team, "POST", path, b"{", {}, Code.MALFORMED_REQUEST),
        ("unknown service", team, "GET", "/s/none/x", b"", {}, Code.UNKNOWN_SERVICE),
        ("no such call", team, "PUT", record_path, b"", {}, Code.NO_ROUTE),
        ("key missing", team, "POST", record_path, b"{}", {}, Code.KEY_REQUIRED),
        ("key malformed", team, "POST", record_path, b"{}", key, Code.KEY_MALFORMED),
    )
    for title, name, method, target, data, headers, code in cases:
        answer = await caller.call(entry, method, target, name, data, headers)
        report.print_row(title, name, "", answer)
        report.check_code(title, answer, code)
        report.check(answer.outcome == "not-run", f"{title}: {answer.outcome}")


async def _kill_engine_during_stream(
    system: System, caller: Caller, report: Report, fleet: Fleet
) -> str:
    """Kill the engine that streams a long draft; the draft must still be complete."""
    team, model = NETZWERK.teams[1], NETZWERK.model
    prompt, answer = "a long draft", CallerAnswer()
    async with trio.open_nursery() as nursery:

        async def draft() -> None:
            await caller.complete(
                system.entry_urls[1],
                team,
                model,
                prompt,
                _LONG_TOKENS,
                progress=answer,
            )

        nursery.start_soon(draft)
        await poll_until(lambda: _has_tokens(answer, 20), 10.0, 0.005)
        killed = answer.upstream
        fleet.processes[f"engine-{killed}"].kill()
    report.print_row(f"{killed} killed", team, model, answer)
    report.check_code("killed in mid-stream", answer, Code.ANSWERED)
    report.check(
        answer.answer_text == answer_text(prompt, _LONG_TOKENS),
        "killed in mid-stream: a token was lost, doubled or changed",
    )
    report.check(answer.upstream != killed, "the stream did not move")
    return killed


async def _has_tokens(answer: CallerAnswer, count: int) -> bool:
    return len(answer.tokens) >= count


async def _drain_host(
    system: System, caller: Caller, report: Report, drained: UpstreamPlan
) -> None:
    await system.submit(drain_ticket(2, drained))
    report.check(
        await system.in_force_everywhere(2, 12.0), "ticket 2 is not in force in 12 s"
    )
    team = NETZWERK.teams[0]
    for number in range(8):
        answer = await caller.complete(
            system.entry_urls[number % 2], team, NETZWERK.model, f"draft {number}", 5
        )
        report.check_code("after the drain", answer, Code.ANSWERED)
        report.check(
            answer.upstream != drained.name, f"{drained.name} got work after its drain"
        )
    report.print_row("after ticket 2", team, NETZWERK.model, answer)


async def _print_decisions(system: System, caller: Caller, report: Report) -> None:
    """Print the logged decisions of each request in the table."""
    click.echo("Decisions:")
    for title, request_id in report.printed_requests:
        found = 0
        for url in system.ops_urls:
            status, body = await caller.get(url, f"/explain/{request_id}")
            for event in json.loads(body) if status == 200 else ():
                found += 1
                fields = " ".join(
                    f"{name}={event[name]}"
                    for name in ("upstream", "reason", "candidates", "code", "text")
                    if event.get(name)
                )
                click.echo(f"  {title:<26} {event['event']} {event['name']} {fields}")
        report.check(found > 0, f"{title}: no decision line")


async def _exceed_team_limit(system: System, caller: Caller, report: Report) -> None:
    """Send two concurrent requests of a team whose limit is one."""
    team, model = _LIMITED_TEAM, BELANGER.model
    answers = [CallerAnswer(), CallerAnswer()]
    async with trio.open_nursery() as nursery:
        for number, answer in enumerate(answers):
            nursery.start_soon(
                partial(
                    caller.complete,
                    system.entry_urls[0],
                    team,
                    model,
                    f"limited {number}",
                    _DRAFT_TOKENS,
                    progress=answer,
                )
            )
    refused, served = sorted(answers, key=lambda answer: answer.outcome == "answered")
    report.print_row("over the limit", team, model, refused)
    report.check_code("over the limit", refused, Code.TEAM_LIMIT)
    report.check_code("within the limit", served, Code.ANSWERED)


async def _kill_service(
    system: System, caller: Caller, report: Report, fleet: Fleet
) -> None:
    """Kill all upstreams of a service; other services must still answer."""
    for plan in system.plans:
        if plan.service == BELANGER.plain:
            fleet.processes[f"engine-{plan.name}"].kill()
    team = BELANGER.teams[0]
    path = f"/s/{BELANGER.plain}/records/cert-registry-1001"

    async def refused() -> bool:
        found = await caller.call(system.entry_urls[0], "GET", path, team)
        last[:] = [found]
        return found.outcome == "not-run"

    last: list[CallerAnswer] = []
    report.check(await poll_until(refused, 15.0, 0.2), "a dead service still answers")
    report.print_row("dead upstream", team, BELANGER.plain, last[0])
    report.check_code(
        "dead upstream", last[0], Code.UPSTREAM_DOWN, Code.NO_CAPABLE_UPSTREAM
    )
    draft = await caller.complete(
        system.entry_urls[0], team, BELANGER.model, "still served", 5
    )
    report.print_row("other service", team, BELANGER.model, draft)
    report.check_code("other service", draft, Code.ANSWERED)


async def _run_demo(report: Report) -> None:
    plans = NETZWERK.upstreams(3, 2) + BELANGER.upstreams(2, 2)
    async with Fleet() as fleet, Caller() as caller:
        system = await start_system(fleet, plans, entries=2, engine_args=_upstream_args)
        ticket = first_ticket((NETZWERK, BELANGER), plans, system.sidecar_addresses)
        ticket["set"]["teams"][_LIMITED_TEAM]["max_in_flight"] = 1
        click.echo(await system.submit(ticket))
        report.check(
            await system.in_force_everywhere(1, 12.0),
            "ticket 1 is not in force in 12 s",
        )
        click.echo(await system.run_cli_checked("status"))
        for deployment in (NETZWERK, BELANGER):
            await _serve_deployment(system, caller, report, deployment)
        await _send_refused_requests(system, caller, report)
        await _exceed_team_limit(system, caller, report)
        killed = await _kill_engine_during_stream(system, caller, report, fleet)
        model_plans = [plan for plan in plans if plan.service == NETZWERK.model]
        drained = next(plan for plan in model_plans if plan.name != killed)
        await _drain_host(system, caller, report, drained)
        explained = await caller.complete(
            system.entry_urls[0], NETZWERK.teams[0], NETZWERK.model, "explained", 5
        )
        click.echo(await system.run_cli_checked("explain", explained.request_id))
        await _kill_service(system, caller, report, fleet)
        await _print_decisions(system, caller, report)
        click.echo(await system.run_cli_checked("ticket", "list"))
        for name, proc in system.programs():
            code = await fleet.stop(proc)
            report.check(code == 0, f"{name} ended with {code}:\n{proc.tail()}")


def _upstream_args(plan: UpstreamPlan) -> tuple[str, ...]:
    return ("--step-ms", "4") if plan.kind == "model" else ()


@click.command()
def main() -> None:
    """Run the demo; exit with 1 when anything is not what it must be."""
    report = Report()

    async def run() -> None:
        with trio.fail_after(_TIMEOUT_S):
            await _run_demo(report)

    trio.run(run)
    if report.failures:
        click.echo(
            f"{len(report.failures)} checks failed:\n" + "\n".join(report.failures)
        )
        sys.exit(1)
    click.echo("All requests had the outcome that they must have.")


if __name__ == "__main__":
    main()
