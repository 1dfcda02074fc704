"""Send a request under which upstreams crash, beside innocent ones."""

import concurrent.futures
import signal
import threading
import time
import typing

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import upstream as upstream_module

from . import base

# Crashes after which a request must no longer reach upstreams.
MAX_CRASHES = 3
# Runs that may still begin, once the news has had this time to spread.
MAX_LATE_RUNS = 3
NEWS_S = 3.0
REPEAT_S = 0.2
RELOAD_S = 1.0
CRASHING_PHASE_S = 9.0
# Callers come back after a refusal, up to this many times.
CALLER_ATTEMPTS = 4


class CrashingRequestTest(base.DeploymentTestCase):
    """Repeat the request under new ids at all instances."""

    INSTANCES = 3
    SAMPLERS = 1
    PLAIN_SERVICES = 3

    def setUp(self) -> None:
        """Start the deployment and count requests."""
        super().setUp()
        self.sent = 0
        self.stopped = threading.Event()

    def send_to(
        self, address: str, body: bytes, request_id: str
    ) -> clients.Response:
        """Send one lookup to an instance."""
        return clients.Client().send(
            address,
            'POST',
            f'{deployment_module.LOOKUPS}same',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '2000',
            },
            body,
        )

    def send_crashing(self, address: str) -> clients.Response:
        """Send the crashing request under a new id."""
        self.sent += 1
        return self.send_to(
            address, upstream_module.CRASHING_BODY, f'crash-{self.sent}'
        )

    def repeat_crashing(self, seconds: float) -> None:
        """Send the crashing request to the instances in turn."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            addresses = self.deployment.addresses()
            self.send_crashing(addresses[self.sent % len(addresses)])
            time.sleep(REPEAT_S)

    def runs_after(self, moment: float) -> int:
        """Return how often the crashing request ran after a moment."""
        return sum(
            run.request_id.startswith('crash-') and run.started_at > moment
            for run in self.deployment.recorder.runs
        )

    def reload_configuration(self) -> None:
        """Publish a new version and let instances reload their settings."""
        self.deployment.operator.publish(
            deployment_module.routes(), deployment_module.services()
        )
        for instance in self.deployment.live_instances():
            instance.process.send_signal(signal.SIGHUP)
        self.run_for(RELOAD_S)

    def assert_refused_everywhere(self) -> None:
        """Each instance refuses the request as not run, with a delay."""
        for address in self.deployment.addresses():
            response = self.send_crashing(address)
            self.assertEqual(503, response.status)
            self.assertIn('Retry-After', response.headers)
            self.assertEqual('crashes_upstreams', response.json()['code'])

    def test_request_is_refused_after_three_crashes(self) -> None:
        """Instances that start later refuse it as well."""
        self.repeat_crashing(CRASHING_PHASE_S)
        crashes = self.deployment.recorder.crashes
        self.assertGreaterEqual(len(crashes), MAX_CRASHES)
        third = crashes[MAX_CRASHES - 1].crashed_at
        self.assertLessEqual(self.runs_after(third + NEWS_S), MAX_LATE_RUNS)
        self.deployment.start_instance('entry-late')
        self.deployment.wait_ready()
        before = len(self.deployment.recorder.runs)
        self.assert_refused_everywhere()
        self.reload_configuration()
        self.assert_refused_everywhere()
        # The record outlives the instances that saw the crashes.
        for instance in self.deployment.instances[: self.INSTANCES]:
            instance.kill()
        self.deployment.start_instance('entry-later')
        self.deployment.wait_ready()
        self.assert_refused_everywhere()
        self.assertEqual(before, len(self.deployment.recorder.runs))

    def send_innocents(self, name: str, outcomes: list[typing.Any]) -> None:
        """Send lookups with bodies of their own, as callers retry them."""
        number = 0
        while not self.stopped.is_set():
            number += 1
            outcomes.append(self.send_with_retries(f'{name}-{number}'))

    def send_with_retries(self, request: str) -> tuple[str, list[str]]:
        """Return the request and what each try at it led to."""
        tries = []
        for attempt in range(CALLER_ATTEMPTS):
            addresses = self.deployment.addresses()
            response = self.send_to(
                addresses[attempt % len(addresses)],
                request.encode(),
                f'{request}-{attempt}',
            )
            if response.status == 200:
                return request, ['ok']
            tries.append(f'{response.status} {response.body!r}')
            time.sleep(float(response.headers.get('Retry-After', '0.2')))
        return request, tries

    def test_innocent_requests_are_answered_beside_it(self) -> None:
        """They share crashes, but not the verdict."""
        outcomes: list[tuple[str, list[str]]] = []
        with concurrent.futures.ThreadPoolExecutor() as executor:
            callers = [
                executor.submit(self.send_innocents, f'good-{n}', outcomes)
                for n in range(4)
            ]
            try:
                self.repeat_crashing(CRASHING_PHASE_S)
            finally:
                self.stopped.set()
            for caller in callers:
                caller.result()
        failed = [outcome for outcome in outcomes if outcome[1] != ['ok']]
        self.assertGreater(len(outcomes), 100)
        self.assertEqual([], failed)
