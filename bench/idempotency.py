"""Claims written in group commits, compared with one write for each claim."""

from __future__ import annotations

import random
import uuid
from collections.abc import Awaitable, Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Final, TypeAlias

import trio
import trio.testing

from bench import Plot, Report, Series, Table, row
from bench._memory_kv import MemoryKv
from mustardfront.codes import Code, Outcome
from mustardfront.coordination.idempotency import (
    Execution,
    PartitionOwner,
    owner_order,
    partition_of,
)
from mustardfront.coordination.kv import TxnResult
from mustardfront.protocol import Request
from mustardfront.results import Err, Ok, Result

NAME = "idempotency"
RATES: Final = (5, 20, 80, 320, 640)
DESIGNS: Final = ("group commit", "write for each claim")
UPSTREAMS: Final = ("ledger-1", "ledger-2", "ledger-3")
SERVICE: Final = "member-ledger"
# Duration of a write that a majority of the key-value service's members confirms.
CALL_S: Final = 0.004
EXECUTION_S: Final = 0.02
WARM_UP_S: Final = 30.0
MEASURED_S: Final = 20.0
# The low end of the several hundred writes a second that the service can handle.
WRITES_PER_S: Final = 300.0
START_MS: Final = 1_800_000_000_000
EXECUTION: Final = Execution(
    Outcome.ANSWERED, Code.ANSWERED, status=201, body=b'{"booking": 1234567}'
)

# Runs the request with a key; calls the second argument when execution starts.
RunRequest: TypeAlias = Callable[[str, Callable[[], None]], Awaitable[None]]


class _LeaseKv(MemoryKv):
    """The in-memory service with leases that never expire; counts the written bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.delay_s = CALL_S
        self.bytes_in = 0

    async def txn(
        self,
        compare: Mapping[str, int],
        puts: Mapping[str, bytes],
        deletes: Iterable[str] = (),
        lease: int = 0,
    ) -> Result[TxnResult]:
        """Apply all writes if each compared key has the given revision, else none."""
        self.bytes_in += sum(len(value) for value in puts.values())
        result = await super().txn(compare, puts, deletes)
        # Nothing watches here, and the events would keep all versions of all records in
        # memory.
        self._events.clear()
        return result

    async def lease_grant(self, ttl_s: int) -> Result[int]:
        """Grant a lease; its ID is the time to live."""
        await self._begin_call("lease")
        return Ok(ttl_s)

    async def lease_keepalive(self, lease: int) -> Result[int]:
        """Renew a lease."""
        await self._begin_call("lease")
        return Ok(lease)


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one design at one rate.

    ``writes``, ``calls`` and ``bytes_written`` are per second, ``finished`` is a count.
    """

    writes: float
    calls: float
    bytes_written: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    finished: int


def run(seed: int) -> Report:
    """Run both designs at all rates."""
    figures = {
        (design, rate): trio.run(
            _measure, design, rate, seed, clock=trio.testing.MockClock(0.0, 0.0)
        )
        for rate in RATES
        for design in DESIGNS
    }
    group_commit = {rate: figures[DESIGNS[0], rate] for rate in RATES}
    baseline = {rate: figures[DESIGNS[1], rate] for rate in RATES}
    rate_max = RATES[-1]
    rows = (
        row(
            f"writes a second at {rate_max} requests a second",
            group_commit[rate_max].writes,
            WRITES_PER_S,
            f"{baseline[rate_max].writes:.3g}",
        ),
        row(
            f"writes for each request at {rate_max} requests a second",
            group_commit[rate_max].writes / rate_max,
            WRITES_PER_S / rate_max,
            f"{baseline[rate_max].writes / rate_max:.3g}",
        ),
    )
    headers = (
        "requests a second",
        "design",
        "writes a second",
        "calls a second",
        "KB written a second",
        "claim p50, ms",
        "claim p95, ms",
        "claim p99, ms",
        "requests",
    )
    cells = tuple(
        (
            str(rate),
            design,
            f"{fig.writes:.1f}",
            f"{fig.calls:.1f}",
            f"{fig.bytes_written / 1_000:.1f}",
            f"{fig.p50_ms:.1f}",
            f"{fig.p95_ms:.1f}",
            f"{fig.p99_ms:.1f}",
            str(fig.finished),
        )
        for (design, rate), fig in figures.items()
    )
    series = tuple(
        Series(
            design,
            tuple(float(rate) for rate in RATES),
            tuple(figures[design, rate].calls for rate in RATES),
        )
        for design in DESIGNS
    )
    return Report(
        "Claims of non-idempotent requests",
        f"Three owners of one service, a key-value service that takes {CALL_S * 1e3:g}"
        f" ms for a call, Poisson arrivals for {MEASURED_S:g} s, after {WARM_UP_S:g} s"
        " of warm-up. The baseline writes a claim with its own key before each request"
        " and its result after it, without an owner. The claim's time is from the"
        " request's arrival at the owner until it starts to execute; the calls include"
        " leases and the owners' looks at each other.",
        rows,
        (Table("Calls and latency by rate", headers, cells),),
        (
            Plot(
                "idempotency-calls",
                "Calls on the key-value service",
                "requests a second",
                "calls a second",
                series,
                log_y=True,
            ),
        ),
    )


