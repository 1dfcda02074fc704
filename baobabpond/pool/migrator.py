"""Migrate runs off upstreams that stall or slow down."""

import collections.abc
import time

import structlog

from .. import metrics as metrics_module

from . import backoff
from . import migration_policy
from . import placement
from . import state

CHECK_INTERVAL_S = 0.1

LOG = structlog.get_logger(__name__)

# Returns the upstreams that can run an item now.
FindCandidates = collections.abc.Callable[
    [state.Task], list[placement.Candidate]
]

# Returns the reason to migrate a run, '' to leave it.
Decide = collections.abc.Callable[[migration_policy.RunState], str]


class Migrator:
    """Check active runs; the scheduler's lock guards all calls."""

    def __init__(
        self,
        estimator: state.EventEstimator,
        find_candidates: FindCandidates,
        metrics: metrics_module.Metrics,
        decide: Decide = migration_policy.decide,
    ) -> None:
        self._estimator = estimator
        self._find_candidates = find_candidates
        self._metrics = metrics
        self._decide = decide
        self._next_check_at = 0.0

    def check(self, tasks: collections.abc.Iterable[state.Task]) -> None:
        """Cancel runs that should migrate; they are rescheduled elsewhere."""
        now = time.monotonic()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        for task in tasks:
            run = task.run
            if run is not None and not run.cancel_reason:
                self._check_run(run, now)

    def _check_run(self, run: state.Run, now: float) -> None:
        run_state = self._run_state(run, now)
        reason = self._decide(run_state)
        if reason == migration_policy.STALLED:
            backoff.suspend(run.upstream, now)
        if reason:
            self._migrate(run, reason, run_state)

    def _run_state(
        self, run: state.Run, now: float
    ) -> migration_policy.RunState:
        task = run.task
        upstream = run.upstream
        return migration_policy.RunState(
            has_begun=run.has_begun,
            silence_s=now - run.last_event_at,
            gap_s=upstream.gap_s,
            gap_samples=upstream.gap_samples,
            remaining_events=self._estimator.remaining_events(task),
            migrations=task.migrations,
            best_gap_s=self._best_gap_s(task, upstream),
        )

    def _best_gap_s(
        self, task: state.Task, current: state.Upstream
    ) -> float | None:
        gaps = [
            candidate.gap_s
            for candidate in self._find_candidates(task)
            if candidate.has_free_slot
            and candidate.upstream != current.id
            # Runs that progress must not use up the requests of others.
            and not candidate.is_limited
        ]
        return min(gaps, default=None)

    def _migrate(
        self, run: state.Run, reason: str, run_state: migration_policy.RunState
    ) -> None:
        task = run.task
        task.migrations += 1
        self._metrics.count(f'pool.moved.{reason}')
        LOG.info(
            'run is migrated',
            request=task.id,
            batch=task.batch.head.id,
            upstream=run.upstream.id,
            reason=reason,
            silence_s=round(run_state.silence_s, 3),
            gap_s=round(run_state.gap_s, 4),
            best_gap_s=run_state.best_gap_s,
            events=len(task.events),
        )
        run.cancel(reason)
