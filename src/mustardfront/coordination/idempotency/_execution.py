"""What came of a non-idempotent request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

from mustardfront.codes import Code, Outcome
from mustardfront.coordination.idempotency._record import Headers
from mustardfront.results import Err


@dataclass(frozen=True, slots=True)
class Execution:
    """An outcome with its code; status, headers and body only when answered.

    ``NOT_RUN`` says that this request did not run and never will.
    """

    outcome: Outcome
    code: Code
    text: str = ""
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


# Hands the request to the upstream; it is called at most once for a key.
Execute: TypeAlias = Callable[[], Awaitable[Execution]]


def not_run(err: Err) -> Execution:
    """Return a refusal: the request did not run."""
    return Execution(Outcome.NOT_RUN, err.code, err.text)


def unknown(code: Code, text: str) -> Execution:
    """Return that nobody can tell whether the request ran."""
    return Execution(Outcome.UNKNOWN, code, text)
