"""A program of the system with one guarantee broken on purpose.

``python -m mustardfront_standins.torture._broken KIND PROGRAM [ARGS]`` replaces one
function of the program before it starts. The torture run uses it to show that its
checks find the fault; nothing else does.
"""

from __future__ import annotations

import importlib
import sys
import zlib
from collections.abc import Callable, Mapping
from typing import Any, Final


def _run_without_claims() -> None:
    """Let a sidecar run non-idempotent requests without a claim."""
    relay = importlib.import_module("mustardfront.programs.sidecar._relay")
    relay.must_be_claimed = lambda _req: False  # type: ignore[attr-defined]


def _drop_tokens() -> None:
    """Let an entry lose a token now and then."""
    answers = importlib.import_module("mustardfront.programs.entry._answers")
    original = answers.Answer.token

    async def token(self: Any, payload: bytes) -> None:
        if zlib.crc32(payload) % DROPPED_ONE_IN:
            await original(self, payload)

    answers.Answer.token = token


def _revert_config() -> None:
    """Let every process take over an older configuration."""
    store = importlib.import_module("mustardfront.coordination.config._store")
    events = importlib.import_module("mustardfront.events")
    state = importlib.import_module("mustardfront.state")

    def update_if_newer(self: Any, cfg: Any, source: str) -> bool:
        self._cfg = cfg
        events.log(events.Event.CONFIG_IN_FORCE, version=cfg.version, source=source)
        if cfg.version > 1:
            older = state.Config(version=cfg.version - 1)
            events.log(
                events.Event.CONFIG_IN_FORCE, version=older.version, source=source
            )
        return True

    store.ConfigStore.update_if_newer = update_if_newer


DROPPED_ONE_IN: Final = 200
KINDS: Final[Mapping[str, Callable[[], None]]] = {
    "claims": _run_without_claims,
    "tokens": _drop_tokens,
    "versions": _revert_config,
}


def launcher_of(kind: str) -> tuple[str, ...]:
    """Return what starts a program with this guarantee broken; empty for none."""
    return (__name__, kind) if kind else ()


def _main() -> None:
    kind, program, *args = sys.argv[1:]
    KINDS[kind]()
    sys.argv = [program, *args]
    importlib.import_module(program).main()


if __name__ == "__main__":
    _main()
