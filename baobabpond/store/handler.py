"""Serve log calls relayed by instances that cannot reach the log."""

from .. import metrics as metrics_module
from ..gen.peer import ttypes
from ..ports import log as log_port

from . import codec
from . import relay


class RelayHandler:
    """Execute relayed log calls, over the direct path only.

    A relayed call is never relayed again, so that calls cannot loop.
    """

    def __init__(
        self,
        direct: log_port.Log,
        reachable: relay.FailoverLog,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._direct = direct
        self._reachable = reachable
        self._metrics = metrics

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
        return ttypes.LogPage(
            page.end, codec.encode_records(page.records), False
        )

    def newest(self, topic: str, partition: int, after: str) -> ttypes.LogPage:
        """Return newest records on behalf of another instance.

        Raises LogUnavailable.
        """
        self._check_direct()
        try:
            page = self._direct.newest(topic, partition, after)
        except log_port.LogError as error:
            raise ttypes.LogUnavailable(str(error)) from error
        return ttypes.LogPage(
            page.end, codec.encode_records(page.records), page.has_more
        )

    def _check_direct(self) -> None:
        if not self._reachable.is_direct:
            raise ttypes.LogUnavailable('no direct way here either')
