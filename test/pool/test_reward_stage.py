"""Test the order, time-outs and back-off of reward calls."""

import threading
import time
import unittest
from unittest import mock

from baobabpond.batches import records
from baobabpond.batches import shard_state
from baobabpond.catalogue import current as current_module
from baobabpond.catalogue import directory as directory_module
from baobabpond import metrics
from baobabpond.pool import priority
from baobabpond.pool import reward_client
from baobabpond.pool import reward_stage
from baobabpond.pool import runner
from baobabpond.pool import state
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.ratelimits import permits
from baobabpond.upstreams import load_balancer

WAIT_S = 10.0
ATTEMPTS = 3


class FakeClient:
    """End each attempt as its upstream always does."""

    def __init__(self, outcomes: dict[str, runner.RunOutcome]) -> None:
        self._outcomes = outcomes
        self.upstreams: list[str] = []

    def call(
        self, attempt: state.RewardAttempt
    ) -> reward_client.RewardResponse:
        """Return the outcome of the upstream."""
        self.upstreams.append(attempt.entry.id)
        return reward_client.RewardResponse(
            self._outcomes[attempt.entry.id], 'signature'
        )


class FakeDirectory:
    """List two upstreams of a service."""

    def usable(self, service: str) -> list[catalogue.UpstreamEntry]:
        """Return the upstreams."""
        return [
            catalogue.UpstreamEntry(
                name, service, 'h', 80, 'a', 6, False, 1, {}
            )
            for name in 'ab'
        ]


class FakeCurrent:
    """Match each request with one route."""

    def match(self, host: str, path: str) -> current_module.RouteMatch:
        """Return the route."""
        route = catalogue.Route(
            'r',
            host,
            '/',
            catalogue.RouteKind.IDEMPOTENT,
            (catalogue.ServiceWeight('s', 1.0),),
            5.0,
            0.8,
            0,
            ATTEMPTS,
            False,
            False,
            7.5,
            60.0,
        )
        configuration = catalogue.Configuration(
            1, (route,), {}, catalogue.Limits()
        )
        return current_module.RouteMatch(route, configuration)


class FakeListener:
    """Record the ends of items."""

    def __init__(self) -> None:
        self.results: list[callers.Result] = []
        self.reasons: list[str] = []
        self.counted: list[int] = []

    def finish(self, task: state.Task, result: callers.Result) -> None:
        """Record a result."""
        task.result = result
        self.results.append(result)

    def fail(self, task: state.Task, reason: str) -> None:
        """Record why an item was given up."""
        task.result = callers.Result(task.id, False, '', ())
        self.reasons.append(reason)

    def count_reward_failure(self, task: state.Task) -> None:
        """Record a count that must be on the log before the next call."""
        self.counted.append(task.reward_failures)


class FullServiceTest(unittest.TestCase):
    """Many outputs wait for a service that has no room."""

    ITEMS = 1000

    def setUp(self) -> None:
        """Queue the reward calls of a batch."""
        call = callers.RewardCall('c', 'h', '/score', 'eA==')
        items = tuple(
            callers.Item(f'i{n}', '/t', (), '', 9, f'g{n}', 0, 0, call)
            for n in range(self.ITEMS)
        )
        head = records.BatchHead('b', 'h', 'r', 0.0, 1, 'm', 1, 1, 1)
        batch = shard_state.Batch(head, items, time.monotonic())
        due_at = time.monotonic() + 7.5
        self.tasks = [state.Task(batch, item, due_at) for item in items]
        directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        directory.usable.return_value = []
        self.current = mock.create_autospec(FakeCurrent, instance=True)
        self.current.match.side_effect = FakeCurrent().match
        self.listener = FakeListener()
        self.stage = reward_stage.RewardStage(
            FakeClient({}),
            directory,
            load_balancer.LoadBalancer(),
            permits.NoLimits(),
            self.current,
            metrics.Metrics(),
        )
        self.lock = threading.Condition()
        self.stage.attach(self.lock, self.listener)
        with self.lock:
            for task in self.tasks:
                task.unscored = callers.Result(task.id, True, 'x', (1,))
                self.stage.add(task)

    def run_pass(self) -> int:
        """Run a pass; return how many calls were looked at with the lock."""
        snapshot = self.stage.snapshot(self.tasks)
        order = snapshot and self.stage.rank(snapshot)
        self.current.match.reset_mock()
        with self.lock:
            self.stage.assign(order)
        return self.current.match.call_count

    def test_pass_does_not_look_at_all_that_wait(self) -> None:
        """Guard against a lock that is held in proportion to them."""
        self.assertEqual([1] * 3, [self.run_pass() for _ in range(3)])

    def test_all_that_wait_are_given_up_in_time(self) -> None:
        """Guard against items without an end while the service is full."""
        for task in self.tasks:
            task.give_up_at = time.monotonic()
        self.run_pass()
        self.assertEqual(self.ITEMS, len(self.listener.reasons))


