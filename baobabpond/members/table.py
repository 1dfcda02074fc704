"""Merge gossiped member updates into one table."""

import collections.abc
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen.peer import ttypes

SUSPECT_TIMEOUT_S = 2.0
DEAD_RETENTION_S = 120.0

LOG = structlog.get_logger(__name__)

State = ttypes.MemberState
STATE_PRECEDENCE = {
    State.ALIVE: 0,
    State.LEAVING: 1,
    State.SUSPECT: 2,
    State.DEAD: 3,
}


class Row(typing.NamedTuple):
    """A member and the monotonic time of its last change of state."""

    member: ttypes.Member
    changed_at: float


def state_name(state: int) -> str:
    """Return the name of a state as operators see it."""
    return State._VALUES_TO_NAMES[state].lower()


def precedence(member: ttypes.Member) -> tuple[int, int, int, int]:
    """Return the sort key by which updates of one member override."""
    return (
        member.started_us,
        member.incarnation,
        STATE_PRECEDENCE[member.state],
        member.settings_revision,
    )


def copy(member: ttypes.Member, **changes: typing.Any) -> ttypes.Member:
    """Return a copy of a member with some fields changed."""
    fields = dict(vars(member))
    fields.update(changes)
    return ttypes.Member(**fields)


class MemberTable:
    """The newest update of each member, including this process."""

    def __init__(
        self, own: ttypes.Member, metrics: metrics_module.Metrics
    ) -> None:
        self._lock = threading.RLock()
        self._own = own
        self._metrics = metrics
        self._rows = {own.instance: Row(own, time.monotonic())}
        self._listeners: list[
            collections.abc.Callable[[ttypes.Member], None]
        ] = []

    @property
    def own(self) -> ttypes.Member:
        """Return this process's own entry."""
        return self._own

    def subscribe(
        self, listener: collections.abc.Callable[[ttypes.Member], None]
    ) -> None:
        """Call a listener with each changed member."""
        self._listeners.append(listener)

    def members(self) -> list[ttypes.Member]:
        """Return all members, dead ones included."""
        with self._lock:
            return [row.member for row in self._rows.values()]

    def get(self, instance: str) -> ttypes.Member | None:
        """Return a member by its name."""
        with self._lock:
            row = self._rows.get(instance)
            return None if row is None else row.member

    def others(self, *states: int) -> list[ttypes.Member]:
        """Return the other members in some states."""
        return [
            member
            for member in self.members()
            if member.instance != self._own.instance and member.state in states
        ]

    def serving(self) -> list[ttypes.Member]:
        """Return the members that accept new requests."""
        return [m for m in self.members() if m.state == State.ALIVE]

    def is_lost(self, instance: str, started_us: int) -> bool:
        """Return whether a process is dead, replaced or unknown."""
        member = self.get(instance)
        if member is None or member.started_us > started_us:
            return True
        return member.started_us == started_us and member.state == State.DEAD

    def update_own(self, **changes: typing.Any) -> None:
        """Change this process's own entry and notify listeners."""
        with self._lock:
            self._own = copy(self._own, **changes)
            self._store(self._own)
        self._notify(self._own)

    def merge(self, member: ttypes.Member) -> bool:
        """Apply an update; return whether it changed the table."""
        with self._lock:
            if member.instance == self._own.instance:
                return self._refute(member)
            row = self._rows.get(member.instance)
            if row is not None and precedence(member) <= precedence(
                row.member
            ):
                return False
            # An expired dead member must not reappear through stale gossip.
            if row is None and member.state == State.DEAD:
                return False
            self._store(member)
        self._notify(member)
        return True

    def suspect(self, instance: str) -> None:
        """Mark a member suspect after a failed probe."""
        member = self.get(instance)
        if (
            member is not None
            and STATE_PRECEDENCE[member.state]
            < STATE_PRECEDENCE[State.SUSPECT]
        ):
            self._metrics.count('members.suspected')
            self.merge(copy(member, state=State.SUSPECT))

    def expire(self) -> None:
        """Declare timed-out suspects dead and remove expired dead members."""
        now = time.monotonic()
        with self._lock:
            rows = list(self._rows.values())
        for member, changed_at in rows:
            age_s = now - changed_at
            if member.state == State.SUSPECT and age_s > SUSPECT_TIMEOUT_S:
                self._metrics.count('members.died')
                self.merge(copy(member, state=State.DEAD))
            elif member.state == State.DEAD and age_s > DEAD_RETENTION_S:
                with self._lock:
                    self._rows.pop(member.instance, None)

    def _refute(self, member: ttypes.Member) -> bool:
        is_suspected = member.state in (State.SUSPECT, State.DEAD)
        same_process = member.started_us == self._own.started_us
        if not is_suspected or not same_process:
            return False
        if member.incarnation < self._own.incarnation:
            return False
        self._own = copy(self._own, incarnation=member.incarnation + 1)
        self._store(self._own)
        self._metrics.count('members.refuted')
        self._notify(self._own)
        return True

    def _store(self, member: ttypes.Member) -> None:
        row = self._rows.get(member.instance)
        now = time.monotonic()
        if row is None or row.member.state != member.state:
            if member.instance != self._own.instance:
                LOG.info(
                    'member changed state',
                    member=member.instance,
                    state=state_name(member.state),
                )
        elif member.incarnation == row.member.incarnation:
            now = row.changed_at
        self._rows[member.instance] = Row(member, now)

    def _notify(self, member: ttypes.Member) -> None:
        for listener in self._listeners:
            listener(member)
