"""Carry out what is scheduled, in simulated time."""

import collections.abc
import heapq
import itertools
import time

Action = collections.abc.Callable[[], None]
# Moves the runtime's clock by some seconds.
Tick = collections.abc.Callable[[float], object]


class Schedule:
    """Hold actions by the time of the runtime's clock."""

    def __init__(self, tick: Tick) -> None:
        self._tick = tick
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, Action]] = []

    def after(self, delay_s: float, action: Action) -> None:
        """Carry out an action later; equal times keep their order."""
        entry = (time.monotonic() + delay_s, next(self._numbers), action)
        heapq.heappush(self._heap, entry)

    def every(self, period_s: float, action: Action) -> None:
        """Carry out an action again and again, at once first."""

        def again() -> None:
            action()
            self.after(period_s, again)

        self.after(0.0, again)

    def run(self, length_s: float) -> None:
        """Carry out what comes due within a time."""
        ends_at = time.monotonic() + length_s
        while self._heap and self._heap[0][0] <= ends_at:
            at, _, action = heapq.heappop(self._heap)
            self._tick(max(0.0, at - time.monotonic()))
            action()
