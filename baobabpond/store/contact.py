"""Track in which periods reads of a partition succeed."""

import threading
import time
import typing

# A shorter contact does not end an outage: the log may answer now and then.
MIN_CONTACT_S = 1.0


class Outage(typing.NamedTuple):
    """A period in which reads failed, in monotonic seconds."""

    # The last successful read before it.
    started_at: float
    # The start of the last read that failed.
    last_tried_at: float
    # The first successful read after it.
    ended_at: float

    @property
    def duration_s(self) -> float:
        """Return the duration in seconds."""
        return self.ended_at - self.started_at

    def ending_by(self, answered_at: float) -> 'Outage':
        """Return the outage as seen by a call that was answered earlier.

        A read that hangs may end long after the log answers other calls. An
        answer from before that read tells nothing of its partition.
        """
        if self.last_tried_at < answered_at < self.ended_at:
            return self._replace(ended_at=answered_at)
        return self


class Contact:
    """Record successful and failed reads."""

    def __init__(self, max_age_s: float) -> None:
        self._max_age_s = max_age_s
        self._lock = threading.Lock()
        self._last = float('-inf')
        self._started = float('-inf')
        # The outage that lasts, or the last one.
        self._outage: Outage | None = None

    @property
    def age_s(self) -> float:
        """Return the seconds since the last successful read."""
        return time.monotonic() - self._last

    @property
    def is_established(self) -> bool:
        """Return whether the last read that ended has succeeded."""
        return self._started > float('-inf')

    @property
    def is_overdue(self) -> bool:
        """Return whether no read has succeeded for longer than one takes."""
        return not self.is_established or self.age_s > self._max_age_s

    @property
    def duration_s(self) -> float:
        """Return for how many seconds reads have succeeded without a gap."""
        if self.is_overdue:
            return 0.0
        return time.monotonic() - self._started

    @property
    def last_outage(self) -> Outage | None:
        """Return the last period of failed reads; one that lasts ends now."""
        if self._outage is None or self.is_established:
            return self._outage
        return self._outage._replace(ended_at=time.monotonic())

    def silence_s(self, since: float) -> float:
        """Return for how many seconds the log is known to have been silent.

        Silent means without new records. Measured from a monotonic time to the
        last successful read; time before the current period of contact does
        not count.
        """
        if not self.is_established:
            return 0.0
        return max(0.0, self._last - max(since, self._started))

    def record_success(self) -> bool:
        """Record a successful read; return whether contact was regained."""
        with self._lock:
            now = time.monotonic()
            is_regained = self.is_overdue
            if is_regained:
                self._outage = self.last_outage
                self._started = now
            self._last = now
            return is_regained

    def record_failure(self, tried_at: float) -> bool:
        """Record a failed read and its start; return whether contact ended."""
        with self._lock:
            if not self.is_established:
                if self._outage is not None:
                    self._outage = self._outage._replace(
                        last_tried_at=tried_at
                    )
                return False
            started_at = self._last
            outage = self._outage
            if outage and self._last - outage.ended_at < MIN_CONTACT_S:
                started_at = outage.started_at
            self._outage = Outage(started_at, tried_at, float('inf'))
            self._started = float('-inf')
            return True
