"""Repeat a request that crashes upstreams beside traffic and other trouble."""

from standins.emulator import crash_plays

from . import base

SECONDS = 9.0


class CrashTestCase(base.DeploymentTestCase):
    """The request is refused soon after its third crash."""

    INSTANCES = crash_plays.INSTANCES
    SAMPLERS = 1
    PLAIN_SERVICES = crash_plays.PLAIN_SERVICES

    def play(self, name: str) -> crash_plays.Outcome:
        """Play a setting and check how often the request ran too late."""
        setting = crash_plays.SETTINGS[name]
        seconds = max(SECONDS, setting.store_busy_s + 2.0)
        play = crash_plays.CrashPlay(
            self.deployment, setting._replace(seconds=seconds)
        )
        outcome = play.run()
        self.assertGreaterEqual(outcome.crashes, crash_plays.MAX_CRASHES)
        self.assertLessEqual(
            outcome.late_runs, crash_plays.MAX_LATE_RUNS, outcome
        )
        blamed = [
            innocent
            for innocent in play.innocents
            if any('crashes_upstreams' in f for f in innocent.failures)
        ]
        self.assertEqual([], blamed)
        return outcome


class CrashesBesideTrafficTest(CrashTestCase):
    """All instances reach the upstreams."""

    def test_upstreams_that_others_use_too(self) -> None:
        """Innocent requests run at all upstreams from all instances."""
        outcome = self.play('beside-traffic')
        self.assertEqual(0, outcome.innocents_failed)

    def test_upstreams_that_are_back_at_once(self) -> None:
        """Probes reach the next process at the address."""
        self.play('quick-restarts')

    def test_upstreams_that_fall_silent(self) -> None:
        """Their connections stay open, and attempts time out."""
        self.play('silent')

    def test_runs_that_fail_in_between(self) -> None:
        """Some runs end with a server error and no crash."""
        self.play('failing')

    def test_busy_store(self) -> None:
        """Crashes are seen while nothing can be appended."""
        self.play('store-busy')

    def test_callers_that_leave(self) -> None:
        """They are gone before the upstream ends."""
        self.play('leaving-callers')

    def test_callers_that_leave_long_before_the_crash(self) -> None:
        """Nobody waits for the response any more when it is cut."""
        self.play('slow-crashes')

    def test_paused_instance(self) -> None:
        """One instance answers nobody while upstreams crash."""
        self.play('paused-peer')


class CrashesBesideCutTest(CrashTestCase):
    """One instance is refused by all upstreams meanwhile."""

    HAS_LINKS = True

    def test_cut_instance_and_crashes(self) -> None:
        """Neither hides the other."""
        self.play('refused-cut')
