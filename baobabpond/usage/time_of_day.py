"""Tell the time of day, also where the clock of this machine is off.

Instances append their time of day with their counts. Where this instance's
clock differs from that of most, it was stepped, and theirs is used.
"""

import collections
import statistics
import threading
import time

from .. import clock

# Above the time that a record is on its way, below the steps that occur.
MAX_DIFFERENCE_S = 1.0
# A record may be delayed; of several of an instance, the one that was least
# delayed counts.
KEPT_SAMPLES = 3
# Instances without a newer sample are left out.
MAX_SAMPLE_AGE_S = 120.0
# Clocks, with this instance's own, without which there is no majority.
MIN_CLOCKS = 3


class TimeOfDay:
    """Compare this instance's clock with those of the others."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # By sender: when a sample was read, on the boot-time clock, and the
        # time of day at the zero of that clock.
        self._samples: dict[str, collections.deque[tuple[float, float]]] = {}
        # How long this instance's own records took until it read them.
        self._delays: collections.deque[float] = collections.deque(
            maxlen=KEPT_SAMPLES
        )

    @property
    def difference_s(self) -> float:
        """Return by how much this clock is ahead of most; 0 if within."""
        now_boot_s = clock.since_boot_s()
        own = time.time() - now_boot_s
        with self._lock:
            offsets = [
                max(offset for _, offset in samples)
                for samples in self._samples.values()
                if now_boot_s - samples[-1][0] <= MAX_SAMPLE_AGE_S
            ]
            delay_s = min(self._delays, default=0.0)
        if len(offsets) + 1 < MIN_CLOCKS:
            return 0.0
        others = [offset + delay_s for offset in offsets]
        difference_s = own - statistics.median([*others, own])
        return difference_s if abs(difference_s) > MAX_DIFFERENCE_S else 0.0

    def now_unix_s(self) -> float:
        """Return the time of day."""
        return time.time() - self.difference_s

    def record_own(self, unix_s: float) -> None:
        """Record the time of day of an append that was read back now."""
        delay_s = time.time() - unix_s
        # Otherwise the clock was stepped meanwhile, or the log was away.
        if 0 <= delay_s <= MAX_DIFFERENCE_S:
            with self._lock:
                self._delays.append(delay_s)

    def record(self, sender: str, unix_s: float) -> None:
        """Record the time of day that another instance has appended now."""
        now_boot_s = clock.since_boot_s()
        with self._lock:
            samples = self._samples.setdefault(
                sender, collections.deque(maxlen=KEPT_SAMPLES)
            )
            samples.append((now_boot_s, unix_s - now_boot_s))
            for other in list(self._samples):
                age_s = now_boot_s - self._samples[other][-1][0]
                if age_s > MAX_SAMPLE_AGE_S:
                    del self._samples[other]
