"""Upstreams that name a time in which they want no requests, or that leave."""

from __future__ import annotations

import trio

from gateway_fakes import FakeUpstream, gateway, respond, send_request

NOT_RUN = b"x-not-run: 1\r\n"


async def test_upstream_gets_no_request_in_the_time_of_its_retry_after():
    """Guards against retries that pile up at an upstream that asked for a pause."""
    busy = FakeUpstream([respond(503, extra=NOT_RUN + b"retry-after: 1.5\r\n")])
    other = FakeUpstream([respond(200)])
    async with gateway({"u1": busy, "u2": other}) as gw:
        started_at = trio.current_time()
        number = 0
        while trio.current_time() < started_at + 1.2:
            number += 1
            headers = {"x-request-id": f"r{number}"}
            response = await send_request(gw, "/get/x", headers=headers)
            assert response.status == 200
            await trio.sleep(0.02)
        assert number > 20
        assert len(busy.requests) == 1
