"""Test requests that arrive while an instance drains."""

import concurrent.futures
import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from test.emulator import base

# One plain request takes so long, less than its time-out.
SLOW_FACTOR = 150
INTERVAL_S = 0.25
DEADLINE_MS = '2000'
# The rest of the grace period is then shorter than the deadline.
REFUSES_AFTER_S = 2.1
# Before an idle instance stops.
RUNS_AFTER_S = 0.9
LARGE_BODY = b'x' * 2_000_000
NOT_RUN_STATUSES = (408, 421, 429, 503)


class PlannedStopTest(base.DeploymentTestCase):
    """Callers that kept the address send until the process has ended."""

    INSTANCES = 2

    def send(
        self, address: str, request_id: str, body: bytes = b'x'
    ) -> clients.Response:
        """Send a request that may run only once."""
        return clients.Client().send(
            address,
            'POST',
            f'{deployment_module.ENTRIES}{request_id}',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': DEADLINE_MS,
            },
            body,
        )

    def test_requests_late_in_the_grace_period_are_not_cut(self) -> None:
        """Each one ends with a response, or has not run."""
        for service in self.deployment.plain_services:
            service.slow_factor = SLOW_FACTOR
        leaving = self.deployment.instances[0]
        leaving.terminate()
        outcomes: dict[str, concurrent.futures.Future[clients.Response]] = {}
        with concurrent.futures.ThreadPoolExecutor(32) as executor:
            number = 0
            while leaving.process.poll() is None:
                request_id = f'late-{number}'
                outcomes[request_id] = executor.submit(
                    self.send, leaving.address, request_id
                )
                number += 1
                time.sleep(INTERVAL_S)
        for request_id, future in outcomes.items():
            status = future.result().status
            runs = self.deployment.recorder.runs_of(request_id)
            with self.subTest(request_id, status=status):
                self.assertLessEqual(len(runs), 1)
                if status in (0, *NOT_RUN_STATUSES):
                    self.assertEqual([], runs)
                else:
                    self.assertEqual(200, status)

    def test_refusals_late_in_the_grace_period_reach_their_callers(
        self,
    ) -> None:
        """Also where the request has a large body that nobody reads."""
        leaving = self.deployment.instances[0]
        for service in self.deployment.plain_services:
            service.slow_factor = SLOW_FACTOR
        with concurrent.futures.ThreadPoolExecutor(1) as executor:
            # Keeps the instance from being idle.
            leaving.terminate()
            self.run_for(RUNS_AFTER_S)
            executor.submit(self.send, leaving.address, 'running')
            self.run_for(REFUSES_AFTER_S - RUNS_AFTER_S)
            response = self.send(leaving.address, 'refused', LARGE_BODY)
        self.assertEqual(503, response.status)
        self.assertEqual([], self.deployment.recorder.runs_of('refused'))
