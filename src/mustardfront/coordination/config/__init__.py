"""Configuration: tickets, the version in force and its distribution to peers."""

from mustardfront.coordination.config._files import (
    SCHEMA_PATH,
    check_ticket_data,
    parse_ticket_json,
    read_ticket_file,
)
from mustardfront.coordination.config._kv import Kv
from mustardfront.coordination.config._records import (
    HEAD_KEY,
    list_tickets,
    read_head,
    read_snapshot,
    read_ticket,
)
from mustardfront.coordination.config._spread import ConfigSpread
from mustardfront.coordination.config._store import ConfigStore
from mustardfront.coordination.config._submit import (
    Accepted,
    check_ticket,
    submit_ticket,
)

__all__ = [
    "HEAD_KEY",
    "SCHEMA_PATH",
    "Accepted",
    "ConfigSpread",
    "ConfigStore",
    "Kv",
    "check_ticket",
    "check_ticket_data",
    "list_tickets",
    "parse_ticket_json",
    "read_head",
    "read_snapshot",
    "read_ticket",
    "read_ticket_file",
    "submit_ticket",
]
