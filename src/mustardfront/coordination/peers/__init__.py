"""Peer connections of this process and the control messages on them."""

from mustardfront.coordination.peers._hub import ControlHandler, Greeting, PeerHub

__all__ = ["ControlHandler", "Greeting", "PeerHub"]
