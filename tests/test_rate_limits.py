"""Rates of requests that upstreams name, and what entries together send them."""

from __future__ import annotations

import trio

from gateway_fakes import SEAL, FakeUpstream, gateway, respond, send_request

# An upstream may get this much in four seconds, by the users' bound.
WINDOW_S = 4.0


def requests_max(per_s: float) -> float:
    return 1.5 * per_s * WINDOW_S + 5


async def test_upstream_that_names_a_rate_gets_no_more_requests():
    """Guards against an upstream in need that gets the same load as before."""
    per_s = 0.5
    limited = FakeUpstream([respond(200, extra=SEAL + b"x-rate-limit: 0.5\r\n")])
    other = FakeUpstream([respond(200)])
    async with gateway({"u1": limited, "u2": other}) as gw:
        for number in range(60):
            headers = {"x-request-id": f"r{number}"}
            response = await send_request(gw, "/get/x", headers=headers)
            assert response.status == 200
            await trio.sleep(0.02)
    assert len(limited.requests) <= requests_max(per_s)
