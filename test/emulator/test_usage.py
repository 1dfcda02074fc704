"""Test reports of the usage of accounts to the platform's API."""

import time

from standins.emulator import accounts
from standins.emulator import deployment as deployment_module
from test.emulator import base

WINDOW_S = deployment_module.USAGE_WINDOW_S
DUE_S = 10.0
LEASE_S = 3.0
# Time until an account is known at all instances.
APPLIED_S = 1.0
TAKEOVER_S = 6.0
HEARD_S = 1.0
# For the append that begins with a request.
APPEND_S = 0.1


class UsageTestCase(base.DeploymentTestCase):
    """Report the usage of some accounts."""

    SAMPLERS = 2

    def setUp(self) -> None:
        """Publish the accounts."""
        super().setUp()
        deployment_module.wait_for(lambda: self.deployment.owner() is not None)
        assert self.deployment.control is not None
        self.control = self.deployment.control
        self.deployment.operator.publish(
            deployment_module.routes(),
            deployment_module.services(),
            accounts.tenants(),
        )
        time.sleep(APPLIED_S)
        self.load = accounts.AccountLoad(self.deployment)

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Add the API to the deployment."""
        deployment.lease_ms = LEASE_S * 1000
        deployment.add_control(self.CHECKS_FENCE)

    def owner(self) -> deployment_module.Instance:
        """Return the owner of the shard."""
        owner = self.deployment.owner()
        assert owner is not None
        return owner

    def play(self, seconds: float) -> None:
        """Send requests for some time."""
        with self.load:
            time.sleep(seconds)

    def wait_for_report(self, window: int, timeout_s: float = 20.0) -> None:
        """Wait until a window is reported."""
        deployment_module.wait_for(
            lambda: window in self.control.reports, timeout_s
        )

    def check_reports(self, is_in_time: bool = True) -> None:
        """Check all windows until now, once the last one is reported."""
        last = int(time.time() / WINDOW_S)
        self.wait_for_report(last)
        first = min(self.control.reports)
        self.assertEqual(
            set(range(first, last + 1)),
            {window for window in self.control.reports if window <= last},
        )
        self.assertEqual(set(), self.control.contradicted)
        total = 0
        for window in range(first, last + 1):
            reported = self.control.reports[window]
            total += sum(reported.values())
            for account, bounds in self.load.bounds(window).items():
                count = reported.get(account, 0)
                self.assertLessEqual(bounds.low, count, (window, account))
                self.assertGreaterEqual(bounds.high, count, (window, account))
        self.assertGreater(total, 0)
        self.assertEqual(len(self.load._first_runs()), total)
        tokens = self.control.tokens()
        self.assertEqual(sorted(tokens), tokens)
        if is_in_time:
            self.check_lateness(first, last)

    def check_lateness(self, first: int, last: int) -> None:
        """Check that reports of windows came in time."""
        lateness = [
            self.control.reported_at[window] - (window + 1) * WINDOW_S
            for window in range(first, last + 1)
        ]
        self.assertLess(max(lateness), DUE_S)

    def wait_for_end_of_window(self, after_s: float) -> int:
        """Wait until some time after the end of a window; return it."""
        now = time.time()
        window = int(now / WINDOW_S)
        time.sleep((window + 1) * WINDOW_S + after_s - now)
        return window


class UsageTest(UsageTestCase):
    """Report what ran, and nothing else."""

    def test_requests_are_counted_once(self) -> None:
        """One upstream refuses all, one in ten requests fails."""
        self.deployment.plain_services[0].fault = 'full'
        self.play(4 * WINDOW_S)
        self.check_reports()
        self.assertEqual(len(self.control.reports), len(self.control.calls))

    def test_counts_outlive_an_instance(self) -> None:
        """It is killed right after its response to a request."""
        time.sleep(WINDOW_S)
        for _ in range(2):
            victim = next(
                instance
                for instance in self.deployment.live_instances()
                if instance is not self.owner()
            )
            self.assertIn(self.load.send(victim.address), (200, 500))
            time.sleep(APPEND_S)
            victim.kill()
        self.check_reports()

    def test_counts_outlive_a_planned_stop(self) -> None:
        """The last requests came just before."""
        time.sleep(WINDOW_S)
        leaving = self.owner()
        for _ in range(5):
            self.assertIn(self.load.send(leaving.address), (200, 500))
        leaving.terminate()
        self.assertEqual(0, leaving.process.wait(15.0))
        self.check_reports()

    def test_lost_answers_make_no_other_report(self) -> None:
        """Half of the calls are executed a second later, unanswered."""
        self.control.lost_share = 0.5
        self.control.lost_delay_s = 1.0
        self.play(4 * WINDOW_S)
        self.check_reports()

    def test_outage_of_the_api(self) -> None:
        """It is away for 4 s from when a report would be sent."""
        with self.load:
            self.wait_for_end_of_window(2.4)
            self.control.outage = 'reset'
            time.sleep(4.0)
            self.control.outage = None
            time.sleep(WINDOW_S)
        self.check_reports()

    def test_outage_of_the_log(self) -> None:
        """It is away for 5 s around the end of a window."""
        with self.load:
            self.wait_for_end_of_window(0.0)
            self.deployment.store.faults.outage = 'busy'
            time.sleep(5.0)
            self.deployment.store.faults.outage = None
            time.sleep(WINDOW_S)
        self.check_reports()

    def test_death_of_the_holder_in_a_report(self) -> None:
        """Its call is under way; the next holder repeats it."""
        with self.load:
            self.wait_for_end_of_window(0.0)
            self.control.lost_share = 1.0
            calls = len(self.control.calls)
            deployment_module.wait_for(
                lambda: len(self.control.calls) > calls, TAKEOVER_S
            )
            former = self.owner()
            self.load._stopped.set()
            time.sleep(WINDOW_S)
            former.kill()
            self.control.lost_share = 0.0
        time.sleep(TAKEOVER_S)
        self.check_reports()
        holders = {call.holder for call in self.control.calls}
        self.assertEqual(2, len(holders))

    def test_refused_token_is_not_used_again(self) -> None:
        """The API has seen a higher one; the next holder has a new one."""
        self.play(WINDOW_S)
        time.sleep(WINDOW_S)
        tokens = self.control._highest_tokens
        tokens['/usage'] += 1
        refused_from = len(self.control.calls)
        time.sleep(2 * WINDOW_S)
        refused = self.control.calls[refused_from:]
        self.assertEqual([409], [call.status for call in refused])
        self.owner().kill()
        time.sleep(TAKEOVER_S)
        self.check_reports(is_in_time=False)


class SteppedClockTest(UsageTestCase):
    """One instance of four has a time of day that is 2 s ahead."""

    def test_requests_count_in_the_right_window(self) -> None:
        """The instance learns the time of day from the others."""
        self.deployment.start_instance('entry-4', clock_ahead_s=2.0)
        self.deployment.wait_ready()
        for address in self.deployment.addresses()[: self.INSTANCES]:
            self.load.send(address)
        # Until it has read the counts of the others.
        time.sleep(HEARD_S)
        self.play(4 * WINDOW_S)
        self.check_reports()


class UncheckedTokensTest(UsageTestCase):
    """The API doesn't check tokens."""

    CHECKS_FENCE = False

    def test_holders_that_alternate_keep_the_lease(self) -> None:
        """The owner is paused; so is the next one, for the first to return."""
        for _ in range(3):
            self.load.send(self.owner().address)
            # An instance that is paused now appends its count too late.
            time.sleep(HEARD_S)
            paused = self.owner()
            paused.pause()
            deployment_module.wait_for(
                lambda p=paused: self.deployment.owner() is not p
            )
            # Long enough for calls of the new owner.
            time.sleep(LEASE_S + WINDOW_S + 1.0)
            paused.resume()
        self.assertEqual([], self.control.returns_within(LEASE_S))
        self.check_reports(is_in_time=False)
        holders = [call.holder for call in self.control.calls]
        self.assertGreater(len(set(holders)), 1)
