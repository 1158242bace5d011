"""Frozen data that the other layers share."""

from mustardfront.state._config import (
    SECTIONS,
    AdminState,
    Config,
    Group,
    Host,
    Limits,
    Place,
    Route,
    Service,
    ServiceKind,
    Team,
    Upstream,
)
from mustardfront.state._ticket import (
    Ticket,
    apply_ticket,
    config_from_bytes,
    config_to_bytes,
    ticket_from_data,
    ticket_to_data,
)

__all__ = [
    "SECTIONS",
    "AdminState",
    "Config",
    "Group",
    "Host",
    "Limits",
    "Place",
    "Route",
    "Service",
    "ServiceKind",
    "Team",
    "Ticket",
    "Upstream",
    "apply_ticket",
    "config_from_bytes",
    "config_to_bytes",
    "ticket_from_data",
    "ticket_to_data",
]
