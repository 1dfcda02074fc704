"""Schedule callbacks in simulated time."""

import collections.abc
import heapq
import itertools
import time

Action = collections.abc.Callable[[], None]
# Advances the runtime's clock by a number of seconds.
AdvanceClock = collections.abc.Callable[[float], object]


class Scheduler:
    """Run actions in the order of their due times."""

    def __init__(self, advance_clock: AdvanceClock) -> None:
        self._advance_clock = advance_clock
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Action]] = []

    def call_later(self, delay_s: float, action: Action) -> None:
        """Schedule an action; those due at the same time run in call order."""
        entry = (time.monotonic() + delay_s, next(self._sequence), action)
        heapq.heappush(self._heap, entry)

    def call_every(self, period_s: float, action: Action) -> None:
        """Run an action periodically, for the first time without delay."""

        def repeat() -> None:
            action()
            self.call_later(period_s, repeat)

        self.call_later(0.0, repeat)

    def run(self, duration_s: float) -> None:
        """Advance the clock and run the actions due within a duration."""
        ends_at = time.monotonic() + duration_s
        while self._heap and self._heap[0][0] <= ends_at:
            due_at, _, action = heapq.heappop(self._heap)
            self._advance_clock(max(0.0, due_at - time.monotonic()))
            action()
