"""Test who may call the platform's API, and when."""

import time
import unittest

from baobabpond.duties import caller as caller_module
from baobabpond.duties import holder as holder_module
from baobabpond import metrics as metrics_module
from baobabpond.ports import control
from test.usage import examples


class DutiesTestCase(unittest.TestCase):
    """Make calls as an instance that may own the shard."""

    def setUp(self) -> None:
        """Create an instance in paused time."""
        self.time = examples.PausedTime()
        self.addCleanup(self.time.stop)
        self.ownership = examples.Ownership()
        self.holder = holder_module.DutyHolder(
            'a', self.ownership, examples.LEASE_S
        )
        self.metrics = metrics_module.Metrics()
        self.caller = caller_module.DutyCaller(self.holder, 50.0, self.metrics)
        self.outcome = control.Outcome.DONE
        self.contexts: list[control.CallContext] = []
        self.called_at: list[float] = []

    def send(self, context: control.CallContext) -> control.CallResult:
        """Take a call."""
        self.contexts.append(context)
        self.called_at.append(time.monotonic())
        return control.CallResult(self.outcome)

    def call(self, subject: str = 's') -> control.Outcome:
        """Make a call and return its outcome."""
        return self.caller.call(subject, self.send).outcome

    def hold(self, epoch: int) -> None:
        """Own the shard for longer than the lease."""
        self.ownership.take(epoch)
        self.time.advance(examples.LEASE_S)


class DutyHolderTest(DutiesTestCase):
    """Derive the duties from the ownership."""

    def test_owner_waits_for_the_lease(self) -> None:
        """Its predecessor may have called just before."""
        self.assertIsNone(self.holder.current)
        self.ownership.take(7)
        self.time.advance(examples.LEASE_S - 0.1)
        self.assertIsNone(self.holder.current)
        self.assertEqual(control.Duty('a', 7), self.holder.owner)
        self.time.advance(0.1)
        self.assertEqual(control.Duty('a', 7), self.holder.current)

    def test_owner_without_its_lease_has_no_duty(self) -> None:
        """Another instance may own the shard by now."""
        self.hold(7)
        self.ownership.has_owner_lease = False
        self.assertIsNone(self.holder.current)
        self.assertIsNone(self.holder.owner)

    def test_each_tenure_waits(self) -> None:
        """Also the second one of the same instance."""
        self.hold(7)
        self.ownership.lose()
        self.ownership.take(9)
        self.assertIsNone(self.holder.current)


class DutyCallerTest(DutiesTestCase):
    """Make calls."""

    def test_only_the_holder_calls(self) -> None:
        """Nothing is sent otherwise."""
        self.assertFalse(self.caller.may_call('s'))
        self.assertIs(control.Outcome.REFUSED, self.call())
        self.ownership.take(7)
        self.assertIs(control.Outcome.REFUSED, self.call())
        self.assertEqual([], self.contexts)
        self.time.advance(examples.LEASE_S)
        self.assertTrue(self.caller.may_call('s'))
        self.assertIs(control.Outcome.DONE, self.call())

    def test_call_may_not_be_sent_once_the_lease_has_ended(self) -> None:
        """Also not in a later tenure, whose token is another one."""
        self.hold(7)
        self.call()
        may_send = self.contexts[0].may_send
        self.assertTrue(may_send())
        self.ownership.has_owner_lease = False
        self.assertFalse(may_send())
        self.hold(8)
        self.assertFalse(may_send())

    def test_refused_token_is_not_used_on_its_subject(self) -> None:
        """Other subjects and later tenures are not concerned."""
        self.hold(7)
        self.outcome = control.Outcome.FENCED
        self.call()
        self.outcome = control.Outcome.DONE
        self.assertFalse(self.caller.may_call('s'))
        self.assertIs(control.Outcome.REFUSED, self.call())
        self.assertEqual(1, len(self.contexts))
        self.assertIs(control.Outcome.DONE, self.call('other'))
        self.hold(8)
        self.assertIs(control.Outcome.DONE, self.call())

    def test_calls_stay_within_the_quota(self) -> None:
        """They are spread; more than the quota would get 429."""
        self.hold(7)
        for _ in range(200):
            self.call()
        for number in range(150):
            self.assertGreaterEqual(
                self.called_at[number + 50] - self.called_at[number], 0.999
            )

    def test_timeout_grows_while_the_api_is_slow(self) -> None:
        """Otherwise no call would ever be answered."""
        self.hold(7)
        self.outcome = control.Outcome.UNKNOWN
        for _ in range(3):
            self.caller.call('s', self.send_until_timeout)
        self.assertEqual(
            [1.0, 2.0, caller_module.MAX_CALL_TIMEOUT_S],
            [context.timeout_s for context in self.contexts],
        )

    def send_until_timeout(
        self, context: control.CallContext
    ) -> control.CallResult:
        """Take a call without an answer."""
        self.time.advance(context.timeout_s)
        return self.send(context)


if __name__ == '__main__':
    unittest.main()
