"""The log sink limits the rate and memory of log lines and never blocks."""

from __future__ import annotations

import json
import os

import trio
import trio.testing

from mustardfront.log_sink import LINES_PER_S_MAX, QUEUE_MAX_BYTES, LogSink


def read_lines(fd: int) -> list[dict]:
    return [json.loads(line) for line in os.read(fd, 1 << 20).splitlines()]


def test_lines_over_the_rate_limit_are_dropped_and_counted():
    """Guards against a burst of events whose logging uses up the processor time."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = LogSink(writer)
    for number in range(LINES_PER_S_MAX + 50):
        sink({"timestamp": 5.0, "n": number})
    sink.flush()
    written = read_lines(reader)
    assert len(written) == LINES_PER_S_MAX + 1
    assert written[-1] == {"message_type": "log-lines-dropped", "count": 50}
    os.close(reader)
    os.close(writer)


def test_flush_does_not_block_when_the_reader_stops():
    """Guards against blocking writes, and against a queue that grows without limit."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = LogSink(writer)
    for second in range(200):
        for _ in range(100):
            sink({"timestamp": float(second), "text": "x" * 200})
        sink.flush()
    assert sink.dropped > 0
    assert sink._queued_bytes <= QUEUE_MAX_BYTES + 1_000
    os.close(reader)
    os.close(writer)


async def test_run_writes_lines_without_a_call_of_flush():
    reader, writer = os.pipe()
    sink = LogSink(writer)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(sink.run)
        await trio.testing.wait_all_tasks_blocked()
        sink({"timestamp": 1.0, "n": 1})
        with trio.fail_after(5):
            await trio.lowlevel.wait_readable(reader)
        assert read_lines(reader) == [{"timestamp": 1.0, "n": 1}]
        nursery.cancel_scope.cancel()
    os.close(reader)
    os.close(writer)
