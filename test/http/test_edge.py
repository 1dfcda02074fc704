"""Test the callers' edge with bad input, over real connections."""

import contextlib
import json
import socket
import threading
import time
import unittest

import urllib3

from baobabpond.gen import records
from baobabpond.http import app
from baobabpond.http import completions
from baobabpond.http import parse
from baobabpond.http import responses
from baobabpond.http import server
from baobabpond import metrics
from baobabpond.settings import tree

SETTINGS = tree.Tree(
    {
        'd/lookups': {'idempotent': True, 'max_body_bytes': 1000},
        'd/entries': {'idempotent': False, 'body_timeout_s': 0.5},
    }
)


def free_port():
    """Return a port nobody listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class EdgeTest(unittest.TestCase):
    """Send what a careless caller sends."""

    def setUp(self):
        self.port = free_port()
        self.limiter = app.RequestLimiter(capacity=2)
        self.hold = threading.Event()
        built = app.App(self.limiter, metrics.Metrics())
        built.add_route('POST', '/v1/requests/(.+)', self.handle)
        built.add_route('GET', '/hold', self.wait_held)
        built.add_route('GET', '/fail', self.fail_inside)
        built.add_route('GET', '/cut', self.cut)
        self.server = server.Server(
            '127.0.0.1', self.port, built, 8, metrics.Metrics()
        )
        threading.Thread(target=self.server.safe_start, daemon=True).start()
        self.addCleanup(self.server.stop)
        self.addCleanup(self.hold.set)
        while not self.server.ready:
            time.sleep(0.01)
        self.http = urllib3.PoolManager(retries=False)
        self.url = f'http://127.0.0.1:{self.port}'

    def handle(self, environ, path):
        parsed = parse.parse_request(environ, path, SETTINGS)
        return (
            parsed.map(lambda request: responses.json_response(request.fields))
            .lash(
                lambda refusal: parsed.from_value(
                    responses.refusal_response(refusal)
                )
            )
            .unwrap()
        )

    def wait_held(self, _environ, _argument):
        self.hold.wait()
        return responses.json_response({})

    def fail_inside(self, _environ, _argument):
        raise RuntimeError('inside')

    def cut(self, _environ, _argument):
        def body():
            yield b'data: half'
            raise completions.IncompleteStreamError('cut')

        return responses.Response(200, [], body())

    def post(self, path, body, **headers):
        fields = {k.replace('_', '-'): v for k, v in headers.items()}
        return self.http.request(
            'POST', f'{self.url}/v1/requests/{path}', body=body, headers=fields
        )

    def test_bad_requests_get_their_verdict(self):
        good = b'{"order": 1}'
        cases = (
            ('d/entries', good, {}, 400, 'key_required'),
            ('d/entries', good, {'Idempotency_Key': 'a b'}, 400, 'bad_key'),
            ('d/lookups', b'x' * 2000, {}, 413, 'body_too_large'),
            ('d/lookups', b'{', {}, 400, 'bad_json'),
            ('d/lookups', b'[1]', {}, 400, 'bad_json'),
            ('d/lookups', b'[' * 900, {}, 400, 'bad_json'),
            ('d/nothing', good, {}, 404, 'unknown_service'),
            (
                'd/lookups',
                good,
                {'Baobabpond_Timeout_Ms': '0'},
                400,
                'deadline_passed',
            ),
            (
                'd/lookups',
                good,
                {'Baobabpond_Timeout_Ms': '-5'},
                400,
                'deadline_passed',
            ),
            (
                'd/lookups',
                good,
                {'Baobabpond_Timeout_Ms': '9' * 30},
                400,
                'bad_deadline',
            ),
            (
                'd/lookups',
                good,
                {'Baobabpond_Timeout_Ms': 'soon'},
                400,
                'bad_deadline',
            ),
            (
                'd/lookups',
                good,
                {'Baobabpond_Caller': 'a b'},
                400,
                'bad_caller',
            ),
        )
        for path, body, headers, status, code in cases:
            with self.subTest(code=code, path=path):
                answer = self.post(path, body, **headers)
                fields = json.loads(answer.data)
                self.assertEqual(status, answer.status)
                self.assertEqual(code, fields['code'])
                self.assertEqual('not_run', fields['verdict'])
                self.assertEqual(
                    'not_run', answer.headers[responses.VERDICT_HEADER]
                )

    def test_good_request_passes_after_bad_ones_on_one_connection(self):
        self.post('d/lookups', b'x' * 2000)
        self.assertEqual(200, self.post('d/lookups', b'{}').status)

    def test_unknown_path_and_method(self):
        self.assertEqual(
            404, self.http.request('GET', f'{self.url}/no').status
        )
        self.assertEqual(
            405, self.http.request('GET', f'{self.url}/v1/requests/d/s').status
        )

    def raw(self, data, pause_s=0.0):
        with socket.create_connection(('127.0.0.1', self.port)) as connection:
            started = time.monotonic()
            # The server may end the connection before all is sent.
            with contextlib.suppress(OSError):
                for piece in data:
                    connection.sendall(piece)
                    time.sleep(pause_s)
            connection.settimeout(5)
            answer = b''
            while piece := connection.recv(65536):
                answer += piece
                if b'verdict' in answer:
                    break
            return answer, time.monotonic() - started

    def test_slow_sender_is_refused_in_time(self):
        head = (
            b'POST /v1/requests/d/entries HTTP/1.1\r\nHost: x\r\n'
            b'Idempotency-Key: k\r\nContent-Length: 100\r\n\r\n'
        )
        answer, elapsed_s = self.raw([head] + [b'{'] * 8, 0.1)
        self.assertIn(b' 408 ', answer)
        self.assertIn(b'slow_sender', answer)
        self.assertLess(elapsed_s, 4)

    def test_body_without_a_length_is_refused(self):
        head = b'POST /v1/requests/d/lookups HTTP/1.1\r\nHost: x\r\n\r\n'
        answer, _ = self.raw([head])
        self.assertIn(b' 411 ', answer)

    def test_full_instance_refuses_at_once(self):
        for _ in range(2):
            threading.Thread(
                target=self.http.request,
                args=('GET', f'{self.url}/hold'),
                daemon=True,
            ).start()
        deadline = time.monotonic() + 5
        while self.limiter.in_flight < 2 and time.monotonic() < deadline:
            time.sleep(0.01)
        answer = self.post('d/lookups', b'{}')
        self.assertEqual(503, answer.status)
        self.assertEqual('instance_busy', json.loads(answer.data)['code'])
        self.assertIn('Retry-After', answer.headers)

    def test_closed_gate_refuses_and_empties(self):
        self.limiter.start_draining()
        answer = self.post('d/lookups', b'{}')
        self.assertEqual('draining', json.loads(answer.data)['code'])
        self.assertTrue(self.limiter.wait_until_idle(1))

    def test_failure_inside_is_an_answer_without_a_traceback(self):
        answer = self.http.request('GET', f'{self.url}/fail')
        self.assertEqual(500, answer.status)
        self.assertNotIn(b'Traceback', answer.data)
        self.assertEqual('may_have_run', json.loads(answer.data)['verdict'])

    def test_cut_stream_is_never_ended_as_if_whole(self):
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.http.request('GET', f'{self.url}/cut')
        self.assertTrue(self.limiter.wait_until_idle(5))

    def test_records_have_a_generated_type(self):
        self.assertIn('items', records.Envelope.__annotations__)


class FakeResponse:
    """Stand in for an upstream's streamed response."""

    def __init__(self, *pieces):
        self._pieces = pieces

    def stream(self):
        """Yield the pieces."""
        yield from self._pieces

    def drain_conn(self):
        """Do nothing."""

    def release_conn(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


def event(text, version='7'):
    """Return an event of an engine."""
    chunk = {'choices': [{'text': text}], 'weight_version': version}
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'


DONE = b'data: [DONE]\n\n'


class CompletionTest(unittest.TestCase):
    """Read streams of engines."""

    def collect(self, *pieces):
        stream = completions.CompletionStream(
            FakeResponse(*pieces), time.monotonic() + 10
        )
        try:
            stream.read_first()
            return completions.collect(stream, lambda: False), stream
        except completions.IncompleteStreamError:
            return None, stream

    def test_labels_are_kept_in_order_across_any_split(self):
        data = event('a') + event('b') + event('c', '8') + DONE
        for split in range(1, len(data)):
            whole, _ = self.collect(data[:split], data[split:])
            self.assertEqual(('abc', 3, (7, 8)), tuple(whole))

    def test_stream_without_its_end_is_not_whole(self):
        whole, stream = self.collect(event('a'), event('b'))
        self.assertIsNone(whole)
        self.assertEqual('upstream_cut', stream.end_code)

    def test_unknown_and_missing_labels_are_not_whole(self):
        bare = b'data: {"choices": [{"text": "a"}]}\n\n'
        for bad in (event('a', 'unknown'), event('a', ''), bare):
            whole, stream = self.collect(event('x'), bad, DONE)
            self.assertIsNone(whole)
            self.assertEqual('unlabelled', stream.end_code)

    def test_answer_without_an_event_is_not_whole(self):
        whole, stream = self.collect(DONE)
        self.assertIsNone(whole)
        self.assertEqual('unlabelled', stream.end_code)

    def test_event_of_another_shape_is_not_whole(self):
        for body in (b'{"weight_version": "7"}', b'"weight_version": "7"'):
            whole, stream = self.collect(b'data: ' + body + b'\n\n', DONE)
            self.assertIsNone(whole)
            self.assertEqual('malformed', stream.end_code)

    def test_label_inside_the_text_does_not_count(self):
        whole, _ = self.collect(event('"weight_version": "9"'), DONE)
        self.assertEqual((7,), whole.weight_versions)


if __name__ == '__main__':
    unittest.main()
