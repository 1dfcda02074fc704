"""Obtain permits for requests to upstreams that state a limit."""

import random
import threading
import time
import typing

from .. import clock
from .. import metrics as metrics_module
from ..ports import catalogue

from . import bucket as bucket_module
from . import issuer as issuer_module
from . import tracker as tracker_module

# From the time at which the request may be sent. A process that was suspended
# meanwhile must not use its permit.
PERMIT_VALID_S = 0.5
# While the issuer is unknown or does not respond.
NO_ISSUER_RETRY_S = 0.3
# Instances that were refused at the same time ask again at different times.
MAX_RETRY_SPREAD = 1.5
MAX_REMEMBERED_REFUSALS = 2000


class RateLimited(Exception):
    """Raised when an upstream takes no more requests now; none was sent."""

    def __init__(
        self,
        upstream: str,
        statement: tracker_module.Statement,
        retry_s: float,
    ) -> None:
        super().__init__(f'{upstream}: limit of {statement.describe()}')
        # Seconds after which a permit may be had.
        self.retry_s = retry_s


class Permit(typing.NamedTuple):
    """Allow one request to an incarnation of an upstream."""

    incarnation: tracker_module.Incarnation
    # Boot time; infinite if the upstream states no limit.
    expires_at_boot_s: float

    @property
    def is_limited(self) -> bool:
        """Return whether the permit counts towards a limit."""
        return self.expires_at_boot_s < float('inf')


def unlimited(entry: catalogue.UpstreamEntry) -> Permit:
    """Return the permit for an upstream that states no limit."""
    return Permit(entry.incarnation, float('inf'))


class RemoteIssuer(typing.Protocol):
    """Ask the instance that issues the permits."""

    def ask(
        self,
        incarnation: tracker_module.Incarnation,
        limit: float,
        urgency: bucket_module.Urgency,
    ) -> bucket_module.Decision | None:
        """Return its decision, None if it is unknown or does not respond."""
        ...


