"""Track the live instances by heartbeats on the platform's log."""

import json
import threading
import time
import typing

import structlog

from .. import decoding
from ..ports import log as log_port

TOPIC = 'keyed.members'
PARTITION = 0
HEARTBEAT_S = 0.4
# An instance without a heartbeat for this long is no longer listed; until then
# callers that connect to a lost instance wait in vain.
HEARTBEAT_TIMEOUT_S = 1.3
LOG = structlog.get_logger(__name__)


class Member(typing.NamedTuple):
    """An instance as its heartbeats describe it."""

    instance: str
    # Address for callers.
    callers_listen: str
    # Address for other instances.
    peer_listen: str
    data_centre: str
    leaving: bool
    # Processor cores that the instance may use; 0 if it does not tell.
    cores: float = 0.0

    @property
    def peer_address(self) -> tuple[str, int]:
        """Return the address for other instances, as host and port."""
        host, port = self.peer_listen.rsplit(':', 1)
        return host, int(port)


class LastHeartbeat(typing.NamedTuple):
    """A member and the monotonic time of its last heartbeat."""

    member: Member
    received_at: float


class Roster:
    """Track heartbeats of instances and send this instance's own."""

    def __init__(
        self,
        own: Member,
        log: log_port.Log,
        silence_s: typing.Callable[[float], float],
    ) -> None:
        self._own = own
        self._log = log
        # Returns for how many seconds since a monotonic time the log is known
        # to have been silent.
        self._silence_s = silence_s
        self._lock = threading.Lock()
        self._heartbeats: dict[str, LastHeartbeat] = {}
        self._is_loaded = False
        self._may_announce = threading.Event()
        self._changed = threading.Event()

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply heartbeats in offset order."""
        now = time.monotonic()
        with self._lock:
            if is_snapshot:
                self._heartbeats.clear()
            for record in new_records:
                if not record.value:
                    self._heartbeats.pop(record.key, None)
                    continue
                try:
                    member = _decode(record.value)
                except decoding.MalformedData as error:
                    LOG.error(
                        'ignoring malformed heartbeat',
                        key=record.key,
                        error=str(error),
                    )
                    continue
                if record.key not in self._heartbeats:
                    LOG.info('instance discovered', member=record.key)
                self._heartbeats[record.key] = LastHeartbeat(member, now)
            self._is_loaded = True

    def start(self) -> None:
        """Start sending heartbeats in a background thread once announced."""
        threading.Thread(target=self._run, name='roster', daemon=True).start()

    def announce(self) -> None:
        """List this instance and send its heartbeats from now on."""
        self._may_announce.set()

    def leave(self) -> None:
        """Announce that this instance is leaving."""
        self._own = self._own._replace(leaving=True)
        self._changed.set()

    def usable(self) -> list[Member]:
        """Return live members that are not leaving, own data centre first."""
        with self._lock:
            for name, heartbeat in list(self._heartbeats.items()):
                # Silence of an unreachable log does not count.
                if (
                    self._silence_s(heartbeat.received_at)
                    > HEARTBEAT_TIMEOUT_S
                ):
                    LOG.info(
                        'no heartbeat from instance; no longer listed',
                        member=name,
                    )
                    del self._heartbeats[name]
            members = [
                heartbeat.member
                for name, heartbeat in self._heartbeats.items()
                if name != self._own.instance
            ]
        if self._may_announce.is_set():
            # This instance is alive even if its heartbeats are delayed.
            members.append(self._own)
        own_centre = self._own.data_centre
        return sorted(
            (member for member in members if not member.leaving),
            key=lambda m: (m.data_centre != own_centre, m.instance),
        )

    def peers(self) -> list[Member]:
        """Return the usable members except this instance."""
        own = self._own.instance
        return [m for m in self.usable() if m.instance != own]

    def peer_address_of(self, instance: str) -> tuple[str, int] | None:
        """Return the address of another live instance, None if unknown."""
        with self._lock:
            heartbeat = self._heartbeats.get(instance)
        return heartbeat.member.peer_address if heartbeat else None

    def known_peers(self) -> list[Member] | None:
        """Return the peers, None before the first heartbeats are read."""
        return self.peers() if self._is_loaded else None

    def peer_addresses(self) -> list[tuple[str, int]]:
        """Return the addresses of the peers for other instances."""
        return [member.peer_address for member in self.peers()]

    def _run(self) -> None:
        self._may_announce.wait()
        while True:
            own = self._own
            record = log_port.Record(own.instance, _encode(own))
            result = self._log.append(TOPIC, PARTITION, [record])
            if result.outcome is not log_port.AppendOutcome.DONE:
                LOG.debug(
                    'heartbeat append failed', outcome=result.outcome.value
                )
            if self._changed.wait(HEARTBEAT_S):
                self._changed.clear()


def _encode(member: Member) -> bytes:
    """Encode a heartbeat, without cores that are not told.

    Builds up to d3df2d6 skip heartbeats with fields that they don't know.
    """
    fields = member._asdict()
    if not member.cores:
        del fields['cores']
    return json.dumps(fields).encode()


@decoding.decoder('heartbeat')
def _decode(value: bytes) -> Member:
    """Return the member of a heartbeat; raise MalformedData."""
    fields = decoding.load_json(value)
    decoding.address(fields['peer_listen'])
    # Earlier builds don't tell their cores.
    fields.setdefault('cores', 0.0)
    return Member(**{name: fields[name] for name in Member._fields})
