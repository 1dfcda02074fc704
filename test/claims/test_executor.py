"""Test that the request of a key is executed at most once."""

import datetime
import threading
import time
import unittest

import freezegun
from returns import result

from baobabpond import answers
from baobabpond.claims import executor
from baobabpond.claims import fold
from baobabpond import metrics
from baobabpond import verdicts
from test import helpers

Verdict = verdicts.Verdict


class ExecutorTest(unittest.TestCase):
    """Execute requests at two instances that share a log."""

    def setUp(self):
        self.log = helpers.FakeLog()
        self.lost = set()
        self.nodes = {}
        self.executors = {}
        for name in ('a', 'b'):
            node = helpers.start_shared_log(self.log, name)
            self.addCleanup(helpers.stop_shared_log, node)
            self.nodes[name] = node
            self.executors[name] = executor.ClaimExecutor(
                name,
                1,
                node,
                metrics.Metrics(),
                lambda holder, _incarnation: holder in self.lost,
            )
        self.runs = 0
        self.lock = threading.Lock()

    def request(self, timeout_s=5.0, digest='d'):
        deadline = time.monotonic() + timeout_s
        return executor.ClaimedRequest('k', digest, deadline, 100, 1000)

    def dispatch(self):
        with self.lock:
            self.runs += 1
        return result.Success(answers.Answer(200, 'text/plain', b'done'))

    def wait_for_outcome(self, name):
        claims = self.nodes[name].state.fold(fold.ClaimFold)
        self.assertTrue(
            self.nodes[name].state.wait_for(
                lambda: (
                    claims.get('k') is not None and claims.get('k').has_outcome
                ),
                time.monotonic() + 5,
            )
        )

    def test_same_key_at_both_instances_runs_once_and_both_get_the_answer(
        self,
    ):
        outcomes = []

        def run(name):
            outcomes.append(
                self.executors[name].run(self.request(), self.dispatch)
            )

        threads = [threading.Thread(target=run, args=(n,)) for n in 'abab']
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(1, self.runs)
        bodies = {outcome.unwrap().body for outcome in outcomes}
        self.assertEqual({b'done'}, bodies)

    def test_key_with_a_different_body_is_refused(self):
        self.executors['a'].run(self.request(), self.dispatch)
        self.wait_for_outcome('b')
        outcome = self.executors['b'].run(
            self.request(digest='other'), self.dispatch
        )
        self.assertEqual(422, outcome.failure().status)

    def test_failed_holder_is_reported_as_may_have_run(self):
        started = threading.Event()
        unblock = threading.Event()
        self.addCleanup(unblock.set)

        def blocked_dispatch():
            started.set()
            unblock.wait()
            return self.dispatch()

        threading.Thread(
            target=self.executors['a'].run,
            args=(self.request(), blocked_dispatch),
            daemon=True,
        ).start()
        started.wait()
        self.lost.add('a')
        outcome = self.executors['b'].run(self.request(), self.dispatch)
        self.assertEqual(Verdict.MAY_HAVE_RUN, outcome.failure().verdict)
        self.assertEqual(0, self.runs)

    def test_not_run_outcome_releases_the_key(self):
        refused = verdicts.unavailable('no_upstream', '', 1.0)
        first = self.executors['a'].run(
            self.request(), lambda: result.Failure(refused)
        )
        self.assertEqual(Verdict.NOT_RUN, first.failure().verdict)
        second = self.executors['b'].run(self.request(), self.dispatch)
        self.assertEqual(b'done', second.unwrap().body)

    def test_unavailable_log_refuses_immediately_as_not_run(self):
        self.log.down = True
        with freezegun.freeze_time() as clock:
            clock.tick(datetime.timedelta(seconds=60))
            refusal = (
                self.executors['a']
                .run(self.request(600), self.dispatch)
                .failure()
            )
        self.assertEqual(
            (Verdict.NOT_RUN, 'log_down', 0),
            (refusal.verdict, refusal.code, self.runs),
        )
        self.assertIsNotNone(refusal.retry_after_s)

    def test_claim_committed_after_timeout_is_released_without_running(self):
        self.log.delayed_appends = 1000
        refusal = (
            self.executors['a'].run(self.request(0.2), self.dispatch).failure()
        )
        self.assertEqual(Verdict.NOT_RUN, refusal.verdict)
        self.log.delayed_appends = 0
        self.log.append_delayed()
        self.nodes['a'].writer.flush(time.monotonic() + 5)
        deadline = time.monotonic() + 5
        claims = self.nodes['a'].state.fold(fold.ClaimFold)
        while claims.get('k') is not None and time.monotonic() < deadline:
            self.executors['a'].release_abandoned()
            time.sleep(0.01)
        second = self.executors['b'].run(self.request(), self.dispatch)
        self.assertEqual((b'done', 1), (second.unwrap().body, self.runs))

    def test_holder_resumed_after_the_deadline_does_not_dispatch(self):
        claims = self.nodes['a'].state.fold(fold.ClaimFold)
        request = self.request(0.5)
        holds_claim = self.executors['a']._holds_claim

        def holds_claim_after_a_suspension(key, claim_id):
            time.sleep(0.6)
            return holds_claim(key, claim_id)

        self.executors['a']._holds_claim = holds_claim_after_a_suspension
        refusal = self.executors['a'].run(request, self.dispatch).failure()
        self.assertEqual((Verdict.NOT_RUN, 0), (refusal.verdict, self.runs))
        self.assertTrue(
            self.nodes['a'].state.wait_for(
                lambda: claims.get('k') is None, time.monotonic() + 5
            )
        )

    def test_answer_too_large_to_store_is_refused_as_ran(self):
        def large_answer():
            self.runs += 1
            return result.Success(answers.Answer(200, '', b'x' * 2000))

        self.executors['a'].run(self.request(), large_answer)
        self.wait_for_outcome('b')
        refusal = (
            self.executors['b'].run(self.request(), self.dispatch).failure()
        )
        self.assertEqual((Verdict.RAN, 1), (refusal.verdict, self.runs))


if __name__ == '__main__':
    unittest.main()
