"""Seeded traces of expert loads, in the format that ``plan replay`` reads."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, TypeAlias

import click

# Records of a trace; each covers the steps of one second.
RECORDS: Final = 900
TOKENS: Final = 65_536
# Relative standard deviation of the tokens of an expert in a record.
NOISE_RATIO: Final = 0.05

# Returns the relative load of each expert in a layer at a time in seconds.
LoadFunction: TypeAlias = Callable[[int, float], list[float]]


def _base_loads(rng: random.Random, layers: int, experts: int) -> list[list[float]]:
    return [
        [rng.lognormvariate(0.0, 0.35) for _ in range(experts)] for _ in range(layers)
    ]


def _ramp(now: float, start: float, rise_s: float, end: float) -> float:
    """Return a factor that rises from 0 to 1 at the start and falls to 0 by the end."""
    up = min(1.0, max(0.0, (now - start) / rise_s))
    down = min(1.0, max(0.0, (end - now) / rise_s))
    return min(up, down)


def spring_run(rng: random.Random, layers: int, experts: int) -> LoadFunction:
    """Return a sharp rise in which few experts get 6 to 14 times their tokens."""
    base = _base_loads(rng, layers, experts)
    hot = [rng.sample(range(experts), max(2, experts // 24)) for _ in range(layers)]
    peak = [[rng.uniform(6, 14) for _ in selected] for selected in hot]
    start, end = rng.uniform(180, 240), rng.uniform(780, 840)

    def relative_loads(layer: int, now: float) -> list[float]:
        weights = list(base[layer])
        ramp = _ramp(now, start, 40.0, end)
        for expert, height in zip(hot[layer], peak[layer], strict=True):
            weights[expert] *= 1 + (height - 1) * ramp
        return weights

    return relative_loads


def estate_season(rng: random.Random, layers: int, experts: int) -> LoadFunction:
    """Return a slow drift: up for a quarter of the experts, down for another."""
    base = _base_loads(rng, layers, experts)
    rates = [
        [rng.choice((1.2, -1.2, 0.0, 0.0)) * rng.random() for _ in range(experts)]
        for _ in range(layers)
    ]

    def relative_loads(layer: int, now: float) -> list[float]:
        progress = now / RECORDS
        return [
            weight * math.exp(rate * progress)
            for weight, rate in zip(base[layer], rates[layer], strict=True)
        ]

    return relative_loads


def flash(rng: random.Random, layers: int, experts: int) -> LoadFunction:
    """Return load spikes of 2 to 8 seconds over equal loads."""
    spikes: list[tuple[float, float, list[int]]] = []
    now = rng.uniform(20, 40)
    while now < RECORDS:
        spikes.append((now, now + rng.uniform(2, 8), rng.sample(range(experts), 3)))
        now += rng.uniform(30, 60)

    def relative_loads(layer: int, now: float) -> list[float]:
        weights = [1.0] * experts
        for start, end, selected in spikes:
            if start <= now < end:
                for expert in selected:
                    weights[(expert + layer) % experts] = 10.0
        return weights

    return relative_loads


def correlated(rng: random.Random, layers: int, experts: int) -> LoadFunction:
    """Return shifts that affect all layers at once, every 150 to 250 seconds."""
    base = _base_loads(rng, layers, experts)
    shifts: list[float] = []
    now = rng.uniform(60, 120)
    while now < RECORDS:
        shifts.append(now)
        now += rng.uniform(150, 250)
    hot = [
        [rng.sample(range(experts), max(2, experts // 16)) for _ in range(layers)]
        for _ in shifts
    ]

    def relative_loads(layer: int, now: float) -> list[float]:
        weights = list(base[layer])
        for index, start in enumerate(shifts):
            end = shifts[index + 1] if index + 1 < len(shifts) else math.inf
            height = 1 + 5 * _ramp(now, start, 20.0, end + 20.0)
            for expert in hot[index][layer]:
                weights[expert] *= height
        return weights

    return relative_loads


def flat(rng: random.Random, layers: int, experts: int) -> LoadFunction:
    """Return equal loads, which leaves only the noise."""

    def relative_loads(layer: int, now: float) -> list[float]:
        return [1.0] * experts

    return relative_loads


TRACES: Final[Mapping[str, Callable[[random.Random, int, int], LoadFunction]]] = (
    MappingProxyType(
        {
            "spring-run": spring_run,
            "estate-season": estate_season,
            "correlated": correlated,
            "flash": flash,
            "flat-noise": flat,
        }
    )
)


def generate(
    name: str, seed: int, layers: int, experts: int, steps_per_record: int = 25
) -> Iterator[dict[str, Any]]:
    """Yield the records of a trace, which the arguments fully determine."""
    rng = random.Random(f"{name}/{seed}")
    relative_loads = TRACES[name](rng, layers, experts)
    for record in range(RECORDS):
        rows = []
        for layer in range(layers):
            weights = relative_loads(layer, float(record))
            scale = TOKENS / sum(weights)
            rows.append(
                [
                    max(0, round(weight * scale * (1 + rng.gauss(0.0, NOISE_RATIO))))
                    for weight in weights
                ]
            )
        yield {"step": record * steps_per_record, "layers": rows}


@click.command()
@click.option("--trace", type=click.Choice(sorted(TRACES)), required=True)
@click.option("--seed", type=int, default=1)
@click.option("--layers", type=int, default=4)
@click.option("--experts", type=int, default=128)
def main(trace: str, seed: int, layers: int, experts: int) -> None:
    """Write a trace as JSON lines to standard output."""
    import json

    for record in generate(trace, seed, layers, experts):
        click.echo(json.dumps(record))


if __name__ == "__main__":
    main()
