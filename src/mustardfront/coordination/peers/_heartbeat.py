"""Pings on quiet peer connections; a silent peer's connection is closed."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import PEER_SILENCE_S, PING_INTERVAL_S
from mustardfront.coordination.peers._hub import PeerHub
from mustardfront.protocol import Message, PeerConnection, Ping, Pong
from mustardfront.results import Err

# The side that dialled depends on its peer and pings it; the other side only frees
# what a lost dialler left. A sidecar has 400 entries' connections at the target.
ACCEPTED_PING_INTERVAL_S: Final = 20.0
ACCEPTED_SILENCE_S: Final = 60.0
# A connection without calls in flight is pinged less often the more there are, so the
# pings of all take about this much in both directions.
IDLE_PING_BYTES_PER_S: Final = 1_500
PING_AND_PONG_BYTES: Final = 96
IDLE_PING_INTERVAL_MAX_S: Final = 20.0


class Heartbeat:
    """Pings the peers of a hub and answers their pings.

    Connections with other traffic get no pings: at the target an entry has 180
    connections, whose pings alone would take more than its 6 KB/s of control traffic.
    """

    def __init__(
        self,
        hub: PeerHub,
        version: Callable[[], int],
        heard: Callable[[PeerConnection, int], None],
    ) -> None:
        self._hub = hub
        self._version = version
        self._heard = heard
        self._nonces = itertools.count(1)
        hub.add_handler(self._handle)

    async def _handle(self, conn: PeerConnection, message: Message) -> bool:
        if isinstance(message, Ping):
            conn.send_nowait(Pong(message.nonce, self._version()))
        elif not isinstance(message, Pong):
            return False
        self._heard(conn, message.config_version)
        return True

    async def run(self) -> None:
        """Ping quiet peers and close silent ones, until cancelled."""
        ticked_s = trio.current_time()
        while True:
            await trio.sleep(PING_INTERVAL_S)
            now = trio.current_time()
            paused = now - ticked_s > 2 * PING_INTERVAL_S
            ticked_s = now
            for conn in self._hub.connections:
                # A pause of this process says nothing about its peers, so their
                # silence is counted from its end.
                if paused:
                    conn.last_received_s = now
                    conn.pinged_at_s = None
                self._check(conn, now)

    def _interval_s(self, conn: PeerConnection) -> float:
        if not conn.dialled:
            return ACCEPTED_PING_INTERVAL_S
        if conn.calls_in_flight:
            return PING_INTERVAL_S
        count = len(self._hub.connections)
        scaled_s = count * PING_AND_PONG_BYTES / IDLE_PING_BYTES_PER_S
        return min(max(PING_INTERVAL_S, scaled_s), IDLE_PING_INTERVAL_MAX_S)

    def _check(self, conn: PeerConnection, now: float) -> None:
        quiet_s = now - conn.last_received_s
        # Silence counts from an unanswered ping: a connection that was idle, and so
        # pinged rarely, is not lost at the moment when it gets a call.
        asked_s = now - conn.pinged_at_s if conn.pinged_at_s is not None else 0.0
        interval_s = self._interval_s(conn)
        silence_s = PEER_SILENCE_S if conn.dialled else ACCEPTED_SILENCE_S
        if asked_s >= silence_s - PING_INTERVAL_S and quiet_s >= silence_s:
            events.log(
                events.Event.PEER_SILENT,
                peer=conn.remote.instance,
                peer_host=conn.remote.host,
                silent_s=round(quiet_s, 1),
            )
            text = f"no message for {quiet_s:.1f} s"
            self._hub.close(conn, Err(Code.PEER_LOST, text))
        elif quiet_s >= interval_s:
            if conn.pinged_at_s is None:
                conn.pinged_at_s = now
            conn.send_nowait(Ping(next(self._nonces), self._version()))
