"""Test that no request outlasts the time-out of its route."""

import concurrent.futures
import socket
import time
import typing

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import endless
from test.emulator import base

TIMEOUT_MS = 1500
# Allowed beyond the time-out.
MARGIN_S = 0.5
# A client of a response that never ends leaves then.
CLIENT_TIMEOUT_S = 8.0
DISCOVERY_S = 2.0
UPSTREAMS = 2
SMALL_BODY = b'x'
# More than the buffers of the sockets take.
LARGE_BODY = b'x' * 12_000_000
READ_BYTES = 65536

KINDS: dict[str, dict[str, typing.Any]] = {
    'idempotent': {'route-type': 'idempotent'},
    'non-idempotent': {'route-type': 'non_idempotent'},
    'streaming': {'route-type': 'streaming'},
    'resumable': {'route-type': 'streaming', 'resumable': True},
    'rollout': {'route-type': 'rollout', 'retention-s': 40, 'due-ms': 7500},
}
# Faults that concern the way to the upstream rather than its response.
SILENT_REPORT = 'silent report'
UNREAD_BODY = 'request not read'
LATE_READ = 'request read late'
# Until the upstream reads the request, in seconds.
READS_AFTER_S = {UNREAD_BODY: float('inf'), LATE_READ: 1.0}


class Ending(typing.NamedTuple):
    """How a request ended at its caller."""

    after_s: float
    status: str
    is_whole: bool


class TimeoutsTest(base.DeploymentTestCase):
    """Send requests of all kinds to upstreams with all faults."""

    INSTANCES = 1
    SAMPLERS = 1
    PLAIN_SERVICES = 1

    def start_faulty(self, names: list[str]) -> None:
        """Start upstreams with faults, and publish routes to them."""
        routes = deployment_module.routes()
        services = deployment_module.services()
        for number, name in enumerate(names):
            services.append({**services[0], 'name': f'faulty-{number}'})
            for index in range(UPSTREAMS):
                upstream = endless.EndlessUpstream(
                    self.deployment.store,
                    f'faulty-{number}-{index}',
                    f'faulty-{number}',
                    deployment_module.MODEL,
                    endless.faults.get(name, endless.faults['silent']),
                    answers_reports=name != SILENT_REPORT,
                    reads_after_s=READS_AFTER_S.get(name, 0.0),
                )
                self.addCleanup(upstream.stop)
            routes += [
                {
                    'name': f'{kind}-{number}',
                    'host': deployment_module.HOST,
                    'path-prefix': f'/{kind}/{number}/',
                    'service': f'faulty-{number}',
                    'timeout-ms': TIMEOUT_MS,
                    'target-latency-ms': 100,
                    'attempts': UPSTREAMS,
                    **fields,
                }
                for kind, fields in KINDS.items()
            ]
        self.deployment.operator.publish(routes, services)
        time.sleep(DISCOVERY_S)

    def check_table(self, names: list[str]) -> None:
        """Send requests of all kinds together; check when they end."""
        self.start_faulty(names)
        cells = [
            (number, name, kind)
            for number, name in enumerate(names)
            for kind in KINDS
        ]
        # Their instants spread, or the client itself would be slow.
        with concurrent.futures.ThreadPoolExecutor(len(cells)) as executor:
            endings = {}
            for number, name, kind in cells:
                endings[name, kind] = executor.submit(
                    self.send, number, name, kind
                )
                time.sleep(0.02)
        for (name, kind), ending in endings.items():
            with self.subTest(name=name, kind=kind):
                self.check_outcome(kind, ending.result())

    def check_outcome(self, kind: str, ending: Ending) -> None:
        """Check that it is in time, and none passes for a complete one."""
        self.assertLessEqual(ending.after_s, TIMEOUT_MS / 1000 + MARGIN_S)
        if kind == 'rollout':
            # Submitting a batch reaches no upstream.
            self.assertEqual('202', ending.status)
        elif ending.status == '200':
            self.assertFalse(ending.is_whole)

    def send(self, number: int, name: str, kind: str) -> Ending:
        """Send one request, and read until its response has ended."""
        target = f'/{kind}/{number}/'
        body = LARGE_BODY if name in READS_AFTER_S else SMALL_BODY
        if kind == 'rollout':
            batch = clients.Batch(deployment_module.MODEL, 0, 1, 1, 1)
            target += batch.id
            body = batch.submission(f'/{kind}/{number}/')
        request_id = f'{kind}-{number}'
        lines = [
            f'POST {target} HTTP/1.1',
            f'Host: {deployment_module.HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Model: {deployment_module.MODEL}',
            'X-Deadline-Ms: 8000',
            f'Content-Length: {len(body)}',
        ]
        host, port = self.deployment.addresses()[0].rsplit(':', 1)
        with socket.create_connection((host, int(port)), 5.0) as sock:
            sock.sendall('\r\n'.join((*lines, '', '')).encode() + body)
            return read_ending(sock)

    def test_no_request_outlasts_its_timeout(self) -> None:
        """Guard against waits that only each read, or nothing, bounds."""
        self.check_table([*endless.faults, SILENT_REPORT, *READS_AFTER_S])


def read_ending(sock: socket.socket) -> Ending:
    """Read until a response is complete or its connection closed."""
    started = time.monotonic()
    received = b''
    is_whole = False
    try:
        while not is_whole:
            remaining_s = started + CLIENT_TIMEOUT_S - time.monotonic()
            sock.settimeout(max(0.001, remaining_s))
            data = sock.recv(READ_BYTES)
            if not data:
                break
            received += data
            is_whole = is_complete(received)
    except TimeoutError:
        return Ending(float('inf'), 'none', False)
    except ConnectionResetError:
        pass
    status = received.split(b' ', 2)[1:2]
    return Ending(
        time.monotonic() - started,
        status[0].decode() if status else 'closed',
        is_whole,
    )


def is_complete(received: bytes) -> bool:
    """Return whether a response has arrived as a whole."""
    head, end, body = received.partition(b'\r\n\r\n')
    if not end:
        return False
    _, found, length = head.lower().partition(b'content-length: ')
    if found:
        return len(body) >= int(length.split(b'\r\n')[0])
    return body.endswith(b'0\r\n\r\n')
