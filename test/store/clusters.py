"""Provide instances in one process that load from one log."""

import collections.abc
import threading
import typing

from baobabpond.gen.peer import LogRelay
from baobabpond.members import entries
from baobabpond.members import roster
from baobabpond import metrics
from baobabpond.peers import pool as pool_module
from baobabpond.ports import log as log_port
from baobabpond.store import first_load
from baobabpond.store import follower as follower_module
from baobabpond.store import handler
from baobabpond.store import relay

TOPIC = 'keyed.t'
PEER_PORT = 7300
T = typing.TypeVar('T')


def rank(name: str, cores: float = 0.0) -> tuple[float, int]:
    """Return the numbers by which instances are ordered in the tree."""
    return -cores, entries.rendezvous_rank(TOPIC, name)


class Network:
    """Pass calls between the instances in this process."""

    def __init__(self) -> None:
        self.handlers: dict[pool_module.Address, LogRelay.Iface] = {}
        self.data_centres: dict[pool_module.Address, str] = {}
        # Calls that an instance still serves before it is disconnected.
        self.calls_left: dict[pool_module.Address, int] = {}
        # Data centres of caller and callee of each call.
        self.calls: list[tuple[str, str]] = []
        self.addresses_called: list[pool_module.Address] = []

    def pass_call(
        self,
        data_centre: str,
        address: pool_module.Address,
        invoke: collections.abc.Callable[[LogRelay.Iface], T],
    ) -> T:
        """Call an instance, unless it was disconnected."""
        self.calls.append((data_centre, self.data_centres[address]))
        self.addresses_called.append(address)
        if address in self.calls_left:
            self.calls_left[address] -= 1
            if self.calls_left[address] < 0:
                raise pool_module.PeerError('connection reset')
        return invoke(self.handlers[address])


class LocalPool:
    """Call other instances for one in a data centre."""

    def __init__(self, network: Network, data_centre: str) -> None:
        self._network = network
        self._data_centre = data_centre

    def call(
        self,
        address: pool_module.Address,
        timeout_ms: int,
        invoke: collections.abc.Callable[[LogRelay.Iface], T],
        propagated: tuple[type[Exception], ...] = (),
    ) -> T:
        """Call an instance."""
        return self._network.pass_call(self._data_centre, address, invoke)

    def close_idle(self, address: pool_module.Address) -> None:
        """Do nothing: there are no connections."""


class Cluster:
    """Instances that know one another and load from one log."""

    def __init__(
        self,
        log: log_port.Log,
        instances: int,
        data_centres: tuple[str, ...] = ('dc',),
    ) -> None:
        self.log = log
        self.network = Network()
        self.received: list[list[log_port.Record]] = []
        # Loads begin once this is set, as it is unless a test clears it.
        self.may_load = threading.Event()
        self.may_load.set()
        self.loads: dict[str, first_load.FirstLoad] = {}
        self.followers: dict[str, follower_module.Follower] = {}
        self._members: list[roster.Member] = []
        for number in range(instances):
            self.add(
                f'edge-{number}', data_centres[number % len(data_centres)]
            )

    @property
    def order(self) -> list[str]:
        """Return the names of the instances in the order of the tree."""
        cores = {member.instance: member.cores for member in self._members}
        return sorted(cores, key=lambda name: rank(name, cores[name]))

    def add(
        self, name: str, data_centre: str = 'dc', cores: float = 0.0
    ) -> follower_module.Follower:
        """Add an instance, which the others know."""
        own = roster.Member(
            name, '', f'{name}:{PEER_PORT}', data_centre, False, cores
        )
        self._members.append(own)
        instance_log = relay.FailoverLog(self.log, metrics.Metrics())
        load = first_load.FirstLoad(
            TOPIC,
            0,
            name,
            data_centre,
            lambda: self._peers_of(own),
            metrics.Metrics(),
            typing.cast(
                pool_module.ClientPool, LocalPool(self.network, data_centre)
            ),
            cores,
        )
        self.loads[name] = load
        self.network.data_centres[own.peer_address] = data_centre
        self.network.handlers[own.peer_address] = handler.RelayHandler(
            self.log, instance_log, metrics.Metrics(), [load]
        )
        self.followers[name] = follower_module.Follower(
            instance_log,
            TOPIC,
            0,
            lambda records, _: self.received.append(records),
            metrics.Metrics(),
            first_load=load,
        )
        return self.followers[name]

    def _peers_of(self, own: roster.Member) -> list[roster.Member]:
        self.may_load.wait()
        return [peer for peer in self._members if peer != own]

    def disconnect(self, name: str, after_calls: int = 0) -> None:
        """Refuse the calls to an instance, but for the next ones."""
        self.network.calls_left[name, PEER_PORT] = after_calls

    def reconnect(self, name: str) -> None:
        """Serve the calls to an instance again."""
        del self.network.calls_left[name, PEER_PORT]
