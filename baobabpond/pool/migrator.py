"""Move runs away from upstreams that fall silent or turn slow."""

import collections.abc
import time

import structlog

from .. import metrics as metrics_module

from . import backoff
from . import migration_policy
from . import placement
from . import state

CHECK_S = 0.1

LOG = structlog.get_logger(__name__)

# Returns where an item could run now.
FindCandidates = collections.abc.Callable[
    [state.Task], list[placement.Candidate]
]

# Returns why a run shall move, '' if it shall stay.
Decide = collections.abc.Callable[[migration_policy.RunState], str]


class Migrator:
    """Look after the runs under way; the pool's lock guards all calls."""

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
        self._check_at = 0.0

    def check(self, tasks: collections.abc.Iterable[state.Task]) -> None:
        """Cancel the runs that do better elsewhere."""
        now = time.monotonic()
        if now < self._check_at:
            return
        self._check_at = now + CHECK_S
        for task in tasks:
            run = task.run
            if run is not None and not run.cancel_reason:
                self._check_run(run, now)

    def _check_run(self, run: state.Run, now: float) -> None:
        running = self._describe(run, now)
        reason = self._decide(running)
        if reason == migration_policy.STALLED:
            backoff.suspend(run.upstream, now)
        if reason:
            self._move(run, reason, running)

    def _describe(
        self, run: state.Run, now: float
    ) -> migration_policy.RunState:
        task = run.task
        upstream = run.upstream
        return migration_policy.RunState(
            has_begun=run.has_begun,
            silence_s=now - run.last_event_at,
            gap_s=upstream.gap_s,
            gaps_seen=upstream.gaps_seen,
            remaining_events=self._estimator.remaining_events(task),
            moves=task.moves,
            best_gap_s=self._best_gap_s(task, upstream),
        )

    def _best_gap_s(
        self, task: state.Task, present: state.Upstream
    ) -> float | None:
        gaps = [
            candidate.gap_s
            for candidate in self._find_candidates(task)
            if candidate.is_free and candidate.upstream != present.id
        ]
        return min(gaps, default=None)

    def _move(
        self, run: state.Run, reason: str, running: migration_policy.RunState
    ) -> None:
        task = run.task
        task.moves += 1
        self._metrics.count(f'pool.moved.{reason}')
        LOG.info(
            'run moves',
            request=task.id,
            batch=task.batch.head.id,
            upstream=run.upstream.id,
            reason=reason,
            silence_s=round(running.silence_s, 3),
            gap_s=round(running.gap_s, 4),
            best_gap_s=running.best_gap_s,
            events=len(task.events),
        )
        run.cancel(reason)
