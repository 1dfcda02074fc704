"""Send many large bodies at once to instances with little memory."""

import concurrent.futures
import pathlib
import threading
import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import lookups

from . import base

MEMORY_MB = 205
KB_PER_MB = 1000
BODY_BYTES = 30_000_000
SENDERS = 8
SECONDS = 6.0
RETRY_S = 0.2


class LargeBodiesTest(base.DeploymentTestCase):
    """Bodies within the limits of the configuration."""

    INSTANCES = 1
    SAMPLERS = 1

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Set the limit of memory."""
        deployment.memory_mb = MEMORY_MB

    def setUp(self) -> None:
        """Start the deployment."""
        super().setUp()
        self.stopped = threading.Event()
        self.body = b'b' * BODY_BYTES

    def peak_mb(self) -> float:
        """Return the most memory that the instance has used so far."""
        [instance] = self.deployment.instances
        status = pathlib.Path(f'/proc/{instance.process.pid}/status')
        [line] = [
            line
            for line in status.read_text(encoding='utf-8').splitlines()
            if line.startswith('VmHWM:')
        ]
        return int(line.split()[1]) / KB_PER_MB

    def send_large(self, name: str) -> list[int]:
        """Send large requests one after the other; return the statuses."""
        statuses = []
        while not self.stopped.is_set():
            response = clients.Client().send(
                self.deployment.addresses()[0],
                'POST',
                f'{deployment_module.LOOKUPS}{name}',
                {
                    'Host': deployment_module.HOST,
                    'X-Request-Id': f'{name}-{len(statuses)}',
                    'X-Deadline-Ms': '2000',
                },
                self.body,
            )
            statuses.append(response.status)
            if response.status == 503:
                self.assertIn('Retry-After', response.headers)
                time.sleep(RETRY_S)
        return statuses

    def test_memory_stays_within_its_limit(self) -> None:
        """Others are served meanwhile, and large bodies by turns."""
        with (
            lookups.LookupLoad(self.deployment.addresses) as load,
            concurrent.futures.ThreadPoolExecutor(SENDERS) as executor,
        ):
            senders = [
                executor.submit(self.send_large, f'large-{number}')
                for number in range(SENDERS)
            ]
            self.run_for(SECONDS)
            self.stopped.set()
            statuses = [s for sender in senders for s in sender.result()]
        self.assertLess(self.peak_mb(), MEMORY_MB)
        self.assertEqual([], load.failed)
        self.assertIn(200, statuses)
        self.assertLessEqual(set(statuses), {200, 503})
