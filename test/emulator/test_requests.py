"""Test plain requests and streams on the emulated platform."""

import socket
import threading
import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import outputs

from . import base


class RequestTest(base.DeploymentTestCase):
    """Send requests to the plain services."""

    INSTANCES = 2

    def run_count(self, request_id: str) -> int:
        """Return how often a request was run by an upstream."""
        return len(self.deployment.recorder.runs_of(request_id))

    def test_concurrent_requests_get_their_own_responses(self) -> None:
        """Concurrent callers each get the response to their request."""
        problems: list[str] = []

        def send(number: int) -> None:
            body = b'y' * number
            response = self.send_request(
                deployment_module.LOOKUPS + 'a', f'q{number}', body
            )
            if response.body != outputs.plain_response(f'q{number}', body):
                problems.append(f'{number}: {response}')

        threads = [
            threading.Thread(target=send, args=(number,))
            for number in range(12)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], problems)

    def test_idempotent_request_is_retried_on_another_upstream(self) -> None:
        """A request whose response is lost is retried."""
        self.deployment.plain_services[0].fault = 'answer_lost'
        for number in range(6):
            response = self.send_request(
                deployment_module.LOOKUPS + 'a', f'i{number}'
            )
            self.assertEqual(200, response.status)

    def test_silent_upstream_does_not_exhaust_deadline(self) -> None:
        """An idempotent request moves to another upstream within 1.2 s."""
        self.deployment.plain_services[0].fault = 'silent'
        for number in range(6):
            started_at = time.monotonic()
            response = self.send_request(
                deployment_module.LOOKUPS + 'a', f's{number}'
            )
            self.assertEqual(200, response.status)
            self.assertLess(time.monotonic() - started_at, 1.2)

    def test_ordinary_requests_do_not_wait_for_batches(self) -> None:
        """An instance that can't read the batches yet serves requests."""
        self.deployment.store.faults.outage_topic = 'keyed.batches'
        self.deployment.store.faults.outage = 'busy'
        late_instance = self.deployment.start_instance('entry-late')
        self.deployment.wait_ready()
        response = clients.Client().send(
            late_instance.address,
            'POST',
            deployment_module.LOOKUPS + 'a',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': 'early',
                'X-Deadline-Ms': '2000',
            },
            b'x',
        )
        self.assertEqual(200, response.status)

    def test_non_idempotent_request_runs_once(self) -> None:
        """A lost response leads to 502 and no second run."""
        for service in self.deployment.plain_services:
            service.fault = 'answer_lost'
        for number in range(6):
            response = self.send_request(
                deployment_module.ENTRIES + 'a', f'n{number}'
            )
            self.assertEqual(502, response.status)
            self.assertEqual(1, self.run_count(f'n{number}'))

    def test_refused_request_is_never_run(self) -> None:
        """A request refused by full upstreams gets 503 and is not run."""
        for service in self.deployment.plain_services:
            service.fault = 'full'
        started_at = time.monotonic()
        response = self.send_request(deployment_module.ENTRIES + 'a', 'full')
        self.assertEqual(503, response.status)
        self.assertIn('Retry-After', response.headers)
        self.assertLess(time.monotonic() - started_at, 1.0)
        self.assertEqual(0, self.run_count('full'))

    def test_route_timeout_ends_a_request(self) -> None:
        """The caller gets an error at the route's timeout of 2 s."""
        for service in self.deployment.plain_services:
            service.fault = 'silent'
        started_at = time.monotonic()
        response = self.send_request(deployment_module.LOOKUPS + 'a', 'slow')
        self.assertIn(response.status, (502, 504))
        self.assertLess(time.monotonic() - started_at, 2.4)

    def test_unknown_route_is_not_found(self) -> None:
        """An unknown path gets 404, an empty request id 400."""
        self.assertEqual(404, self.send_request('/nowhere/', 'x').status)
        self.assertEqual(
            400, self.send_request(deployment_module.LOOKUPS, '').status
        )

    def test_draining_upstream_gets_no_new_requests(self) -> None:
        """A draining upstream gets no requests after 0.5 s."""
        draining = self.deployment.plain_services[0]
        draining.drain()
        self.run_for(0.5)
        for number in range(8):
            self.send_request(deployment_module.LOOKUPS + 'a', f'd{number}')
        used_upstreams = {
            run.upstream
            for run in self.deployment.recorder.runs
            if run.request_id.startswith('d')
        }
        self.assertEqual(
            {self.deployment.plain_services[1].id}, used_upstreams
        )

    def test_address_reused_by_another_upstream(self) -> None:
        """A 421 from an upstream with another id is retried as not run."""
        self.deployment.plain_services[0].id = 'i-other'
        for number in range(4):
            response = self.send_request(
                deployment_module.LOOKUPS + 'a', f'r{number}'
            )
            self.assertEqual(200, response.status)

    def test_run_is_cancelled_when_caller_disconnects(self) -> None:
        """The upstream stops generating events within 1.2 s."""
        self.slow_down(30)
        clients.Client().send(
            self.deployment.addresses()[0],
            'POST',
            deployment_module.STREAMS + 'a',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': 'left',
                'X-Deadline-Ms': '9000',
                'X-Model': deployment_module.MODEL,
            },
            b'x',
            timeout_s=0.2,
        )
        self.run_for(1.2)
        run = self.deployment.recorder.runs_of('left')[0]
        event_total = len(run.versions)
        self.run_for(1.0)
        self.assertLessEqual(len(run.versions), event_total + 1)

    def test_configuration_takes_effect_within_two_seconds(self) -> None:
        """A removed route responds with 404 within 2 s."""
        self.deployment.operator.publish(
            [r for r in deployment_module.routes() if r['name'] != 'orders'],
            deployment_module.services(),
        )
        deployment_module.wait_for(
            lambda: (
                self.send_request(deployment_module.LOOKUPS, 'c').status == 404
            ),
            2.0,
        )


