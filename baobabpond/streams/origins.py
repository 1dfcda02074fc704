"""Tell which software version began a stream that a client resumes.

Each service has a default version on the log. Only streams that another
version begins are recorded, before their first event is passed on; a stream
without a record was begun by the default version. So a quiet service costs no
append, and any instance knows the origin of a stream even if all instances
were lost since it began.
"""

import collections.abc
import threading
import typing

import structlog

from .. import metrics as metrics_module
from ..ports import log as log_port

from . import default_version
from . import recorder as recorder_module
from . import records as records_module

# Streams whose origin an instance remembers.
MAX_REMEMBERED = 20_000

LOG = structlog.get_logger(__name__)


class FoundOrigin(typing.NamedTuple):
    """The software version of a stream, and how it is known."""

    software: str
    # 'memory', 'record' or 'default'.
    source: str


class StreamOrigins:
    """Remember the streams of this instance, and ask the log for others."""

    def __init__(
        self,
        recorder: recorder_module.OriginRecorder,
        defaults: default_version.DefaultReader,
        catch_up: collections.abc.Callable[[], None],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._recorder = recorder
        self._defaults = defaults
        self._catch_up = catch_up
        self._metrics = metrics
        self._lock = threading.Lock()
        # Least recently begun first.
        self._begun: dict[str, str] = {}
        # Streams whose record may yet appear on the log, oldest first.
        self._unsettled: dict[str, str] = {}

    def begin(self, origin: records_module.StreamOrigin) -> bool:
        """Note the origin of a stream whose first event has arrived.

        Returns whether the event may be passed on: any instance must be able
        to tell the origin.
        """
        default = self._defaults.known(origin.service)
        outcome = self._record(origin, default)
        if outcome is not log_port.AppendOutcome.DONE:
            LOG.warning(
                'stream not begun: its origin is not on the log',
                request=origin.stream,
                software=origin.software,
                default=default,
                outcome=outcome.value,
            )
            self._metrics.count('streams.not_begun')
            return False
        with self._lock:
            _remember(self._begun, origin)
        return True

    def _record(
        self, origin: records_module.StreamOrigin, default: str | None
    ) -> log_port.AppendOutcome:
        """Make sure that the log tells the origin, with a record if need be.

        An append without an answer may still take effect; until then its
        stream can begin with no other version.
        """
        unsettled = self._unsettled.get(origin.stream)
        if unsettled not in (None, origin.software):
            return log_port.AppendOutcome.UNKNOWN
        if unsettled is None and origin.software == default:
            return log_port.AppendOutcome.DONE
        outcome = self._recorder.record(origin)
        with self._lock:
            if outcome is log_port.AppendOutcome.UNKNOWN:
                _remember(self._unsettled, origin)
            else:
                self._unsettled.pop(origin.stream, None)
        return outcome

    def find(
        self, service: str, stream: str, registered: set[str]
    ) -> FoundOrigin | None:
        """Return the origin of a stream, None if it can't be told now.

        Without the name of the stream, it can be told only if all registered
        upstreams have the default version.
        """
        if stream:
            found = self._find(service, stream)
        elif registered == {self._defaults.known(service)}:
            found = FoundOrigin(next(iter(registered)), 'default')
        else:
            found = None
        self._metrics.count(
            f'streams.resumed.{found.source if found else "unknown"}'
        )
        return found

    def _find(self, service: str, stream: str) -> FoundOrigin | None:
        begun_by = self._begun.get(stream)
        if begun_by is not None:
            return FoundOrigin(begun_by, 'memory')
        try:
            return self._find_on_log(service, stream)
        except log_port.LogError as error:
            LOG.info(
                'origin of a stream unknown: the log is away',
                stream=stream,
                error=str(error),
            )
            return None

    def _find_on_log(self, service: str, stream: str) -> FoundOrigin | None:
        """Find the record of a stream, or that it has none."""
        origin = self._recorder.find(stream)
        if origin is None:
            # The record may just have been appended by another instance.
            self._catch_up()
            origin = self._recorder.find(stream)
        if origin is not None:
            return FoundOrigin(origin.software, 'record')
        default = self._defaults.load(service)
        return None if default is None else FoundOrigin(default, 'default')


def _remember(
    software: dict[str, str], origin: records_module.StreamOrigin
) -> None:
    """Add an origin by its stream, and drop the oldest beyond a bound."""
    software[origin.stream] = origin.software
    if len(software) > MAX_REMEMBERED:
        del software[next(iter(software))]
