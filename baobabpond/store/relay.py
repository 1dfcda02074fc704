"""Reach the log through another instance while it can't be reached directly.

A cut between one instance and the log, or a log that turns some instances
away, then stops neither the instance's reads nor its appends.
"""

import collections.abc
import random
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen.peer import LogRelay
from ..gen.peer import ttypes
from ..peers import pool as pool_module
from ..ports import log as log_port

from . import adaptive_timeout
from . import codec

# After a failure the direct way is tried again this much later, and each
# time twice as late.
FIRST_DIRECT_RETRY_S = 0.1
MOST_DIRECT_RETRY_S = 0.4
CONNECT_TIMEOUT_MS = 300
# Above what the instance that relays allows its own call.
RELAY_MARGIN_S = 0.6
MOST_RELAYS = 2
APPEND_TIMEOUT_S = 0.6
READ_TIMEOUT_S = 0.5
MOST_READ_TIMEOUT_S = 1.6


LOG = structlog.get_logger(__name__)
T = typing.TypeVar('T')
Peers = collections.abc.Callable[[], list[pool_module.Address]]


class FailoverLog:
    """Use the log directly, or through a peer."""

    def __init__(
        self, direct: log_port.Log, metrics: metrics_module.Metrics
    ) -> None:
        self._direct = direct
        self._metrics = metrics
        self._pool: pool_module.ClientPool[LogRelay.Client] = (
            pool_module.ClientPool(LogRelay.Client, CONNECT_TIMEOUT_MS)
        )
        self._peers: Peers = list
        self._lock = threading.Lock()
        self._failed_at = float('-inf')
        self._reached_at = float('-inf')
        self._is_lost = False
        self._retry_s = FIRST_DIRECT_RETRY_S
        self._read_timeout = adaptive_timeout.AdaptiveTimeout(
            READ_TIMEOUT_S, MOST_READ_TIMEOUT_S
        )

    @property
    def read_timeout_s(self) -> float:
        """Return how long a direct read may take beyond its wait."""
        return self._read_timeout.timeout_s

    @property
    def is_direct(self) -> bool:
        """Tell whether the last direct call reached the log."""
        return not self._is_lost

    def set_peer_source(self, peers: Peers) -> None:
        """Set what returns the addresses of the instances that relay."""
        self._peers = peers

    def append(
        self,
        topic: str,
        partition: int,
        records: list[log_port.Record],
        expected_end: int | None = None,
        fence: log_port.Fence | None = None,
        timeout_s: float | None = None,
    ) -> log_port.Appended:
        """Append all records or none."""
        timeout_s = timeout_s or APPEND_TIMEOUT_S
        answer = log_port.Appended(
            log_port.Outcome.REFUSED, detail='the log is out of reach'
        )
        if self._may_go_direct():
            started = time.monotonic()
            answer = self._direct.append(
                topic, partition, records, expected_end, fence, timeout_s
            )
            self._note_direct(started, _reached(answer), answer.detail)
            if _reached(answer):
                return answer
        unknown = answer.outcome is log_port.Outcome.UNKNOWN
        if unknown and expected_end is not None:
            # It may have taken effect; a repeat would only find a conflict.
            return answer
        call = codec.encode_append(
            topic, partition, records, expected_end, fence, timeout_s
        )
        for address in self._some_peers():
            relayed = self._relay_append(address, call, timeout_s)
            if relayed is None:
                # The peer may have passed it on.
                unknown = True
                if expected_end is not None:
                    break
            elif _reached(relayed):
                return relayed
            else:
                unknown |= relayed.outcome is log_port.Outcome.UNKNOWN
        if unknown:
            return answer._replace(outcome=log_port.Outcome.UNKNOWN)
        return answer

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> log_port.Page:
        """Read from an offset; raise LogError or OffsetExpired."""
        wait_ms = int(wait_s * codec.MS_PER_S)
        # A waiting read would tell late that the log is back.
        direct_wait_s = 0.0 if self._is_lost else wait_s
        page = self._read(
            lambda: self._direct.read(
                topic,
                partition,
                offset,
                direct_wait_s,
                timeout_s or self.read_timeout_s,
            ),
            lambda client: client.read(topic, partition, offset, wait_ms),
            direct_wait_s,
            wait_s,
        )
        if isinstance(page, log_port.Page):
            return page
        return log_port.Page(page.end, codec.decode_records(page.records))

    def newest(
        self, topic: str, partition: int, after: str
    ) -> log_port.NewestPage:
        """Return the newest records of the keys after a key, or LogError."""
        page = self._read(
            lambda: self._direct.newest(topic, partition, after),
            lambda client: client.newest(topic, partition, after),
            0.0,
            0.0,
        )
        if isinstance(page, log_port.NewestPage):
            return page
        return log_port.NewestPage(
            page.end, codec.decode_records(page.records), page.has_more
        )

    def _read(
        self,
        direct: collections.abc.Callable[[], T],
        relayed: collections.abc.Callable[[LogRelay.Client], ttypes.LogPage],
        direct_wait_s: float,
        relayed_wait_s: float,
    ) -> T | ttypes.LogPage:
        failure = 'the log is out of reach'
        if self._may_go_direct():
            started = time.monotonic()
            try:
                answer = direct()
            except log_port.LogError as error:
                failure = str(error)
                self._note_read(started, direct_wait_s, False)
                self._note_direct(started, False, failure)
            else:
                self._note_read(started, direct_wait_s, True)
                self._note_direct(started, True)
                return answer
        timeout_ms = int((relayed_wait_s + APPEND_TIMEOUT_S) * codec.MS_PER_S)
        for address in self._some_peers():
            try:
                page = self._pool.call(
                    address,
                    timeout_ms + int(RELAY_MARGIN_S * codec.MS_PER_S),
                    relayed,
                    (ttypes.LogUnavailable, ttypes.LogExpired),
                )
            except ttypes.LogExpired as error:
                raise log_port.OffsetExpired(error.reason) from error
            except (ttypes.LogUnavailable, pool_module.PeerError) as error:
                failure = f'{failure}; by {address[0]}: {error}'
            else:
                self._metrics.count('log.relayed_reads')
                return page
        raise log_port.LogError(failure)

    def _note_read(self, started: float, wait_s: float, done: bool) -> None:
        late_s = time.monotonic() - started - wait_s
        if done and late_s > 0:
            self._read_timeout.record_latency(late_s)
        elif not done and late_s >= self._read_timeout.timeout_s:
            self._read_timeout.record_timeout()

    def _relay_append(
        self,
        address: pool_module.Address,
        call: ttypes.LogAppend,
        timeout_s: float,
    ) -> log_port.Appended | None:
        timeout_ms = int((timeout_s + RELAY_MARGIN_S) * codec.MS_PER_S)
        try:
            reply = self._pool.call(
                address, timeout_ms, lambda client: client.append(call)
            )
        except pool_module.PeerError as error:
            LOG.info(
                'relay of an append failed', peer=address[0], error=str(error)
            )
            return None
        self._metrics.count(f'log.relayed_appends.{reply.outcome}')
        return log_port.Appended(
            log_port.Outcome(reply.outcome), reply.offset, reply.detail
        )

    def _some_peers(self) -> list[pool_module.Address]:
        peers = self._peers()
        return random.sample(peers, min(MOST_RELAYS, len(peers)))

    def _may_go_direct(self) -> bool:
        """Tell whether to try the direct way; one caller at a time does."""
        with self._lock:
            if not self._is_lost:
                return True
            now = time.monotonic()
            if now - self._failed_at < self._retry_s:
                return False
            self._failed_at = now
            self._retry_s = min(MOST_DIRECT_RETRY_S, 2 * self._retry_s)
            return True

    def _note_direct(
        self, started: float, reached: bool, detail: str = ''
    ) -> None:
        """Note how a direct call ended that began at a time."""
        with self._lock:
            if not reached and self._reached_at > started:
                # A later call got through; this one hung since before.
                return
            changed = reached == self._is_lost
            self._is_lost = not reached
            if changed:
                self._retry_s = FIRST_DIRECT_RETRY_S
            if reached:
                self._reached_at = time.monotonic()
            else:
                self._failed_at = time.monotonic()
        if changed:
            LOG.warning(
                'direct way to the log regained'
                if reached
                else 'direct way to the log lost',
                detail=detail,
            )


def _reached(answer: log_port.Appended) -> bool:
    """Tell whether an answer came from a log that serves."""
    return answer.outcome not in (
        log_port.Outcome.REFUSED,
        log_port.Outcome.UNKNOWN,
    )
