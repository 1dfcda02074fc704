"""Migrate runs off upstreams that stall or slow down."""

import collections
import collections.abc
import time

import structlog

from .. import metrics as metrics_module

from . import backoff
from . import migration_policy
from . import placement
from . import state

CHECK_INTERVAL_S = 0.1
# A run that left a slow upstream counts against MAX_DEPARTED_SHARE for this
# time.
DEPARTURE_WINDOW_S = 1.0

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
        # Times of the recent migrations off upstreams that are slow.
        self._departures: dict[state.Upstream, list[float]] = {}

    def check(self, tasks: collections.abc.Iterable[state.Task]) -> None:
        """Cancel runs that should migrate; they are rescheduled elsewhere."""
        now = time.monotonic()
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        self._forget_departures(now)
        tasks = list(tasks)
        # Free slots on faster upstreams are for these first.
        has_waiting = any(
            task.needs_events and task.run is None and task.not_before <= now
            for task in tasks
        )
        taken: collections.Counter[str] = collections.Counter()
        for task in tasks:
            run = task.run
            if run is not None and not run.cancel_reason:
                self._check_run(run, now, has_waiting, taken)

    def _check_run(
        self,
        run: state.Run,
        now: float,
        has_waiting: bool,
        taken: collections.Counter[str],
    ) -> None:
        best = self._best_candidate(run, taken)
        run_state = self._run_state(run, now, best)._replace(
            has_waiting_items=has_waiting
        )
        reason = self._decide(run_state)
        if reason == migration_policy.STALLED:
            backoff.suspend(run.upstream, now)
        elif reason and best is not None:
            taken[best.upstream] += 1
            self._departures.setdefault(run.upstream, []).append(now)
        if reason:
            self._migrate(run, reason, run_state)

    def _forget_departures(self, now: float) -> None:
        for upstream, times in list(self._departures.items()):
            times[:] = [at for at in times if now - at < DEPARTURE_WINDOW_S]
            if not times:
                del self._departures[upstream]

    def _run_state(
        self,
        run: state.Run,
        now: float,
        best: placement.Candidate | None,
    ) -> migration_policy.RunState:
        task = run.task
        upstream = run.upstream
        return migration_policy.RunState(
            has_begun=run.has_begun,
            silence_s=now - run.last_event_at,
            gap_s=upstream.gap_s(task.model, len(upstream.runs)),
            observed_s=upstream.capacity.speed(now).observed_s,
            remaining_events=self._estimator.remaining_events(task),
            migrations=task.migrations,
            best_gap_s=placement.gap_of_next_s(best) if best else None,
            tokens=task.item.prompt_tokens
            + round(len(task.events) * self._estimator.event_tokens),
            due_in_s=task.due_at - now,
            running=sum(not other.cancel_reason for other in upstream.runs),
            departed=len(self._departures.get(upstream, [])),
        )

    def _best_candidate(
        self, run: state.Run, taken: collections.Counter[str]
    ) -> placement.Candidate | None:
        """Return the best upstream for a run, with a slot to spare.

        Some slots are taken by runs that the same check migrates.
        """
        candidates = [
            candidate._replace(
                running=candidate.running + taken[candidate.upstream]
            )
            for candidate in self._find_candidates(run.task)
            if candidate.upstream != run.upstream.id
            # Runs that progress must not use up the requests of others.
            and not candidate.is_limited
        ]
        return min(
            (
                candidate
                for candidate in candidates
                if candidate.has_free_slot
                and candidate.running < candidate.limit
            ),
            key=placement.cost,
            default=None,
        )

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
            observed_s=round(run_state.observed_s, 2),
            best_gap_s=(
                None
                if run_state.best_gap_s is None
                else round(run_state.best_gap_s, 4)
            ),
            remaining_events=round(run_state.remaining_events, 1),
            cost_s=round(migration_policy.cost_s(run_state), 3),
            due_in_s=round(run_state.due_in_s, 2),
            events=len(task.events),
        )
        run.cancel(reason)
