"""The real sidecar process against real stand-ins, with kills and freezes."""

import pytest

from mustardfront.codes import Code
from mustardfront.protocol import End
from mustardfront_standins.tokens import answer_tokens
from running import (
    KEY,
    caller,
    completion,
    make_config,
    sidecar,
    standin,
)


@pytest.fixture
def key_file(tmp_path):
    path = tmp_path / "key"
    path.write_bytes(KEY)
    return path


async def test_stream_arrives_whole_after_the_first_configuration(key_file):
    # Guards against a sidecar that needs a configuration to start, or a short answer.
    async with (
        standin("engine", "--step-ms", "1") as (_, ready),
        standin("kv") as (_, kv),
        sidecar(ready["url"], key_file, kv["url"]) as (_, address),
        caller(address) as one,
    ):
        early = await one.run(completion("p", 8))
        assert early.last.code == Code.NOT_READY and early.last.not_run
        await one.push(make_config())
        got = await one.run(completion("p", 200))
        assert got.tokens == answer_tokens("p", 200)
        assert got.last == End(got.last.stream, Code.ANSWERED, "answered", 200)
