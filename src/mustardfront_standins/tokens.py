"""Tokens as a pure function of prompt and position, so that tests can check them."""

from __future__ import annotations

import xxhash


def token_at(prompt: str, position: int) -> str:
    """Return the token at ``position`` of the answer to ``prompt``."""
    return f" {xxhash.xxh32_hexdigest(prompt.encode(), position % 2**32)}"


def answer_tokens(prompt: str, count: int, start: int = 0) -> list[str]:
    """Return the answer's tokens from position ``start`` up to ``count``."""
    return [token_at(prompt, position) for position in range(start, count)]


def answer_text(prompt: str, count: int) -> str:
    """Return the text of the first ``count`` tokens."""
    return "".join(answer_tokens(prompt, count))
