"""Command line of the engine stand-in."""

from __future__ import annotations

import click
import trio

from mustardfront_standins._serving import run_http
from mustardfront_standins.engine._app import Engine
from mustardfront_standins.engine._batch import Batch
from mustardfront_standins.engine._cache import PrefixCache


@click.command()
@click.option("--listen", default="127.0.0.1:0", help="IP:PORT to serve at.")
@click.option("--model", default="model", help="Name of the model.")
@click.option("--slots", default=32, help="Sequences that run at a time.")
@click.option("--step-ms", default=5.0, help="Time of one decoding step.")
@click.option("--step-us-per-sequence", default=0.0, help="Added per sequence.")
@click.option("--slow-factor", default=1.0, help="Multiplies the step time.")
@click.option("--prefill-us-per-char", default=0.0, help="Time of an uncached prompt.")
@click.option("--cache-entries", default=256, help="Prefixes that the cache holds.")
@click.option("--cache-prefix-chars", default=256, help="Length of a prefix.")
@click.option("--cache-lag-ms", default=200.0, help="Delay of cache events.")
@click.option("--cache-gap-every", default=0, help="Lose each n-th event; 0 for none.")
@click.option("--load-lag-ms", default=1000.0, help="Age of what /load reports.")
@click.option("--checks-fence/--ignores-fence", default=True, help="Refuse old fences.")
@click.option("--crash-marker", default="<crash>", help="Prompts that end the process.")
@click.option("--cut-marker", default="<cut>", help="Prompts cut off half-way.")
@click.option("--stamps", is_flag=True, help="Add the time of sending to tokens.")
def main(
    listen: str,
    model: str,
    slots: int,
    step_ms: float,
    step_us_per_sequence: float,
    slow_factor: float,
    prefill_us_per_char: float,
    cache_entries: int,
    cache_prefix_chars: int,
    cache_lag_ms: float,
    cache_gap_every: int,
    load_lag_ms: float,
    checks_fence: bool,
    crash_marker: str,
    cut_marker: str,
    stamps: bool,
) -> None:
    """Serve deterministic completions until SIGTERM."""
    host, _, port = listen.rpartition(":")
    batch = Batch(slots, step_ms / 1e3, slow_factor, step_us_per_sequence / 1e6)
    cache = PrefixCache(
        cache_entries, cache_prefix_chars, cache_lag_ms / 1e3, cache_gap_every
    )
    engine = Engine(
        model,
        batch,
        cache,
        checks_fence,
        load_lag_ms / 1e3,
        prefill_us_per_char / 1e6,
        crash_marker,
        cut_marker,
        stamps,
    )

    async def run() -> None:
        await run_http(
            engine,
            (host, int(port)),
            batch.run,
            engine.sample_load,
            instance=engine.instance,
        )

    trio.run(run)
