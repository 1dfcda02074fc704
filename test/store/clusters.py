"""Provide instances in one process that load from one log."""

import collections.abc
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


def rank(name: str) -> int:
    """Return the number by which instances are ordered in the tree."""
    return entries.rendezvous_rank(TOPIC, name)


class LocalPool:
    """Call the handlers of instances in this process."""

    def __init__(self) -> None:
        self.handlers: dict[pool_module.Address, LogRelay.Iface] = {}
        self.call_count = 0
        # Calls that an instance still serves before it is disconnected.
        self.calls_left: dict[pool_module.Address, int] = {}

    def call(
        self,
        address: pool_module.Address,
        timeout_ms: int,
        invoke: collections.abc.Callable[[LogRelay.Iface], T],
        propagated: tuple[type[Exception], ...] = (),
    ) -> T:
        """Call an instance, unless it was disconnected."""
        self.call_count += 1
        if address in self.calls_left:
            self.calls_left[address] -= 1
            if self.calls_left[address] < 0:
                raise pool_module.PeerError('connection reset')
        return invoke(self.handlers[address])

    def close_idle(self, address: pool_module.Address) -> None:
        """Do nothing: there are no connections."""


class Cluster:
    """Instances that know one another and load from one log."""

    def __init__(self, log: log_port.Log, instances: int) -> None:
        self.log = log
        self.pool = LocalPool()
        self.received: list[list[log_port.Record]] = []
        self.loads: dict[str, first_load.FirstLoad] = {}
        self.followers: dict[str, follower_module.Follower] = {}
        self._members: list[roster.Member] = []
        for number in range(instances):
            self.add(f'edge-{number}')

    @property
    def order(self) -> list[str]:
        """Return the names of the instances in the order of the tree."""
        return sorted(self.followers, key=rank)

    def add(self, name: str) -> follower_module.Follower:
        """Add an instance, which the others know."""
        own = roster.Member(name, '', f'{name}:{PEER_PORT}', 'dc', False)
        self._members.append(own)
        instance_log = relay.FailoverLog(self.log, metrics.Metrics())
        load = first_load.FirstLoad(
            TOPIC,
            0,
            name,
            lambda: [peer for peer in self._members if peer != own],
            metrics.Metrics(),
            typing.cast(pool_module.ClientPool, self.pool),
        )
        self.loads[name] = load
        self.pool.handlers[own.peer_address] = handler.RelayHandler(
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

    def disconnect(self, name: str, after_calls: int = 0) -> None:
        """Refuse the calls to an instance, but for the next ones."""
        self.pool.calls_left[name, PEER_PORT] = after_calls

    def reconnect(self, name: str) -> None:
        """Serve the calls to an instance again."""
        del self.pool.calls_left[name, PEER_PORT]
