"""Relay log calls through other instances while the log is unreachable.

A network partition between one instance and the log, or a log that refuses
some instances, then stops neither the instance's reads nor its appends.
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

# Delay of the next direct call after a failure; doubles with each attempt.
INITIAL_DIRECT_RETRY_S = 0.1
MAX_DIRECT_RETRY_S = 0.4
CONNECT_TIMEOUT_MS = 300
# Added to the time-out that the relaying instance sets for its own call.
RELAY_MARGIN_S = 0.6
MAX_RELAYS = 2
APPEND_TIMEOUT_S = 0.6
READ_TIMEOUT_S = 0.5
MAX_READ_TIMEOUT_S = 1.6
# A page of a snapshot is large; many instances that start at the same time
# share the log's read rate, and a page that times out is read in vain.
LOAD_TIMEOUT_S = 1.0
MAX_LOAD_TIMEOUT_S = 6.0
# Snapshots are read through a relay only after this time without any direct
# answer: a log that is slow for all must not be asked more often.
LOAD_RELAY_DELAY_S = 2.0
MAX_LOAD_RELAYS = 1


LOG = structlog.get_logger(__name__)
T = typing.TypeVar('T')
Peers = collections.abc.Callable[[], list[pool_module.Address]]


class FailoverLog:
    """Call the log directly; fail over to a relay while it is unreachable."""

    def __init__(
        self, direct: log_port.Log, metrics: metrics_module.Metrics
    ) -> None:
        self._direct = direct
        self._metrics = metrics
        self._pool: pool_module.ClientPool[LogRelay.Client] = (
            pool_module.ClientPool(LogRelay.Client, CONNECT_TIMEOUT_MS)
        )
        self._list_peers: Peers = list
        self._lock = threading.Lock()
        self._last_failure = float('-inf')
        self._last_success = float('-inf')
        self._regained_at = float('-inf')
        self._started = time.monotonic()
        self._is_direct_lost = False
        self._retry_s = INITIAL_DIRECT_RETRY_S
        self._read_timeout = adaptive_timeout.AdaptiveTimeout(
            READ_TIMEOUT_S, MAX_READ_TIMEOUT_S
        )
        self._load_timeout = adaptive_timeout.AdaptiveTimeout(
            LOAD_TIMEOUT_S, MAX_LOAD_TIMEOUT_S
        )

    @property
    def read_timeout_s(self) -> float:
        """Return the time-out of a direct read in seconds, beyond its wait."""
        return self._read_timeout.timeout_s

    @property
    def is_direct(self) -> bool:
        """Return whether the last direct call reached the log."""
        return not self._is_direct_lost

    @property
    def regained_at(self) -> float:
        """Return when the direct way was last regained; monotonic seconds."""
        return self._regained_at

    def set_peer_source(self, peers: Peers) -> None:
        """Set the callback that returns the addresses of possible relays."""
        self._list_peers = peers

    def append(
        self,
        topic: str,
        partition: int,
        records: list[log_port.Record],
        expected_end: int | None = None,
        fence: log_port.Fence | None = None,
        timeout_s: float | None = None,
    ) -> log_port.AppendResult:
        """Append atomically, directly or through a relay."""
        timeout_s = timeout_s or APPEND_TIMEOUT_S
        result = log_port.AppendResult(
            log_port.AppendOutcome.REFUSED, detail='the log is unreachable'
        )
        if self._should_call_directly():
            started = time.monotonic()
            result = self._direct.append(
                topic, partition, records, expected_end, fence, timeout_s
            )
            self._record_direct_call(
                started, _reached_log(result), result.detail
            )
            if _reached_log(result):
                return result
        unknown = result.outcome is log_port.AppendOutcome.UNKNOWN
        if unknown and expected_end is not None:
            # It may have taken effect; a retry would then report a conflict.
            return result
        call = codec.encode_append(
            topic, partition, records, expected_end, fence, timeout_s
        )
        for address in self._pick_relays():
            relayed = self._relay_append(address, call, timeout_s)
            if relayed is None:
                # The peer may have appended before its response was lost.
                unknown = True
                if expected_end is not None:
                    break
            elif _reached_log(relayed):
                return relayed
            else:
                unknown |= relayed.outcome is log_port.AppendOutcome.UNKNOWN
        if unknown:
            return result._replace(outcome=log_port.AppendOutcome.UNKNOWN)
        return result

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> log_port.Page:
        """Read from an offset, directly or through a relay.

        Raises LogError or OffsetExpired.
        """
        wait_ms = int(wait_s * codec.MS_PER_S)
        # A long poll would delay noticing that the log is reachable again.
        direct_wait_s = 0.0 if self._is_direct_lost else wait_s
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
            self._read_timeout,
            MAX_RELAYS,
        )
        if isinstance(page, log_port.Page):
            return page
        return log_port.Page(page.end, codec.decode_records(page.records))

    def newest(
        self,
        topic: str,
        partition: int,
        after: str,
        timeout_s: float | None = None,
    ) -> log_port.NewestPage:
        """Return the newest records of the keys after a key.

        Raises LogError.
        """
        page = self._read(
            lambda: self._direct.newest(
                topic,
                partition,
                after,
                timeout_s or self._load_timeout.timeout_s,
            ),
            lambda client: client.newest(topic, partition, after),
            0.0,
            0.0,
            self._load_timeout,
            MAX_LOAD_RELAYS if self._is_cut_off else 0,
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
        timeout: adaptive_timeout.AdaptiveTimeout,
        max_relays: int,
    ) -> T | ttypes.LogPage:
        failure = 'the log is unreachable'
        if self._should_call_directly():
            started = time.monotonic()
            try:
                result = direct()
            except log_port.LogError as error:
                failure = str(error)
                _record_read_latency(timeout, started, direct_wait_s, False)
                self._record_direct_call(started, False, failure)
            else:
                _record_read_latency(timeout, started, direct_wait_s, True)
                self._record_direct_call(started, True)
                return result
        timeout_ms = int((relayed_wait_s + APPEND_TIMEOUT_S) * codec.MS_PER_S)
        for address in self._pick_relays(max_relays):
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
                failure = f'{failure}; through {address[0]}: {error}'
            else:
                self._metrics.count('log.relayed_reads')
                return page
        raise log_port.LogError(failure)

    def _relay_append(
        self,
        address: pool_module.Address,
        call: ttypes.LogAppend,
        timeout_s: float,
    ) -> log_port.AppendResult | None:
        timeout_ms = int((timeout_s + RELAY_MARGIN_S) * codec.MS_PER_S)
        try:
            reply = self._pool.call(
                address, timeout_ms, lambda client: client.append(call)
            )
        except pool_module.PeerError as error:
            LOG.info(
                'relayed append failed', peer=address[0], error=str(error)
            )
            return None
        self._metrics.count(f'log.relayed_appends.{reply.outcome}')
        return log_port.AppendResult(
            log_port.AppendOutcome(reply.outcome), reply.offset, reply.detail
        )

    def _pick_relays(
        self, max_relays: int = MAX_RELAYS
    ) -> list[pool_module.Address]:
        peers = self._list_peers()
        return random.sample(peers, min(max_relays, len(peers)))

    @property
    def _is_cut_off(self) -> bool:
        """Return whether the log has not answered directly for long."""
        last_answer = max(self._started, self._last_success)
        return time.monotonic() - last_answer > LOAD_RELAY_DELAY_S

    def _should_call_directly(self) -> bool:
        """Return whether to call directly; after a failure one caller does."""
        with self._lock:
            if not self._is_direct_lost:
                return True
            now = time.monotonic()
            if now - self._last_failure < self._retry_s:
                return False
            self._last_failure = now
            self._retry_s = min(MAX_DIRECT_RETRY_S, 2 * self._retry_s)
            return True

    def _record_direct_call(
        self, started: float, reached: bool, detail: str = ''
    ) -> None:
        """Update the state of the direct path after a call.

        The start is a monotonic time.
        """
        with self._lock:
            if not reached and self._last_success > started:
                # Another call succeeded after this one started.
                return
            changed = reached == self._is_direct_lost
            self._is_direct_lost = not reached
            if changed:
                self._retry_s = INITIAL_DIRECT_RETRY_S
            if reached:
                self._last_success = time.monotonic()
                if changed:
                    self._regained_at = self._last_success
            else:
                self._last_failure = time.monotonic()
        if changed:
            LOG.warning(
                'direct way to the log regained'
                if reached
                else 'direct way to the log lost',
                detail=detail,
            )


def _reached_log(result: log_port.AppendResult) -> bool:
    """Return whether an append reached a log that serves it."""
    return result.outcome not in (
        log_port.AppendOutcome.REFUSED,
        log_port.AppendOutcome.UNKNOWN,
    )


def _record_read_latency(
    timeout: adaptive_timeout.AdaptiveTimeout,
    started: float,
    wait_s: float,
    succeeded: bool,
) -> None:
    late_s = time.monotonic() - started - wait_s
    if succeeded and late_s > 0:
        timeout.record_latency(late_s)
    elif not succeeded and late_s >= timeout.timeout_s:
        timeout.record_timeout()
