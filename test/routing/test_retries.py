"""Test retries and the retry budget."""

import random
import time
import unittest

from returns import result

from baobabpond import metrics
from baobabpond.routing import budget
from baobabpond.routing import router
from baobabpond import verdicts
from test import helpers
from test.routing import attempts

Verdict = verdicts.Verdict


class RetryTest(unittest.TestCase):
    """Test which verdicts are retried and the budget for retries."""

    def setUp(self):
        self.router = router.ServiceRouter(
            'd/s', metrics.Metrics(), random.Random(1)
        )
        upstream_list = [
            helpers.upstream_state(f'u{n}').upstream for n in range(3)
        ]
        self.router.upstream_set.replace(upstream_list, ())
        self.tried = []

    def send(self, outcomes, timeout_s=5.0, **overrides):
        outcomes = iter(outcomes)

        def attempt(state, _deadline):
            self.tried.append(state.upstream.instance)
            return next(outcomes)

        context = router.RequestContext(
            helpers.settings(backoff_initial_s=0.001, **overrides),
            'c',
            time.monotonic() + timeout_s,
        )
        return self.router.send(context, attempt)

    def test_idempotent_request_is_retried_at_another_upstream(self):
        outcome = self.send(
            [attempts.refuse(Verdict.MAY_HAVE_RUN), attempts.answer()],
            idempotent=True,
        )
        self.assertIsInstance(outcome, result.Success)
        self.assertEqual(2, len(set(self.tried)))

    def test_non_idempotent_request_is_retried_only_if_not_run(self):
        outcome = self.send(
            [
                attempts.refuse(Verdict.NOT_RUN),
                attempts.refuse(Verdict.MAY_HAVE_RUN),
                attempts.answer(),
            ]
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.failure().verdict)
        self.assertEqual(2, len(self.tried))

    def test_final_verdict_includes_earlier_attempts(self):
        outcome = self.send(
            [attempts.refuse(Verdict.MAY_HAVE_RUN)]
            + [attempts.refuse(Verdict.NOT_RUN)] * 2,
            idempotent=True,
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.failure().verdict)

    def test_budget_limits_retries(self):
        for _ in range(30):
            self.send(
                [attempts.refuse(Verdict.NOT_RUN, 'upstream_refused')] * 3,
                idempotent=True,
            )
        retries = len(self.tried) - 30
        self.assertLessEqual(retries, 30 * 0.2 + 5)

    def test_refusal_without_upstreams_is_not_run(self):
        self.router.upstream_set.replace([], ())
        refusal = self.send([]).failure()
        self.assertEqual(
            (Verdict.NOT_RUN, 'no_upstream'), (refusal.verdict, refusal.code)
        )

    def test_budget_refills_with_first_attempts(self):
        retry_budget = budget.RetryBudget()
        while retry_budget.try_withdraw():
            pass
        for _ in range(5):
            retry_budget.deposit(0.2)
        self.assertTrue(retry_budget.try_withdraw())
        self.assertFalse(retry_budget.try_withdraw())


if __name__ == '__main__':
    unittest.main()
