"""Consume the log and apply its records to the shared state."""

import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from .. import verdicts

from . import client
from . import state as state_module

READ_COUNT = 500
LONG_POLL_S = 1.0
BACKOFF_INITIAL_S = 0.05
BACKOFF_MAX_S = 1.0
HEALTHY_S = 3.0
# A catch-up that records keep expiring before is behind for good.
MAX_GAP_RESTARTS = 5

LOG = structlog.get_logger(__name__)


class NoSnapshotError(client.LogError):
    """Raised when records expired before a snapshot covered them."""


class Follower:
    """Read the log in a background thread and apply each record."""

    def __init__(
        self,
        log_client: client.LogClient,
        state: state_module.State,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._client = log_client
        self._state = state
        self._metrics = metrics
        self._stopping = threading.Event()
        self._has_caught_up = False
        self._last_read_at: float | None = None
        self._reachable = True

    @property
    def has_caught_up(self) -> bool:
        """Return whether the state has caught up since the last gap."""
        return self._has_caught_up

    @property
    def healthy(self) -> bool:
        """Return whether the log was read to its end within HEALTHY_S."""
        if not self._has_caught_up or self._last_read_at is None:
            return False
        return time.monotonic() - self._last_read_at < HEALTHY_S

    def start(self) -> None:
        """Start the thread that reads the log."""
        threading.Thread(
            target=self._run, name='log-follower', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stopping.set()

    def catch_up(self) -> None:
        """Read up to the current end of the log.

        Starts over if records expire before they are read. Raises LogError.
        """
        for _ in range(MAX_GAP_RESTARTS):
            try:
                self._read_to_end()
                return
            except client.GapError as error:
                self._record_gap(error)
        self._read_to_end()

    def _read_to_end(self) -> None:
        if not self._has_caught_up:
            self._bootstrap()
        end = self._client.bounds().end
        while self._state.next_offset < end:
            for record in self._client.read(
                self._state.next_offset, READ_COUNT
            ):
                self._state.apply(record)
        self._record_caught_up()

    def _run(self) -> None:
        backoff_s = BACKOFF_INITIAL_S
        while not self._stopping.is_set():
            try:
                self._read_once()
            except client.GapError as error:
                self._record_gap(error)
            except client.LogError as error:
                self._record_unreachable(error)
                self._stopping.wait(backoff_s)
                backoff_s = min(backoff_s * 2, BACKOFF_MAX_S)
                continue
            backoff_s = BACKOFF_INITIAL_S

    def _read_once(self) -> None:
        if not self._has_caught_up:
            self.catch_up()
            return
        records = self._client.read(
            self._state.next_offset, READ_COUNT, LONG_POLL_S
        )
        for record in records:
            self._state.apply(record)
        self._metrics.count('log.records_read', len(records))
        if len(records) < READ_COUNT:
            self._record_caught_up()

    def _bootstrap(self) -> None:
        bounds = self._client.bounds()
        if self._state.next_offset >= bounds.first:
            return
        records = self._read_range(bounds)
        snapshot = _newest_snapshot(records, bounds.first)
        if snapshot is None:
            self._metrics.count('log.bootstrap_without_snapshot')
            raise NoSnapshotError(
                'records expired before a snapshot covered them',
                verdicts.Verdict.NOT_RUN,
            )
        self._state.load(snapshot['state'], snapshot['offset'])
        for record in records:
            if record.offset > snapshot['offset']:
                self._state.apply(record)

    def _read_range(self, bounds: client.Bounds) -> list[client.Record]:
        records: list[client.Record] = []
        offset = bounds.first
        while offset < bounds.end:
            batch = self._client.read(offset, READ_COUNT)
            if not batch:
                break
            records += batch
            offset = batch[-1].offset + 1
        return records

    def _record_gap(self, error: client.GapError) -> None:
        self._metrics.count('log.gaps')
        LOG.warning(
            'log gap; reading from the newest snapshot', error=str(error)
        )
        self._has_caught_up = False

    def _record_caught_up(self) -> None:
        self._last_read_at = time.monotonic()
        self._has_caught_up = True
        if not self._reachable:
            self._reachable = True
            LOG.info('log reachable')
        with self._state.changed:
            self._state.changed.notify_all()

    def _record_unreachable(self, error: client.LogError) -> None:
        self._metrics.count('log.read_errors')
        if self._reachable:
            self._reachable = False
            LOG.warning('log unreachable', error=str(error))


def _newest_snapshot(
    records: list[client.Record], first: int
) -> dict[str, typing.Any] | None:
    for record in reversed(records):
        for item in record.value.get('items', ()):
            if item.get('type') == 'snapshot' and item['offset'] >= first - 1:
                return item
    return None
