"""Exclusion of upstreams that failed or refused requests."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from mustardfront import events
from mustardfront.coordination.traffic._upstream import Upstream

# A failed upstream is excluded for this time, doubled with each consecutive failure.
# It is still used when no other upstream is available.
BLOCK_MIN_S: Final = 0.4
# One that answers failures at once would get the most requests in between.
ANSWERED_BLOCK_MIN_S: Final = 1.0
BLOCK_MAX_S: Final = 4.0
# Further failures do not lengthen the exclusion; an unlimited power would overflow.
BLOCK_DOUBLINGS_MAX: Final = 10
# An upstream refuses a request when it is full or its group is not open; it is
# retried after this time.
REFUSED_PAUSE_S: Final = 0.15
# All ranks of a group refuse requests when one rank is lost, so all are paused.
GROUP_PAUSE_S: Final = 0.4


def exclude_after_failure(
    upstream: Upstream, now_s: float, reason: str, *, is_answer: bool = False
) -> None:
    """Exclude an upstream temporarily, unless it is excluded already.

    ``is_answer`` tells that the failure is the upstream's own answer. Then no path to
    it is at fault, and the failure holds for other entries too.
    """
    if now_s < upstream.blocked_until:
        return
    doublings = min(BLOCK_DOUBLINGS_MAX, upstream.failures_in_row)
    first_s = ANSWERED_BLOCK_MIN_S if is_answer else BLOCK_MIN_S
    pause_s = min(BLOCK_MAX_S, first_s * 2**doublings)
    upstream.failures_in_row += 1
    upstream.blocked_until = now_s + pause_s
    if is_answer:
        upstream.failing_until = upstream.blocked_until
    events.log(
        events.Event.UPSTREAM_EJECTED,
        upstream=upstream.instance,
        reason=reason,
        failures=upstream.failures_in_row,
        pause_ms=round(pause_s * 1000),
    )


def reset_failures(upstream: Upstream) -> None:
    """Reset an upstream's consecutive failures after a success."""
    if upstream.failures_in_row:
        events.log(events.Event.UPSTREAM_RETURNED, upstream=upstream.instance)
    upstream.failures_in_row = 0


def pause_after_refusal(upstream: Upstream, now_s: float) -> None:
    """Pause an upstream briefly after it refused a request."""
    upstream.refused_until = now_s + REFUSED_PAUSE_S


def pause_ranks(
    group: str, ranks: Collection[Upstream], now_s: float, reason: str
) -> None:
    """Pause the ranks of a group that lost one of them."""
    is_news = any(one.refused_until < now_s for one in ranks)
    for one in ranks:
        one.refused_until = now_s + GROUP_PAUSE_S
    if is_news:
        events.log(
            events.Event.UPSTREAM_EJECTED,
            upstream=group,
            reason=reason,
            failures=len(ranks),
            pause_ms=round(GROUP_PAUSE_S * 1000),
        )
