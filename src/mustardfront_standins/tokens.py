"""Deterministic tokens of a prompt, which let tests verify each answer."""

from __future__ import annotations

import xxhash


def token_at(prompt: str, position: int) -> str:
    """Return the token at ``position`` of the answer to ``prompt``."""
    return f" {xxhash.xxh32_hexdigest(prompt.encode(), position % 2**32)}"


def answer_tokens(prompt: str, count: int, start: int = 0) -> list[str]:
    """Return the tokens of an answer from position ``start`` up to ``count``."""
    return [token_at(prompt, position) for position in range(start, count)]


def answer_text(prompt: str, count: int) -> str:
    """Return the text of the first ``count`` tokens of an answer."""
    return "".join(answer_tokens(prompt, count))
