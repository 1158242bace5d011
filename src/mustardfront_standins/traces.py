"""Seeded traces of expert popularity, in the format that ``plan replay`` reads."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, TypeAlias

import click

# One record stands for the steps of one second.
RECORDS: Final = 900
TOKENS: Final = 65_536
# Tokens of an expert in a record vary by this much around their expected number.
NOISE: Final = 0.05

# Returns the factor of each expert's popularity in a layer at a time in seconds.
Shape: TypeAlias = Callable[[int, float], list[float]]


def _base(rng: random.Random, layers: int, experts: int) -> list[list[float]]:
    return [
        [rng.lognormvariate(0.0, 0.35) for _ in range(experts)] for _ in range(layers)
    ]


def _ramp(now: float, start: float, rise_s: float, end: float) -> float:
    """Return 0 before the start, 1 after the rise, and down again around the end."""
    up = min(1.0, max(0.0, (now - start) / rise_s))
    down = min(1.0, max(0.0, (end - now) / rise_s))
    return min(up, down)


def spring_run(rng: random.Random, layers: int, experts: int) -> Shape:
    """Return a sharp run on one species: few experts get many times their tokens."""
    base = _base(rng, layers, experts)
    hot = [rng.sample(range(experts), max(2, experts // 24)) for _ in range(layers)]
    peak = [[rng.uniform(6, 14) for _ in chosen] for chosen in hot]
    start, end = rng.uniform(180, 240), rng.uniform(780, 840)

    def shape(layer: int, now: float) -> list[float]:
        weights = list(base[layer])
        run = _ramp(now, start, 40.0, end)
        for expert, height in zip(hot[layer], peak[layer], strict=True):
            weights[expert] *= 1 + (height - 1) * run
        return weights

    return shape


def estate_season(rng: random.Random, layers: int, experts: int) -> Shape:
    """Return a slow season: a quarter of the experts drift up, another one down."""
    base = _base(rng, layers, experts)
    rates = [
        [rng.choice((1.2, -1.2, 0.0, 0.0)) * rng.random() for _ in range(experts)]
        for _ in range(layers)
    ]

    def shape(layer: int, now: float) -> list[float]:
        part = now / RECORDS
        return [
            weight * math.exp(rate * part)
            for weight, rate in zip(base[layer], rates[layer], strict=True)
        ]

    return shape


def flash(rng: random.Random, layers: int, experts: int) -> Shape:
    """Return flashes of 2 to 8 seconds over flat popularity."""
    spikes: list[tuple[float, float, list[int]]] = []
    now = rng.uniform(20, 40)
    while now < RECORDS:
        spikes.append((now, now + rng.uniform(2, 8), rng.sample(range(experts), 3)))
        now += rng.uniform(30, 60)

    def shape(layer: int, now: float) -> list[float]:
        weights = [1.0] * experts
        for start, end, chosen in spikes:
            if start <= now < end:
                for expert in chosen:
                    weights[(expert + layer) % experts] = 10.0
        return weights

    return shape


def correlated(rng: random.Random, layers: int, experts: int) -> Shape:
    """Return shifts that hit all layers at once, every 150 to 250 seconds."""
    base = _base(rng, layers, experts)
    shifts: list[float] = []
    now = rng.uniform(60, 120)
    while now < RECORDS:
        shifts.append(now)
        now += rng.uniform(150, 250)
    hot = [
        [rng.sample(range(experts), max(2, experts // 16)) for _ in range(layers)]
        for _ in shifts
    ]

    def shape(layer: int, now: float) -> list[float]:
        weights = list(base[layer])
        for index, start in enumerate(shifts):
            end = shifts[index + 1] if index + 1 < len(shifts) else math.inf
            height = 1 + 5 * _ramp(now, start, 20.0, end + 20.0)
            for expert in hot[index][layer]:
                weights[expert] *= height
        return weights

    return shape


def flat(rng: random.Random, layers: int, experts: int) -> Shape:
    """Return equal popularity, so that only noise remains."""

    def shape(layer: int, now: float) -> list[float]:
        return [1.0] * experts

    return shape


TRACES: Final[Mapping[str, Callable[[random.Random, int, int], Shape]]] = (
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
    """Yield the records of a trace; equal arguments give equal records."""
    rng = random.Random(f"{name}/{seed}")
    shape = TRACES[name](rng, layers, experts)
    for record in range(RECORDS):
        rows = []
        for layer in range(layers):
            weights = shape(layer, float(record))
            scale = TOKENS / sum(weights)
            rows.append(
                [
                    max(0, round(weight * scale * (1 + rng.gauss(0.0, NOISE))))
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
