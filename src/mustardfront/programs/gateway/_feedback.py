"""What the responses and the ends of attempts tell about an upstream."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Final

from mustardfront import events
from mustardfront.coordination.quarantine import LOGGED_NAMES_MAX
from mustardfront.coordination.traffic import (
    RateLimitNotice,
    Upstream,
    parse_rate_limit,
    parse_retry_after,
)
from mustardfront.programs.gateway._choice import Forwarder, RetryState
from mustardfront.programs.gateway._crash import is_listening
from mustardfront.programs.gateway._request import GatewayRequest

# Statuses with which an upstream turns a request away for the moment.
_RETRY_LATER_STATUSES: Final = frozenset({429, 503})


def record_rate_limit(
    fwd: Forwarder, upstream: Upstream, status: int, headers: Mapping[bytes, bytes]
) -> None:
    """Take over the limit that a response names, or the end of one."""
    if status == 421:
        # Another process may have taken over the address.
        return
    per_s = parse_rate_limit(headers.get(fwd.header_names.rate_limit, b""))
    if per_s is None and not 200 <= status < 300:
        # Error responses may be written without the header.
        return
    notice = RateLimitNotice(upstream.incarnation, per_s)
    if fwd.state.rate_limits.record(notice, source="response"):
        fwd.rate_limit_notices.put(upstream.incarnation, notice)


def record_retry_after(
    fwd: Forwarder,
    req: GatewayRequest,
    upstream: Upstream,
    status: int,
    headers: Mapping[bytes, bytes],
) -> None:
    """Take over the time in which an upstream that refused wants no requests."""
    delay_s = parse_retry_after(headers.get(b"retry-after", b""))
    if status not in _RETRY_LATER_STATUSES or delay_s is None:
        return
    fwd.state.backoffs.record(upstream.incarnation, delay_s)
    events.log(
        events.Event.RETRY_AFTER_RECEIVED,
        request_id=req.request_id,
        upstream=upstream.instance,
        status=status,
        retry_after_ms=round(delay_s * 1000),
    )


async def record_closed_attempt(
    fwd: Forwarder,
    req: GatewayRequest,
    upstream: Upstream,
    retry: RetryState,
    event_count: int,
    sent_s: float,
) -> None:
    """Find out whether the upstream crashed, and whether this request is a suspect.

    A request that had produced output did not crash the upstream. ``sent_s`` is when
    this one was sent, in Unix seconds.
    """
    elapsed_s = time.time() - sent_s
    listens = await is_listening(upstream.announced.address)
    events.log(
        events.Event.ATTEMPT_CLOSED,
        request_id=req.request_id,
        upstream=upstream.instance,
        group=upstream.group,
        shared_parts=req.content.parts[-LOGGED_NAMES_MAX:],
        part_count=len(req.content.parts),
        stream_events=event_count,
        elapsed_ms=round(elapsed_s * 1000),
        listens=listens,
    )
    if listens is False and event_count == 0:
        evidence = fwd.state.crash_evidence
        retry.may_crash_another = not evidence.is_proven(req.content)
        fwd.crash_reporter.record(upstream, req.content, sent_s)
