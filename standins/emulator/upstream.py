"""Emulate the upstreams: model engines (samplers) and plain services."""

import json
import threading
import time
import typing
import uuid

from baobabpond.edge import http_exchange

from . import crashing as crashing_module
from . import outputs
from . import recorder as recorder_module
from . import serving
from . import spoiling
from . import store as store_module

HEARTBEAT_INTERVAL_S = 0.3
ZONE = 'kl-bengkel'
# Heartbeats that are missed until the store drops a registration.
MAX_MISSED_HEARTBEATS = 3
EVENT_INTERVAL_S = 0.01
WEIGHT_LOAD_S = 0.3
REPORT_DELAY_S = 0.05
LATE_COPY_DELAY_S = 0.03
DRIP_INTERVAL_S = 0.1
# A plain request with this body always fails.
FAILING_BODY = b'fails'
# A request with this body ends the upstream that runs it.
CRASHING_BODY = b'crashes'
# The response to a request with this body has this size.
LARGE_BODY = b'large'
LARGE_BYTES = 8_000_000
# Of an event of a stream that never ends.
FLOOD_EVENT_BYTES = 4096


class Upstream:
    """Serve requests, load reports and weight orders as one upstream."""

    def __init__(
        self,
        store: store_module.Store,
        recorder: recorder_module.Recorder,
        service: str,
        models: tuple[str, ...] = (),
        slots: int = 8,
        checks_fence: bool = True,
        port: int | None = None,
        software: str = outputs.FIRST_SOFTWARE,
        name: str = '',
        is_registration_delayed: bool = False,
        heartbeat_s: float = HEARTBEAT_INTERVAL_S,
        zone: str = ZONE,
        is_spot: bool = False,
    ) -> None:
        self.zone = zone
        self.is_spot = is_spot
        # Monotonic time at which the platform takes it away, if it does.
        self._leaves_at: float | None = None
        # While set, the registration of the former process stays.
        self.is_registration_delayed = is_registration_delayed
        self.software = software
        self.id = name or f'i-{uuid.uuid4().hex[:8]}'
        self.service = service
        self.started_at_ms = int(time.time() * 1000)
        self.versions = dict.fromkeys(models, 1)
        # Multiplies the time per event, and of a plain request.
        self.slow_factor = 1.0
        # None, or one of 'silent', 'reset', 'error', 'full', 'answer_lost',
        # 'unsigned', 'late_copy', 'drip' and 'flood'. 'answer_lost' runs a
        # plain request without sending its response, 'unsigned' sends it
        # without a signature, 'late_copy' sends it a second time later.
        # 'drip' sends a comment now and then in place of the events of a
        # stream, and 'flood' events without end as fast as its caller reads.
        self.fault: str | None = None
        # If set, spoils a share of the responses to requests.
        self.spoiler: spoiling.Spoiler | None = None
        # Whether the load in responses has a fourth value, the slowness.
        self.states_slowness = False
        # If set, all responses state that the upstream is leaving.
        self.announces_leaving = False
        # Whether the connection closes after each response, as it does at
        # upstreams that are leaving.
        self.closes_connections = False
        # Whether the end of the connection ends each response.
        self.omits_lengths = False
        # If set, all responses state this limit of requests a second.
        self.request_limit: str | None = None
        # If set, connections of streams are closed after this many events.
        self.cut_after_events: int | None = None
        # If set, what answers a stream that is resumed; one of 'failed' (500),
        # 'rejected' (422), 'unmarked' (without a signature) and 'head_only'.
        self.resumption_fault: str | None = None
        # Ids of items whose events have random text of this length appended.
        self.long_events: dict[str, int] = {}
        # If set, weight orders are executed after this delay, and their
        # responses are never sent.
        self.order_delay_s: float | None = None
        # What becomes of runs of a crashing request; shared by upstreams.
        self.crashing = crashing_module.Crashing()
        # Called after the upstream has crashed under a request.
        self.on_crash: typing.Callable[[Upstream], None] = lambda _: None
        self._store = store
        self._recorder = recorder
        self._exchanges: set[http_exchange.Exchange] = set()
        self._slots = slots
        self._checks_fence = checks_fence
        self._heartbeat_s = heartbeat_s
        self._lock = threading.Lock()
        self._running = 0
        self._order_sequence = 0
        self._highest_fencing_token = -1
        self._loading_model: str | None = None
        self._draining = False
        # Neither answers nor sends heartbeats, but keeps its connections.
        self._is_hung = False
        self._stopped = threading.Event()
        self.server = serving.serve(self._handle, port=port)
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    @property
    def port(self) -> int:
        """Return the port on which the upstream listens."""
        return self.server.bind_addr[1]

    def drain(self) -> None:
        """Register the upstream as draining; it still serves requests."""
        self._draining = True
        self._register()

    def reclaim(self, leaves_s: float) -> None:
        """Register as draining, with the time that is left."""
        self._leaves_at = time.monotonic() + leaves_s
        self.drain()

    def stop(self) -> None:
        """Deregister the upstream and stop its server."""
        self._stopped.set()
        self._deregister()
        self.server.stop()

    def lapse(self) -> float:
        """Lose the registration; the upstream still serves.

        Returns the monotonic time at which the store has accepted it.
        """
        self._stopped.set()
        self._deregister()
        return time.monotonic()

    def crash(self) -> None:
        """Stop the server without deregistering the upstream."""
        self._stopped.set()
        self.fault = 'reset'
        self.server.stop()

    def _crash_under(self, request_id: str) -> None:
        """End as a process does: all connections close, none is accepted.

        Or fall silent as a machine does, if crashes are to be silent.
        """
        with self._lock:
            if self._stopped.is_set() or self._is_hung:
                return
            self._is_hung = self.crashing.is_silent
            if not self._is_hung:
                self._stopped.set()
            exchanges = list(self._exchanges)
        self._recorder.record_crash(
            recorder_module.CrashRecord(request_id, self.id, time.monotonic())
        )
        if self._is_hung:
            self.on_crash(self)
            return
        self.fault = 'reset'
        serving.stop_listening(self.server)
        for exchange in exchanges:
            serving.close_without_response(exchange)
        threading.Thread(target=self.server.stop, daemon=True).start()
        self.on_crash(self)

    def _state_headers(self) -> http_exchange.Headers:
        """Return what all responses state about the upstream."""
        headers = []
        if self.announces_leaving:
            headers.append(('Server-Leaving', '1'))
        if self.request_limit is not None:
            headers.append(('Server-Limit', self.request_limit))
        return headers

    def _send_heartbeats(self) -> None:
        missed = 0
        while not self._stopped.is_set():
            if self._store.is_away_for_upstreams or self._is_hung:
                missed += 1
                if missed == MAX_MISSED_HEARTBEATS:
                    self._deregister()
            elif not self.is_registration_delayed:
                missed = 0
                self._register()
            self._stopped.wait(self._heartbeat_s)

    def _deregister(self) -> None:
        self._store.produce(store_module.UPSTREAMS_TOPIC, self.id, b'')

    def _register(self) -> None:
        entry = {
            'service': self.service,
            'address': serving.address_of(self.server),
            'zone': self.zone,
            'version': self.software,
            'slots': self._slots,
            'state': 'draining' if self._draining else 'ready',
            'born': self.started_at_ms,
            'models': self._models(),
        }
        if self.is_spot:
            entry['use-spot'] = True
        if self._leaves_at is not None:
            left_s = max(0.0, self._leaves_at - time.monotonic())
            entry['leaves_ms'] = int(left_s * 1000)
        self._store.produce(
            store_module.UPSTREAMS_TOPIC, self.id, json.dumps(entry).encode()
        )

    def _models(self) -> list[dict[str, typing.Any]]:
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]

    def _handle(self, exchange: http_exchange.Exchange) -> None:
        body = exchange.read_body()
        if self._is_hung:
            self._hang(exchange)
            return
        path = serving.query(exchange).path
        self._recorder.record_arrival(
            recorder_module.Arrival(
                self.id,
                time.monotonic(),
                path,
                exchange.headers.get('X-Request-Id', ''),
                exchange.headers.get('X-Tenant'),
                'Authorization' in exchange.headers,
            )
        )
        if self.closes_connections or self.announces_leaving:
            exchange.close_after_response()
        if self.omits_lengths:
            serving.end_with_connection(exchange)
        if self.fault == 'silent':
            while self.fault == 'silent' and not self._stopped.is_set():
                time.sleep(0.05)
        if self.fault in ('silent', 'reset'):
            serving.close_without_response(exchange)
        elif path == '/api/report':
            self._handle_report(exchange)
        elif path == '/api/order':
            self._handle_order(exchange, json.loads(body))
        elif self.spoiler is None or not self.spoiler.spoil(exchange):
            self._handle_request(exchange, body)

    def _hang(self, exchange: http_exchange.Exchange) -> None:
        """Keep a connection without an answer until the server stops."""
        self._stopped.wait()
        serving.close_without_response(exchange)

    def _handle_report(self, exchange: http_exchange.Exchange) -> None:
        with self._lock:
            report = {
                'stage': 'both',
                'born': self.started_at_ms,
                'models': self._models(),
                'busy': self._loading_model is not None,
                'sequence': self._order_sequence,
                'queued': 0,
                'running': self._running,
            }
        time.sleep(REPORT_DELAY_S)
        serving.reply(exchange, 200, report, self._state_headers())

    def _handle_order(
        self, exchange: http_exchange.Exchange, order: dict[str, typing.Any]
    ) -> None:
        self._recorder.record_order(
            recorder_module.OrderRecord(
                time.monotonic(),
                self.id,
                order['holder'],
                order['fencing-token'],
                self._find_intent_holder(),
            )
        )
        if self.order_delay_s is not None:
            threading.Timer(
                self.order_delay_s, self._apply_order, (order,)
            ).start()
            time.sleep(1.2)
            serving.close_without_response(exchange)
            return
        serving.reply(
            exchange, self._apply_order(order), None, self._state_headers()
        )

    def _find_intent_holder(self) -> str:
        value = self._store.newest_values('keyed.batches').get(
            f'intent/{self.id}'
        )
        return json.loads(value)[0] if value else ''

    def _apply_order(self, order: dict[str, typing.Any]) -> int:
        with self._lock:
            if (
                self._checks_fence
                and order['fencing-token'] < self._highest_fencing_token
            ):
                return 412
            if (
                self._loading_model
                or order['precondition'] != self._order_sequence
            ):
                return 409
            self._highest_fencing_token = max(
                self._highest_fencing_token, order['fencing-token']
            )
            self._order_sequence += 1
            self._loading_model = order['model']
        threading.Timer(WEIGHT_LOAD_S, self._finish_load, (order,)).start()
        return 202

    def _finish_load(self, order: dict[str, typing.Any]) -> None:
        with self._lock:
            self.versions[order['model']] = order['version']
            self._loading_model = None

    def _load_figures(self) -> str:
        figures = [self._running, 0, self._slots]
        if self.states_slowness:
            figures.append(round(100 * self.slow_factor))
        return ','.join(map(str, figures))

    def _handle_request(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        headers = exchange.headers
        request_id = headers.get('X-Request-Id', '')
        common_headers = [
            ('X-Request-Id', request_id),
            ('X-Server-Seal', f'seal.{self.id}.{uuid.uuid4().hex[:8]}'),
            ('X-Server-Load', self._load_figures()),
        ]
        common_headers += self._state_headers()
        if headers.get('X-Target-Instance') not in (None, self.id):
            self._refuse(exchange, 421)
            return
        model = headers.get('X-Model')
        if not self._take_slot(exchange, model):
            self._refuse(exchange, 503)
            return
        try:
            if model:
                is_crashing = body == CRASHING_BODY
                self._send_stream(
                    exchange, request_id, model, common_headers, is_crashing
                )
            else:
                self._send_response(exchange, request_id, body, common_headers)
        finally:
            with self._lock:
                self._running -= 1
                self._exchanges.discard(exchange)

    def _take_slot(
        self, exchange: http_exchange.Exchange, model: str | None
    ) -> bool:
        """Count a request as running; return False if it is refused."""
        with self._lock:
            is_full = self._running >= self._slots or self.fault == 'full'
            if is_full or (model and model == self._loading_model):
                return False
            self._running += 1
            self._exchanges.add(exchange)
            return True

    def _refuse(self, exchange: http_exchange.Exchange, status: int) -> None:
        """Answer that the request has not run."""
        serving.reply(
            exchange,
            status,
            None,
            [('X-Not-Executed', '1'), *self._state_headers()],
        )

    def _send_response(
        self,
        exchange: http_exchange.Exchange,
        request_id: str,
        body: bytes,
        common_headers: http_exchange.Headers,
    ) -> None:
        self._recorder.record_run(
            recorder_module.RunRecord(
                request_id, self.id, 0, time.monotonic(), []
            )
        )
        is_failing = self.fault == 'error' or body == FAILING_BODY
        if body == CRASHING_BODY:
            time.sleep(self.crashing.after_s)
            if self.crashing.next_run_fails():
                is_failing = True
            else:
                self._crash_under(request_id)
        else:
            time.sleep(EVENT_INTERVAL_S * self.slow_factor)
        if self._is_hung:
            self._hang(exchange)
            return
        if self._stopped.is_set() and self.fault == 'reset':
            return
        if is_failing:
            exchange.send_response(500, 'Failed', common_headers, b'failed')
        elif self.fault == 'answer_lost':
            serving.close_without_response(exchange)
        else:
            self._send_success(exchange, request_id, body, common_headers)

    def _send_success(
        self,
        exchange: http_exchange.Exchange,
        request_id: str,
        body: bytes,
        common_headers: http_exchange.Headers,
    ) -> None:
        signature = dict(common_headers)['X-Server-Seal']
        if self.fault == 'unsigned':
            common_headers.remove(('X-Server-Seal', signature))
        else:
            self._recorder.record_signature(request_id, signature)
        content = outputs.plain_response(request_id, body)
        if body == LARGE_BODY:
            content = b'r' * LARGE_BYTES
        exchange.send_response(200, 'OK', common_headers, content)
        if self.fault == 'late_copy':
            time.sleep(LATE_COPY_DELAY_S)
            serving.send_raw_response(exchange, common_headers, content)

    def _send_stream(
        self,
        exchange: http_exchange.Exchange,
        request_id: str,
        model: str,
        common_headers: http_exchange.Headers,
        is_crashing: bool,
    ) -> None:
        after = int(exchange.headers.get('Last-Event-Id', '0'))
        # The same for all tries at a stream.
        stream = exchange.headers.get('X-Stream', request_id)
        last = outputs.event_count(stream)
        run = recorder_module.RunRecord(
            request_id, self.id, after, time.monotonic(), []
        )
        self._recorder.record_run(run)
        if self.fault == 'error':
            exchange.send_response(500, 'Failed', common_headers, b'failed')
            return
        if after and self.resumption_fault is not None:
            self._fail_resumption(exchange, common_headers)
            return
        version = self.versions[model]
        exchange.begin_stream(
            200,
            'OK',
            [
                *common_headers,
                ('Content-Type', 'text/event-stream'),
                ('X-Weight-Versions', str(version)),
            ],
        )
        for number in range(after + 1, last + 1):
            time.sleep(EVENT_INTERVAL_S * self.slow_factor)
            if is_crashing and run.versions:
                self._crash_under(request_id)
            while self.fault == 'drip':
                exchange.write(b': still here\n\n')
                time.sleep(DRIP_INTERVAL_S)
            while self.fault == 'flood':
                data = 'x' * FLOOD_EVENT_BYTES
                exchange.write(f'id: {number}\ndata: {data}\n\n'.encode())
                number += 1
            if self.fault in ('silent', 'reset') or self._is_cut(run):
                serving.close_without_response(exchange)
                return
            data = outputs.event_data(stream, number, self.software)
            data += outputs.random_text(self.long_events.get(request_id, 0))
            block = f'id: {number}\ndata: {data}\n\n'
            current_version = self.versions[model]
            if current_version != version:
                version = current_version
                block = f'x-weight-versions: {version}\n{block}'
            run.versions.append(version)
            if number == last:
                self._recorder.record_completion(request_id)
            exchange.write(block.encode())

    def _fail_resumption(
        self,
        exchange: http_exchange.Exchange,
        common_headers: http_exchange.Headers,
    ) -> None:
        """Answer the resumption of a stream with something else."""
        if self.resumption_fault == 'failed':
            exchange.send_response(500, 'Failed', common_headers, b'failed')
        elif self.resumption_fault == 'rejected':
            exchange.send_response(422, 'Failed', common_headers, b'failed')
        elif self.resumption_fault == 'unmarked':
            headers = [
                (name, value)
                for name, value in common_headers
                if name != 'X-Server-Seal'
            ]
            exchange.send_response(200, 'OK', headers, b'failed')
        else:
            exchange.begin_stream(200, 'OK', common_headers)
            serving.close_without_response(exchange)

    def _is_cut(self, run: recorder_module.RunRecord) -> bool:
        return self.cut_after_events is not None and (
            len(run.versions) >= self.cut_after_events
        )
