"""Conclude that this instance is cut off from a service, and for how long."""

import random
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import catalogue

from . import judgement
from . import peers as peers_module
from . import prober as prober_module
from . import sharing as sharing_module
from . import tracker as tracker_module

# Between the checks of a service that is reached or down.
MIN_CHECK_INTERVAL_S = 1.0
# Between the attempts to reach a service from which the instance is cut off.
RECHECK_INTERVAL_S = 0.5
# Reports are renewed after this time.
REPORT_TTL_S = 3.0
# A service that no other instance has reached for this long is down.
MAX_REPORT_AGE_S = 9.0
# Where most instances are cut off, the first ones that are asked may all be.
MAX_ROUNDS = 3

LOG = structlog.get_logger(__name__)


class Cut(typing.NamedTuple):
    """The belief that this instance does not reach a service."""

    since: float
    asked_at: float
    reported_at: float
    # Of the instances that reach upstreams of the service, as last heard.
    reports: tuple[peers_module.ReachReport, ...]


class ReachMonitor:
    """Check services after failures, one thread for each that is in doubt."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        tracker: tracker_module.PathTracker,
        prober: prober_module.Prober,
        peer_query: peers_module.PeerQuery,
        records: sharing_module.CutRecords,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._directory = directory
        self._tracker = tracker
        self._prober = prober
        self._peer_query = peer_query
        self._records = records
        self._metrics = metrics
        self._lock = threading.Lock()
        self._cuts: dict[str, Cut] = {}
        self._in_doubt: set[str] = set()
        self._checked_at: dict[str, float] = {}
        tracker.set_listener(self.suspect)

    @property
    def cut_off_services(self) -> frozenset[str]:
        """Return the services from which this instance is cut off."""
        return frozenset(self._cuts)

    def cut_from(self, service: str) -> Cut | None:
        """Return the cut from a service, None if there is none."""
        return self._cuts.get(service)

    def suspect(self, suspicion: tracker_module.Suspicion) -> None:
        """Check a service in the background after a failure."""
        service = suspicion.entry.service
        now = time.monotonic()
        with self._lock:
            checked_at = self._checked_at.get(service, tracker_module.NEVER)
            if service in self._in_doubt:
                return
            if now - checked_at < MIN_CHECK_INTERVAL_S:
                return
            self._in_doubt.add(service)
        threading.Thread(
            target=self._watch,
            args=(suspicion,),
            name=f'reach-{service}',
            daemon=True,
        ).start()

    def check(self, suspicion: tracker_module.Suspicion) -> bool:
        """Judge a service after a failure; return whether it is cut off."""
        entry = suspicion.entry
        others = [
            other
            for other in self._directory.usable(entry.service)
            if other.id != entry.id
        ]
        paths = (self._tracker.path_to(other) for other in others)
        if judgement.is_explained(suspicion, paths):
            return False
        self._metrics.count('reachability.checks')
        probed = self._probe(suspicion, others)
        reports: list[peers_module.ReachReport] = []
        if not probed.reached:
            reports = self._ask(probed.failing)
        standing = judgement.judge(
            probed.failing,
            probed.reached,
            {upstream for each in reports for upstream in each.reached},
        )
        LOG.info(
            'path to a service checked',
            service=entry.service,
            after=entry.id,
            is_silence=suspicion.is_silence,
            failing=[each.id for each in probed.failing],
            reached=[each.id for each in probed.reached],
            reached_by=[each.instance for each in reports],
            outcome=standing.value,
        )
        if standing is not judgement.Standing.CUT_OFF:
            return False
        self._enter(entry.service, reports)
        return True

    def recheck(self, service: str) -> bool:
        """Try to reach a service again; return whether it is cut off still."""
        cut = self._cuts[service]
        entries = self._directory.usable(service)
        count = min(judgement.MIN_OTHERS_FAILING, len(entries))
        probed = self._prober.probe(random.sample(entries, count))
        if not probed.failing:
            # All were reached, or the service has no upstreams any more.
            self._leave(service, probed.reached)
            return False
        now = time.monotonic()
        if now - cut.reported_at > MAX_REPORT_AGE_S:
            self._leave(service, [])
            return False
        if now - cut.asked_at > REPORT_TTL_S:
            self._renew(service, cut, probed.failing[:1])
        return True

    def _probe(
        self,
        suspicion: tracker_module.Suspicion,
        others: list[catalogue.UpstreamEntry],
    ) -> prober_module.ProbeResult:
        """Connect to the upstreams that tell a cut from another failure."""
        entry = suspicion.entry
        if suspicion.is_silence:
            probed = self._prober.probe([entry])
            if probed.reached:
                # It is slow, not out of reach.
                return probed
        if len(others) < judgement.MIN_OTHERS_FAILING:
            return self._prober.probe([entry, *others])
        sample = random.sample(others, judgement.MIN_OTHERS_FAILING)
        probed = self._prober.probe(sample)
        return probed._replace(failing=[entry, *probed.failing])

    def _renew(
        self,
        service: str,
        cut: Cut,
        failing: list[catalogue.UpstreamEntry],
    ) -> None:
        """Ask again who reaches a service."""
        reports = self._ask(failing)
        now = time.monotonic()
        renewed = cut._replace(asked_at=now)
        if reports:
            renewed = renewed._replace(reported_at=now, reports=tuple(reports))
        with self._lock:
            self._cuts[service] = renewed

    def _watch(self, suspicion: tracker_module.Suspicion) -> None:
        service = suspicion.entry.service
        try:
            is_cut_off = self.check(suspicion)
            while is_cut_off:
                time.sleep(RECHECK_INTERVAL_S * random.uniform(0.8, 1.2))
                is_cut_off = self.recheck(service)
        except Exception:
            LOG.exception('checking the path to a service failed')
            self._leave(service, [])
        finally:
            with self._lock:
                self._in_doubt.discard(service)
                self._checked_at[service] = time.monotonic()

    def _ask(
        self, failing: list[catalogue.UpstreamEntry]
    ) -> list[peers_module.ReachReport]:
        """Return the reports of instances that reach what fails here."""
        for _ in range(MAX_ROUNDS):
            reports = [
                report
                for report in self._peer_query.ask(failing)
                if report.reached
            ]
            if reports:
                return reports
        return []

    def _enter(
        self, service: str, reports: list[peers_module.ReachReport]
    ) -> None:
        now = time.monotonic()
        with self._lock:
            self._cuts[service] = Cut(now, now, now, tuple(reports))
            self._publish()
        self._metrics.count('reachability.cuts')
        LOG.warning(
            'cut off from a service that others reach',
            service=service,
            reached_by=[each.instance for each in reports],
        )
        self._suspect_others()

    def _suspect_others(self) -> None:
        """Check the other services too: most cuts concern them all."""
        now = time.monotonic()
        by_service = {
            entry.service: entry for entry in self._directory.entries()
        }
        for service, entry in by_service.items():
            if service not in self._cuts:
                self.suspect(tracker_module.Suspicion(entry, now, False))

    def _leave(
        self, service: str, reached: list[catalogue.UpstreamEntry]
    ) -> None:
        with self._lock:
            cut = self._cuts.pop(service, None)
            self._publish()
        if cut is None:
            return
        LOG.info(
            'service reached again' if reached else 'service gone or down',
            service=service,
            reached=[entry.id for entry in reached],
            cut_for_s=round(time.monotonic() - cut.since, 3),
        )

    def _publish(self) -> None:
        """Tell the cuts; the caller holds the lock, so that none is lost."""
        self._records.set_own(frozenset(self._cuts))
