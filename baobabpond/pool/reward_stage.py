"""Have the complete outputs of items scored by a service.

A complete output needs no slot of a sampler any more. Its reward call is sent
once the output is on the log, so that a new owner only asks for the score.
"""

import collections
import collections.abc
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..catalogue import current as current_module
from ..catalogue import directory as directory_module
from ..ports import callers
from ..ports import catalogue
from ..ratelimits import bucket as bucket_module
from ..ratelimits import permits as permits_module
from ..upstreams import load_balancer as load_balancer_module

from . import priority
from . import reward_client
from . import runner
from . import state
from . import waiting

# An attempt times out after this many times the route's target latency,
# doubled each time, so that an unresponsive upstream leaves time for
# another one, and a slow service is given more.
TIMEOUT_TARGET_MULTIPLE = 2.0
MIN_TIMEOUT_S = 0.5
INITIAL_BACKOFF_S = 0.03
MAX_BACKOFF_S = 1.0
MAX_DOUBLINGS = 6
# Outcomes that say nothing about the health of the upstream.
NEUTRAL_OUTCOMES = (
    runner.RunOutcome.CANCELLED,
    runner.RunOutcome.LIMITED,
    runner.RunOutcome.NOT_RUN,
    runner.RunOutcome.UNSUPPORTED,
)

LOG = structlog.get_logger(__name__)


class ItemListener(typing.Protocol):
    """Receive the end of items."""

    def finish(self, task: state.Task, result: callers.Result) -> None:
        """List the result of an item."""
        ...

    def fail(self, task: state.Task, reason: str) -> None:
        """Give up an item."""
        ...

    def count_reward_failure(self, task: state.Task) -> None:
        """Put the failures of an item on the log, then add it again."""
        ...


class RewardSnapshot(typing.NamedTuple):
    """The items of a moment, and those among them that wait for a score."""

    tasks: list[state.Task]
    waiting: list[state.Task]


