"""Peer connections of this process and the control messages on them."""

from mustardfront.coordination.peers._dial import (
    Connect,
    PeerDialler,
    backoff_s,
    score,
)
from mustardfront.coordination.peers._heartbeat import Heartbeat
from mustardfront.coordination.peers._hub import ControlHandler, Greeting, PeerHub

__all__ = [
    "Connect",
    "ControlHandler",
    "Greeting",
    "Heartbeat",
    "PeerDialler",
    "PeerHub",
    "backoff_s",
    "score",
]
