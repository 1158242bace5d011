"""Change tickets, each with the complete new state of the entries it sets."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from types import MappingProxyType
from typing import Any

import msgspec

from mustardfront.codes import Code
from mustardfront.decoding import decode_json
from mustardfront.results import Err, Ok, Result
from mustardfront.state._config import (
    SECTIONS,
    Config,
    Group,
    Host,
    Limits,
    Place,
    Service,
    Team,
    Upstream,
)


@dataclass(frozen=True, slots=True)
class Ticket:
    """Change ticket ``number``: entries to set and names to remove, by section."""

    number: int
    author: str
    reason: str
    set: Mapping[str, Mapping[str, Any]] = field(default_factory=dict)
    remove: Mapping[str, tuple[str, ...]] = field(default_factory=dict)


def apply_ticket(cfg: Config, ticket: Ticket) -> Result[Config]:
    """Return the configuration after ``ticket``.

    Err(TICKET_OUT_OF_ORDER) unless the ticket has the next number, and
    Err(TICKET_INVALID_REFERENCE) if it refers to an entry that does not exist.
    """
    if ticket.number != cfg.version + 1:
        text = f"ticket {ticket.number} does not follow version {cfg.version}"
        return Err(Code.TICKET_OUT_OF_ORDER, text)
    sections: dict[str, Mapping[str, Any]] = {}
    for section in SECTIONS:
        entries = dict(getattr(cfg, section))
        entries.update(ticket.set.get(section, {}))
        for name in ticket.remove.get(section, ()):
            if entries.pop(name, None) is None:
                return _reference_error(
                    f"cannot remove {section}/{name}: no such entry"
                )
        sections[section] = MappingProxyType(entries)
    merged = replace(cfg, version=ticket.number, **sections)
    return _check_references(merged)


def _reference_error(text: str) -> Err:
    return Err(Code.TICKET_INVALID_REFERENCE, text)


def _check_references(cfg: Config) -> Result[Config]:
    for name, host in cfg.hosts.items():
        if host.place not in cfg.places:
            return _reference_error(f"host {name}: unknown place {host.place}")
    for name, upstream in cfg.upstreams.items():
        if upstream.service not in cfg.services:
            return _reference_error(
                f"upstream {name}: unknown service {upstream.service}"
            )
        if upstream.host not in cfg.hosts:
            return _reference_error(f"upstream {name}: unknown host {upstream.host}")
    for name, team in cfg.teams.items():
        for service in team.services:
            if service not in cfg.services:
                return _reference_error(f"team {name}: unknown service {service}")
    for name, group in cfg.groups.items():
        if group.service not in cfg.services:
            return _reference_error(f"group {name}: unknown service {group.service}")
        if not 1 <= group.fronts <= len(group.ranks):
            return _reference_error(
                f"group {name}: fronts is {group.fronts}, not from 1 to its rank count"
            )
        for rank in group.ranks:
            if rank not in cfg.upstreams:
                return _reference_error(f"group {name}: unknown upstream {rank}")
    for name in cfg.limits:
        if name not in cfg.services:
            return _reference_error(f"limits {name}: unknown service")
    return Ok(cfg)


def ticket_to_data(ticket: Ticket) -> dict[str, Any]:
    """Return a ticket as plain JSON data, in the published file format."""
    return {
        "ticket": ticket.number,
        "author": ticket.author,
        "reason": ticket.reason,
        "set": msgspec.to_builtins(dict(ticket.set)),
        "remove": msgspec.to_builtins(dict(ticket.remove)),
    }


def ticket_from_data(data: Mapping[str, Any]) -> Result[Ticket]:
    """Return the ticket in plain data; Err(TICKET_MALFORMED) if it is malformed."""
    try:
        for section in (*data.get("set", {}), *data.get("remove", {})):
            if section not in SECTIONS:
                return Err(Code.TICKET_MALFORMED, f"unknown section {section!r}")
        entries: dict[str, dict[str, Any]] = {
            section: {
                name: msgspec.convert(entry, SECTIONS[section])
                for name, entry in section_entries.items()
            }
            for section, section_entries in data.get("set", {}).items()
        }
        removed = {
            section: tuple(msgspec.convert(names, list[str]))
            for section, names in data.get("remove", {}).items()
        }
        number = msgspec.convert(data["ticket"], int)
        author = msgspec.convert(data["author"], str)
        reason = msgspec.convert(data["reason"], str)
    except (msgspec.ValidationError, KeyError, AttributeError, TypeError) as exc:
        return Err(Code.TICKET_MALFORMED, f"malformed ticket: {exc}")
    return Ok(Ticket(number, author, reason, entries, removed))


def config_to_bytes(cfg: Config) -> bytes:
    """Return a complete configuration as compressed JSON."""
    data: dict[str, Any] = {
        section: dict(getattr(cfg, section)) for section in SECTIONS
    }
    data["version"] = cfg.version
    return zlib.compress(msgspec.json.encode(data, order="deterministic"))


class _Snapshot(msgspec.Struct):
    """All sections of a configuration, as decoded from JSON."""

    version: int
    places: dict[str, Place]
    hosts: dict[str, Host]
    services: dict[str, Service]
    teams: dict[str, Team]
    upstreams: dict[str, Upstream]
    groups: dict[str, Group]
    limits: dict[str, Limits]


def config_from_bytes(data: bytes) -> Result[Config]:
    """Return the configuration in compressed JSON; Err(BAD_MESSAGE) if malformed."""
    try:
        raw = decode_json(zlib.decompress(data), _Snapshot)
    except (zlib.error, msgspec.MsgspecError) as exc:
        return Err(Code.BAD_MESSAGE, f"malformed configuration: {exc}")
    sections = {
        section: MappingProxyType(getattr(raw, section)) for section in SECTIONS
    }
    return Ok(Config(version=raw.version, **sections))
