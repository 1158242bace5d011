"""Run a program with one guarantee deliberately broken.

``python -m mustardfront_standins.torture._broken KIND PROGRAM [ARGS]`` replaces one
function of the program before it starts. Only the torture run uses it, to show that
its checks detect the violation.
"""

from __future__ import annotations

import importlib
import sys
import zlib
from collections.abc import Callable, Mapping
from typing import Any, Final


def _disable_claims() -> None:
    """Make a sidecar run non-idempotent requests without a claim."""
    relay = importlib.import_module("mustardfront.programs.sidecar._relay")
    relay.must_be_claimed = lambda _req: False  # type: ignore[attr-defined]


def _drop_tokens() -> None:
    """Make an entry drop about one token in ``TOKENS_PER_DROP``."""
    answers = importlib.import_module("mustardfront.programs.entry._answers")
    original = answers.Answer.send_token

    async def send_token(self: Any, payload: bytes) -> None:
        if zlib.crc32(payload) % TOKENS_PER_DROP:
            await original(self, payload)

    answers.Answer.send_token = send_token


def _revert_config() -> None:
    """Make each process log that it reverted to an older configuration."""
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


TOKENS_PER_DROP: Final = 200
PATCHES: Final[Mapping[str, Callable[[], None]]] = {
    "claims": _disable_claims,
    "tokens": _drop_tokens,
    "versions": _revert_config,
}


def make_launcher(kind: str) -> tuple[str, ...]:
    """Return the module and arguments that break a guarantee; empty for no kind."""
    return (__name__, kind) if kind else ()


def _main() -> None:
    kind, program, *args = sys.argv[1:]
    PATCHES[kind]()
    sys.argv = [program, *args]
    importlib.import_module(program).main()


if __name__ == "__main__":
    _main()
