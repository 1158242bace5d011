"""Result type: a function returns ``Ok`` or ``Err`` instead of raising."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Generic, TypeAlias, TypeVar

from mustardfront.codes import Code

T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Ok(Generic[T]):
    """Success, with the returned value."""

    value: T


@dataclass(frozen=True, slots=True)
class Err:
    """Failure, with a numbered code and an explanation for people."""

    code: Code
    text: str


Result: TypeAlias = Ok[T] | Err
