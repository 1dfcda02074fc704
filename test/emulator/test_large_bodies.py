"""Send many large bodies at once to instances with little memory."""

import concurrent.futures
import threading
import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import lookups

from . import one_instance

BODY_BYTES = 30_000_000
SENDERS = 8
SECONDS = 6.0
RETRY_S = 0.2


class LargeBodiesTest(one_instance.OneInstanceTestCase):
    """Bodies within the limits of the configuration."""

    def setUp(self) -> None:
        """Start the deployment."""
        super().setUp()
        self.stopped = threading.Event()
        self.body = b'b' * BODY_BYTES

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
        self.check_alive()
        self.assertEqual([], load.failed)
        self.assertIn(200, statuses)
        self.assertLessEqual(set(statuses), {200, 503})
