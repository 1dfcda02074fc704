"""Serve log calls of other instances."""

import typing

from .. import metrics as metrics_module
from ..gen.peer import ttypes
from ..ports import log as log_port

from . import codec
from . import first_load
from . import relay
from . import snapshots

# Removes from the records of a topic what no other instance may be sent.
Redactor = typing.Callable[[str, list[log_port.Record]], list[log_port.Record]]


class RelayHandler:
    """Execute relayed log calls, over the direct path only; share snapshots.

    A relayed call is never relayed again, so that calls cannot loop.
    """

    def __init__(
        self,
        direct: log_port.Log,
        reachable: relay.FailoverLog,
        metrics: metrics_module.Metrics,
        first_loads: list[first_load.FirstLoad],
        redact: Redactor = lambda topic, records: records,
    ) -> None:
        self._direct = direct
        self._reachable = reachable
        self._metrics = metrics
        self._redact = redact
        self._shared = {
            (load.topic, load.partition): load.shared for load in first_loads
        }

    def append(self, call: ttypes.LogAppend) -> ttypes.LogAppended:
        """Append on behalf of another instance."""
        if not self._reachable.is_direct:
            return ttypes.LogAppended(
                log_port.AppendOutcome.REFUSED.value,
                -1,
                'no direct way here either',
            )
        self._metrics.count('log.appends_for_peers')
        fence = None
        if call.fence is not None:
            fence = log_port.Fence(
                call.fence.producer, call.fence.epoch, call.fence.sequence
            )
        result = self._direct.append(
            call.topic,
            call.partition,
            codec.decode_records(call.records),
            call.expected_end,
            fence,
            call.timeout_ms / codec.MS_PER_S,
        )
        return ttypes.LogAppended(
            result.outcome.value, result.offset, result.detail
        )

    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int
    ) -> ttypes.LogPage:
        """Read on behalf of another instance.

        Raises LogUnavailable or LogExpired.
        """
        self._check_direct()
        try:
            page = self._direct.read(
                topic,
                partition,
                offset,
                wait_ms / codec.MS_PER_S,
                self._reachable.read_timeout_s,
            )
        except log_port.LogError as error:
            raise ttypes.LogUnavailable(str(error)) from error
        except log_port.OffsetExpired as error:
            raise ttypes.LogExpired(str(error)) from error
        records = self._redact(topic, page.records)
        return ttypes.LogPage(page.end, codec.encode_records(records), False)

    def newest(self, topic: str, partition: int, after: str) -> ttypes.LogPage:
        """Return newest records on behalf of another instance.

        Raises LogUnavailable.
        """
        self._check_direct()
        try:
            page = self._direct.newest(topic, partition, after)
        except log_port.LogError as error:
            raise ttypes.LogUnavailable(str(error)) from error
        records = self._redact(topic, page.records)
        return ttypes.LogPage(
            page.end, codec.encode_records(records), page.has_more
        )

    def snapshot(
        self, topic: str, partition: int, after: str, wait_ms: int
    ) -> ttypes.LogPage:
        """Return a page of the first snapshot that this instance has read.

        Raises LogUnavailable if it is not read yet, LogExpired if it is not
        kept.
        """
        shared = self._shared.get((topic, partition))
        if shared is None:
            raise ttypes.LogExpired('the topic is not shared')
        try:
            page = shared.wait_page(after, wait_ms / codec.MS_PER_S)
        except snapshots.SnapshotDropped as error:
            raise ttypes.LogExpired('no snapshot is kept') from error
        if page is None:
            raise ttypes.LogUnavailable('the page is not read yet')
        self._metrics.count('log.snapshot_pages_for_peers')
        return ttypes.LogPage(
            page.end, codec.encode_records(page.records), page.has_more
        )

    def _check_direct(self) -> None:
        if not self._reachable.is_direct:
            raise ttypes.LogUnavailable('no direct way here either')
