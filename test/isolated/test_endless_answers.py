"""Let upstreams send without end to all that one instance calls at once.

Guards against answers without end that take the memory of an instance, and
with it the requests of all its callers.
"""

import concurrent.futures
import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import endless
from test.emulator import one_instance

UPSTREAMS = 2
TIMEOUT_MS = 1500
# Clients, each with one request at a time.
CLIENTS = 40
SECONDS = 4.0
DISCOVERY_S = 2.0
SERVICE = 'flooding'
KINDS = {
    'idempotent': {'route-type': 'idempotent'},
    'resumable': {'route-type': 'streaming', 'resumable': True},
}


class EndlessAnswersTest(one_instance.OneInstanceTestCase):
    """Many requests at the same time, under one fault."""

    PLAIN_SERVICES = 1

    def start_flooding(self, name: str, spoils_reports: bool) -> None:
        """Start upstreams with a fault, and publish routes to them."""
        for index in range(UPSTREAMS):
            upstream = endless.EndlessUpstream(
                self.deployment.store,
                f'flooding-{index}',
                SERVICE,
                deployment_module.MODEL,
                endless.floods[name],
                spoils_reports=spoils_reports,
            )
            self.addCleanup(upstream.stop)
        services = deployment_module.services()
        services.append({**services[0], 'name': SERVICE})
        routes = deployment_module.routes() + [
            {
                'name': kind,
                'host': deployment_module.HOST,
                'path-prefix': f'/{kind}/',
                'service': SERVICE,
                'timeout-ms': TIMEOUT_MS,
                'target-latency-ms': 100,
                'attempts': UPSTREAMS,
                **fields,
            }
            for kind, fields in KINDS.items()
        ]
        self.deployment.operator.publish(routes, services)
        time.sleep(DISCOVERY_S)

    def send(self, kind: str, number: int) -> int:
        """Send requests one after the other; return how many."""
        ends_at = time.monotonic() + SECONDS
        sent = 0
        while time.monotonic() < ends_at:
            request_id = f'{kind}-{number}-{sent}'
            headers = {
                'Host': deployment_module.HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': str(TIMEOUT_MS),
            }
            if kind == 'resumable':
                headers['X-Model'] = deployment_module.MODEL
            clients.Client().send(
                self.deployment.addresses()[0],
                'POST',
                f'/{kind}/{request_id}',
                headers,
                b'x',
            )
            sent += 1
        return sent

    def check(
        self, name: str, kind: str, spoils_reports: bool = False
    ) -> None:
        """Check the instance after a crowd of requests under a fault."""
        self.start_flooding(name, spoils_reports)
        with concurrent.futures.ThreadPoolExecutor(CLIENTS) as executor:
            sent = sum(
                executor.map(lambda n: self.send(kind, n), range(CLIENTS))
            )
        self.assertGreater(sent, CLIENTS)
        self.check_alive()
        self.assertEqual(200, self.send_ordinary('ordinary'))

    def test_heads(self) -> None:
        """Fields without end."""
        self.check('flood in a head', 'idempotent')

    def test_interim_heads(self) -> None:
        """Interim heads without end."""
        self.check('flood of interim responses', 'idempotent')

    def test_bodies_until_the_close(self) -> None:
        """Bodies without a length."""
        self.check('flood until the close', 'idempotent')

    def test_bodies_in_chunks(self) -> None:
        """Chunks without end."""
        self.check('flood of chunks', 'idempotent')

    def test_declared_lengths(self) -> None:
        """Bodies with a length that nobody can hold."""
        self.check('flood of a declared length', 'idempotent')

    def test_large_bodies(self) -> None:
        """Bodies that end just below the limit, and are sound."""
        self.check('large body', 'idempotent')

    def test_events(self) -> None:
        """Streams with an event without end."""
        self.check('flood in an event', 'resumable')

    def test_reports_until_the_close(self) -> None:
        """Reports without a length."""
        self.check('flood until the close', 'resumable', True)

    def test_reports_in_chunks(self) -> None:
        """Reports in chunks without end."""
        self.check('flood of chunks', 'resumable', True)
