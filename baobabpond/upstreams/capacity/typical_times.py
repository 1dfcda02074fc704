"""Learn the typical time of each kind of work, over all upstreams."""

import math

# The first samples of a kind have equal weights; later ones move its time
# slowly, so that samples of different upstreams remain comparable.
TIME_CONSTANT_S = 20.0
EQUAL_SAMPLES = 200
# A single sample counts at most as much as one that differs by this factor.
MAX_FACTOR = 4.0


class TypicalTime:
    """Learn the geometric mean time of one kind of work."""

    def __init__(self, initial_s: float) -> None:
        self._log_s = math.log(initial_s)
        self._samples = 0
        self._observed_at = -math.inf

    @property
    def seconds(self) -> float:
        """Return the typical time."""
        return math.exp(self._log_s)

    def observe(self, took_s: float, now: float) -> None:
        """Add a sample."""
        self._samples += 1
        if self._samples == 1:
            self._log_s = math.log(took_s)
            self._observed_at = now
            return
        step = 1.0 - math.exp(-(now - self._observed_at) / TIME_CONSTANT_S)
        if self._samples <= EQUAL_SAMPLES:
            step = max(step, 1.0 / self._samples)
        self._observed_at = now
        limit = math.log(MAX_FACTOR)
        difference = math.log(took_s) - self._log_s
        self._log_s += min(step, 0.5) * max(-limit, min(limit, difference))


class TypicalTimes:
    """Learn the typical times of the kinds of work of one service."""

    def __init__(self, initial_s: float) -> None:
        self._initial_s = initial_s
        self._times: dict[str, TypicalTime] = {}

    @property
    def are_known(self) -> bool:
        """Return whether there were samples of any upstream."""
        return bool(self._times)

    def seconds(self, kind: str) -> float:
        """Return the typical time of a kind of work on an idle upstream."""
        time = self._times.get(kind)
        return time.seconds if time else self._initial_s

    def observe(self, kind: str, took_s: float, now: float) -> None:
        """Add a sample, already divided by the usual effect of load."""
        time = self._times.setdefault(kind, TypicalTime(self._initial_s))
        time.observe(took_s, now)
