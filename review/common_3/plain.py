"""A plain server on bare sockets that may send a refusal a second time.

Its refusals look like the example that `fleetbench wire` shows for a server
that sheds: a status, and X-Not-Executed.
"""

import random
import socket
import threading
import time
import typing
import uuid

from baobabpond.transport import sockets
from standins.emulator import store as store_module

from . import sampler as sampler_module

HOST = '127.0.0.1'
BACKLOG = 128
READ_BYTES = 65536
SLOTS = 6
QUEUE = 2
ZONE = 'kl-bengkel'
WORK_S = 0.1
HEARTBEAT_S = 1.2
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)


class Request(typing.NamedTuple):
    """A request as it was received."""

    method: str
    target: str
    headers: dict[str, str]


class PlainServer:
    """Serve requests that run once, a few at a time."""

    def __init__(
        self,
        store: store_module.Store,
        service: str,
        runs: list[sampler_module.Run],
        note: sampler_module.Note,
        seed: int,
    ) -> None:
        self.id = f'i-{uuid.uuid4().hex[:8]}'
        # Share of the refusals that are sent a second time.
        self.copied_share = 0.0
        self.copies = 0
        self.refusals = 0
        self._store = store
        self._service = service
        self._runs = runs
        self._note = note
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._accepted = 0
        self._slots = threading.Semaphore(SLOTS)
        self._born = int(time.time() * 1000)
        self._stopped = threading.Event()
        self._listener = socket.create_server((HOST, 0), backlog=BACKLOG)
        self.port = self._listener.getsockname()[1]
        for target in (self._accept, self._send_heartbeats):
            threading.Thread(target=target, daemon=True).start()

    def stop(self) -> None:
        """Leave, and accept nothing more."""
        self._stopped.set()
        self._store.produce(store_module.UPSTREAMS_TOPIC, self.id, b'')
        self._listener.close()

    def _send_heartbeats(self) -> None:
        entry = {
            'service': self._service,
            'address': f'{HOST}:{self.port}',
            'zone': ZONE,
            'version': 'v1',
            'slots': SLOTS,
            'state': 'ready',
            'born': self._born,
            'models': [],
        }
        while not self._stopped.is_set():
            self._store.produce(
                store_module.UPSTREAMS_TOPIC,
                self.id,
                sampler_module.as_json(entry),
            )
            self._stopped.wait(HEARTBEAT_S)

    def _accept(self) -> None:
        while not self._stopped.is_set():
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = sock.makefile('rb')
        has_copy = False
        try:
            while (request := _read_request(reader)) is not None:
                if has_copy:
                    # Where the next response is expected.
                    self._note(
                        'copy of a refusal',
                        server=self.id,
                        at=request.headers.get('x-request-id', 'a report'),
                    )
                    self.copies += 1
                    sock.sendall(REFUSAL)
                has_copy = self._answer(sock, request)
        except OSError:
            pass
        finally:
            reader.close()
            sock.close()

    def _answer(self, sock: socket.socket, request: Request) -> bool:
        """Answer; return whether a copy of the answer follows later."""
        request_id = request.headers.get('x-request-id')
        if request_id is None:
            sock.sendall(_response(200, '', self._report(), {}))
            return False
        target = request.headers.get('x-target-instance', self.id)
        if target != self.id:
            sock.sendall(_response(421, request_id, b'', {}))
            return False
        with self._lock:
            is_full = self._accepted >= SLOTS + QUEUE
            self._accepted += not is_full
            is_copied = is_full and self._rng.random() < self.copied_share
            self.refusals += is_full
        if is_full:
            self._note('refused', server=self.id, request=request_id)
            sock.sendall(REFUSAL)
            return is_copied
        try:
            self._run(sock, request_id)
        finally:
            with self._lock:
                self._accepted -= 1
        return False

    def _run(self, sock: socket.socket, request_id: str) -> None:
        with self._slots:
            if sockets.is_closed_by_peer(sock):
                # It was still in the queue.
                raise ConnectionResetError
            run = sampler_module.Run(request_id, self.id)
            with self._lock:
                self._runs.append(run)
            self._note('run begins', server=self.id, request=request_id)
            time.sleep(WORK_S)
            run.ended_at = time.monotonic()
            run.ending = sampler_module.FINISHED
        seal = {'X-Server-Seal': f'seal.{self.id}.{uuid.uuid4().hex[:8]}'}
        sock.sendall(_response(200, request_id, b'done', seal))

    def _report(self) -> bytes:
        return sampler_module.as_json(
            {
                'stage': 'both',
                'models': [],
                'busy': False,
                'sequence': 0,
                'born': self._born,
            }
        )


def _read_request(reader: typing.BinaryIO) -> Request | None:
    line = reader.readline(READ_BYTES)
    if not line:
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers = {}
    while (line := reader.readline(READ_BYTES)).strip():
        name, _, value = line.decode('latin-1').partition(':')
        headers[name.strip().lower()] = value.strip()
    reader.read(int(headers.get('content-length', '0')))
    return Request(method, target, headers)


def _response(
    status: int, request_id: str, body: bytes, headers: dict[str, str]
) -> bytes:
    lines = [f'HTTP/1.1 {status} Answer', f'Content-Length: {len(body)}']
    if request_id:
        lines.append(f'X-Request-Id: {request_id}')
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body
