"""Continuous batching: each step gives every running sequence one token."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from mustardfront_standins.tokens import token_at

# A sequence with this many unread tokens skips steps until its reader catches up.
MAX_UNREAD_TOKENS = 16


@dataclass(eq=False)
class Sequence:
    """A request with its next position, its end position and its output channel."""

    request_id: str
    prompt: str
    position: int
    end: int
    prefill_s: float
    output: trio.MemorySendChannel[tuple[int, str]]
    cancelled: bool = False


@dataclass
class Batch:
    """Running and waiting sequences of an engine that runs ``slots`` at a time."""

    slots: int
    step_s: float
    # Factor of the step time, to make one engine slower than the others.
    slow_factor: float = 1.0
    # Added to the step time for each running sequence.
    step_per_sequence_s: float = 0.0
    on_admit: Callable[[Sequence], float] = lambda _sequence: 0.0
    running: list[Sequence] = field(default_factory=list)
    waiting: deque[Sequence] = field(default_factory=deque)
    steps: int = 0
    _sequence_added: trio.Event = field(default_factory=trio.Event)

    def add(
        self, request_id: str, prompt: str, start: int, end: int
    ) -> tuple[Sequence, trio.MemoryReceiveChannel[tuple[int, str]]]:
        """Queue a sequence; return it and its channel of (position, token) pairs."""
        send, receive = trio.open_memory_channel[tuple[int, str]](MAX_UNREAD_TOKENS)
        sequence = Sequence(request_id, prompt, start, end, 0.0, send)
        self.waiting.append(sequence)
        self._sequence_added.set()
        return sequence, receive

    def cancel(self, request_id: str) -> bool:
        """Cancel all sequences of a request and return whether there were any."""
        found = False
        for sequence in (*self.running, *self.waiting):
            if sequence.request_id == request_id:
                sequence.cancelled = found = True
        return found

    async def run(self) -> None:
        """Run steps while there are sequences, until cancelled."""
        while True:
            if not self.running and not self.waiting:
                self._sequence_added = trio.Event()
                await self._sequence_added.wait()
            prefill_s = self._admit()
            step_s = self.step_s + self.step_per_sequence_s * len(self.running)
            await trio.sleep(step_s * self.slow_factor + prefill_s)
            self._run_step()

    def _admit(self) -> float:
        """Move waiting sequences to free slots; return their prefill time in s."""
        prefill_s = 0.0
        while self.waiting and len(self.running) < self.slots:
            sequence = self.waiting.popleft()
            if sequence.cancelled:
                sequence.output.close()
                continue
            prefill_s += self.on_admit(sequence)
            self.running.append(sequence)
        return prefill_s

    def _run_step(self) -> None:
        self.steps += 1
        still_running = []
        for sequence in self.running:
            if self._send_token(sequence):
                still_running.append(sequence)
            else:
                sequence.output.close()
        self.running = still_running

    def _send_token(self, sequence: Sequence) -> bool:
        """Send the next token of a sequence; return whether more tokens follow."""
        if sequence.cancelled:
            return False
        if sequence.position >= sequence.end:
            return False
        token = token_at(sequence.prompt, sequence.position)
        try:
            sequence.output.send_nowait((sequence.position, token))
        except trio.WouldBlock:
            return True
        except trio.BrokenResourceError:
            return False
        sequence.position += 1
        return sequence.position < sequence.end
