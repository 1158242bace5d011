"""Injected faults and call counters of the key-value stand-in."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any, Final

import msgspec
import trio

WRITE_KINDS: Final = frozenset({"put", "txn", "lease_grant", "lease_revoke"})


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """Fault settings, documented in the docstring of the package."""

    outage: str = ""
    delay_ms: float = 0
    lose_answers: int = 0
    lose_answer_probability: float = 0
    seed: int = 1
    value_limit_bytes: int = 1_000_000
    reads_per_s: float = 0
    writes_per_s: float = 0


class _TokenBucket:
    """Token bucket whose capacity is the calls of one second."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._updated_at = -1.0

    def try_acquire(self, rate: float) -> bool:
        now = trio.current_time()
        first, elapsed = self._updated_at < 0, now - self._updated_at
        self._tokens = rate if first else min(rate, self._tokens + elapsed * rate)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Faults:
    """Current fault settings and the number of received calls by kind."""

    def __init__(self) -> None:
        self.settings = Settings()
        self.calls: Counter[str] = Counter()
        self.changed = trio.Event()
        self._random = random.Random(self.settings.seed)
        self._buckets = {True: _TokenBucket(), False: _TokenBucket()}

    def update(self, changes: dict[str, Any]) -> None:
        """Change some settings; raise ValueError on an unknown one."""
        merged = msgspec.to_builtins(self.settings) | changes
        try:
            self.settings = msgspec.convert(merged, Settings)
        except msgspec.ValidationError as exc:
            raise ValueError(str(exc)) from exc
        if "seed" in changes:
            self._random = random.Random(self.settings.seed)
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    def exceeds_rate(self, kind: str) -> bool:
        """Count a call against its rate and return whether it exceeds the rate."""
        writes = kind in WRITE_KINDS
        rate = self.settings.writes_per_s if writes else self.settings.reads_per_s
        return rate > 0 and not self._buckets[writes].try_acquire(rate)

    def drops_response(self, kind: str) -> bool:
        """Return whether to drop the response to a write that took effect."""
        if kind not in WRITE_KINDS:
            return False
        if self.settings.lose_answers > 0:
            self.settings.lose_answers -= 1
            return True
        return self._random.random() < self.settings.lose_answer_probability

    async def wait_for_outage(self) -> None:
        """Wait until an outage begins."""
        while not self.settings.outage:
            await self.changed.wait()
