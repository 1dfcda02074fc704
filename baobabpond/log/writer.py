"""Append items to the log in batches, with one batch in flight."""

import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from .. import verdicts
from ..gen import records as schema

from . import client
from . import state as state_module

MAX_BATCH_ITEMS = 200
# Limits eight instances to 400 appends per second in total.
MIN_BATCH_INTERVAL_S = 0.02
CONFIRM_WAIT_S = 2.0
BACKOFF_INITIAL_S = 0.05
BACKOFF_MAX_S = 1.0

LOG = structlog.get_logger(__name__)


class PendingItem:
    """An item that is queued or being appended.

    Its sequence number is None while it is queued.
    """

    def __init__(self, item: typing.Mapping[str, typing.Any]) -> None:
        self.item = item
        self.seq: int | None = None


class Writer:
    """Append batches in order; each is retried until it is read back.

    A batch keeps its sequence number through all retries, and readers
    drop a batch whose number is not higher than the sender's last one.
    So a batch takes effect only once, and never after a later batch
    of the same sender.
    """

    def __init__(
        self,
        sender: str,
        log_client: client.LogClient,
        state: state_module.State,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._sender = sender
        self._client = log_client
        self._state = state
        self._metrics = metrics
        self._queue: list[PendingItem] = []
        self._queued = threading.Condition()
        self._seq = 0
        self._stopping = False

    @property
    def sender(self) -> str:
        """Return the sender name that is written with each batch."""
        return self._sender

    def start(self) -> None:
        """Start the thread that appends batches."""
        threading.Thread(
            target=self._run, name='log-writer', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask the thread to end."""
        with self._queued:
            self._stopping = True
            self._queued.notify_all()

    def submit(self, item: typing.Mapping[str, typing.Any]) -> PendingItem:
        """Queue an item for the next batch."""
        pending = PendingItem(item)
        with self._queued:
            self._queue.append(pending)
            self._queued.notify_all()
        return pending

    def cancel(self, pending: PendingItem) -> bool:
        """Remove an item from the queue; return False if it was dequeued."""
        with self._queued:
            if pending.seq is not None:
                return False
            self._queue.remove(pending)
            return True

    def flush(self, deadline: float) -> bool:
        """Wait until all submitted items are settled.

        Returns False at the deadline, a monotonic time.
        """
        with self._queued:
            queued = list(self._queue)
        last = queued[-1] if queued else None

        def settled() -> bool:
            seq = last.seq if last is not None else self._seq
            return seq == 0 or (
                seq is not None
                and self._state.is_seq_settled(self._sender, seq)
            )

        return self._state.wait_for(settled, deadline)

    def _run(self) -> None:
        while True:
            batch = self._next_batch()
            if batch is None:
                return
            started = time.monotonic()
            self._send(batch)
            elapsed_s = time.monotonic() - started
            time.sleep(max(0.0, MIN_BATCH_INTERVAL_S - elapsed_s))

    def _next_batch(self) -> list[PendingItem] | None:
        with self._queued:
            while not self._queue and not self._stopping:
                self._queued.wait()
            if self._stopping:
                return None
            batch = self._queue[:MAX_BATCH_ITEMS]
            del self._queue[:MAX_BATCH_ITEMS]
            self._seq += 1
            for pending in batch:
                pending.seq = self._seq
            return batch

    def _send(self, batch: list[PendingItem]) -> None:
        envelope: schema.Envelope = {
            'sender': self._sender,
            'seq': self._seq,
            'time_s': time.time(),
            'items': [dict(pending.item) for pending in batch],
        }
        started = time.monotonic()
        backoff_s = BACKOFF_INITIAL_S
        while not self._stopping:
            if self._try_append(envelope):
                self._metrics.record('log.append', time.monotonic() - started)
                self._metrics.count('log.items_appended', len(batch))
                return
            self._metrics.count('log.append_retries')
            time.sleep(backoff_s)
            backoff_s = min(backoff_s * 2, BACKOFF_MAX_S)

    def _try_append(self, envelope: schema.Envelope) -> bool:
        try:
            self._metrics.count('log.appends')
            self._client.append(envelope)
        except client.LogError as error:
            self._metrics.count('log.append_errors')
            if error.verdict is verdicts.Verdict.NOT_RUN:
                return False
        seq = envelope['seq']
        return self._state.wait_for(
            lambda: (
                self._stopping or self._state.is_seq_settled(self._sender, seq)
            ),
            time.monotonic() + CONFIRM_WAIT_S,
        )
