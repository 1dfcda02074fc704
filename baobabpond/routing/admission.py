"""Admit a request to a service or refuse it immediately."""

import collections
import threading
import time
import typing

from .. import verdicts
from ..gen import tree as tree_schema

# Shares of the limit up to which each priority is admitted.
PRIORITY_SHARES = {'high': 1.0, 'ordinary': 0.8, 'low': 0.5}
# Share of the limit that each lower priority may use even if requests of
# other priorities fill the rest.
RESERVED_SHARE = 0.15
CONTENTION_WINDOW_S = 1.0
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


class Ticket(typing.NamedTuple):
    """Identify an admitted request until its release."""

    caller: str
    priority: str


class AdmissionController:
    """Share a service's concurrency limit among priorities and callers."""

    def __init__(self) -> None:
        self._released = threading.Condition()
        self._in_flight = 0
        self._by_priority: collections.Counter[str] = collections.Counter()
        self._by_caller: collections.Counter[str] = collections.Counter()
        self._refused_at: dict[str, float] = {}
        self._caller_last_seen: dict[str, float] = {}

    @property
    def in_flight(self) -> int:
        """Return the number of admitted requests that have not ended."""
        return self._in_flight

    def admit(
        self,
        settings: tree_schema.NodeSettings,
        caller: str,
        limit: float,
        expected_s: float,
        deadline: float,
    ) -> Ticket | verdicts.Refusal:
        """Return a ticket, or a refusal that says when to retry.

        The deadline is monotonic time.
        """
        now = time.monotonic()
        priority = settings['priority']
        with self._released:
            self._caller_last_seen[caller] = now
            if now + expected_s > deadline:
                return _refusal('deadline_too_short', expected_s)
            if not self._has_capacity(priority, limit, now):
                self._refused_at[priority] = now
                return _refusal('no_capacity', expected_s)
            if self._exceeds_share(
                caller, settings['caller_share'], limit, now
            ):
                return _refusal('caller_share', expected_s)
            ticket = Ticket(caller, priority)
            self._in_flight += 1
            self._by_priority[priority] += 1
            self._by_caller[caller] += 1
            return ticket

    def release(self, ticket: Ticket) -> None:
        """Release the capacity of an admitted request."""
        with self._released:
            self._in_flight -= 1
            self._by_priority[ticket.priority] -= 1
            self._by_caller[ticket.caller] -= 1
            if not self._by_caller[ticket.caller]:
                del self._by_caller[ticket.caller]
            self._released.notify()

    def wait_for_release(self, timeout_s: float) -> None:
        """Wait until a request is released or the time-out expires."""
        with self._released:
            self._released.wait(timeout_s)

    def _has_capacity(self, priority: str, limit: float, now: float) -> bool:
        # Even with a limit below 1, one request is admitted at any priority.
        limit = max(1.0, limit)
        own = self._by_priority[priority]
        reserved = max(1.0, limit * RESERVED_SHARE)
        if priority != 'high' and own < reserved:
            return self._in_flight < limit
        share = PRIORITY_SHARES[priority]
        if priority == 'high' and self._recently_refused('ordinary', now):
            return own < limit - reserved and self._in_flight < limit
        return self._in_flight < max(1.0, limit * share)

    def _recently_refused(self, priority: str, now: float) -> bool:
        refused_at = self._refused_at.get(priority)
        return (
            refused_at is not None and now - refused_at < CONTENTION_WINDOW_S
        )

    def _exceeds_share(
        self, caller: str, share: float, limit: float, now: float
    ) -> bool:
        if self._by_caller[caller] < max(1.0, limit * share):
            return False
        recent = [
            name
            for name, seen_at in self._caller_last_seen.items()
            if now - seen_at < CONTENTION_WINDOW_S
        ]
        if len(self._caller_last_seen) > 2 * len(recent) + 16:
            self._caller_last_seen = {
                name: self._caller_last_seen[name] for name in recent
            }
        return len(recent) > 1


def _refusal(code: str, expected_s: float) -> verdicts.Refusal:
    retry_after_s = min(max(expected_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
    messages = {
        'deadline_too_short': 'the deadline is nearer than the expected time',
        'no_capacity': 'the service is at its concurrency limit',
        'caller_share': 'the caller is at its share of the service',
    }
    return verdicts.unavailable(code, messages[code], retry_after_s)
