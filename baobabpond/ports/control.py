"""Define the calls to the platform's API that one instance makes for all."""

import enum
import typing


class Outcome(enum.Enum):
    """State the known outcome of a call."""

    DONE = 'done'
    # A holder with a higher token has called; nothing was done.
    FENCED = 'fenced'
    # Nothing was done, and nothing will be done later.
    REFUSED = 'refused'
    # The platform does not take such a call; a repeat would fail as well.
    REJECTED = 'rejected'
    # None are to be had at the moment; nothing was done.
    UNAVAILABLE = 'unavailable'
    # No answer: the call may have taken effect, or may do so later.
    UNKNOWN = 'unknown'


class Duty(typing.NamedTuple):
    """Identify the instance that makes a call."""

    holder: str
    # Fencing token, higher than that of all earlier holders.
    token: int


class UsageReport(typing.NamedTuple):
    """State how many requests of each account began to run in a window."""

    # Number of the window since the start of 1970.
    window: int
    counts: dict[str, int]


class UpstreamOrder(typing.NamedTuple):
    """Order upstreams of a service in a data centre."""

    service: str
    data_centre: str
    count: int
    # Cheaper upstreams, which the platform may reclaim.
    is_spot: bool = False


class CallResult(typing.NamedTuple):
    """Hold the outcome of a call."""

    outcome: Outcome
    detail: str = ''


class CallContext(typing.NamedTuple):
    """State on whose behalf, and for how long, a call is made."""

    duty: Duty
    # Returns whether the call may still be sent; asked right before it is.
    may_send: typing.Callable[[], bool]
    timeout_s: float


class ControlApi(typing.Protocol):
    """Make calls on behalf of all instances."""

    def report_usage(
        self, report: UsageReport, context: CallContext
    ) -> CallResult:
        """Report the usage of a window; an exact repeat has no effect."""
        ...

    def order_upstreams(
        self, order: UpstreamOrder, context: CallContext
    ) -> CallResult:
        """Order how many upstreams of one kind there should be."""
        ...
