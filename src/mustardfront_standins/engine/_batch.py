"""Continuous batching: one loop that gives every running sequence a token a step."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from mustardfront_standins.tokens import token_at

# A sequence whose reader is this many tokens behind takes no part in a step.
READER_BACKLOG_TOKENS = 16


@dataclass(eq=False)
class Sequence:
    """A running request: its next position, its end and its unread tokens."""

    request_id: str
    prompt: str
    position: int
    end: int
    prefill_s: float
    out: trio.MemorySendChannel[tuple[int, str]]
    cancelled: bool = False


@dataclass
class Batch:
    """The running and the waiting sequences of an engine with ``slots`` places."""

    slots: int
    step_s: float
    # Multiplies the step time, to make one engine slower than the others.
    slow_factor: float = 1.0
    # Adds to the step time for each running sequence.
    step_per_sequence_s: float = 0.0
    on_admit: Callable[[Sequence], float] = lambda _sequence: 0.0
    running: list[Sequence] = field(default_factory=list)
    waiting: deque[Sequence] = field(default_factory=deque)
    steps: int = 0
    _work: trio.Event = field(default_factory=trio.Event)

    def add(
        self, request_id: str, prompt: str, start: int, end: int
    ) -> tuple[Sequence, trio.MemoryReceiveChannel[tuple[int, str]]]:
        """Queue a sequence; its (position, token) pairs come from the channel."""
        send, receive = trio.open_memory_channel[tuple[int, str]](READER_BACKLOG_TOKENS)
        sequence = Sequence(request_id, prompt, start, end, 0.0, send)
        self.waiting.append(sequence)
        self._work.set()
        return sequence, receive

    def cancel(self, request_id: str) -> bool:
        """Cancel all sequences of a request; say whether there was one."""
        found = False
        for sequence in (*self.running, *self.waiting):
            if sequence.request_id == request_id:
                sequence.cancelled = found = True
        return found

    async def run(self) -> None:
        """Step while there is work, until cancelled."""
        while True:
            if not self.running and not self.waiting:
                self._work = trio.Event()
                await self._work.wait()
            prefill_s = self._admit()
            step_s = self.step_s + self.step_per_sequence_s * len(self.running)
            await trio.sleep(step_s * self.slow_factor + prefill_s)
            self._step()

    def _admit(self) -> float:
        """Move waiting sequences to free slots; return their prefill time in s."""
        prefill_s = 0.0
        while self.waiting and len(self.running) < self.slots:
            sequence = self.waiting.popleft()
            if sequence.cancelled:
                sequence.out.close()
                continue
            prefill_s += self.on_admit(sequence)
            self.running.append(sequence)
        return prefill_s

    def _step(self) -> None:
        self.steps += 1
        still_running = []
        for sequence in self.running:
            if self._advance(sequence):
                still_running.append(sequence)
            else:
                sequence.out.close()
        self.running = still_running

    def _advance(self, sequence: Sequence) -> bool:
        """Give one token to a sequence; say whether it goes on."""
        if sequence.cancelled:
            return False
        if sequence.position >= sequence.end:
            return False
        token = token_at(sequence.prompt, sequence.position)
        try:
            sequence.out.send_nowait((sequence.position, token))
        except trio.WouldBlock:
            return True
        except trio.BrokenResourceError:
            return False
        sequence.position += 1
        return sequence.position < sequence.end
