"""Test upstreams whose responses end with their connection."""

from standins.emulator import deployment as deployment_module
from standins.emulator import outputs
from standins.emulator import streams
from test.emulator import base

REQUESTS = 8


class ClosingUpstreamsTest(base.DeploymentTestCase):
    """Whole responses arrive whole, and no request runs twice."""

    def play(self, attribute: str) -> None:
        """Send requests of all kinds while all upstreams respond so."""
        upstreams = [
            *self.deployment.samplers,
            *self.deployment.plain_services,
        ]
        for upstream in upstreams:
            setattr(upstream, attribute, True)
        for prefix in (deployment_module.LOOKUPS, deployment_module.ENTRIES):
            for number in range(REQUESTS):
                self.check_request(prefix, f'{prefix.strip("/")}-{number}')
        self.check_stream()
        batch = self.new_batch(groups=2)
        self.submit(batch)
        self.read_and_check(batch)
        for item, _ in batch.items:
            self.assertEqual(1, len(self.deployment.recorder.runs_of(item)))

    def check_request(self, prefix: str, request_id: str) -> None:
        """Check the response to a request, and that it ran once."""
        response = self.send_request(f'{prefix}{request_id}', request_id)
        self.assertEqual(200, response.status)
        self.assertEqual(
            outputs.plain_response(request_id, b'x'), response.body
        )
        runs = self.deployment.recorder.runs_of(request_id)
        self.assertEqual(1, len(runs))

    def check_stream(self) -> None:
        """Check that a stream arrives in one run."""
        client = streams.StreamClient(
            'stream-1', deployment_module.HOST, deployment_module.MODEL
        )
        address = self.deployment.addresses()[0]
        self.assertEqual(200, client.send(address, deployment_module.STREAMS))
        self.assertTrue(client.is_complete and client.is_gapless)
        self.assertEqual(1, len(self.deployment.recorder.runs_of('stream-1')))

    def test_connection_closes_after_each_response(self) -> None:
        """Responses have a length or chunks."""
        self.play('closes_connections')

    def test_end_of_the_connection_ends_responses(self) -> None:
        """Responses have no length."""
        self.play('omits_lengths')
