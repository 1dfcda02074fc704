"""Emulate the upstreams: samplers of models and plain services."""

import json
import threading
import time
import typing
import uuid
import zlib

from baobabpond.edge import server

from . import serving
from . import store as store_module

BEAT_S = 0.3
EVENT_S = 0.01
LOAD_S = 0.3
REPORT_LAG_S = 0.05
MOST_EVENTS = 24
LEAST_EVENTS = 4


class RunRecord(typing.NamedTuple):
    """Hold what truly happened in one run."""

    request: str
    upstream: str
    # Event after which the run was asked to go on.
    after: int
    started: float
    # Weight version of each event.
    versions: list[int]


class Order(typing.NamedTuple):
    """Hold an order as it reached an upstream."""

    at: float
    upstream: str
    holder: str
    fence: int
    # Whose announcement of an order stood on the log then; empty if none.
    announced_by: str


class Ledger:
    """Hold all runs of all upstreams."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.runs: list[RunRecord] = []
        self.orders: list[Order] = []

    def begin(self, run: RunRecord) -> None:
        """Note a run."""
        with self._lock:
            self.runs.append(run)

    def note_order(self, order: Order) -> None:
        """Note an order that reached an upstream."""
        with self._lock:
            self.orders.append(order)

    def of(self, request: str) -> list[RunRecord]:
        """Return the runs of a request."""
        with self._lock:
            return [run for run in self.runs if run.request == request]


class Upstream:
    """Serve requests, reports and orders as one upstream."""

    def __init__(
        self,
        store: store_module.Store,
        ledger: Ledger,
        service: str,
        models: tuple[str, ...] = (),
        slots: int = 8,
        checks_fence: bool = True,
    ) -> None:
        self.id = f'i-{uuid.uuid4().hex[:8]}'
        self.service = service
        self.born = int(time.time() * 1000)
        self.versions = dict.fromkeys(models, 1)
        self.slow_factor = 1.0
        # None, or one of 'silent', 'reset', 'error' and 'full'.
        self.fault: str | None = None
        # Streams end after this many events while it is set.
        self.cut_after: int | None = None
        # The answers of orders are lost, and the orders done late.
        self.orders_late_s: float | None = None
        self._store = store
        self._ledger = ledger
        self._slots = slots
        self._checks_fence = checks_fence
        self._lock = threading.Lock()
        self._running = 0
        self._orders = 0
        self._fence = -1
        self._loading: str | None = None
        self._draining = False
        self._stopped = threading.Event()
        self.server = serving.serve(self._handle)
        threading.Thread(target=self._beat, daemon=True).start()

    def drain(self) -> None:
        """Report that the upstream leaves."""
        self._draining = True
        self._write_entry()

    def stop(self) -> None:
        """End, and take the entry out."""
        self._stopped.set()
        self._store.put('keyed.servers', self.id, b'')
        self.server.stop()

    def crash(self) -> None:
        """End without a word."""
        self._stopped.set()
        self.fault = 'reset'
        self.server.stop()

    def _beat(self) -> None:
        while not self._stopped.is_set():
            self._write_entry()
            self._stopped.wait(BEAT_S)

    def _write_entry(self) -> None:
        entry = {
            'service': self.service,
            'address': serving.address_of(self.server),
            'zone': 'kl-bengkel',
            'version': 'v1',
            'slots': self._slots,
            'state': 'draining' if self._draining else 'ready',
            'born': self.born,
            'models': self._models(),
        }
        self._store.put('keyed.servers', self.id, json.dumps(entry).encode())

    def _models(self) -> list[dict[str, typing.Any]]:
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]

    def _handle(self, exchange: server.Exchange) -> None:
        body = exchange.read_body()
        path = serving.query(exchange).path
        if self.fault == 'silent':
            while self.fault == 'silent' and not self._stopped.is_set():
                time.sleep(0.05)
        if self.fault in ('silent', 'reset'):
            serving.hang_up(exchange)
        elif path == '/api/report':
            self._report(exchange)
        elif path == '/api/order':
            self._order(exchange, json.loads(body))
        else:
            self._request(exchange, body)

    def _report(self, exchange: server.Exchange) -> None:
        with self._lock:
            report = {
                'stage': 'both',
                'models': self._models(),
                'busy': self._loading is not None,
                'sequence': self._orders,
                'queued': 0,
                'running': self._running,
            }
        time.sleep(REPORT_LAG_S)
        serving.reply(exchange, 200, report)

    def _order(
        self, exchange: server.Exchange, order: dict[str, typing.Any]
    ) -> None:
        self._ledger.note_order(
            Order(
                time.monotonic(),
                self.id,
                order['holder'],
                order['fencing-token'],
                self._announced_by(),
            )
        )
        if self.orders_late_s is not None:
            threading.Timer(
                self.orders_late_s, self._carry_out, (order,)
            ).start()
            time.sleep(1.2)
            serving.hang_up(exchange)
            return
        serving.reply(exchange, self._carry_out(order))

    def _announced_by(self) -> str:
        value = self._store.keys('keyed.batches').get(f'intent/{self.id}')
        return json.loads(value)[0] if value else ''

    def _carry_out(self, order: dict[str, typing.Any]) -> int:
        with self._lock:
            if self._checks_fence and order['fencing-token'] < self._fence:
                return 412
            if self._loading or order['precondition'] != self._orders:
                return 409
            self._fence = max(self._fence, order['fencing-token'])
            self._orders += 1
            self._loading = order['model']
        threading.Timer(LOAD_S, self._finish_load, (order,)).start()
        return 202

    def _finish_load(self, order: dict[str, typing.Any]) -> None:
        with self._lock:
            self.versions[order['model']] = order['version']
            self._loading = None

    def _request(self, exchange: server.Exchange, body: bytes) -> None:
        headers = exchange.headers
        request = headers.get('X-Request-Id', '')
        marks = [
            ('X-Request-Id', request),
            ('X-Server-Seal', f'seal.{self.id}'),
            ('X-Server-Load', f'{self._running},0,{self._slots}'),
        ]
        if headers.get('X-Target-Instance') not in (None, self.id):
            serving.reply(exchange, 421, None, [('X-Not-Executed', '1')])
            return
        model = headers.get('X-Model')
        with self._lock:
            is_full = self._running >= self._slots or self.fault == 'full'
            if is_full or (model and model == self._loading):
                is_refused = True
            else:
                is_refused = False
                self._running += 1
        if is_refused:
            serving.reply(exchange, 503, None, [('X-Not-Executed', '1')])
            return
        try:
            if model:
                self._stream(exchange, request, model, marks)
            else:
                self._answer(exchange, request, body, marks)
        finally:
            with self._lock:
                self._running -= 1

    def _answer(
        self,
        exchange: server.Exchange,
        request: str,
        body: bytes,
        marks: server.Headers,
    ) -> None:
        self._ledger.begin(
            RunRecord(request, self.id, 0, time.monotonic(), [])
        )
        time.sleep(EVENT_S * self.slow_factor)
        if self.fault == 'error':
            exchange.send_response(500, 'Failed', marks, b'failed')
            return
        if self.fault == 'answer_lost':
            serving.hang_up(exchange)
            return
        exchange.send_response(200, 'OK', marks, answer_to(request, body))

    def _stream(
        self,
        exchange: server.Exchange,
        request: str,
        model: str,
        marks: server.Headers,
    ) -> None:
        after = int(exchange.headers.get('Last-Event-Id', '0'))
        run = RunRecord(request, self.id, after, time.monotonic(), [])
        self._ledger.begin(run)
        if self.fault == 'error':
            exchange.send_response(500, 'Failed', marks, b'failed')
            return
        version = self.versions[model]
        exchange.begin_stream(
            200,
            'OK',
            [
                *marks,
                ('Content-Type', 'text/event-stream'),
                ('X-Weight-Versions', str(version)),
            ],
        )
        for number in range(after + 1, event_count(request) + 1):
            time.sleep(EVENT_S * self.slow_factor)
            if self.fault in ('silent', 'reset') or self._is_cut(run):
                serving.hang_up(exchange)
                return
            block = f'id: {number}\ndata: {event_data(request, number)}\n\n'
            present = self.versions[model]
            if present != version:
                version = present
                block = f'x-weight-versions: {version}\n{block}'
            run.versions.append(version)
            exchange.write(block.encode())

    def _is_cut(self, run: RunRecord) -> bool:
        return self.cut_after is not None and (
            len(run.versions) >= self.cut_after
        )


def event_count(request: str) -> int:
    """Return how many events a request has."""
    spread = MOST_EVENTS - LEAST_EVENTS
    return LEAST_EVENTS + zlib.crc32(request.encode()) % spread


def event_data(request: str, number: int) -> str:
    """Return the data of an event."""
    return f'{request}:{number}'


def whole_output(request: str) -> str:
    """Return the data of all events."""
    numbers = range(1, event_count(request) + 1)
    return '\n'.join(event_data(request, number) for number in numbers)


def answer_to(request: str, body: bytes) -> bytes:
    """Return a plain service's answer."""
    return f'{request}/{len(body)}/{zlib.crc32(body)}'.encode()
