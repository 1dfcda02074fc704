"""Issue the permits of limited upstreams, at the owner of the shard only.

A limit holds for all instances together. The owner sends most requests itself
and its tenure is fenced by the log, so no two instances issue permits at their
full rate.
"""

import collections.abc
import threading
import time
import typing

from . import bucket as bucket_module
from . import tracker as tracker_module

# Share of the limits that an owner issues while it can't prove that no other
# instance has taken over.
UNPROVEN_SHARE = 0.5
MAX_BUCKETS = 2000


class Authority(typing.NamedTuple):
    """The right of this instance to issue permits."""

    # Differs between tenures.
    epoch: int
    # No other instance can have it now.
    is_exclusive: bool


# Returns None if this instance may not issue permits.
GetAuthority = collections.abc.Callable[[], Authority | None]


class PermitIssuer:
    """Hold a bucket for each limited upstream during a tenure."""

    def __init__(self, limits: tracker_module.LimitTracker) -> None:
        self._limits = limits
        self._get_authority: GetAuthority = lambda: None
        self._lock = threading.Lock()
        self._epoch = 0
        self._buckets: dict[
            tracker_module.Incarnation, bucket_module.PermitBucket
        ] = {}

    def set_authority(self, get_authority: GetAuthority) -> None:
        """Set the callback that returns the right to issue permits."""
        self._get_authority = get_authority

    @property
    def may_issue(self) -> bool:
        """Return whether this instance issues the permits."""
        return self._get_authority() is not None

    def issue(
        self,
        incarnation: tracker_module.Incarnation,
        limit: float,
        urgency: bucket_module.Urgency,
    ) -> bucket_module.Decision | None:
        """Decide on a request at a limit that its sender knows.

        The limit is in requests a second; the lower one of this and the own
        knowledge counts. Returns None if this instance may not decide.
        """
        return self._decide(
            incarnation, limit, urgency, bucket_module.PermitBucket.take
        )

    def preview(
        self,
        incarnation: tracker_module.Incarnation,
        limit: float,
        urgency: bucket_module.Urgency,
    ) -> bucket_module.Decision | None:
        """Return the decision on a request without issuing a permit."""
        return self._decide(
            incarnation, limit, urgency, bucket_module.PermitBucket.preview
        )

    def _decide(
        self,
        incarnation: tracker_module.Incarnation,
        limit: float,
        urgency: bucket_module.Urgency,
        decide: collections.abc.Callable[..., bucket_module.Decision],
    ) -> bucket_module.Decision | None:
        authority = self._get_authority()
        if authority is None:
            return None
        own = self._limits.limit_of(incarnation)
        rate = limit if own is None else min(limit, own)
        if not authority.is_exclusive:
            rate *= UNPROVEN_SHARE
        now = time.monotonic()
        with self._lock:
            if authority.epoch != self._epoch:
                self._epoch = authority.epoch
                self._buckets.clear()
            return decide(
                self._bucket(incarnation, now, rate), now, rate, urgency
            )

    def _bucket(
        self, incarnation: tracker_module.Incarnation, now: float, rate: float
    ) -> bucket_module.PermitBucket:
        bucket = self._buckets.pop(incarnation, None)
        if bucket is None:
            bucket = bucket_module.PermitBucket(now, rate)
        # The least recently used one comes first.
        self._buckets[incarnation] = bucket
        if len(self._buckets) > MAX_BUCKETS:
            del self._buckets[next(iter(self._buckets))]
        return bucket
