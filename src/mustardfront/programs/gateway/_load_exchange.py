"""Reports of requests in flight between entries, as datagrams."""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable
from typing import Final

import msgspec
import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.coordination.traffic import (
    REPORT_INTERVAL_S,
    LoadReport,
    TrafficState,
    report_peers,
    reported_loads,
)

# A report of the most upstreams that it may name is shorter.
DATAGRAM_MAX_BYTES: Final = 1_400
# Upstreams in a report whose answers are failures.
FAILING_MAX: Final = 32
# An entry without requests reports only so often, so that it is known to have none.
IDLE_INTERVAL_S: Final = 0.4
# While no service needs reports, the configuration is looked at so often.
OFF_INTERVAL_S: Final = 1.0


class LoadExchange:
    """Sends an entry's reports and takes those of the others.

    ``on_change`` is called after each report and each interval.
    """

    def __init__(
        self,
        state: TrafficState,
        entry: str,
        waiting_count: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._entry = entry
        self._waiting_count = waiting_count
        self._on_change = on_change
        # Higher than that of an earlier process of this entry.
        self._numbers = itertools.count(time.time_ns())

    async def run(self, address: tuple[str, int]) -> None:
        """Exchange reports on (IP, port) until cancelled."""
        with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
            try:
                await sock.bind(address)
            except OSError as exc:
                events.log(
                    events.Event.SETTING_REFUSED,
                    code=int(Code.ADDRESS_IN_USE),
                    text=f"{address[0]}:{address[1]}: {exc}",
                )
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, sock)
                await self._send(sock)

    async def _send(self, sock: trio.socket.SocketType) -> None:
        idle_s = 0.0
        while True:
            if not self._state.index.shares_loads:
                await trio.sleep(OFF_INTERVAL_S)
                continue
            await trio.sleep(REPORT_INTERVAL_S)
            self._state.peer_loads.drop_old()
            self._state.place_turns.draw(
                (one.key for one in self._state.all_upstreams()),
                self._waiting_count(),
                self._state.peer_loads.waiting_count(),
            )
            report = self._own_report()
            idle_s = 0.0 if report.in_flight else idle_s + REPORT_INTERVAL_S
            if idle_s <= REPORT_INTERVAL_S or idle_s >= IDLE_INTERVAL_S:
                idle_s = min(idle_s, REPORT_INTERVAL_S)
                await self._send_to_peers(sock, msgspec.msgpack.encode(report))
            self._on_change()

    def _own_report(self) -> LoadReport:
        loads = ((one.key, one.in_flight) for one in self._state.all_upstreams())
        return LoadReport(
            self._entry,
            next(self._numbers),
            reported_loads(loads),
            self._waiting_count(),
            self._state.failing_keys()[:FAILING_MAX],
        )

    async def _send_to_peers(self, sock: trio.socket.SocketType, data: bytes) -> None:
        for name in report_peers(tuple(self._state.entries), self._entry):
            address = self._state.entry_address(name)
            if address is None:
                continue
            try:
                await sock.sendto(data, address)
            except OSError:
                # The peer or the path to it is gone; the store tells which entries run.
                continue

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                data, source = await sock.recvfrom(DATAGRAM_MAX_BYTES)
            except OSError:
                # An earlier datagram could not be delivered.
                continue
            report = self._decode(data, source[0])
            if report is not None and self._state.peer_loads.record(report):
                self._on_change()

    def _decode(self, data: bytes, source_ip: str) -> LoadReport | None:
        """Return a report that its entry sent; None for any other datagram."""
        try:
            report = msgspec.msgpack.decode(data, type=LoadReport)
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return None
        address = self._state.entry_address(report.entry)
        is_known = address is not None and address[0] == source_ip
        return report if is_known and report.entry != self._entry else None
