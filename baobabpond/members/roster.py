"""List the live instances by heartbeats on the platform's log."""

import json
import threading
import time
import typing

import structlog

from ..ports import log as log_port

TOPIC = 'keyed.members'
PARTITION = 0
HEARTBEAT_S = 0.4
# Silence after which callers are sent elsewhere; each caller that still
# connects to a lost instance waits for nothing.
GONE_S = 1.3
LOG = structlog.get_logger(__name__)


class Member(typing.NamedTuple):
    """Describe an instance."""

    instance: str
    # Where callers connect.
    callers_listen: str
    # Where other instances connect.
    peer_listen: str
    data_centre: str
    leaving: bool


class Seen(typing.NamedTuple):
    """Hold a member with the time of its last heartbeat."""

    member: Member
    seen_at: float


class Roster:
    """Fold heartbeats, and send this instance's own."""

    def __init__(
        self,
        own: Member,
        log: log_port.Log,
        silence_s: typing.Callable[[float], float],
    ) -> None:
        self._own = own
        self._log = log
        # Tells for how long nothing was on the log since a moment.
        self._silence_s = silence_s
        self._lock = threading.Lock()
        self._seen: dict[str, Seen] = {}
        self._may_announce = threading.Event()
        self._changed = threading.Event()

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Take heartbeats in the order of their offsets."""
        now = time.monotonic()
        with self._lock:
            if is_snapshot:
                self._seen.clear()
            for record in new_records:
                if not record.value:
                    self._seen.pop(record.key, None)
                    continue
                try:
                    member = Member(**json.loads(record.value))
                except (ValueError, TypeError) as error:
                    LOG.error(
                        'heartbeat cannot be read; it is passed over',
                        key=record.key,
                        error=repr(error),
                    )
                    continue
                if record.key not in self._seen:
                    LOG.info('instance seen', member=record.key)
                self._seen[record.key] = Seen(member, now)

    def start(self) -> None:
        """Send heartbeats in a task of its own."""
        threading.Thread(target=self._run, name='roster', daemon=True).start()

    def announce(self) -> None:
        """List this instance from now on."""
        self._may_announce.set()

    def leave(self) -> None:
        """Tell the others that this instance leaves."""
        self._own = self._own._replace(leaving=True)
        self._changed.set()

    def usable(self) -> list[Member]:
        """Return the live members that are not leaving, the nearest first."""
        with self._lock:
            for name, seen in list(self._seen.items()):
                # While the log is away nobody's heartbeats come.
                if self._silence_s(seen.seen_at) > GONE_S:
                    LOG.info('instance silent', member=name)
                    del self._seen[name]
            members = [
                seen.member
                for name, seen in self._seen.items()
                if name != self._own.instance
            ]
        if self._may_announce.is_set():
            # Whatever became of its heartbeats, this instance is here.
            members.append(self._own)
        own_centre = self._own.data_centre
        return sorted(
            (member for member in members if not member.leaving),
            key=lambda m: (m.data_centre != own_centre, m.instance),
        )

    def peers(self) -> list[Member]:
        """Return the live members but this one."""
        own = self._own.instance
        return [m for m in self.usable() if m.instance != own]

    def _run(self) -> None:
        self._may_announce.wait()
        while True:
            own = self._own
            record = log_port.Record(
                own.instance, json.dumps(own._asdict()).encode()
            )
            answer = self._log.append(TOPIC, PARTITION, [record])
            if answer.outcome is not log_port.AppendOutcome.DONE:
                LOG.debug('heartbeat not kept', outcome=answer.outcome.value)
            if self._changed.wait(HEARTBEAT_S):
                self._changed.clear()
