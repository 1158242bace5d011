"""Tagged outcomes: a call returns ``Ok`` or ``Err`` instead of raising."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

from mustardfront.codes import Code

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """A call that succeeded with ``value``."""

    value: T


@dataclass(frozen=True, slots=True)
class Err:
    """A call that failed: the numbered ``code`` and what a person needs to know."""

    code: Code
    text: str


Result: TypeAlias = Ok[T] | Err