class PermitSource(typing.Protocol):
    """Obtain permits where all requests of the owner are decided."""

    def is_limited(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return whether the upstream states a limit."""
        ...

    def has_permit(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> bool:
        """Return whether a request may be sent at once."""
        ...

    def take(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> Permit:
        """Return a permit without waiting; raise RateLimited."""
        ...

    def obtain(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> Permit:
        """Return a permit once it is due; raise RateLimited."""
        ...


class NoLimits:
    """Permit everything, where no upstream states a limit."""

    def is_limited(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return False."""
        return False

    def has_permit(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> bool:
        """Return True."""
        return True

    def take(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> Permit:
        """Return a permit."""
        return unlimited(entry)

    def obtain(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> Permit:
        """Return a permit."""
        return unlimited(entry)


class Permits:
    """Obtain permits from this instance or the one that issues them."""

    def __init__(
        self,
        limits: tracker_module.LimitTracker,
        issuer: issuer_module.PermitIssuer,
        remote: RemoteIssuer,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._limits = limits
        self._issuer = issuer
        self._remote = remote
        self._metrics = metrics
        self._lock = threading.Lock()
        # Until when the issuer need not be asked again, oldest first.
        self._refused_until: dict[
            tuple[tracker_module.Incarnation, bucket_module.Urgency], float
        ] = {}

    def is_limited(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return whether the upstream states a limit."""
        return self._limits.limit_of(entry.incarnation) is not None

    def refused_s(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> float:
        """Return for how long asking for a permit is in vain, 0 if not."""
        until = self._refused_until.get((entry.incarnation, urgency), 0.0)
        if not self.is_limited(entry):
            return 0.0
        return max(0.0, until - time.monotonic())

    def has_permit(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> bool:
        """Return whether this instance may send a request at once.

        Only the instance that issues the permits knows; others return False
        for limited upstreams.
        """
        limit = self._limits.limit_of(entry.incarnation)
        if limit is None:
            return True
        decision = self._issuer.preview(entry.incarnation, limit, urgency)
        return decision is not None and decision.is_granted

    def take(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> Permit:
        """Return a permit that this instance issues to itself.

        Never blocks. Raises RateLimited.
        """
        limit = self._limits.limit_of(entry.incarnation)
        if limit is None:
            return unlimited(entry)
        asked_at = clock.since_boot_s()
        decision = self._issuer.issue(
            entry.incarnation, limit, urgency._replace(max_wait_s=0.0)
        )
        return self._evaluate(entry, decision, asked_at)

    def obtain(
        self, entry: catalogue.UpstreamEntry, urgency: bucket_module.Urgency
    ) -> Permit:
        """Return a permit for one request; wait until it is due.

        Waits no longer than the urgency allows, and for the response of the
        issuer. Raises RateLimited.
        """
        limit = self._limits.limit_of(entry.incarnation)
        if limit is None:
            return unlimited(entry)
        asked_at = clock.since_boot_s()
        if self._issuer.may_issue:
            decision = self._issuer.issue(entry.incarnation, limit, urgency)
            permit = self._evaluate(entry, decision, asked_at)
        else:
            decision = self._ask(entry, limit, urgency)
            try:
                permit = self._evaluate(entry, decision, asked_at)
            except RateLimited as error:
                self._remember_refusal(entry, urgency, error.retry_s)
                raise
        if decision is not None and decision.delay_s > 0:
            self._metrics.record('ratelimits.wait', decision.delay_s)
            time.sleep(decision.delay_s)
        return permit

    def _ask(
        self,
        entry: catalogue.UpstreamEntry,
        limit: float,
        urgency: bucket_module.Urgency,
    ) -> bucket_module.Decision | None:
        """Ask the issuer, unless it has refused lately."""
        remaining_s = self.refused_s(entry, urgency)
        if remaining_s > 0:
            raise self.refusal(entry, remaining_s)
        self._metrics.count('ratelimits.asked')
        return self._remote.ask(entry.incarnation, limit, urgency)

    def may_send(self, entry: catalogue.UpstreamEntry, permit: Permit) -> bool:
        """Return whether a permit allows a request to be sent now."""
        if permit.incarnation != entry.incarnation:
            return False
        if permit.is_limited:
            return clock.since_boot_s() < permit.expires_at_boot_s
        # The limit may have become known since the permit was obtained.
        return not self.is_limited(entry)

    def _evaluate(
        self,
        entry: catalogue.UpstreamEntry,
        decision: bucket_module.Decision | None,
        asked_at_boot_s: float,
    ) -> Permit:
        if decision is not None and decision.is_granted:
            self._metrics.count('ratelimits.granted')
            expires_at = asked_at_boot_s + decision.delay_s + PERMIT_VALID_S
            return Permit(entry.incarnation, expires_at)
        if decision is None:
            self._metrics.count('ratelimits.no_issuer')
            raise self.refusal(entry, NO_ISSUER_RETRY_S)
        self._metrics.count('ratelimits.refused')
        spread = random.uniform(1.0, MAX_RETRY_SPREAD)
        raise self.refusal(entry, spread * decision.delay_s)

    def refusal(
        self, entry: catalogue.UpstreamEntry, retry_s: float
    ) -> RateLimited:
        """Return the refusal of a request to a limited upstream."""
        statement = self._limits.statement_of(entry.incarnation)
        return RateLimited(entry.id, statement, retry_s)

    def _remember_refusal(
        self,
        entry: catalogue.UpstreamEntry,
        urgency: bucket_module.Urgency,
        retry_s: float,
    ) -> None:
        key = entry.incarnation, urgency
        with self._lock:
            self._refused_until.pop(key, None)
            self._refused_until[key] = time.monotonic() + retry_s
            if len(self._refused_until) > MAX_REMEMBERED_REFUSALS:
                del self._refused_until[next(iter(self._refused_until))]