class StreamTest(base.DeploymentTestCase):
    """Relay streams from the samplers."""

    INSTANCES = 1

    def request_stream(self, request_id: str) -> clients.Response:
        """Request a stream of the model."""
        return self.send_request(
            deployment_module.STREAMS + 'a',
            request_id,
            X_Model=deployment_module.MODEL,
        )

    def test_stream_is_resumed_within_one_response(self) -> None:
        """A stream that is cut is resumed at another upstream."""
        self.deployment.samplers[0].cut_after_events = 2
        self.deployment.samplers[1].cut_after_events = 3
        for number in range(4):
            response = self.request_stream(f's{number}')
            lines = response.body.decode().splitlines()
            data = [line[6:] for line in lines if line.startswith('data: ')]
            self.assertEqual(
                outputs.full_output(f's{number}'), '\n'.join(data)
            )

    def test_cut_stream_is_not_terminated_normally(self) -> None:
        """The caller can tell that no upstream completed the stream."""
        for sampler in self.deployment.samplers:
            sampler.cut_after_events = 1
        response = self.request_stream('cut')
        self.assertEqual(0, response.status)


class RawRequestTest(base.DeploymentTestCase):
    """Send requests as raw bytes, most of them invalid."""

    INSTANCES = 1

    def send_raw(self, data: bytes, timeout_s: float = 6.0) -> bytes:
        """Send bytes and return the start of the response."""
        host, port = self.deployment.addresses()[0].rsplit(':', 1)
        with socket.create_connection((host, int(port)), timeout_s) as sock:
            sock.sendall(data)
            return sock.recv(64)

    def request_head(self, extra: str) -> bytes:
        """Return the request line and headers of a request."""
        return (
            f'POST {deployment_module.LOOKUPS}a HTTP/1.1\r\n'
            f'Host: {deployment_module.HOST}\r\nX-Request-Id: q\r\n{extra}\r\n'
        ).encode()

    def test_invalid_requests_are_rejected(self) -> None:
        """Each kind of invalid request gets its status."""
        cases = {
            b'431': self.request_head('X-Big: ' + 'x' * 20_000 + '\r\n'),
            b'413': self.request_head('Content-Length: 99999999\r\n'),
            b'400': self.request_head('Content-Length: many\r\n'),
        }
        for status, data in cases.items():
            with self.subTest(status=status):
                self.assertIn(b' ' + status + b' ', self.send_raw(data))

    def test_ambiguous_body_length_is_rejected(self) -> None:
        """Content-Length with chunked encoding can't smuggle a request."""
        data = self.request_head(
            'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n'
        )
        self.assertIn(b' 400 ', self.send_raw(data + b'0\r\n\r\n'))
        self.assertEqual([], self.deployment.recorder.runs_of('q'))

    def test_incomplete_head_times_out(self) -> None:
        """A head that is never completed gets 408."""
        self.assertIn(b' 408 ', self.send_raw(self.request_head('')[:-10]))

    def test_chunked_body_is_accepted(self) -> None:
        """The upstream accepts a request with a chunked body."""
        data = self.request_head('Transfer-Encoding: chunked\r\n')
        response = self.send_raw(data + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')
        self.assertIn(b' 200 ', response)