async def _measure(design: str, rate: int, seed: int) -> Figures:
    kv = _LeaseKv()
    rng = random.Random(f"{seed}/{rate}")
    claim_times: list[float] = []
    async with trio.open_nursery() as nursery:
        start_design = (
            _start_group_commit if design == DESIGNS[0] else _start_single_writes
        )
        call = await start_design(kv, nursery)
        await trio.sleep(WARM_UP_S)
        calls_before, bytes_before = kv.calls.copy(), kv.bytes_in
        end_s = trio.current_time() + MEASURED_S
        async with trio.open_nursery() as requests:
            number = 0
            while trio.current_time() < end_s:
                number += 1
                requests.start_soon(_time_claim, call, _key(number, rng), claim_times)
                await trio.sleep(rng.expovariate(rate))
            await trio.sleep_until(end_s)
            calls = kv.calls - calls_before
            written = kv.bytes_in - bytes_before
        nursery.cancel_scope.cancel()
    if len(claim_times) != number:
        raise RuntimeError(f"{len(claim_times)} of {number} requests were executed")
    claim_times.sort()
    return Figures(
        writes=calls["txn"] / MEASURED_S,
        calls=calls.total() / MEASURED_S,
        bytes_written=written / MEASURED_S,
        p50_ms=_percentile(claim_times, 0.5),
        p95_ms=_percentile(claim_times, 0.95),
        p99_ms=_percentile(claim_times, 0.99),
        finished=len(claim_times),
    )


async def _time_claim(call: RunRequest, key: str, claim_times: list[float]) -> None:
    arrived_s = trio.current_time()
    await call(key, lambda: claim_times.append(trio.current_time() - arrived_s))


async def _start_group_commit(kv: _LeaseKv, nursery: trio.Nursery) -> RunRequest:
    owners = {}
    for name in UPSTREAMS:
        # The in-memory service has the client's methods, but not its connections, so
        # that it is not an instance of the client's class.
        client = kv
        owner = PartitionOwner(SERVICE, name, f"{name}/1", client, now_ms=_now_ms)  # type: ignore[arg-type]
        owners[name] = owner
        await nursery.start(owner.serve)

    async def call(key: str, started: Callable[[], None]) -> None:
        async def execute() -> Execution:
            started()
            await trio.sleep(EXECUTION_S)
            return EXECUTION

        owner = owner_order(SERVICE, partition_of(key), UPSTREAMS)[0]
        await owners[owner].run(_request(key), execute)

    return call


async def _start_single_writes(kv: _LeaseKv, nursery: trio.Nursery) -> RunRequest:
    async def call(key: str, started: Callable[[], None]) -> None:
        path = f"/mustardfront/claims/{SERVICE}/{key}"
        claim = b"c" * 64
        claim_result = await kv.txn({path: 0}, {path: claim})
        if isinstance(claim_result, Err) or not claim_result.value.succeeded:
            return
        started()
        await trio.sleep(EXECUTION_S)
        revision = claim_result.value.revision
        await kv.txn({path: revision}, {path: claim + EXECUTION.body})

    return call


def _now_ms() -> int:
    return START_MS + int(trio.current_time() * 1_000)


def _key(number: int, rng: random.Random) -> str:
    low_bits = rng.getrandbits(30) << 32 | number
    return str(uuid.UUID(int=_now_ms() << 80 | 7 << 76 | 2 << 62 | low_bits))


def _request(key: str) -> Request:
    body = b'{"from": 1, "to": 2, "amount": 30}'
    path = "/bookings"
    return Request(
        1, "r", 1, "lofts", SERVICE, "POST", path, (), body, 30_000, 1, key, False
    )


def _percentile(ordered: list[float], share: float) -> float:
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] * 1_000
