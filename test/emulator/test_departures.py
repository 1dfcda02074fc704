"""Test upstreams that leave without a word around outages of the store."""

import threading
import time

from standins.emulator import callers as callers_module
from standins.emulator import deployment as deployment_module
from standins.emulator import upstream as upstream_module
from test.emulator import base

# An upstream that leaves receives nothing new later than this.
DRAIN_S = 2.0
# Upstreams that live are registered again this long after an outage.
LAPSE_S = 2.0
# An upstream that is not registered again by then receives nothing new.
GONE_S = 3.0
INTERVAL_S = 0.04
SETTLE_S = 1.0
SHORT_LOSS_S = 1.0
# Long enough for registrations to expire.
OUTAGE_S = 5.0
# Callers prefer the others.
SLOW_FACTOR = 4


class DeparturesTest(base.DeploymentTestCase):
    """Callers keep sending while upstreams leave."""

    SAMPLERS = 1
    PLAIN_SERVICES = 4
    HEARTBEAT_S = 1.2

    def setUp(self) -> None:
        """Let callers prefer the upstream that leaves."""
        super().setUp()
        self.leaving, *self.others = self.deployment.plain_services
        for other in self.others[1:]:
            other.slow_factor = SLOW_FACTOR
        self.callers = callers_module.Callers(
            self.deployment.instances, INTERVAL_S
        )

    def call_for(self, seconds: float) -> threading.Thread:
        """Start the callers in the background."""
        thread = threading.Thread(target=self.callers.run, args=(seconds,))
        thread.start()
        self.addCleanup(thread.join)
        time.sleep(SETTLE_S)
        return thread

    def lose_store(self, seconds: float, excludes_upstreams: bool) -> float:
        """Let no instance reach the store; return when it is back."""
        faults = self.deployment.store.faults
        faults.excludes_upstreams = excludes_upstreams
        faults.outage = 'busy'
        time.sleep(seconds)
        faults.outage = None
        return time.monotonic()

    def delays_after(
        self,
        upstream: upstream_module.Upstream,
        left_at: float,
        bound_s: float,
    ) -> list[float]:
        """Return how late requests ran at an upstream that has left."""
        return [
            round(run.started_at - left_at, 3)
            for run in self.deployment.recorder.runs_at(upstream.id)
            if run.started_at > left_at + bound_s
        ]

    def served_share(self, since: float, until: float) -> float:
        """Return the share of plain requests of a period that were served."""
        tries = [
            each
            for each in self.callers.tries_since(since)
            if each.sent_at < until and each.kind != callers_module.STREAM
        ]
        return sum(each.is_served for each in tries) / len(tries)

    def test_departure_after_a_short_loss_of_the_store(self) -> None:
        """No registration can have expired meanwhile."""
        calls = self.call_for(8.0)
        returned_at = self.lose_store(SHORT_LOSS_S, False)
        time.sleep(2.2)
        left_at = self.leaving.lapse()
        self.assertLess(left_at, returned_at + 3.0)
        calls.join()
        self.assertEqual([], self.delays_after(self.leaving, left_at, DRAIN_S))

    def test_departure_during_a_short_loss_of_the_store(self) -> None:
        """It is read as soon as the store is back."""
        calls = self.call_for(7.0)
        timer = threading.Timer(SHORT_LOSS_S / 2, self.leaving.lapse)
        timer.start()
        returned_at = self.lose_store(SHORT_LOSS_S, False)
        calls.join()
        left_at = returned_at - SHORT_LOSS_S / 2
        self.assertEqual([], self.delays_after(self.leaving, left_at, DRAIN_S))

    def test_departure_while_one_instance_has_lost_the_store(self) -> None:
        """It reads the departure through others, or when it is back."""
        calls = self.call_for(7.0)
        store_relay = self.deployment.instances[0].store_relay
        assert store_relay is not None
        store_relay.cut()
        time.sleep(SHORT_LOSS_S / 2)
        left_at = self.leaving.lapse()
        time.sleep(SHORT_LOSS_S / 2)
        store_relay.restore()
        calls.join()
        self.assertEqual([], self.delays_after(self.leaving, left_at, DRAIN_S))

    def test_lapses_and_departures_after_an_outage(self) -> None:
        """Registrations expire, most come back, and one upstream leaves."""
        missing = self.others[0]
        calls = self.call_for(OUTAGE_S + 9.0)
        missing.is_registration_delayed = True
        returned_at = self.lose_store(OUTAGE_S, True)
        deployment_module.wait_for(
            lambda: len(self.registered()) == len(self.others), LAPSE_S
        )
        time.sleep(max(0.0, returned_at + 2.5 - time.monotonic()))
        left_at = self.leaving.lapse()
        calls.join()
        self.assertEqual(1.0, self.served_share(returned_at, left_at))
        with self.subTest('missing'):
            self.assertEqual(
                [], self.delays_after(missing, returned_at, GONE_S)
            )
        with self.subTest('leaving'):
            self.assertEqual(
                [], self.delays_after(self.leaving, left_at, DRAIN_S)
            )

    def test_outage_soon_after_another(self) -> None:
        """Some upstreams have no time to register again in between."""
        for upstream in self.deployment.plain_services:
            upstream.is_registration_delayed = True
        calls = self.call_for(2 * OUTAGE_S + 6.0)
        began_at = time.monotonic()
        self.lose_store(OUTAGE_S, True)
        time.sleep(SHORT_LOSS_S)
        returned_at = self.lose_store(OUTAGE_S, True)
        for upstream in self.deployment.plain_services:
            upstream.is_registration_delayed = False
        calls.join()
        self.assertEqual(
            1.0, self.served_share(began_at, returned_at + LAPSE_S)
        )

    def registered(self) -> list[str]:
        """Return the plain services that are registered."""
        services = {each.id for each in self.deployment.plain_services}
        return [
            key
            for key in self.deployment.store.newest_values('keyed.servers')
            if key in services
        ]
