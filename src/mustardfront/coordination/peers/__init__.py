"""Peer connections of this process and the control messages on them."""

from mustardfront.coordination.peers._dial import (
    Connect,
    PeerDialler,
    backoff_s,
    rendezvous_hash,
)
from mustardfront.coordination.peers._heartbeat import Heartbeat
from mustardfront.coordination.peers._hub import ConnectHandler, ControlHandler, PeerHub

__all__ = [
    "Connect",
    "ConnectHandler",
    "ControlHandler",
    "Heartbeat",
    "PeerDialler",
    "PeerHub",
    "backoff_s",
    "rendezvous_hash",
]
