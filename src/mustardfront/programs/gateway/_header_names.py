"""Names of the HTTP headers that callers and upstreams use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names of a deployment, in lower case, and its authorization scheme.

    ``instance`` is set by an upstream that receives a request for another instance.
    ``answer_seal`` is set on each successful response of an upstream. ``not_run``
    marks a response that proves that the request did not run. ``at_fault`` names the
    upstream that caused a failure. ``prompt_parts`` lists the parts of a prompt in
    order, as ID:TOKENS entries separated by commas. ``rate_limit``
    is on responses of an upstream in need: the requests a second that it takes from
    all entries together, a decimal number. ``leaving`` is 1 on all responses of an
    upstream that is about to end. ``identity_path`` is where an upstream tells about
    its process without running a request; ``born`` in it is the process's start.
    """

    request_id: bytes = b"x-request-id"
    deadline_ms: bytes = b"x-deadline-ms"
    team: bytes = b"x-team"
    priority: bytes = b"x-priority"
    expect_instance: bytes = b"x-expect-instance"
    instance: bytes = b"x-instance"
    answer_seal: bytes = b"x-answer-seal"
    not_run: bytes = b"x-not-run"
    at_fault: bytes = b"x-at-fault"
    last_event_id: bytes = b"last-event-id"
    token_counts: bytes = b"x-token-counts"
    prompt_parts: bytes = b"x-prompt-parts"
    rate_limit: bytes = b"x-rate-limit"
    leaving: bytes = b"x-leaving"
    key_scheme: str = "Bearer"
    identity_path: bytes = b"/healthz"
