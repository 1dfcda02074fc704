"""A sampler that records how each of its runs ended."""

import json
import random
import string
import threading
import time
import typing
import uuid

from baobabpond.edge import http_exchange
from baobabpond.transport import sockets
from standins.emulator import outputs
from standins.emulator import serving
from standins.emulator import upstream as upstream_module

EVENT_GAP_S = 0.04
SLOTS = 12
# Of an event of an answer without end, as large as those of the sheets get.
ENDLESS_DATA_BYTES = 1900
PREEMPTED_AFTER = 3
POLL_S = 0.02
# How a run ended.
FINISHED = 'finished'
FAILED = 'failed'
LEFT = 'closed by its sender'

# Receives what happens, for the record.
Note = typing.Callable[..., None]


class Run:
    """A request that a sampler began to work on."""

    def __init__(self, request_id: str, sampler: str) -> None:
        self.request_id = request_id
        self.sampler = sampler
        self.started_at = time.monotonic()
        self.ended_at: float | None = None
        self.ending = ''


class Sampler(upstream_module.Upstream):
    """Behave as the platform's pages say, and record the runs.

    The number of events of a stream stands in X-Events, a header of the
    client's own. A request whose X-Expected-Version differs gets 421.
    """

    def __init__(
        self,
        runs: list[Run],
        note: Note,
        *args: typing.Any,
        **options: typing.Any,
    ) -> None:
        self._runs = runs
        self._note = note
        self._runs_lock = threading.Lock()
        # Whether streams go on with events until their callers close.
        self.is_endless = False
        # For how long each run is preempted once, after PREEMPTED_AFTER of
        # its events.
        self.preempted_s = 0.0
        super().__init__(*args, slots=SLOTS, **options)

    @property
    def slots(self) -> int:
        """Return how many requests run at a time."""
        return SLOTS

    def _handle_request(
        self, exchange: http_exchange.Exchange, body: bytes
    ) -> None:
        expected = exchange.headers.get('X-Expected-Version')
        model = exchange.headers.get('X-Model', '')
        if expected and int(expected) != self.versions.get(model):
            request_id = exchange.headers.get('X-Request-Id', '')
            self._note(
                'refused 421',
                sampler=self.id,
                request=request_id[:16],
                expected=expected,
                version=self.versions.get(model),
            )
            serving.reply(
                exchange,
                421,
                None,
                [('X-Request-Id', request_id), ('X-Instance-Id', self.id)],
            )
            return
        super()._handle_request(exchange, body)

    def _send_stream(
        self,
        exchange: http_exchange.Exchange,
        request_id: str,
        model: str,
        common_headers: http_exchange.Headers,
        is_crashing: bool,
    ) -> None:
        run = Run(request_id, self.id)
        with self._runs_lock:
            self._runs.append(run)
        self._note('run begins', sampler=self.id, request=request_id[:16])
        run.ending = LEFT
        try:
            run.ending = self._stream(
                exchange, request_id, model, common_headers
            )
        finally:
            run.ended_at = time.monotonic()
            self._note(
                f'run {run.ending}',
                sampler=self.id,
                request=request_id[:16],
                after_s=round(run.ended_at - run.started_at, 3),
            )

    def _stream(
        self,
        exchange: http_exchange.Exchange,
        request_id: str,
        model: str,
        common_headers: http_exchange.Headers,
    ) -> str:
        after = int(exchange.headers.get('Last-Event-Id', '0'))
        last = int(exchange.headers.get('X-Events', '12'))
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
        if self.is_endless:
            self._send_without_end(exchange, after)
            return LEFT
        for number in range(after + 1, last + 1):
            gap_s = EVENT_GAP_S * self.slow_factor
            if number == after + PREEMPTED_AFTER + 1:
                gap_s += self.preempted_s
            if _is_left_within(exchange, gap_s):
                return LEFT
            data = outputs.event_data(request_id, number, self.software)
            block = f'id: {number}\ndata: {data}\n\n'
            if self.versions[model] != version:
                version = self.versions[model]
                block = f'x-weight-versions: {version}\n{block}'
            exchange.write(block.encode())
        return FINISHED

    def _send_without_end(
        self, exchange: http_exchange.Exchange, after: int
    ) -> None:
        """Send events as fast as the caller reads, until it closes."""
        letters = string.ascii_letters + string.digits
        data = ''.join(random.choices(letters, k=ENDLESS_DATA_BYTES))
        number = after
        while self.is_endless:
            number += 1
            exchange.write(f'id: {number}\ndata: {data}\n\n'.encode())


def _is_left_within(exchange: http_exchange.Exchange, wait_s: float) -> bool:
    """Wait for a time; return at once if the caller closes its channel."""
    ends_at = time.monotonic() + wait_s
    while True:
        if sockets.is_closed_by_peer(exchange.socket):
            return True
        remaining_s = ends_at - time.monotonic()
        if remaining_s <= 0:
            return False
        time.sleep(min(POLL_S, remaining_s))


def new_id() -> str:
    """Return an id as clients choose them."""
    return uuid.uuid4().hex[:16]


def as_json(value: typing.Any) -> bytes:
    """Encode a body."""
    return json.dumps(value).encode()
