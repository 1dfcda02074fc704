"""Learn up to which number of concurrent requests an upstream is fast."""

import math

from . import window as window_module

# The median over this window is compared with the lowest such medians of a
# longer one. Single samples differ by the work in each request.
CURRENT_S = 2.0
BASE_S = 10.0
# Share of the medians below the windowed minimum; the lowest of all would be
# an outlier.
BASE_SHARE = 0.1
MIN_SAMPLES = 12
# An upstream is overloaded from this ratio of current to lowest slowness. The
# usual effect of load is removed before, and noise before by the median.
OVERLOAD_RATIO = 1.5
CUT_FACTOR = 0.85
UPDATE_INTERVAL_S = 0.25
# Probes of a higher limit after a cut, per second.
PROBES_PER_S = 0.5
# Share of the slots that an upstream begins with that joins others, and that
# no cut goes below.
INITIAL_SHARE = 0.5
MIN_SHARE = 0.25


class ConcurrencyLimit:
    """Learn the limit of one upstream, from slowness against load."""

    def __init__(self, slots: int, starts_slowly: bool) -> None:
        self._slots = max(1, slots)
        self.value = float(self._slots)
        if starts_slowly:
            self.value = max(1.0, self._slots * INITIAL_SHARE)
        self._has_been_cut = False
        self._current = window_module.Window(CURRENT_S)
        self._base = window_module.Window(BASE_S)
        self._updated_at = -math.inf
        self._peak_running = 0

    def observe(self, log_slowness: float, running: int, now: float) -> None:
        """Add the slowness of a unit of work, and the load at that time."""
        self._current.add(log_slowness, now)
        self._peak_running = max(self._peak_running, running)
        if now - self._updated_at < UPDATE_INTERVAL_S:
            return
        elapsed_s = min(now - self._updated_at, 1.0)
        self._updated_at = now
        self._update(self._peak_running, elapsed_s, now)
        self._peak_running = running

    def _update(self, running: int, elapsed_s: float, now: float) -> None:
        if self._is_overloaded(now):
            self._cut(running)
        elif running + 1 >= self.value:
            grown = (
                self.value + PROBES_PER_S * elapsed_s
                if self._has_been_cut
                else self.value * 2
            )
            self.value = min(float(self._slots), grown)

    def _is_overloaded(self, now: float) -> bool:
        if self._current.evidence(now) < MIN_SAMPLES:
            return False
        current = self._current.quantile(0.5, now)
        if current is None:
            return False
        self._base.add(current, now)
        base = self._base.quantile(BASE_SHARE, now)
        if base is None:
            return False
        return current - base > math.log(OVERLOAD_RATIO)

    def _cut(self, running: int) -> None:
        lowest = max(1.0, self._slots * MIN_SHARE)
        if running <= lowest:
            # It is slow with little load: its speed has changed.
            self._base.clear()
            self.value = float(self._slots)
            return
        self._has_been_cut = True
        self.value = max(lowest, min(self.value, running) * CUT_FACTOR)
