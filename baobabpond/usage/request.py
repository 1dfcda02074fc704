"""Decide whether and when a caller's request counts."""

from . import recorder as recorder_module
from . import time_of_day as time_module


class RequestUsage:
    """Follow the attempts at one request, which counts at most once.

    The base class counts nothing. It is used where the deployment or the
    request has no account, and where a stream that has counted is resumed.
    """

    def begin_attempt(self) -> None:
        """Record that the request is about to be sent to an upstream."""

    def record_not_run(self) -> None:
        """Record that the attempt has not run and never will."""

    def record_event(self) -> None:
        """Record that a stream has an event."""

    def record_answer(self) -> None:
        """Record that an upstream has answered without a stream."""

    def end(self) -> None:
        """Record that no more attempts follow."""


class PlainUsage(RequestUsage):
    """Count a request from when it is sent, unless it has not run.

    It is counted before there is an answer, so that the count outlives this
    instance.
    """

    def __init__(
        self,
        recorder: recorder_module.UsageRecorder,
        time_of_day: time_module.TimeOfDay,
        account: str,
    ) -> None:
        self._recorder = recorder
        self._time_of_day = time_of_day
        self._account = account
        self._mark: recorder_module.Mark | None = None
        # An earlier attempt ran, or may have run.
        self._is_certain = False

    def begin_attempt(self) -> None:
        """Count the request unless an earlier attempt has."""
        if self._mark is not None:
            self._is_certain = True
            return
        self._mark = self._recorder.record(
            self._account, self._time_of_day.now_unix_s()
        )

    def record_not_run(self) -> None:
        """Withdraw the count unless an earlier attempt ran."""
        if self._mark is not None and not self._is_certain:
            self._recorder.withdraw(self._mark)
            self._mark = None


class StreamUsage(RequestUsage):
    """Count a stream at its first event.

    A stream without events counts at the time at which it was sent, unless it
    has not run.
    """

    def __init__(
        self,
        recorder: recorder_module.UsageRecorder,
        time_of_day: time_module.TimeOfDay,
        account: str,
    ) -> None:
        self._recorder = recorder
        self._time_of_day = time_of_day
        self._account = account
        self._is_counted = False
        # When the first attempt was sent that may have run.
        self._sent_at: float | None = None
        self._is_first_attempt = True

    def begin_attempt(self) -> None:
        """Remember when the request was sent."""
        self._is_first_attempt = self._sent_at is None
        if self._is_first_attempt:
            self._sent_at = self._time_of_day.now_unix_s()

    def record_not_run(self) -> None:
        """Forget the attempt unless an earlier one may have run."""
        if self._is_first_attempt:
            self._sent_at = None

    def record_event(self) -> None:
        """Count the stream at its first event."""
        if not self._is_counted:
            self._count(self._time_of_day.now_unix_s())

    def record_answer(self) -> None:
        """Count the request from when it was sent."""
        if not self._is_counted and self._sent_at is not None:
            self._count(self._sent_at)

    def end(self) -> None:
        """Count the request if it most likely ran."""
        self.record_answer()

    def _count(self, began_at_unix_s: float) -> None:
        self._is_counted = True
        self._recorder.record(self._account, began_at_unix_s)


class RequestCounter:
    """Create the RequestUsage of each request; the base class counts none."""

    def follow(
        self, account: str | None, is_stream: bool, is_resumed: bool
    ) -> RequestUsage:
        """Return what counts the request during its attempts.

        A resumed stream was counted when it began.
        """
        return RequestUsage()


class AccountCounter(RequestCounter):
    """Count the requests of accounts."""

    def __init__(
        self,
        recorder: recorder_module.UsageRecorder,
        time_of_day: time_module.TimeOfDay,
    ) -> None:
        self._recorder = recorder
        self._time_of_day = time_of_day

    def follow(
        self, account: str | None, is_stream: bool, is_resumed: bool
    ) -> RequestUsage:
        """Return what counts the request during its attempts."""
        if not account or is_resumed:
            return RequestUsage()
        kind = StreamUsage if is_stream else PlainUsage
        return kind(self._recorder, self._time_of_day, account)
