"""Test ordinary requests and streams on the emulated platform."""

import socket
import threading
import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import upstream as upstream_module

from . import base


class RequestTest(base.DeploymentTestCase):
    """Send ordinary requests."""

    INSTANCES = 2

    def runs(self, request: str) -> int:
        """Return how often a request ran."""
        return len(self.deployment.ledger.of(request))

    def test_whole_answer_to_its_own_request(self) -> None:
        """Many callers at once get their own answers."""
        problems: list[str] = []

        def ask(number: int) -> None:
            body = b'y' * number
            reply = self.order(
                deployment_module.LOOKUPS + 'a', f'q{number}', body
            )
            if reply.body != upstream_module.answer_to(f'q{number}', body):
                problems.append(f'{number}: {reply}')

        threads = [
            threading.Thread(target=ask, args=(number,))
            for number in range(12)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], problems)

    def test_idempotent_request_goes_to_another_upstream(self) -> None:
        """A lost answer is asked for again."""
        self.deployment.plain[0].fault = 'answer_lost'
        for number in range(6):
            reply = self.order(deployment_module.LOOKUPS + 'a', f'i{number}')
            self.assertEqual(200, reply.status)

    def test_silent_upstream_does_not_use_up_the_time(self) -> None:
        """An idempotent request is answered by another in good time."""
        self.deployment.plain[0].fault = 'silent'
        for number in range(6):
            asked = time.monotonic()
            reply = self.order(deployment_module.LOOKUPS + 'a', f's{number}')
            self.assertEqual(200, reply.status)
            self.assertLess(time.monotonic() - asked, 1.2)

    def test_ordinary_requests_do_not_wait_for_batches(self) -> None:
        """An instance that can't read the batches yet serves the rest."""
        self.deployment.store.faults.topic = 'keyed.batches'
        self.deployment.store.faults.down = 'busy'
        late = self.deployment.start_instance('entry-late')
        self.deployment.wait_ready()
        reply = clients.Client().send(
            late.address,
            'POST',
            deployment_module.LOOKUPS + 'a',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': 'early',
                'X-Deadline-Ms': '2000',
            },
            b'x',
        )
        self.assertEqual(200, reply.status)

    def test_non_idempotent_request_runs_once(self) -> None:
        """A lost answer ends in 502, and no second run."""
        for sampler in self.deployment.plain:
            sampler.fault = 'answer_lost'
        for number in range(6):
            reply = self.order(deployment_module.ENTRIES + 'a', f'n{number}')
            self.assertEqual(502, reply.status)
            self.assertEqual(1, self.runs(f'n{number}'))

    def test_not_run_is_true(self) -> None:
        """A request that full upstreams refuse never runs."""
        for sampler in self.deployment.plain:
            sampler.fault = 'full'
        asked = time.monotonic()
        reply = self.order(deployment_module.ENTRIES + 'a', 'full')
        self.assertEqual(503, reply.status)
        self.assertIn('Retry-After', reply.headers)
        self.assertLess(time.monotonic() - asked, 1.0)
        self.assertEqual(0, self.runs('full'))

    def test_route_timeout_ends_a_request(self) -> None:
        """The final answer comes at the route's timeout."""
        for sampler in self.deployment.plain:
            sampler.fault = 'silent'
        asked = time.monotonic()
        reply = self.order(deployment_module.LOOKUPS + 'a', 'slow')
        self.assertIn(reply.status, (502, 504))
        self.assertLess(time.monotonic() - asked, 2.4)

    def test_unknown_route_is_not_found(self) -> None:
        """No route, no host and no id are answered at once."""
        self.assertEqual(404, self.order('/nowhere/', 'x').status)
        self.assertEqual(400, self.order(deployment_module.LOOKUPS, '').status)

    def test_leaving_upstream_gets_nothing_new(self) -> None:
        """A draining upstream is avoided within moments."""
        leaving = self.deployment.plain[0]
        leaving.drain()
        self.pause_s(0.5)
        for number in range(8):
            self.order(deployment_module.LOOKUPS + 'a', f'd{number}')
        used = {
            run.upstream
            for run in self.deployment.ledger.runs
            if run.request.startswith('d')
        }
        self.assertEqual({self.deployment.plain[1].id}, used)

    def test_address_used_again_by_another_upstream(self) -> None:
        """A refusal by another instance id is not a run."""
        self.deployment.plain[0].id = 'i-other'
        for number in range(4):
            reply = self.order(deployment_module.LOOKUPS + 'a', f'r{number}')
            self.assertEqual(200, reply.status)

    def test_work_ends_when_the_caller_leaves(self) -> None:
        """The upstream's connection is closed soon after the caller's."""
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
        self.pause_s(1.2)
        run = self.deployment.ledger.of('left')[0]
        made = len(run.versions)
        self.pause_s(1.0)
        self.assertLessEqual(len(run.versions), made + 1)

    def test_configuration_is_in_force_soon(self) -> None:
        """A removed route is gone within two seconds, and stays gone."""
        self.deployment.operator.publish(
            [r for r in deployment_module.routes() if r['name'] != 'orders'],
            deployment_module.services(),
        )
        deployment_module.wait_for(
            lambda: self.order(deployment_module.LOOKUPS, 'c').status == 404,
            2.0,
        )


