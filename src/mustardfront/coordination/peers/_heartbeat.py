"""Heartbeat: pings idle peer connections and closes those of silent peers."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import Final

import trio

from mustardfront import events
from mustardfront.codes import Code
from mustardfront.constants import PEER_TIMEOUT_S, PING_INTERVAL_S
from mustardfront.coordination.peers._hub import PeerHub
from mustardfront.protocol import Message, PeerConnection, Ping, Pong
from mustardfront.results import Err

# The dialling side depends on its peer and pings it often. The accepting side only has
# to release connections whose dialler is gone, and pings rarely: at the target scale a
# sidecar has connections from 400 entries.
ACCEPTED_PING_INTERVAL_S: Final = 20.0
ACCEPTED_SILENCE_S: Final = 60.0
# Connections without calls in flight are pinged less often the more connections there
# are, so that pings and pongs, both directions together, take about this much.
IDLE_PING_BYTES_PER_S: Final = 1_500
PING_AND_PONG_BYTES: Final = 96
IDLE_PING_INTERVAL_MAX_S: Final = 20.0


class Heartbeat:
    """Pings the peers of a hub and answers their pings.

    Connections with other traffic are not pinged: at the target scale an entry has 180
    connections, and their pings alone would exceed its 6 KB/s of control traffic.
    ``on_version`` gets the configuration version that a peer sent.
    """

    def __init__(
        self,
        hub: PeerHub,
        version: Callable[[], int],
        on_version: Callable[[PeerConnection, int], None],
    ) -> None:
        self._hub = hub
        self._version = version
        self._on_version = on_version
        self._nonces = itertools.count(1)
        hub.add_handler(self._handle)

    async def _handle(self, conn: PeerConnection, message: Message) -> bool:
        if isinstance(message, Ping):
            conn.send_nowait(Pong(message.nonce, self._version()))
        elif not isinstance(message, Pong):
            return False
        self._on_version(conn, message.config_version)
        return True

    async def run(self) -> None:
        """Ping idle peers and close connections of silent ones, until cancelled."""
        last_tick_s = trio.current_time()
        while True:
            await trio.sleep(PING_INTERVAL_S)
            now = trio.current_time()
            was_paused = now - last_tick_s > 2 * PING_INTERVAL_S
            last_tick_s = now
            for conn in self._hub.connections:
                # During a pause of this process no messages of its peers were read, so
                # their silence is measured from the end of the pause.
                if was_paused:
                    conn.last_received_s = now
                    conn.pinged_at_s = None
                self._check_connection(conn, now)

    def _interval_s(self, conn: PeerConnection) -> float:
        if not conn.dialled:
            return ACCEPTED_PING_INTERVAL_S
        if conn.calls_in_flight:
            return PING_INTERVAL_S
        count = len(self._hub.connections)
        scaled_s = count * PING_AND_PONG_BYTES / IDLE_PING_BYTES_PER_S
        return min(max(PING_INTERVAL_S, scaled_s), IDLE_PING_INTERVAL_MAX_S)

    def _check_connection(self, conn: PeerConnection, now: float) -> None:
        since_received_s = now - conn.last_received_s
        # Silence counts only while a ping is unanswered. Otherwise an idle connection,
        # which is pinged rarely, would be closed as soon as it gets a call.
        unanswered_s = now - conn.pinged_at_s if conn.pinged_at_s is not None else 0.0
        interval_s = self._interval_s(conn)
        silence_limit_s = PEER_TIMEOUT_S if conn.dialled else ACCEPTED_SILENCE_S
        if (
            unanswered_s >= silence_limit_s - PING_INTERVAL_S
            and since_received_s >= silence_limit_s
        ):
            events.log(
                events.Event.PEER_SILENT,
                peer=conn.remote.instance,
                peer_host=conn.remote.host,
                silent_s=round(since_received_s, 1),
            )
            text = f"peer sent no message for {since_received_s:.1f} s"
            self._hub.close(conn, Err(Code.PEER_LOST, text))
        elif since_received_s >= interval_s:
            if conn.pinged_at_s is None:
                conn.pinged_at_s = now
            conn.send_nowait(Ping(next(self._nonces), self._version()))
