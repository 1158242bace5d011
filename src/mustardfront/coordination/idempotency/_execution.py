"""The outcome of a non-idempotent request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeAlias

from mustardfront.codes import Code, Outcome
from mustardfront.coordination.idempotency._record import Headers
from mustardfront.results import Err


@dataclass(frozen=True, slots=True)
class Execution:
    """The outcome of a request and its code.

    ``status``, ``headers`` and ``body`` are set only for ``ANSWERED``. ``NOT_RUN``
    guarantees that this request did not run and never will.
    """

    outcome: Outcome
    code: Code
    text: str = ""
    status: int = 0
    headers: Headers = ()
    body: bytes = b""


# Sends the request to the upstream. It is called at most once for a key.
Execute: TypeAlias = Callable[[], Awaitable[Execution]]


def not_run(err: Err) -> Execution:
    """Return the execution of a refused request, which did not run."""
    return Execution(Outcome.NOT_RUN, err.code, err.text)


def unknown(code: Code, text: str) -> Execution:
    """Return the execution of a request that may or may not have run."""
    return Execution(Outcome.UNKNOWN, code, text)
