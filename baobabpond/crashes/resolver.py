"""Find out later whether an upstream ended under an attempt that failed."""

import collections.abc
import enum
import threading
import time

import structlog

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import catalogue

from . import detector as detector_module
from . import registry as registry_module
from . import unresolved as unresolved_module

POLL_S = 0.1
# Heartbeats that an upstream misses before its registration lapses.
LAPSE_INTERVALS = 3
# For a lapse to reach this instance.
LAPSE_MARGIN_S = 2.0

LOG = structlog.get_logger(__name__)

# Counts a crash under an attempt.
RecordCrash = collections.abc.Callable[
    [unresolved_module.UnresolvedAttempt], None
]


class Resolution(enum.Enum):
    """Tell what an upstream did after an attempt; logs show the value."""

    ENDED = 'ended'
    # It leaves as planned, or lives on without a registration.
    LEFT = 'left'
    # Its registration outlived the time in which it would have lapsed.
    STAYED = 'stayed'


class CrashResolver:
    """Compare failed attempts with the registrations of their upstreams.

    An end that is over before anybody probes, or that makes no noise, shows
    in the directory: the upstream is replaced, or its registration lapses.
    """

    def __init__(
        self,
        unresolved: unresolved_module.UnresolvedAttempts,
        registry: registry_module.CrashRegistry,
        directory: directory_module.UpstreamDirectory,
        detector: detector_module.CrashDetector,
        record_crash: RecordCrash,
        heartbeat_s: float,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._unresolved = unresolved
        self._registry = registry
        self._directory = directory
        self._detector = detector
        self._record_crash = record_crash
        self._stays_after_s = LAPSE_INTERVALS * heartbeat_s + LAPSE_MARGIN_S
        self._metrics = metrics

    def start(self) -> None:
        """Resolve attempts in a background thread."""
        threading.Thread(
            target=self._run, name='crash-resolver', daemon=True
        ).start()

    def resolve_all(self) -> None:
        """Resolve the attempts whose upstreams' fate is known by now."""
        for attempts in self._unresolved.by_incarnation().values():
            resolution = self._resolve(attempts[0].entry)
            if resolution is not None:
                self._settle(attempts, resolution)
            else:
                self._settle(
                    [
                        attempt
                        for attempt in attempts
                        if unresolved_module.age_s(attempt)
                        > self._stays_after_s
                    ],
                    Resolution.STAYED,
                )

    def _resolve(self, entry: catalogue.UpstreamEntry) -> Resolution | None:
        """Return what became of an upstream, None if that is not known."""
        if self._registry.has_ended(entry.incarnation):
            return Resolution.ENDED
        presence = self._directory.presence(entry)
        if presence is directory_module.Presence.LEAVING:
            return Resolution.LEFT
        if presence is directory_module.Presence.REPLACED:
            return Resolution.ENDED
        if presence is directory_module.Presence.GONE:
            return self._resolve_gone(entry)
        return None

    def _resolve_gone(
        self, entry: catalogue.UpstreamEntry
    ) -> Resolution | None:
        """Tell an upstream that ended from one that only lost its entry."""
        lives = self._detector.lives(entry)
        if lives is None:
            return None
        return Resolution.LEFT if lives else Resolution.ENDED

    def _settle(
        self,
        attempts: list[unresolved_module.UnresolvedAttempt],
        resolution: Resolution,
    ) -> None:
        self._unresolved.remove(attempts)
        for attempt in attempts:
            self._metrics.count(f'crashes.attempts_{resolution.value}')
            LOG.info(
                'attempt without a response resolved',
                request=attempt.request_id,
                digest=attempt.digest,
                upstream=attempt.entry.id,
                born=attempt.entry.born,
                ending=attempt.ending.value,
                age_s=round(unresolved_module.age_s(attempt), 3),
                outcome=resolution.value,
            )
            if resolution is Resolution.ENDED:
                self._record_crash(attempt)

    def _run(self) -> None:
        while True:
            self._unresolved.wait()
            try:
                self.resolve_all()
            except Exception:
                # The thread must outlive a failure of one pass.
                LOG.exception('resolving failed attempts failed')
            time.sleep(POLL_S)
