"""Decide where and whether a request that crashes upstreams may run."""

import time
import typing

import structlog

from .. import metrics as metrics_module
from .. import verdicts
from ..ports import catalogue
from ..reachability import peers
from ..upstreams import load_balancer as load_balancer_module

from . import detector as detector_module
from . import isolation as isolation_module
from . import registry as registry_module
from . import sharing as sharing_module
from . import unresolved as unresolved_module

MAX_CRASHES_PER_SERIES = 2
# Bounds the wait for an upstream without another suspect.
MAX_WAIT_S = 1.0
# A request one crash short of being refused runs only while another upstream
# of its service remains, or once its last crash is this long ago.
SPARE_REQUIRED_S = 15.0
REFUSED_RETRY_AFTER_S = 5.0
SUSPECT_RETRY_AFTER_S = 0.5

LOG = structlog.get_logger(__name__)


class Placement(typing.NamedTuple):
    """An upstream chosen for an attempt."""

    entry: catalogue.UpstreamEntry
    # No other suspect is sent there until the placement is released.
    is_reserved: bool


ListEntries = typing.Callable[[], list[catalogue.UpstreamEntry]]


class CrashGuard:
    """Judge requests by the crashes under them, at any instance."""

    def __init__(
        self,
        registry: registry_module.CrashRegistry,
        sharing: sharing_module.CrashSharing,
        detector: detector_module.CrashDetector,
        unresolved: unresolved_module.UnresolvedAttempts,
        load_balancer: load_balancer_module.LoadBalancer,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._registry = registry
        self._sharing = sharing
        self._detector = detector
        self._unresolved = unresolved
        self._load_balancer = load_balancer
        self._metrics = metrics
        self._isolation = isolation_module.Isolation()

    def choose(
        self,
        digest: str,
        list_entries: ListEntries,
        tried: set[str],
        remaining_s: float,
        kind: str = '',
    ) -> Placement | None:
        """Choose an upstream; a suspect waits for one without another.

        Returns None if there is none. Each placement must be released.
        """
        if self._registry.standing(digest) is registry_module.Standing.CLEAR:
            entries = list_entries()
            live = self._without_ended(entries) or entries
            entry = self._load_balancer.choose(live, tried, kind)
            return Placement(entry, False) if entry else None
        entry = self._isolation.reserve(
            digest,
            lambda: self._entries_for_suspect(digest, list_entries(), tried),
            lambda free: self._load_balancer.choose(free, tried, kind),
            min(remaining_s, MAX_WAIT_S),
        )
        return Placement(entry, True) if entry else None

    def release(self, placement: Placement) -> None:
        """Free an upstream for other suspects after an attempt."""
        if placement.is_reserved:
            self._isolation.release(placement.entry)

    def may_retry(self, digest: str, crashes_in_series: int) -> bool:
        """Return whether another upstream may be tried after a failure."""
        return (
            crashes_in_series < MAX_CRASHES_PER_SERIES
            and not self._is_refused(digest)
        )

    def refusal(self, digest: str) -> verdicts.Refusal | None:
        """Return the refusal of a request that has not run, if it has one.

        None if no crashes are known under it.
        """
        standing = self._registry.standing(digest)
        if standing is registry_module.Standing.CLEAR:
            return None
        if standing is registry_module.Standing.REFUSED:
            return verdicts.unavailable(
                'crashes_upstreams',
                'upstreams end under this request',
                REFUSED_RETRY_AFTER_S,
            )
        return verdicts.unavailable(
            'suspected_crash',
            'upstreams ended under this request; none is free to try it',
            SUSPECT_RETRY_AFTER_S,
        )

    def record_completion(self, digest: str, request_id: str) -> None:
        """Clear a request that an upstream has completed with success."""
        self._unresolved.forget_request(digest)
        crashes = self._registry.clear(digest)
        if not crashes:
            return
        self._metrics.count('crashes.cleared')
        LOG.info(
            'request cleared, an upstream completed it',
            request=request_id,
            digest=digest,
            crashes=len(crashes),
        )
        self._sharing.withdraw(crashes)

    def record_failure(
        self,
        digest: str,
        request_id: str,
        entry: catalogue.UpstreamEntry,
        ending: unresolved_module.Ending,
    ) -> bool:
        """Record a crash if the upstream ended; return whether it did.

        Otherwise the crash is recorded once the end shows.
        """
        attempt = unresolved_module.UnresolvedAttempt(
            digest,
            request_id,
            entry,
            ending,
            time.monotonic(),
        )
        if self._has_ended(attempt):
            self.record_crash(attempt)
            return True
        self._keep(attempt)
        return False

    def record_crash(
        self, attempt: unresolved_module.UnresolvedAttempt
    ) -> None:
        """Count the crash of an upstream under a request, everywhere."""
        digest, request_id, entry, ending, _ = attempt
        crash = attempt.crash
        displaced = self._registry.add(crash)
        self._sharing.publish(crash, request_id)
        self._sharing.withdraw(displaced)
        crashes = self._registry.crash_count(digest)
        is_verdict = crashes >= registry_module.MAX_CRASHES
        kind = 'verdicts' if is_verdict else 'suspicions'
        self._metrics.count(f'crashes.{kind}')
        LOG.warning(
            'upstream crashed under a request',
            request=request_id,
            digest=digest,
            upstream=entry.id,
            service=entry.service,
            ending=ending.value,
            crashes=crashes,
            standing=self._registry.standing(digest).value,
        )

    def _keep(self, attempt: unresolved_module.UnresolvedAttempt) -> None:
        given_up = self._unresolved.add(attempt)
        if given_up is None:
            return
        self._metrics.count('crashes.attempts_given_up')
        LOG.warning(
            'too many attempts without a response; one is given up',
            request=given_up.request_id,
            digest=given_up.digest,
            upstream=given_up.entry.id,
        )

    def _is_refused(self, digest: str) -> bool:
        standing = self._registry.standing(digest)
        return standing is registry_module.Standing.REFUSED

    def _has_ended(self, attempt: unresolved_module.UnresolvedAttempt) -> bool:
        entry = attempt.entry
        if self._registry.has_ended(entry.incarnation):
            return True
        if attempt.ending is not unresolved_module.Ending.CUT:
            # A probe would tell nothing: the upstream may end any moment.
            return False
        finding = self._detector.examine(entry)
        LOG.info(
            'upstream examined after a cut',
            request=attempt.request_id,
            digest=attempt.digest,
            upstream=entry.id,
            born=entry.born,
            service=entry.service,
            probe=finding.probe.value,
            is_replaced=finding.is_replaced,
            sibling=finding.sibling,
            peers={
                report.instance: _describe(report, entry)
                for report in finding.reports
            },
            has_ended=finding.has_ended,
        )
        if finding.has_ended:
            self._registry.record_end(entry.incarnation)
        return finding.has_ended

    def _entries_for_suspect(
        self,
        digest: str,
        entries: list[catalogue.UpstreamEntry],
        tried: set[str],
    ) -> list[catalogue.UpstreamEntry]:
        """Return the upstreams that a suspect may run at or wait for."""
        if self._is_refused(digest):
            return []
        live = self._without_ended(entries)
        if len(live) < 2 and self._needs_spare(digest):
            return []
        return [entry for entry in live if entry.id not in tried]

    def _without_ended(
        self, entries: list[catalogue.UpstreamEntry]
    ) -> list[catalogue.UpstreamEntry]:
        """Leave out upstreams that crashed, but are still registered."""
        return [
            entry
            for entry in entries
            if not self._registry.has_ended(entry.incarnation)
        ]

    def _needs_spare(self, digest: str) -> bool:
        return (
            self._registry.crash_count(digest)
            >= registry_module.NEAR_MAX_CRASHES
            and self._registry.last_crash_age_s(digest) < SPARE_REQUIRED_S
        )


def _describe(
    report: peers.ReachReport, entry: catalogue.UpstreamEntry
) -> float | str:
    """Return how long ago an instance connected to an upstream, if it did."""
    if entry.id not in report.reached:
        return 'not reached'
    return report.ages_s.get(entry.id, 'reached, at an unknown time')
