"""Requests whose content crashes upstreams, through entries over loopback sockets."""

from __future__ import annotations

import trio

from gateway_fakes import CrashingUpstream, gateway, send_request

# Five crashes show the cause; three more requests may be on their way by then.
REQUESTS_MAX = 5 + 3


async def test_prompt_part_that_crashes_upstreams_is_not_forwarded_again():
    """Guards against one crashed upstream for each new request with the part."""
    upstreams = {f"u{n}": CrashingUpstream("bad") for n in range(4)}
    async with gateway(upstreams) as gw:
        for number in range(15):
            with trio.fail_after(5):
                await send_request(
                    gw,
                    "/draft/x",
                    headers={
                        "x-request-id": f"r{number}",
                        "x-prompt-parts": f"common:40,bad:300,own{number}:9",
                    },
                    body=b"%d" % number,
                )
                sound = await send_request(
                    gw,
                    "/draft/x",
                    headers={
                        "x-request-id": f"s{number}",
                        "x-prompt-parts": f"common:40,own-s{number}:9",
                    },
                )
            await trio.sleep(0.3)
        assert sound.complete
    assert sum(one.requests_with("bad") for one in upstreams.values()) <= REQUESTS_MAX
