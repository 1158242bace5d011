"""Simulation of a policy on recorded loads."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from mustardfront.codes import Code
from mustardfront.coordination.balancing._policies import BalanceSettings, make_policy
from mustardfront.results import Err, Ok, Result
from mustardfront.state import ExpertMap, count_moves, first_map, rank_loads


class LoadRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of recorded loads: the tokens of each expert in each layer."""

    step: int
    layers: list[list[float]]


@dataclass(frozen=True, slots=True)
class ReplayReport:
    """Result of a replay; skew is the highest rank load over the mean one.

    ``maps`` counts the maps that took effect, ``moves`` the expert loads ordered.
    """

    steps: int
    skew_mean: float
    skew_p95: float
    moves: int
    moved_bytes: int
    maps: int
    disturbed_steps: int


def read_loads(lines: Iterable[str | bytes]) -> Iterator[Result[LoadRecord]]:
    """Yield the records of JSON lines; stop with an Err at the first invalid line.

    The Err names the line's number. Every record has the first one's shape, steps
    increase, and tokens are finite and not negative.
    """
    decoder = msgspec.json.Decoder(LoadRecord)
    previous: LoadRecord | None = None
    for number, line in enumerate(lines, 1):
        if not line.strip():
            continue
        try:
            record = decoder.decode(line)
        except msgspec.MsgspecError as exc:
            yield Err(Code.MALFORMED_REQUEST, f"line {number}: {exc}")
            return
        error = _validation_error(record, previous)
        if error:
            yield Err(Code.MALFORMED_REQUEST, f"line {number}: {error}")
            return
        previous = record
        yield Ok(record)
    if previous is None:
        yield Err(Code.MALFORMED_REQUEST, "line 1: no records")


def _validation_error(record: LoadRecord, previous: LoadRecord | None) -> str:
    if not record.layers or not all(record.layers):
        return "a record needs at least one layer and one expert"
    if any(min(tokens) < 0 for tokens in record.layers):
        return "negative token count"
    if len({len(tokens) for tokens in record.layers}) > 1:
        return "layers with different numbers of experts"
    if previous is None:
        return ""
    if record.step <= previous.step:
        return f"step {record.step} does not follow step {previous.step}"
    if _record_shape(record) != _record_shape(previous):
        return (
            f"{_record_shape(record)} layers and experts; "
            f"expected {_record_shape(previous)}"
        )
    return ""


def _record_shape(record: LoadRecord) -> tuple[int, int]:
    return len(record.layers), len(record.layers[0])


def replay(
    records: Iterable[Result[LoadRecord]], policy: str, settings: BalanceSettings
) -> Result[ReplayReport]:
    """Run the named policy on the records; return the first Err among them.

    A record stands for the steps since the one before it. A new map is in force
    from the first record after its last byte could arrive at the store's rate.
    """
    plan = make_policy(policy, settings)
    current: ExpertMap | None = None
    pending: ExpertMap | None = None
    ready_at = 0.0
    skews: list[float] = []
    steps = moves = maps = disturbed = 0
    for result in records:
        if isinstance(result, Err):
            return result
        record = result.value
        now = record.step * settings.step_s
        if current is None:
            shape = (*_record_shape(record), settings.ranks, settings.slots)
            start = first_map(*shape)
            if isinstance(start, Err):
                return start
            current = start.value
        if pending is not None and now >= ready_at:
            current, pending, maps = pending, None, maps + 1
        steps += 1
        disturbed += pending is not None
        skews += skew_of_layers(current, record.layers)
        planned = plan(now, record.layers, current, pending is not None)
        if planned is not None:
            new_moves = sum(map(count_moves, current.layers, planned.layers))
            moves += new_moves
            # The record at which the transfer starts also counts as disturbed.
            disturbed += new_moves > 0
            pending = planned
            ready_at = now + new_moves * settings.move_s
    skews.sort()
    return Ok(
        ReplayReport(
            steps=steps,
            skew_mean=sum(skews) / len(skews),
            skew_p95=skews[(len(skews) * 95 - 1) // 100],
            moves=moves,
            moved_bytes=moves * settings.expert_bytes,
            maps=maps,
            disturbed_steps=disturbed,
        )
    )


def skew_of_layers(expert_map: ExpertMap, loads: list[list[float]]) -> list[float]:
    """Return each layer's highest rank load over the mean one; 1 without tokens."""
    skews = []
    for layer, tokens in zip(expert_map.layers, loads, strict=True):
        by_rank = rank_loads(layer, tokens)
        total = sum(by_rank)
        skews.append(max(by_rank) * len(by_rank) / total if total else 1.0)
    return skews