class RewardStageTest(unittest.TestCase):
    """Pass one item through the stage."""

    def setUp(self) -> None:
        """Create an item whose output is on the log."""
        call = callers.RewardCall('c', 'h', '/score', 'eA==')
        item = callers.Item('i', '/t', (), '', 9, 'g', 0, 0, call)
        head = records.BatchHead('b', 'h', 'r', 0.0, 1, 'm', 1, 1, 1)
        batch = shard_state.Batch(head, (item,), time.monotonic())
        self.task = state.Task(batch, item, time.monotonic() + 7.5)
        self.task.unscored = callers.Result('i', True, 'x', (1,))
        self.listener = FakeListener()
        self.lock = threading.Condition()

    def run_stage(self, **outcomes: runner.RunOutcome) -> FakeClient:
        """Run the stage until the item ends; return the client."""
        client = FakeClient(outcomes)
        stage = reward_stage.RewardStage(
            client,
            FakeDirectory(),
            load_balancer.LoadBalancer(),
            permits.NoLimits(),
            FakeCurrent(),
            metrics.Metrics(),
        )
        stage.attach(self.lock, self.listener)
        ends_at = time.monotonic() + WAIT_S
        counted = 0
        with self.lock:
            stage.add(self.task)
            while self.task.result is None and time.monotonic() < ends_at:
                if len(self.listener.counted) > counted:
                    # The log has the count.
                    counted += 1
                    stage.add(self.task)
                snapshot = stage.snapshot([self.task])
                stage.assign(snapshot and stage.rank(snapshot))
                self.lock.wait(0.02)
        return client

    def test_faulty_upstream_does_not_use_up_the_attempts(self) -> None:
        """The next attempt goes to the other one."""
        client = self.run_stage(
            a=runner.RunOutcome.FAILED, b=runner.RunOutcome.COMPLETED
        )
        self.assertEqual(
            ['signature'], [r.score for r in self.listener.results]
        )
        self.assertLessEqual(client.upstreams.count('a'), 1)

    def test_call_that_always_fails_ends_after_its_attempts(self) -> None:
        """Each failure but the last is counted on the log first."""
        client = self.run_stage(
            a=runner.RunOutcome.FAILED, b=runner.RunOutcome.FAILED
        )
        self.assertEqual(ATTEMPTS, len(client.upstreams))
        self.assertEqual({'a', 'b'}, set(client.upstreams[:2]))
        self.assertEqual([1, 2], self.listener.counted)
        self.assertEqual(1, len(self.listener.reasons))

    def test_uncertain_outcomes_are_no_failures(self) -> None:
        """A call without an answer is sent again, to the other one."""
        self.run_stage(
            a=runner.RunOutcome.INTERRUPTED, b=runner.RunOutcome.COMPLETED
        )
        self.assertEqual(1, len(self.listener.results))
        self.assertEqual([], self.listener.counted)

    def test_item_past_its_time_is_given_up(self) -> None:
        """No call is sent for it any more."""
        self.task.give_up_at = time.monotonic()
        client = self.run_stage(
            a=runner.RunOutcome.COMPLETED, b=runner.RunOutcome.COMPLETED
        )
        self.assertEqual([], client.upstreams)
        self.assertEqual(1, len(self.listener.reasons))


class RewardDecisionTest(unittest.TestCase):
    """Decide without a network."""

    def test_nearly_complete_groups_come_first(self) -> None:
        """Of one batch, the group with the fewest unfinished items."""
        order = [
            priority.rank_reward(priority.WaitingReward(*waiting))
            for waiting in ((2.0, 1), (2.0, 5), (6.0, 1), (-3.0, 1))
        ]
        self.assertEqual(sorted(order), order)

    def test_timeout_grows_while_a_service_is_slow(self) -> None:
        """It never exceeds the time that the item has left."""
        timeouts = [
            reward_stage.attempt_timeout_s(0.8, retries, 9.0)
            for retries in range(5)
        ]
        self.assertEqual([1.6, 3.2, 6.4, 9.0, 9.0], timeouts)
        self.assertEqual(9.0, reward_stage.attempt_timeout_s(0.8, 5000, 9.0))

    def test_backoff_is_bounded(self) -> None:
        """Refused calls do not flood a service that sheds load."""
        self.assertLess(reward_stage.retry_backoff_s(0), 0.1)
        self.assertEqual(
            reward_stage.MAX_BACKOFF_S, reward_stage.retry_backoff_s(5000)
        )


if __name__ == '__main__':
    unittest.main()
