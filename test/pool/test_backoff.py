"""Test the back-off after runs that did not complete."""

import unittest

from baobabpond.pool import backoff
from baobabpond.pool import runner
from test.pool import examples

NOW = 100.0
# The back-off must stay well below the 7.5 s until a batch is due.
MAX_BACKOFF_S = 1.0


class BackoffTest(unittest.TestCase):
    """Delay items and suspend upstreams."""

    def apply(self, task: object, upstream: object, outcome: str) -> None:
        """Apply the back-off for the outcome of a run."""
        backoff.apply(task, upstream, runner.RunOutcome(outcome), NOW)

    def test_item_that_all_refuse_suspends_one_upstream(
        self,
    ) -> None:
        """An item too large for any upstream suspends only one, once."""
        task = examples.task()
        upstreams = [examples.upstream(str(number)) for number in range(6)]
        for _ in range(20):
            for upstream in upstreams:
                self.apply(task, upstream, 'not_run')
        suspended = [
            upstream
            for upstream in upstreams
            if upstream.suspended_until > NOW
        ]
        self.assertEqual(1, len(suspended))
        self.assertEqual(1, suspended[0].consecutive_failures)

    def test_item_that_all_refuse_backs_off(self) -> None:
        """It is retried with increasing delays up to a bound."""
        task = examples.task()
        backoffs = []
        for _ in range(12):
            self.apply(task, examples.upstream(), 'not_run')
            backoffs.append(task.not_before - NOW)
        self.assertEqual(sorted(backoffs), backoffs)
        self.assertLess(backoffs[0], 0.1)
        self.assertGreater(backoffs[-1], 0.5)
        self.assertLessEqual(backoffs[-1], MAX_BACKOFF_S)

    def test_full_upstream_is_suspended(self) -> None:
        """Refusals of different items by one upstream add up."""
        upstream = examples.upstream()
        for number in range(3):
            self.apply(examples.task(str(number)), upstream, 'not_run')
        self.assertEqual(3, upstream.consecutive_failures)
        self.assertGreater(upstream.suspended_until, NOW + 0.5)

    def test_unreachable_upstream_is_suspended_for_longer(self) -> None:
        """A failed connection indicates more than a full queue."""
        broken, unreachable = (examples.upstream(name) for name in 'ab')
        self.apply(examples.task(), broken, 'broken')
        self.apply(examples.task(), unreachable, 'unreachable')
        self.assertGreater(unreachable.suspended_until, broken.suspended_until)

    def test_suspension_has_a_bound(self) -> None:
        """An upstream that keeps failing is still retried."""
        upstream = examples.upstream()
        for _ in range(30):
            backoff.suspend(upstream, NOW)
        self.assertLessEqual(
            upstream.suspended_until, NOW + backoff.MAX_SUSPEND_S
        )


if __name__ == '__main__':
    unittest.main()
