"""Test instances that are cut off from all upstreams and nothing else."""

import threading
import time

from standins.emulator import callers as callers_module
from standins.emulator import deployment as deployment_module
from standins.emulator import links
from test.emulator import base

# From this long after a cut began, callers are served at cut instances too.
CONTACT_S = 3.0
INTERVAL_S = 0.08
# Failed tries at cut instances that are allowed: a number, and a share.
ALLOWED_FAILURES = 10
ALLOWED_SHARE = 1 / 50
MIN_SERVED_RATIO = 2 / 3
SETTLE_S = 1.0
# By then it is decided whether an upstream has ended.
RESOLVED_S = 3.5
MEASURED_S = 4.0
DUE_S = 7.5
# Callers then keep several connections to an upstream busy.
BUSY_SLOW_FACTOR = 40
# The status states that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class CutInstancesTestCase(base.DeploymentTestCase):
    """Callers keep sending to the instances that are cut off."""

    HAS_LINKS = True

    def setUp(self) -> None:
        """Start callers of all instances."""
        super().setUp()
        self.callers = self.new_callers()

    def new_callers(self) -> callers_module.Callers:
        """Return callers of the instances that are live now."""
        return callers_module.Callers(
            self.deployment.live_instances(), INTERVAL_S
        )

    def owner(self) -> deployment_module.Instance:
        """Return the owner of the shard."""
        deployment_module.wait_for(lambda: self.deployment.owner() is not None)
        owner = self.deployment.owner()
        assert owner is not None
        return owner

    def check_served(
        self, cut: list[deployment_module.Instance], since: float
    ) -> None:
        """Check that callers are served at cut instances as at others."""
        names = {instance.name for instance in cut}
        tries = self.callers.tries_since(since)
        at_cut = [each for each in tries if each.instance in names]
        others = [each for each in tries if each.instance not in names]
        failed = [each for each in at_cut if not each.is_served]
        served_share = 1 - len(failed) / len(at_cut)
        others_share = sum(each.is_served for each in others) / len(others)
        allowed = ALLOWED_FAILURES + ALLOWED_SHARE * len(at_cut)
        is_broken = (
            served_share < MIN_SERVED_RATIO * others_share
            and len(failed) > allowed
        )
        self.assertFalse(
            is_broken,
            f'cut instances served {len(at_cut) - len(failed)} of '
            f'{len(at_cut)}, others a share of {others_share:.2f}',
        )
        self.check_verdicts()

    def check_verdicts(self) -> None:
        """Check that entries ran at most once, and not if so answered."""
        recorder = self.deployment.recorder
        for each in self.callers.tries_since(0.0):
            runs = len(recorder.runs_of(each.request_id))
            if each.kind == callers_module.ENTRY:
                self.assertLessEqual(runs, 1, each)
                if each.status in NOT_RUN_STATUSES:
                    self.assertEqual(0, runs, each)

    def check_nothing_crashed(self) -> None:
        """Check that no instance took the cut for the end of an upstream."""
        suspected = [
            entry
            for instance in self.deployment.instances
            for entry in instance.log_entries()
            if entry.get('event') == 'upstream crashed under a request'
        ]
        self.assertEqual([], suspected)

    def play_cut(
        self,
        cut: links.Cut,
        slow_factor: float = 1.0,
        cut_off: deployment_module.Instance | None = None,
    ) -> None:
        """Cut an instance off while callers send to all instances.

        It is the owner of the shard unless another one is given. The plain
        services are slower from then on.
        """
        owner = cut_off or self.owner()
        assert owner.links is not None
        self.callers.run(SETTLE_S)
        owner.links.cut(cut)
        for upstream in self.deployment.plain_services:
            upstream.slow_factor = slow_factor
        began_at = time.monotonic()
        self.callers.run(CONTACT_S + MEASURED_S)
        self.check_served([owner], began_at + CONTACT_S)
        owner.links.restore()
        self.callers.run(SETTLE_S)


class CutInstancesTest(CutInstancesTestCase):
    """Cut the owner of the shard, or most instances, off."""

    def test_silent_links_do_not_fail_callers(self) -> None:
        """Open connections hang, and new ones get no answer."""
        self.play_cut(links.Cut.SILENT)

    def test_reset_links_do_not_fail_callers(self) -> None:
        """Open connections are reset, and new ones get no answer."""
        self.play_cut(links.Cut.RESET)

    def test_refused_connections_do_not_fail_callers(self) -> None:
        """Open connections are reset, and new ones are refused."""
        self.play_cut(links.Cut.REFUSED)

    def test_cut_is_not_taken_for_crashes_of_upstreams(self) -> None:
        """Requests are in flight when the connections are reset."""
        self.check_cut_of_busy([self.owner()])

    def test_cut_of_all_is_not_taken_for_crashes_of_upstreams(self) -> None:
        """Nobody is left who reaches the upstreams."""
        self.check_cut_of_busy(self.deployment.instances)

    def check_cut_of_busy(self, cut: list[deployment_module.Instance]) -> None:
        """Cut instances off while requests are in flight."""
        for upstream in self.deployment.plain_services:
            upstream.slow_factor = BUSY_SLOW_FACTOR
        cut_links = [each.links for each in cut if each.links is not None]
        timer = threading.Timer(
            SETTLE_S, links.cut_together, (cut_links, links.Cut.REFUSED)
        )
        timer.start()
        self.callers.run(2 * SETTLE_S)
        timer.join()
        self.run_for(RESOLVED_S)
        self.check_nothing_crashed()

    def test_open_connections_do_not_hide_that_new_ones_are_refused(
        self,
    ) -> None:
        """Open connections live on, too few for all callers."""
        self.play_cut(links.Cut.NEW_REFUSED, BUSY_SLOW_FACTOR)

    def test_cut_of_most_instances_does_not_fail_callers(self) -> None:
        """One instance of three still reaches the upstreams."""
        owner = self.owner()
        others = [i for i in self.deployment.instances if i is not owner]
        cut = [owner, others[0]]
        self.callers.run(SETTLE_S)
        for instance in cut:
            assert instance.links is not None
            instance.links.cut(links.Cut.SILENT)
        began_at = time.monotonic()
        self.callers.run(CONTACT_S + MEASURED_S)
        self.check_served(cut, began_at + CONTACT_S)

    def test_cut_owner_does_not_hold_up_batches(self) -> None:
        """Another instance runs the items and loads the weights."""
        owner = self.owner()
        assert owner.links is not None
        first = self.new_batch()
        self.submit(first)
        self.read_and_check(first)
        owner.links.cut(links.Cut.SILENT)
        self.deployment.operator.announce_version(deployment_module.MODEL, 2)
        batch = self.new_batch(step=1, min_version=2)
        submitted_at = time.monotonic()
        self.submit(batch)
        self.assertTrue(self.trainer.read_all(batch, base.READ_TIMEOUT_S))
        self.assertLess(time.monotonic() - submitted_at, DUE_S)
        self.check_results(batch)
        self.assertIsNot(owner, self.deployment.owner())

    def test_shard_stays_while_all_instances_are_cut_off(self) -> None:
        """Nobody reaches the upstreams, so no other owner helps."""
        owner = self.owner()
        for instance in self.deployment.instances:
            assert instance.links is not None
            instance.links.cut(links.Cut.SILENT)
        batch = self.new_batch()
        self.submit(batch)
        self.run_for(2 * CONTACT_S)
        self.assertIs(owner, self.deployment.owner())
        for instance in self.deployment.instances:
            assert instance.links is not None
            instance.links.restore()
        self.read_and_check(batch)
