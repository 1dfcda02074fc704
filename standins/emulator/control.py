"""Emulate the platform's API for the duties of one instance."""

import collections
import json
import random
import threading
import time
import typing

from baobabpond.edge import http_exchange

from . import serving

REPORT_PATH = '/usage'
ORDER_PATH = '/scale'
# A connection whose response is lost is closed after this time.
LOST_S = 0.2


class CallRecord(typing.NamedTuple):
    """A call as it reached the API."""

    received_at: float
    path: str
    holder: str
    token: int
    fields: dict[str, typing.Any]
    # 0 if the call was not answered.
    status: int


class Order(typing.NamedTuple):
    """How many upstreams of one kind there should be in a data centre."""

    service: str
    zone: str
    is_spot: bool
    count: int


class ControlApi:
    """Take reports and orders, slowly, late or without an answer."""

    def __init__(
        self, checks_fence: bool = True, calls_per_s: float = 50.0
    ) -> None:
        # None, or one of 'refused' (503), 'reset' (the connection closes, and
        # nothing is executed) and 'limited' (429).
        self.outage: str | None = None
        # Delay before a call is executed.
        self.delay_s = 0.0
        # Share of the calls that are executed without an answer, and how
        # much later that happens.
        self.lost_share = 0.0
        self.lost_delay_s = 0.0
        self.calls: list[CallRecord] = []
        # By window, what was reported first, and the time of day.
        self.reports: dict[int, dict[str, int]] = {}
        self.reported_at: dict[int, float] = {}
        # Takes orders; returns whether there are as many. Orders are
        # unknown (404) without it.
        self.on_order: typing.Callable[[Order], bool] | None = None
        # Windows that were reported again with other counts.
        self.contradicted: set[int] = set()
        self._checks_fence = checks_fence
        self._calls_per_s = calls_per_s
        self._rng = random.Random(1)
        self._lock = threading.Lock()
        self._highest_tokens: collections.Counter[str] = collections.Counter()
        self._recent: collections.deque[float] = collections.deque()
        self._server = serving.serve(self._handle)

    @property
    def address(self) -> str:
        """Return the host and port on which the API listens."""
        return serving.address_of(self._server)

    def stop(self) -> None:
        """Stop the server."""
        self._server.stop()

    def tokens(self, subject: str = REPORT_PATH) -> list[int]:
        """Return the tokens of all calls on a subject, as they came."""
        with self._lock:
            return [
                call.token
                for call in self.calls
                if _subject(call.path, call.fields) == subject
            ]

    def returns_within(self, lease_s: float) -> list[CallRecord]:
        """Return the calls of holders that took turns within the lease.

        Such a holder called before and after a call of another one, and less
        than lease_s seconds passed between its two calls.
        """
        found = []
        with self._lock:
            for number, call in enumerate(self.calls):
                earlier = [
                    other
                    for other in self.calls[:number]
                    if call.received_at - other.received_at < lease_s
                ]
                holders = [other.holder for other in earlier]
                if call.holder in holders:
                    first = holders.index(call.holder)
                    if set(holders[first:]) != {call.holder}:
                        found.append(call)
        return found

    def _handle(self, exchange: http_exchange.Exchange) -> None:
        path = serving.query(exchange).path
        fields = json.loads(exchange.read_body())
        received_at = time.monotonic()
        token = int(exchange.headers['X-Fencing-Token'])
        with self._lock:
            status = self._admission(received_at)
            is_lost = self._rng.random() < self.lost_share
        if status is None and not is_lost:
            time.sleep(self.delay_s)
            status = self._execute(path, token, fields)
        elif status is None:
            threading.Timer(
                self.lost_delay_s, self._execute, (path, token, fields)
            ).start()
            time.sleep(LOST_S)
            status = 0
        with self._lock:
            holder = exchange.headers['X-Lease-Holder']
            self.calls.append(
                CallRecord(received_at, path, holder, token, fields, status)
            )
        if status:
            serving.reply(exchange, status, {})
        else:
            serving.close_without_response(exchange)

    def _admission(self, received_at: float) -> int | None:
        """Return the status of a call that is not executed."""
        if self.outage is not None:
            return {'refused': 503, 'reset': 0, 'limited': 429}[self.outage]
        while self._recent and received_at - self._recent[0] > 1.0:
            self._recent.popleft()
        if len(self._recent) >= self._calls_per_s:
            return 429
        self._recent.append(received_at)
        return None

    def _execute(
        self, path: str, token: int, fields: dict[str, typing.Any]
    ) -> int:
        subject = _subject(path, fields)
        with self._lock:
            if self._checks_fence and token < self._highest_tokens[subject]:
                return 409
            self._highest_tokens[subject] = max(
                token, self._highest_tokens[subject]
            )
            if path == REPORT_PATH:
                self._take_report(fields['window'], fields['counts'])
                return 200
        if path != ORDER_PATH or self.on_order is None:
            return 404
        order = Order(
            fields['service'],
            fields['zone'],
            fields.get('use-spot', False),
            fields['group-count'],
        )
        return 200 if self.on_order(order) else 409

    def _take_report(self, window: int, counts: dict[str, int]) -> None:
        if self.reports.setdefault(window, counts) != counts:
            self.contradicted.add(window)
        self.reported_at.setdefault(window, time.time())


def _subject(path: str, fields: dict[str, typing.Any]) -> str:
    """Return the subject among whose calls tokens are compared."""
    if path == REPORT_PATH:
        return path
    return f'{path} {fields["service"]} {fields["zone"]}'
