"""Make calls as the holder of the duties, within the quota and the lease."""

import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..ports import control
from ..store import adaptive_timeout

from . import holder as holder_module

CALL_TIMEOUT_S = 1.0
# Bound of the time-out while the API is slow. It is below the usual order
# lease, 3 s, so that a call that is under way when the duty is lost has ended
# before the next holder makes one.
MAX_CALL_TIMEOUT_S = 2.5
LOG = structlog.get_logger(__name__)

Send = typing.Callable[[control.CallContext], control.CallResult]


class _TimedResult(typing.NamedTuple):
    """A result, and the seconds that its call took."""

    result: control.CallResult
    took_s: float


class DutyCaller:
    """Make the calls of all duties, one at a time.

    The quota is that of all instances together, but only the holder calls.
    """

    def __init__(
        self,
        holder: holder_module.DutyHolder,
        calls_per_s: float,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._holder = holder
        self._interval_s = 1 / calls_per_s
        self._metrics = metrics
        self._lock = threading.Lock()
        self._timeout = adaptive_timeout.AdaptiveTimeout(
            CALL_TIMEOUT_S, MAX_CALL_TIMEOUT_S
        )
        self._last_call = float('-inf')
        # By subject, the highest token that the platform has refused.
        self._refused_tokens: dict[str, int] = {}

    def may_call(self, subject: str) -> bool:
        """Return whether a call on a subject may be made now."""
        duty = self._holder.current
        return duty is not None and self._is_accepted(subject, duty)

    def call(self, subject: str, send: Send) -> control.CallResult:
        """Make a call on a subject, unless another instance holds the duty.

        The platform compares the tokens of calls on the same subject. REFUSED
        if nothing was sent.
        """
        with self._lock:
            duty = self._holder.current
            if duty is None or not self._is_accepted(subject, duty):
                return control.CallResult(
                    control.Outcome.REFUSED, 'not the holder of the duty'
                )
            self._await_quota()
            result, took_s = self._send(duty, send)
            # Within the lock, so that a waiting call sees the refusal.
            if result.outcome is control.Outcome.FENCED:
                self._record_refusal(subject, duty)
        self._metrics.record('duties.call', took_s)
        self._metrics.count(f'duties.calls.{result.outcome.value}')
        return result

    def _send(self, duty: control.Duty, send: Send) -> _TimedResult:
        """Send a call and adapt the time-out of further ones."""
        started = time.monotonic()
        context = control.CallContext(
            duty,
            lambda: self._holder.current == duty,
            self._timeout.timeout_s,
        )
        result = send(context)
        self._last_call = time.monotonic()
        took_s = self._last_call - started
        if result.outcome is not control.Outcome.UNKNOWN:
            self._timeout.record_latency(took_s)
        elif took_s >= context.timeout_s:
            self._timeout.record_timeout()
        return _TimedResult(result, took_s)

    def _is_accepted(self, subject: str, duty: control.Duty) -> bool:
        """Return whether the platform has not refused the token."""
        return duty.token > self._refused_tokens.get(subject, -1)

    def _record_refusal(self, subject: str, duty: control.Duty) -> None:
        self._refused_tokens[subject] = max(
            duty.token, self._refused_tokens.get(subject, -1)
        )
        LOG.warning(
            'platform has seen a higher token; no more calls with this one',
            subject=subject,
            token=duty.token,
        )

    def _await_quota(self) -> None:
        """Wait until a further call is within the quota."""
        wait_s = self._last_call + self._interval_s - time.monotonic()
        if wait_s > 0:
            time.sleep(wait_s)