class StreamTest(base.DeploymentTestCase):
    """Pass streams on."""

    INSTANCES = 1

    def stream(self, request: str) -> clients.Reply:
        """Ask for a stream."""
        return self.order(
            deployment_module.STREAMS + 'a',
            request,
            X_Model=deployment_module.MODEL,
        )

    def test_stream_is_resumed_within_one_answer(self) -> None:
        """A stream that breaks off goes on at another upstream."""
        self.deployment.samplers[0].cut_after = 2
        self.deployment.samplers[1].cut_after = 3
        for number in range(4):
            reply = self.stream(f's{number}')
            lines = reply.body.decode().splitlines()
            data = [line[6:] for line in lines if line.startswith('data: ')]
            self.assertEqual(
                upstream_module.whole_output(f's{number}'), '\n'.join(data)
            )

    def test_cut_stream_does_not_look_whole(self) -> None:
        """A stream that no upstream finishes is seen to be cut."""
        for sampler in self.deployment.samplers:
            sampler.cut_after = 1
        reply = self.stream('cut')
        self.assertEqual(0, reply.status)


class LimitTest(base.DeploymentTestCase):
    """Send what goes beyond the limits."""

    INSTANCES = 1

    def raw(self, data: bytes, timeout_s: float = 6.0) -> bytes:
        """Send bytes and return the start of the answer."""
        host, port = self.deployment.addresses()[0].rsplit(':', 1)
        with socket.create_connection((host, int(port)), timeout_s) as sock:
            sock.sendall(data)
            return sock.recv(64)

    def head(self, extra: str) -> bytes:
        """Return the head of a request."""
        return (
            f'POST {deployment_module.LOOKUPS}a HTTP/1.1\r\n'
            f'Host: {deployment_module.HOST}\r\nX-Request-Id: q\r\n{extra}\r\n'
        ).encode()

    def test_refusals_of_wrong_requests(self) -> None:
        """Each wrong request gets its status at once."""
        cases = {
            b'431': self.head('X-Big: ' + 'x' * 20_000 + '\r\n'),
            b'413': self.head('Content-Length: 99999999\r\n'),
            b'400': self.head('Content-Length: many\r\n'),
        }
        for status, data in cases.items():
            with self.subTest(status=status):
                self.assertIn(b' ' + status + b' ', self.raw(data))

    def test_two_lengths_are_refused(self) -> None:
        """A request with two lengths can't hide another one."""
        data = self.head('Content-Length: 5\r\nTransfer-Encoding: chunked\r\n')
        self.assertIn(b' 400 ', self.raw(data + b'0\r\n\r\n'))
        self.assertEqual([], self.deployment.ledger.of('q'))

    def test_slow_head_is_ended(self) -> None:
        """A head that does not come to its end is answered 408."""
        self.assertIn(b' 408 ', self.raw(self.head('')[:-10]))

    def test_chunked_body_arrives_whole(self) -> None:
        """A body in chunks reaches the upstream as it was."""
        data = self.head('Transfer-Encoding: chunked\r\n')
        answer = self.raw(data + b'3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n')
        self.assertIn(b' 200 ', answer)
