"""Test the HTTP server with invalid requests, and completion streams."""

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
    """Return a port that no process listens on."""
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


class ServerTest(unittest.TestCase):
    """Send invalid requests over real connections."""

    def setUp(self):
        self.port = free_port()
        self.limiter = app.RequestLimiter(capacity=2)
        self.may_respond = threading.Event()
        application = app.App(self.limiter, metrics.Metrics())
        application.add_route('POST', '/v1/requests/(.+)', self.handle)
        application.add_route('GET', '/hold', self.wait_until_released)
        application.add_route('GET', '/fail', self.raise_error)
        application.add_route('GET', '/cut', self.break_stream)
        self.server = server.Server(
            '127.0.0.1', self.port, application, 8, metrics.Metrics()
        )
        threading.Thread(target=self.server.safe_start, daemon=True).start()
        self.addCleanup(self.server.stop)
        self.addCleanup(self.may_respond.set)
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

    def wait_until_released(self, _environ, _argument):
        self.may_respond.wait()
        return responses.json_response({})

    def raise_error(self, _environ, _argument):
        raise RuntimeError('handler failed')

    def break_stream(self, _environ, _argument):
        def body():
            yield b'data: half'
            raise completions.IncompleteStreamError('cut')

        return responses.Response(200, [], body())

    def post(self, path, body, **headers):
        fields = {k.replace('_', '-'): v for k, v in headers.items()}
        return self.http.request(
            'POST', f'{self.url}/v1/requests/{path}', body=body, headers=fields
        )

    def test_invalid_requests_are_refused_with_verdict_and_code(self):
        valid = b'{"order": 1}'
        cases = (
            ('d/entries', valid, {}, 400, 'key_required'),
            ('d/entries', valid, {'Idempotency_Key': 'a b'}, 400, 'bad_key'),
            ('d/lookups', b'x' * 2000, {}, 413, 'body_too_large'),
            ('d/lookups', b'{', {}, 400, 'bad_json'),
            ('d/lookups', b'[1]', {}, 400, 'bad_json'),
            ('d/lookups', b'[' * 900, {}, 400, 'bad_json'),
            ('d/nothing', valid, {}, 404, 'unknown_service'),
            (
                'd/lookups',
                valid,
                {'Baobabpond_Timeout_Ms': '0'},
                400,
                'deadline_passed',
            ),
            (
                'd/lookups',
                valid,
                {'Baobabpond_Timeout_Ms': '-5'},
                400,
                'deadline_passed',
            ),
            (
                'd/lookups',
                valid,
                {'Baobabpond_Timeout_Ms': '9' * 30},
                400,
                'bad_deadline',
            ),
            (
                'd/lookups',
                valid,
                {'Baobabpond_Timeout_Ms': 'soon'},
                400,
                'bad_deadline',
            ),
            (
                'd/lookups',
                valid,
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

    def test_valid_request_succeeds_after_invalid_one_on_its_connection(self):
        self.post('d/lookups', b'x' * 2000)
        self.assertEqual(200, self.post('d/lookups', b'{}').status)

    def test_unknown_path_and_method_are_refused(self):
        self.assertEqual(
            404, self.http.request('GET', f'{self.url}/no').status
        )
        self.assertEqual(
            405, self.http.request('GET', f'{self.url}/v1/requests/d/s').status
        )

    def send_raw(self, data, pause_s=0.0):
        with socket.create_connection(('127.0.0.1', self.port)) as connection:
            started = time.monotonic()
            # The server may close the connection before all data is sent.
            with contextlib.suppress(OSError):
                for chunk in data:
                    connection.sendall(chunk)
                    time.sleep(pause_s)
            connection.settimeout(5)
            answer = b''
            while chunk := connection.recv(65536):
                answer += chunk
                if b'verdict' in answer:
                    break
            return answer, time.monotonic() - started

    def test_slow_body_is_refused_at_the_body_timeout(self):
        head = (
            b'POST /v1/requests/d/entries HTTP/1.1\r\nHost: x\r\n'
            b'Idempotency-Key: k\r\nContent-Length: 100\r\n\r\n'
        )
        answer, elapsed_s = self.send_raw([head] + [b'{'] * 8, 0.1)
        self.assertIn(b' 408 ', answer)
        self.assertIn(b'slow_sender', answer)
        self.assertLess(elapsed_s, 4)

    def test_body_without_content_length_is_refused(self):
        head = b'POST /v1/requests/d/lookups HTTP/1.1\r\nHost: x\r\n\r\n'
        answer, _ = self.send_raw([head])
        self.assertIn(b' 411 ', answer)

    def test_request_over_the_in_flight_limit_is_refused_at_once(self):
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

    def test_draining_limiter_refuses_and_becomes_idle(self):
        self.limiter.start_draining()
        answer = self.post('d/lookups', b'{}')
        self.assertEqual('draining', json.loads(answer.data)['code'])
        self.assertTrue(self.limiter.wait_until_idle(1))

    def test_exception_in_handler_gives_a_response_without_traceback(self):
        answer = self.http.request('GET', f'{self.url}/fail')
        self.assertEqual(500, answer.status)
        self.assertNotIn(b'Traceback', answer.data)
        self.assertEqual('may_have_run', json.loads(answer.data)['verdict'])

    def test_stream_that_fails_is_not_terminated_as_complete(self):
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.http.request('GET', f'{self.url}/cut')
        self.assertTrue(self.limiter.wait_until_idle(5))

    def test_generated_record_types_list_their_fields(self):
        self.assertIn('items', records.Envelope.__annotations__)


class FakeResponse:
    """Fake the streamed response of an upstream."""

    def __init__(self, *chunks):
        self._chunks = chunks

    def stream(self):
        """Yield the chunks."""
        yield from self._chunks

    def drain_conn(self):
        """Do nothing."""

    def release_conn(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


def event(text, version='7'):
    """Return a completion event of an engine."""
    chunk = {'choices': [{'text': text}], 'weight_version': version}
    return b'data: ' + json.dumps(chunk).encode() + b'\n\n'


DONE = b'data: [DONE]\n\n'


class CompletionTest(unittest.TestCase):
    """Read completion streams of engines."""

    def collect(self, *chunks):
        stream = completions.CompletionStream(
            FakeResponse(*chunks), time.monotonic() + 10
        )
        try:
            stream.read_first()
            return completions.collect(stream, lambda: False), stream
        except completions.IncompleteStreamError:
            return None, stream

    def test_versions_are_in_order_however_chunks_are_split(self):
        data = event('a') + event('b') + event('c', '8') + DONE
        for split in range(1, len(data)):
            completion, _ = self.collect(data[:split], data[split:])
            self.assertEqual(('abc', 3, (7, 8)), tuple(completion))

    def test_stream_without_end_marker_is_incomplete(self):
        completion, stream = self.collect(event('a'), event('b'))
        self.assertIsNone(completion)
        self.assertEqual('upstream_cut', stream.failure_code)

    def test_events_without_a_valid_version_are_refused(self):
        without_version = b'data: {"choices": [{"text": "a"}]}\n\n'
        for invalid in (
            event('a', 'unknown'),
            event('a', ''),
            without_version,
        ):
            completion, stream = self.collect(event('x'), invalid, DONE)
            self.assertIsNone(completion)
            self.assertEqual('unlabelled', stream.failure_code)

    def test_stream_without_events_is_refused(self):
        completion, stream = self.collect(DONE)
        self.assertIsNone(completion)
        self.assertEqual('unlabelled', stream.failure_code)

    def test_event_that_is_not_a_completion_chunk_is_refused(self):
        for body in (b'{"weight_version": "7"}', b'"weight_version": "7"'):
            completion, stream = self.collect(b'data: ' + body + b'\n\n', DONE)
            self.assertIsNone(completion)
            self.assertEqual('malformed', stream.failure_code)

    def test_version_inside_the_text_is_ignored(self):
        completion, _ = self.collect(event('"weight_version": "9"'), DONE)
        self.assertEqual((7,), completion.weight_versions)


if __name__ == '__main__':
    unittest.main()
