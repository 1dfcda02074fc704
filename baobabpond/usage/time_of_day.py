"""Tell the time of day, also where the clock of this machine is off.

Instances append their time of day with their counts. Where this instance's
clock differs from that of most, it was stepped, and theirs is used.
"""

import collections
import statistics
import threading
import time
import typing

from .. import clock

# Above what clocks differ by in general, and the time of an append.
MARGIN_S = 0.3
# Of an instance's last records, the one that is surely prompt tells whether
# clocks differ, and the one that took the least time by how much.
KEPT_SAMPLES = 8
# Instances without a newer sample are left out.
MAX_SAMPLE_AGE_S = 120.0
# Own records that took longer tell nothing of those of others.
MAX_DELAY_S = 1.0
# Clocks, with this instance's own, without which there is no majority.
MIN_CLOCKS = 3


class Sample(typing.NamedTuple):
    """What a record says about the clock of the instance that appended it."""

    # On the boot-time clock of this instance.
    read_at: float
    # Time of day at the zero of that clock, if the record took no time.
    offset_s: float
    # The record took no longer than this.
    max_delay_s: float


class TimeOfDay:
    """Compare this instance's clock with those of the others."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: dict[str, collections.deque[Sample]] = {}
        # How long this instance's own records took until it read them.
        self._delays: collections.deque[float] = collections.deque(
            maxlen=KEPT_SAMPLES
        )

    @property
    def difference_s(self) -> float:
        """Return the seconds by which this clock is ahead of most.

        Negative if it is behind, 0 if the difference is within MARGIN_S.
        """
        now_boot_s = clock.since_boot_s()
        own = time.time() - now_boot_s
        with self._lock:
            recent = [
                list(kept)
                for kept in self._samples.values()
                if now_boot_s - kept[-1].read_at <= MAX_SAMPLE_AGE_S
            ]
            delay_s = min(self._delays, default=0.0)
        if len(recent) + 1 < MIN_CLOCKS:
            return 0.0
        samples = [
            min(kept, key=lambda sample: sample.max_delay_s) for kept in recent
        ]
        # A record that is read late makes this clock look ahead.
        ahead = sum(
            own > sample.offset_s + sample.max_delay_s + MARGIN_S
            for sample in samples
        )
        behind = sum(own < sample.offset_s - MARGIN_S for sample in samples)
        if 2 * max(ahead, behind) <= len(samples) + 1:
            return 0.0
        # A record that took longer has a lower offset.
        offsets = [max(sample.offset_s for sample in kept) for kept in recent]
        return own - statistics.median(offsets) - delay_s

    def now_unix_s(self) -> float:
        """Return the corrected time of day, in seconds since 1970."""
        return time.time() - self.difference_s

    def record_own(self, unix_s: float) -> None:
        """Record the time of day of an append that was read back now."""
        delay_s = time.time() - unix_s
        # Otherwise the clock was stepped meanwhile, or the log was away.
        if 0 <= delay_s <= MAX_DELAY_S:
            with self._lock:
                self._delays.append(delay_s)

    def record(self, sender: str, unix_s: float, max_delay_s: float) -> None:
        """Record the time of day that another instance has appended.

        The record was appended at most max_delay_s seconds ago.
        """
        now_boot_s = clock.since_boot_s()
        sample = Sample(now_boot_s, unix_s - now_boot_s, max_delay_s)
        with self._lock:
            self._samples.setdefault(
                sender, collections.deque(maxlen=KEPT_SAMPLES)
            ).append(sample)
            for other in list(self._samples):
                age_s = now_boot_s - self._samples[other][-1].read_at
                if age_s > MAX_SAMPLE_AGE_S:
                    del self._samples[other]
