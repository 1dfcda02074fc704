"""Join the other instances and keep the member table in step."""

import random
import threading

import structlog

from .. import metrics as metrics_module
from ..peers import client as peer_client

from . import gossip
from . import instance_list
from . import table as table_module

LIST_POLL_S = 1.0
EXCHANGE_S = 5.0
MAX_JOIN_SEEDS = 5

LOG = structlog.get_logger(__name__)

State = table_module.State


class Joiner:
    """Seed the gossip from the instance list and swap whole tables."""

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
        self._listed = listed
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._joined = threading.Event()
        self._stopping = threading.Event()

    @property
    def joined(self) -> bool:
        """Tell whether the listed instances have been asked once."""
        return self._joined.is_set()

    def start(self) -> None:
        """Start the task that joins and stays in step."""
        threading.Thread(target=self._run, name='joiner', daemon=True).start()

    def stop(self) -> None:
        """Ask the task to end."""
        self._stopping.set()

    def _run(self) -> None:
        rounds_between = round(EXCHANGE_S / LIST_POLL_S)
        rounds = 0
        while not self._stopping.is_set():
            seeds = self._read_seeds()
            if seeds is not None and not self.joined:
                self._join(seeds)
            elif rounds % rounds_between == 0:
                self._exchange_with_one()
            rounds += 1
            self._stopping.wait(LIST_POLL_S)

    def _read_seeds(self) -> list[gossip.Address] | None:
        try:
            listed = self._listed.instances(instance_list.ENTRY_SERVICE)
        except instance_list.ListError:
            self._metrics.count('members.list_errors')
            return None
        own = self._table.own
        seeds = [
            gossip.Address(item.address, item.peer_port)
            for item in listed
            if item.instance != own.instance and not item.leaving
        ]
        self._gossip.set_seeds(seeds)
        return seeds

    def _join(self, seeds: list[gossip.Address]) -> None:
        self._rng.shuffle(seeds)
        answered = sum(map(self._exchange, seeds[:MAX_JOIN_SEEDS]))
        self._gossip.announce()
        self._joined.set()
        LOG.info('joined', seeds=len(seeds), answered=answered)

    def _exchange_with_one(self) -> None:
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
