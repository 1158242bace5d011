"""Faults that a test can switch on, and the count of calls."""

from __future__ import annotations

import random
from collections import Counter
from typing import Any, Final

import msgspec
import trio

WRITES: Final = frozenset({"put", "txn", "lease_grant", "lease_revoke"})


class Settings(msgspec.Struct, forbid_unknown_fields=True):
    """The fault settings; the package's doc comment explains them."""

    outage: str = ""
    delay_ms: float = 0
    lose_answers: int = 0
    lose_answer_probability: float = 0
    seed: int = 1
    value_limit_bytes: int = 1_000_000
    reads_per_s: float = 0
    writes_per_s: float = 0


class _Bucket:
    """A token bucket that holds one second's worth of calls."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._last = -1.0

    def take(self, rate: float) -> bool:
        now = trio.current_time()
        first, elapsed = self._last < 0, now - self._last
        self._tokens = rate if first else min(rate, self._tokens + elapsed * rate)
        self._last = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Faults:
    """What goes wrong now, and which calls came in."""

    def __init__(self) -> None:
        self.settings = Settings()
        self.calls: Counter[str] = Counter()
        self.changed = trio.Event()
        self._random = random.Random(self.settings.seed)
        self._buckets = {True: _Bucket(), False: _Bucket()}

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

    def over_rate(self, kind: str) -> bool:
        """Count a call of this kind against its rate; say whether it is too many."""
        writes = kind in WRITES
        rate = self.settings.writes_per_s if writes else self.settings.reads_per_s
        return rate > 0 and not self._buckets[writes].take(rate)

    def loses_answer(self, kind: str) -> bool:
        """Decide whether the answer to a write that took effect is lost."""
        if kind not in WRITES:
            return False
        if self.settings.lose_answers > 0:
            self.settings.lose_answers -= 1
            return True
        return self._random.random() < self.settings.lose_answer_probability

    async def wait_outage(self) -> None:
        """Return once an outage begins."""
        while not self.settings.outage:
            await self.changed.wait()
