"""Decide when a request may be sent to an upstream that states a limit.

Answers a load above the limit: urgent requests may reserve a permit that is
due soon, others only take one that leaves some for the urgent ones.
"""

import typing

# Permits of this time are saved up while nobody asks for them: batches arrive
# together, with pauses between them.
BURST_S = 1.0
MIN_BURST = 3.0
# Requests a second to an upstream that states less, which is the only way to
# learn that its limit has changed.
MIN_RATE_PER_S = 0.2
MAX_WAIT_S = 0.4


class Urgency(typing.NamedTuple):
    """How a request competes for permits with others."""

    # For a permit that is not due yet.
    max_wait_s: float
    # Permits that must be left over after this request.
    spare: float = 0.0


# Reports and weight orders: without them no item can run.
ORDER = Urgency(max_wait_s=2.0)
# A request that no caller waits for.
BACKGROUND = Urgency(max_wait_s=0.0, spare=1.0)
# A repeated attempt must not displace first ones.
RETRY = Urgency(max_wait_s=0.0, spare=1.0)


def caller_urgency(priority: int) -> Urgency:
    """Return the urgency of a caller's request; priority 0 is the highest."""
    return Urgency(MAX_WAIT_S / (1 + max(0, priority)))


class Decision(typing.NamedTuple):
    """Whether a request may be sent, and when."""

    is_granted: bool
    # Until it may be sent, or if refused, until it may be asked for again.
    delay_s: float


class PermitBucket:
    """Issue permits at a rate that may change (a virtual scheduler).

    Times are monotonic.
    """

    def __init__(self, now: float, rate_per_s: float) -> None:
        # When the permits issued so far would be used up at the full rate.
        # At first a single permit is there: a former issuer may just have
        # issued others.
        self._rate_per_s = _clamp(rate_per_s)
        self._used_up_at = now + _tolerance_s(self._rate_per_s, 0.0)

    def preview(
        self, now: float, rate_per_s: float, urgency: Urgency
    ) -> Decision:
        """Return the decision on a request without issuing a permit."""
        rate = _clamp(rate_per_s)
        self._change_rate(now, rate)
        due_at = self._used_up_at - _tolerance_s(rate, urgency.spare)
        wait_s = max(0.0, due_at - now)
        if wait_s <= urgency.max_wait_s:
            return Decision(True, wait_s)
        return Decision(False, max(wait_s - urgency.max_wait_s, 1.0 / rate))

    def take(
        self, now: float, rate_per_s: float, urgency: Urgency
    ) -> Decision:
        """Decide on a request, and issue its permit if it is granted."""
        decision = self.preview(now, rate_per_s, urgency)
        if decision.is_granted:
            started_at = max(now, self._used_up_at)
            self._used_up_at = started_at + 1.0 / _clamp(rate_per_s)
        return decision

    def _change_rate(self, now: float, rate: float) -> None:
        """Keep the permits that were issued ahead, up to a burst."""
        if rate == self._rate_per_s:
            return
        ahead = max(0.0, self._used_up_at - now) * self._rate_per_s
        self._used_up_at = now + min(ahead, _burst(rate)) / rate
        self._rate_per_s = rate


def _clamp(rate_per_s: float) -> float:
    return max(MIN_RATE_PER_S, rate_per_s)


def _tolerance_s(rate_per_s: float, spare: float) -> float:
    """Return for how long permits may be issued ahead of the rate."""
    return (_burst(rate_per_s) - 1.0 - spare) / rate_per_s


def _burst(rate_per_s: float) -> float:
    """Return how many permits are saved up at most."""
    return max(MIN_BURST, BURST_S * rate_per_s)