class RewardStage:
    """Queue reward calls, and send them as far as the service has room.

    Callers hold the scheduler's lock, except for rank.
    """

    def __init__(
        self,
        client: reward_client.RewardClient,
        directory: directory_module.UpstreamDirectory,
        load_balancer: load_balancer_module.LoadBalancer,
        permits: permits_module.PermitSource,
        current: current_module.CurrentConfiguration,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = client
        self._directory = directory
        self._load_balancer = load_balancer
        self._permits = permits
        self._current = current
        self._metrics = metrics
        self._lock = threading.Condition()
        self._listener: ItemListener | None = None
        self._waiting: dict[tuple[str, str], state.Task] = {}
        self._order = waiting.WaitingItems()
        self._attempts: set[state.RewardAttempt] = set()

    def attach(
        self, lock: threading.Condition, listener: ItemListener
    ) -> None:
        """Set the scheduler's lock, and who receives the end of items."""
        self._lock = lock
        self._listener = listener

    def reset(self) -> None:
        """Drop all reward calls; those in progress are cancelled."""
        self._waiting.clear()
        self._order.clear()
        for attempt in self._attempts:
            attempt.cancel()

    def add(self, task: state.Task) -> None:
        """Queue the reward call of an item whose output is on the log."""
        if task.result is None and not task.batch.ended:
            self._waiting[task.batch.head.id, task.id] = task
            self._lock.notify_all()

    def discard(self, task: state.Task) -> None:
        """Drop the reward call of an item whose batch has ended."""
        self._waiting.pop((task.batch.head.id, task.id), None)
        if task.reward_attempt is not None:
            task.reward_attempt.cancel()

    def snapshot(
        self, tasks: collections.abc.Collection[state.Task]
    ) -> RewardSnapshot | None:
        """Return what to put into order; None if nothing, or too early.

        Takes all items of open batches, to know how complete groups are.
        """
        if not self._waiting or not self._order.is_order_due:
            return None
        return RewardSnapshot(list(tasks), list(self._waiting.values()))

    def rank(self, snapshot: RewardSnapshot) -> waiting.Order:
        """Put reward calls into order, without the lock."""
        now = time.monotonic()
        unfinished = collections.Counter(
            (task.batch.head.id, task.item.group)
            for task in snapshot.tasks
            if task.result is None
        )
        ordered = sorted(
            (
                task
                for task in snapshot.waiting
                if task.reward_not_before <= now
            ),
            key=lambda task: priority.rank_reward(
                priority.WaitingReward(
                    task.due_at - now,
                    unfinished[task.batch.head.id, task.item.group],
                )
            ),
        )
        return waiting.part(ordered, self._find_service, now)

    def assign(self, order: waiting.Order | None) -> None:
        """Start queued reward calls in order of priority."""
        now = time.monotonic()

        def is_waiting(task: state.Task) -> bool:
            key = task.batch.head.id, task.id
            return (
                self._waiting.get(key) is task
                and task.reward_not_before <= now
            )

        if order is not None:
            self._order.set_order(order)
            for task in order.overdue:
                if is_waiting(task):
                    self._give_up(task)
        self._order.start_in_order(
            is_waiting, lambda task: self._try_start(task, now)
        )

    def _find_service(self, task: state.Task) -> str | None:
        match = self._match(task)
        if match is None:
            # The route may come back before the item is given up.
            return None
        return current_module.pick_service(match.route, task.id)

    def _give_up(self, task: state.Task) -> None:
        listener = typing.cast(ItemListener, self._listener)
        del self._waiting[task.batch.head.id, task.id]
        listener.fail(task, 'deadline exceeded before the score')

    def _try_start(self, task: state.Task, now: float) -> bool:
        """Start a call; return False if its service has no room."""
        if now >= task.give_up_at:
            self._give_up(task)
            return True
        match = self._match(task)
        if match is None:
            return True
        service = current_module.pick_service(match.route, task.id)
        entry = self._choose(task, service)
        if entry is None:
            return False
        try:
            permit = self._permits.take(entry, bucket_module.BACKGROUND)
        except permits_module.RateLimited:
            # A caller of this instance has taken it.
            self._load_balancer.record_outcome(entry, None, None, None)
            return False
        self._start(task, match.route, entry, permit, now)
        return True

    def _choose(
        self, task: state.Task, service: str
    ) -> catalogue.UpstreamEntry | None:
        """Choose an upstream, one that has not failed the call if possible.

        A faulty upstream must not use up the attempts of an item. Upstreams
        that state a limit of requests come last.
        """
        entries = [
            entry
            for entry in self._directory.usable(service)
            if self._permits.has_permit(entry, bucket_module.BACKGROUND)
        ]
        unlimited = [
            entry for entry in entries if not self._permits.is_limited(entry)
        ]
        tried = task.reward_upstreams_tried
        for eligible in (
            [entry for entry in unlimited if entry.id not in tried],
            [entry for entry in entries if entry.id not in tried],
            entries,
        ):
            chosen = self._load_balancer.choose_for_background(eligible)
            if chosen is not None:
                return chosen
        return None

    def _match(self, task: state.Task) -> current_module.RouteMatch | None:
        call = typing.cast(callers.RewardCall, task.item.reward_call)
        return self._current.match(call.host, call.target.partition('?')[0])

    def _start(
        self,
        task: state.Task,
        route: catalogue.Route,
        entry: catalogue.UpstreamEntry,
        permit: permits_module.Permit,
        now: float,
    ) -> None:
        del self._waiting[task.batch.head.id, task.id]
        timeout_s = attempt_timeout_s(
            route.target_latency_s, task.reward_timeouts, task.give_up_at - now
        )
        attempt = state.RewardAttempt(task, entry, permit, timeout_s)
        task.reward_attempt = attempt
        self._attempts.add(attempt)
        threading.Thread(
            target=self._execute,
            args=(attempt, route),
            name=f'reward-{task.id}',
            daemon=True,
        ).start()

    def _execute(
        self, attempt: state.RewardAttempt, route: catalogue.Route
    ) -> None:
        try:
            response = self._client.call(attempt)
        except Exception:
            LOG.exception('reward call failed', request=attempt.task.id)
            response = reward_client.RewardResponse(
                runner.RunOutcome.INTERRUPTED
            )
        took_s = time.monotonic() - attempt.started_at
        completed = response.outcome is runner.RunOutcome.COMPLETED
        is_neutral = response.outcome in NEUTRAL_OUTCOMES
        self._load_balancer.record_outcome(
            attempt.entry,
            took_s if completed or response.timed_out else None,
            None if is_neutral or response.timed_out else not completed,
            response.load,
            load_balancer_module.BACKGROUND,
        )
        self._metrics.count(f'pool.rewards.{response.outcome.value}')
        self._metrics.record('pool.reward', took_s)
        with self._lock:
            self._attempts.discard(attempt)
            self._handle_response(attempt, route, response, took_s)
            self._lock.notify_all()

    def _handle_response(
        self,
        attempt: state.RewardAttempt,
        route: catalogue.Route,
        response: reward_client.RewardResponse,
        took_s: float,
    ) -> None:
        task = attempt.task
        _log_end(attempt, response, took_s)
        if task.reward_attempt is attempt:
            task.reward_attempt = None
        if attempt.is_cancelled or task.result is not None:
            return
        listener = typing.cast(ItemListener, self._listener)
        if response.outcome is runner.RunOutcome.COMPLETED:
            unscored = typing.cast(callers.Result, task.unscored)
            listener.finish(task, unscored._replace(score=response.score))
        elif response.outcome is runner.RunOutcome.UNSUPPORTED:
            listener.fail(task, 'the output cannot be scored')
        elif self._has_failed_for_good(task, route, response.outcome):
            listener.fail(task, 'the reward call failed on every attempt')
        else:
            self._set_backoff(task, attempt.entry.id, response)
            if response.outcome is runner.RunOutcome.FAILED:
                listener.count_reward_failure(task)
            else:
                self.add(task)

    def _has_failed_for_good(
        self,
        task: state.Task,
        route: catalogue.Route,
        outcome: runner.RunOutcome,
    ) -> bool:
        """Count a failure, and return whether it was the last attempt."""
        if outcome is not runner.RunOutcome.FAILED:
            return False
        task.reward_failures += 1
        limit = route.max_attempts
        match = self._current.match(
            task.batch.head.host, task.item.target.partition('?')[0]
        )
        if match is not None:
            limit = max(limit, match.route.max_attempts)
        return task.reward_failures >= limit

    @staticmethod
    def _set_backoff(
        task: state.Task,
        upstream: str,
        response: reward_client.RewardResponse,
    ) -> None:
        backoff_s = retry_backoff_s(task.reward_retries)
        task.reward_retries += 1
        task.reward_timeouts += response.timed_out
        if response.outcome not in NEUTRAL_OUTCOMES:
            task.reward_upstreams_tried.add(upstream)
        task.reward_not_before = time.monotonic() + max(
            backoff_s, response.retry_after_s
        )


def attempt_timeout_s(
    target_s: float, timeouts: int, remaining_s: float
) -> float:
    """Return the time-out of an attempt after some that timed out."""
    first_s = max(MIN_TIMEOUT_S, TIMEOUT_TARGET_MULTIPLE * target_s)
    return min(remaining_s, first_s * 2 ** min(timeouts, MAX_DOUBLINGS))


def retry_backoff_s(retries: int) -> float:
    """Return the delay of the next attempt after a number of retries."""
    doubled_s = INITIAL_BACKOFF_S * 2 ** min(retries, MAX_DOUBLINGS)
    return min(MAX_BACKOFF_S, doubled_s)


def _log_end(
    attempt: state.RewardAttempt,
    response: reward_client.RewardResponse,
    took_s: float,
) -> None:
    task = attempt.task
    call = typing.cast(callers.RewardCall, task.item.reward_call)
    LOG.info(
        'reward call ends',
        request=task.id,
        batch=task.batch.head.id,
        call=call.id,
        upstream=attempt.entry.id,
        ending=response.outcome.value,
        earlier_failures=task.reward_failures,
        waited_s=round(attempt.started_at - task.unscored_since, 3),
        timeout_s=round(attempt.timeout_s, 3),
        took_s=round(took_s, 3),
    )
