"""Join the other instances and keep member tables in sync."""

import random
import threading

import structlog

from .. import metrics as metrics_module
from ..peers import client as peer_client

from . import gossip
from . import instance_list
from . import table as table_module

EXCHANGE_INTERVAL_S = 5.0
MEMBERS_AT_FULL_RATE = 16
MAX_JOIN_SEEDS = 5

LOG = structlog.get_logger(__name__)

State = table_module.State


class Joiner:
    """Seed the gossip from the instance list and sync full tables."""

    def __init__(
        self,
        table: table_module.MemberTable,
        detector: gossip.Gossip,
        listed: instance_list.InstanceList,
        peers: peer_client.PeerClients,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._gossip = detector
        self._watch = instance_list.ListWatch(
            listed,
            instance_list.ENTRY_SERVICE,
            self._on_listing,
            self._on_list_error,
        )
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._joined = threading.Event()
        self._stopping = threading.Event()

    @property
    def joined(self) -> bool:
        """Return whether the first exchange with seeds is over."""
        return self._joined.is_set()

    def start(self) -> None:
        """Start the threads that join and sync."""
        self._watch.start()
        threading.Thread(target=self._run, name='joiner', daemon=True).start()

    def stop(self) -> None:
        """Ask the threads to end."""
        self._watch.stop()
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self.exchange_interval_s()):
            self._exchange_with_random_member()

    def exchange_interval_s(self) -> float:
        """Return the seconds between two exchanges of full tables.

        It grows with the table, so that the bandwidth stays constant.
        """
        members = len(self._table.members())
        return EXCHANGE_INTERVAL_S * max(1.0, members / MEMBERS_AT_FULL_RATE)

    def _on_listing(self, listing: instance_list.Listing) -> None:
        own = self._table.own
        seeds = [
            gossip.Address(item.address, item.peer_port)
            for item in listing.instances
            if item.instance != own.instance and not item.leaving
        ]
        self._gossip.set_seeds(seeds)
        if not self.joined:
            self._join(seeds)

    def _on_list_error(self, _error: instance_list.ListError) -> None:
        self._metrics.count('members.list_errors')

    def _join(self, seeds: list[gossip.Address]) -> None:
        self._rng.shuffle(seeds)
        answered = sum(map(self._exchange, seeds[:MAX_JOIN_SEEDS]))
        self._gossip.announce()
        self._joined.set()
        LOG.info('joined', seeds=len(seeds), answered=answered)

    def _exchange_with_random_member(self) -> None:
        members = self._table.others(State.ALIVE, State.LEAVING)
        if members:
            member = self._rng.choice(members)
            self._exchange(gossip.Address(member.address, member.peer_port))

    def _exchange(self, address: gossip.Address) -> bool:
        try:
            members = self._peers.exchange_members(
                address.host, address.port, self._table.members()
            )
        except peer_client.PeerError:
            self._metrics.count('members.exchange_errors')
            return False
        for member in members:
            self._table.merge(member)
        return True
