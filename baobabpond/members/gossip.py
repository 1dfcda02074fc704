"""Detect failures and disseminate member updates over UDP (SWIM)."""

import collections
import itertools
import math
import random
import socket
import threading
import time
import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from .. import metrics as metrics_module
from ..gen.peer import ttypes

from . import table as table_module

PROBE_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 0.25
INDIRECT_TIMEOUT_S = 0.4
INDIRECT_PROBES = 3
RUMOURS_PER_MESSAGE = 6
RETRANSMIT_MULTIPLIER = 3
MAX_DATAGRAM_BYTES = 4096
RECEIVE_TIMEOUT_S = 0.5
MAX_RELAYED_PROBES = 1000

Kind = ttypes.GossipKind
State = ttypes.MemberState


class Address(typing.NamedTuple):
    """An IP address and a port."""

    host: str
    port: int


class RelayedProbe(typing.NamedTuple):
    """The requester of an indirect probe, and its sequence number."""

    origin: Address
    sequence: int


class RumourQueue:
    """Queue member updates; those sent least often come first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._rumours: dict[str, ttypes.Member] = {}
        self._remaining: collections.Counter[str] = collections.Counter()

    def add(self, member: ttypes.Member, cluster_size: int) -> None:
        """Queue an update for a number of sends proportional to log n."""
        sends = RETRANSMIT_MULTIPLIER * math.ceil(math.log2(cluster_size + 1))
        with self._lock:
            self._rumours[member.instance] = member
            self._remaining[member.instance] = sends

    def next_rumours(self) -> list[ttypes.Member]:
        """Return the updates to piggyback on one message."""
        with self._lock:
            chosen = self._remaining.most_common(RUMOURS_PER_MESSAGE)
            taken = [self._rumours[name] for name, _ in chosen]
            for name, remaining in chosen:
                if remaining <= 1:
                    del self._remaining[name]
                    del self._rumours[name]
                else:
                    self._remaining[name] = remaining - 1
            return taken


class Gossip:
    """Probe other instances in turn and answer their probes."""

    def __init__(
        self,
        table: table_module.MemberTable,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._metrics = metrics
        self._rng = rng
        self._rumours = RumourQueue()
        self._sequences = itertools.count(1)
        self._acked: set[int] = set()
        self._ack_arrived = threading.Condition()
        self._relayed: collections.OrderedDict[int, RelayedProbe] = (
            collections.OrderedDict()
        )
        self._seeds: list[Address] = []
        self._targets: list[str] = []
        self._stopping = threading.Event()
        own = table.own
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((own.address, own.peer_port))
        self._socket.settimeout(RECEIVE_TIMEOUT_S)
        table.subscribe(self._queue_rumour)

    def start(self) -> None:
        """Start the receiving thread and the probing thread."""
        for name, target in (
            ('gossip-receiver', self._receive),
            ('gossip-prober', self._probe_all),
        ):
            threading.Thread(target=target, name=name, daemon=True).start()

    def stop(self) -> None:
        """Ask the threads to end."""
        self._stopping.set()

    def set_seeds(self, seeds: list[Address]) -> None:
        """Replace the seed addresses from the instance list."""
        self._seeds = seeds

    def announce(self) -> None:
        """Ping all live members, so that they learn of this process."""
        for member in self._table.others(State.ALIVE, State.LEAVING):
            self._send(Kind.PING, next(self._sequences), _address(member))

    def _queue_rumour(self, member: ttypes.Member) -> None:
        self._rumours.add(member, len(self._table.members()))

    def _probe_all(self) -> None:
        while not self._stopping.is_set():
            started = time.monotonic()
            self._probe_next()
            self._table.expire()
            self._probe_unreached_address()
            elapsed_s = time.monotonic() - started
            self._stopping.wait(max(0.0, PROBE_INTERVAL_S - elapsed_s))

    def _probe_next(self) -> None:
        target = self._next_target()
        if target is None:
            return
        sequence = next(self._sequences)
        self._send(Kind.PING, sequence, _address(target))
        if self._await_ack(sequence, ACK_TIMEOUT_S):
            return
        helpers = self._table.others(State.ALIVE)
        helpers = [h for h in helpers if h.instance != target.instance]
        self._rng.shuffle(helpers)
        for helper in helpers[:INDIRECT_PROBES]:
            self._send(
                Kind.PING_REQUEST, sequence, _address(helper), target.instance
            )
        if not self._await_ack(sequence, INDIRECT_TIMEOUT_S):
            self._table.suspect(target.instance)

    def _next_target(self) -> ttypes.Member | None:
        live = {
            member.instance: member
            for member in self._table.others(
                State.ALIVE, State.LEAVING, State.SUSPECT
            )
        }
        while live:
            if not self._targets:
                self._targets = list(live)
                self._rng.shuffle(self._targets)
            name = self._targets.pop()
            if name in live:
                return live[name]
        return None

    def _probe_unreached_address(self) -> None:
        """Ping a seed or dead address not known alive, to heal partitions."""
        known = {
            _address(member)
            for member in self._table.others(State.ALIVE, State.LEAVING)
        }
        known.add(_address(self._table.own))
        candidates = {
            _address(member) for member in self._table.others(State.DEAD)
        }
        candidates.update(self._seeds)
        candidates -= known
        if candidates:
            address = self._rng.choice(sorted(candidates))
            self._send(Kind.PING, next(self._sequences), address)

    def _await_ack(self, sequence: int, timeout_s: float) -> bool:
        with self._ack_arrived:
            arrived = self._ack_arrived.wait_for(
                lambda: sequence in self._acked, timeout_s
            )
            self._acked.discard(sequence)
            return arrived

    def _receive(self) -> None:
        while not self._stopping.is_set():
            try:
                data, host_port = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except TimeoutError:
                continue
            except OSError:
                self._metrics.count('gossip.receive_errors')
                continue
            message = decode(data)
            if message is None:
                self._metrics.count('gossip.bad_datagrams')
                continue
            self._metrics.count('gossip.bytes_received', len(data))
            self._handle(message, Address(*host_port))

    def _handle(self, message: ttypes.GossipMessage, source: Address) -> None:
        self._table.merge(message.sender)
        for rumour in message.rumours:
            self._table.merge(rumour)
        if message.kind == Kind.PING:
            self._send(
                Kind.ACK,
                message.sequence,
                source,
                extra=self._suspicion_about(message.sender),
            )
        elif message.kind == Kind.ACK:
            self._handle_ack(message.sequence)
        elif message.kind == Kind.PING_REQUEST:
            self._relay_probe(message, source)

    def _suspicion_about(self, sender: ttypes.Member) -> list[ttypes.Member]:
        """Return the suspicion that the sender must learn of to refute it."""
        entry = self._table.get(sender.instance)
        if entry is None or entry.state not in (State.SUSPECT, State.DEAD):
            return []
        return [entry]

    def _handle_ack(self, sequence: int) -> None:
        relayed = self._relayed.pop(sequence, None)
        if relayed is not None:
            self._send(Kind.ACK, relayed.sequence, relayed.origin)
            return
        with self._ack_arrived:
            self._acked.add(sequence)
            self._ack_arrived.notify_all()

    def _relay_probe(
        self, message: ttypes.GossipMessage, source: Address
    ) -> None:
        target = self._table.get(message.target or '')
        if target is None:
            return
        sequence = next(self._sequences)
        self._relayed[sequence] = RelayedProbe(source, message.sequence)
        while len(self._relayed) > MAX_RELAYED_PROBES:
            self._relayed.popitem(last=False)
        self._send(Kind.PING, sequence, _address(target))

    def _send(
        self,
        kind: int,
        sequence: int,
        address: Address,
        target: str | None = None,
        extra: list[ttypes.Member] | None = None,
    ) -> None:
        message = ttypes.GossipMessage(
            kind=kind,
            sequence=sequence,
            sender=self._table.own,
            target=target,
            rumours=(extra or []) + self._rumours.next_rumours(),
        )
        data = encode(message)
        try:
            self._socket.sendto(data, address)
        except OSError:
            self._metrics.count('gossip.send_errors')
            return
        self._metrics.count('gossip.messages_sent')
        self._metrics.count('gossip.bytes_sent', len(data))


def _address(member: ttypes.Member) -> Address:
    return Address(member.address, member.peer_port)


def encode(message: ttypes.GossipMessage) -> bytes:
    """Serialise a message to a datagram."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocol(buffer))
    return buffer.getvalue()


def decode(data: bytes) -> ttypes.GossipMessage | None:
    """Return the message in a datagram, None if it is malformed."""
    buffer = TTransport.TMemoryBuffer(data)
    message = ttypes.GossipMessage()
    try:
        message.read(TCompactProtocol.TCompactProtocol(buffer))
        message.validate()
        message.sender.validate()
    except Exception:
        # Any host can send a datagram; the decoder raises many types.
        return None
    return message
