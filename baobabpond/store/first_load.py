"""Load a first snapshot from instances that start at the same time.

The instances form a tree, those with more processor cores above, in rendezvous
order. Its root reads the snapshot from the log, and each of the others reads
it, page by page, from its parent, which is in the same data centre for all but
one instance of each. Pages pass slowly through a small instance; those below
it would give up waiting and exhaust the read rate of the log.
"""

import collections.abc
import enum
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen.peer import LogRelay
from ..gen.peer import ttypes
from ..members import entries
from ..members import roster
from ..peers import pool as pool_module
from ..ports import log as log_port

from . import codec
from . import snapshots

# Children of an instance in the tree.
FAN_OUT = 2
# Instances asked besides the ancestors in the tree.
MAX_OTHERS = 4
CONNECT_TIMEOUT_MS = 300
# Long-poll wait for a page, and the time added to it for the transfer.
PAGE_WAIT_MS = 500
PAGE_MARGIN_MS = 1000
# Without a new page for this long an instance reads from the log itself.
MAX_WAIT_S = 1.5
# Added for each level of the tree: the upper levels read from the log first,
# and the others from them.
LEVEL_WAIT_S = 0.3
# Processes that are started together may be reachable this much later.
START_SPREAD_S = 0.4
RETRY_S = 0.05
# Wait for the list of instances.
MAX_PEERS_WAIT_S = 1.0
PEERS_POLL_INTERVAL_S = 0.02

LOG = structlog.get_logger(__name__)


class Outcome(enum.Enum):
    """State how the attempt to load from a peer ended."""

    COMPLETE = 'complete'
    # No new page came in time.
    OVERDUE = 'overdue'
    # The peer has no pages, or none that continue the load.
    DROPPED = 'dropped'
    UNREACHABLE = 'unreachable'


class Position(typing.NamedTuple):
    """The place of an instance in the tree."""

    depth: int
    # The instances to ask, in this order.
    candidates: list[roster.Member]


class FirstLoad:
    """Read the first snapshot of a partition from peers, and share it."""

    def __init__(
        self,
        topic: str,
        partition: int,
        instance: str,
        data_centre: str,
        peers: collections.abc.Callable[[], list[roster.Member] | None],
        metrics: metrics_module.Metrics,
        pool: pool_module.ClientPool[LogRelay.Client] | None = None,
        cores: float = 0.0,
    ) -> None:
        self._cores = cores
        self._topic = topic
        self._partition = partition
        self._instance = instance
        self._data_centre = data_centre
        self._peers = peers
        self._metrics = metrics
        self._pool = pool or pool_module.ClientPool(
            LogRelay.Client, CONNECT_TIMEOUT_MS
        )
        self._shared = snapshots.SharedSnapshot()
        self._has_run = False
        self._last_page_at = float('-inf')
        # Retries of unreachable peers are counted, but not logged.
        self._unreachable: set[str] = set()

    @property
    def topic(self) -> str:
        """Return the topic of the partition."""
        return self._topic

    @property
    def partition(self) -> int:
        """Return the partition."""
        return self._partition

    @property
    def shared(self) -> snapshots.SharedSnapshot:
        """Return the pages for other instances."""
        return self._shared

    def run(self, load: snapshots.SnapshotLoad) -> bool:
        """Add pages that peers hold; return whether the load is complete.

        Only the first call asks peers: a load that failed continues on the
        log, and a reload needs more recent pages than peers hold.
        """
        if self._has_run:
            return False
        self._has_run = True
        position = self._find_position()
        LOG.info(
            'loading the first snapshot',
            topic=self._topic,
            partition=self._partition,
            depth=position.depth,
            candidates=[peer.instance for peer in position.candidates],
        )
        return self._read_from_candidates(load, position)

    def add(self, after: str, page: log_port.NewestPage) -> None:
        """Share a page that was read from the log."""
        self._shared.add(after, page)

    def _read_from_candidates(
        self, load: snapshots.SnapshotLoad, position: Position
    ) -> bool:
        level_wait_s = position.depth * LEVEL_WAIT_S
        retry_until = time.monotonic() + START_SPREAD_S + level_wait_s
        self._last_page_at = time.monotonic()
        candidates = list(position.candidates)
        is_common_start = True
        while candidates:
            for peer in list(candidates):
                outcome = self._read_from(
                    peer, load, MAX_WAIT_S + level_wait_s
                )
                if outcome is Outcome.COMPLETE:
                    return True
                if outcome is Outcome.OVERDUE:
                    return False
                if outcome is Outcome.DROPPED:
                    candidates.remove(peer)
                    is_common_start = False
            if not is_common_start or time.monotonic() > retry_until:
                return False
            time.sleep(RETRY_S)
        return False

    def _read_from(
        self,
        peer: roster.Member,
        load: snapshots.SnapshotLoad,
        max_wait_s: float,
    ) -> Outcome:
        """Read pages from a peer until the last one, or until it has none."""
        started = time.monotonic()
        page_count = 0
        outcome = None
        while outcome is None:
            if time.monotonic() - self._last_page_at > max_wait_s:
                outcome = Outcome.OVERDUE
                break
            try:
                page = self._fetch(peer, load.last_key)
            except ttypes.LogUnavailable:
                continue
            except ttypes.LogExpired:
                outcome = Outcome.DROPPED
            except pool_module.PeerError:
                outcome = Outcome.UNREACHABLE
            else:
                page_count += 1
                outcome = self._add_from_peer(load, page)
        self._pool.close_idle(peer.peer_address)
        took_s = time.monotonic() - started
        self._record_outcome(peer, outcome, page_count, took_s)
        return outcome

    def _record_outcome(
        self,
        peer: roster.Member,
        outcome: Outcome,
        page_count: int,
        took_s: float,
    ) -> None:
        self._metrics.count(f'log.peer_loads.{outcome.value}')
        if outcome is Outcome.UNREACHABLE:
            if peer.instance in self._unreachable:
                return
            self._unreachable.add(peer.instance)
        LOG.info(
            'asked a peer for the first snapshot',
            topic=self._topic,
            partition=self._partition,
            peer=peer.instance,
            outcome=outcome.value,
            pages=page_count,
            took_s=round(took_s, 3),
        )

    def _fetch(self, peer: roster.Member, after: str) -> log_port.NewestPage:
        page = self._pool.call(
            peer.peer_address,
            PAGE_WAIT_MS + PAGE_MARGIN_MS,
            lambda client: client.snapshot(
                self._topic, self._partition, after, PAGE_WAIT_MS
            ),
            (ttypes.LogUnavailable, ttypes.LogExpired),
        )
        return log_port.NewestPage(
            page.end, codec.decode_records(page.records), page.has_more
        )

    def _add_from_peer(
        self, load: snapshots.SnapshotLoad, page: log_port.NewestPage
    ) -> Outcome | None:
        """Add a page; return the outcome, None if more pages follow."""
        if not load.accepts(page):
            return Outcome.DROPPED
        self._last_page_at = time.monotonic()
        self._shared.add(load.last_key, page)
        load.add(page)
        load.pages_from_peers += 1
        return Outcome.COMPLETE if page.is_last else None

    def _find_position(self) -> Position:
        peers = {peer.instance: peer for peer in self._wait_for_peers()}
        centres = {name: peer.data_centre for name, peer in peers.items()}
        centres[self._instance] = self._data_centre
        cores = {name: peer.cores for name, peer in peers.items()}
        cores[self._instance] = self._cores
        order = sorted(
            centres,
            key=lambda name: (
                -cores[name],
                entries.rendezvous_rank(self._topic, name),
            ),
        )
        ancestors = self._ancestors(order, centres)
        earlier = order[: order.index(self._instance)]
        others = [name for name in earlier if name not in ancestors]
        return Position(
            len(ancestors),
            [peers[name] for name in ancestors + others[:MAX_OTHERS]],
        )

    def _ancestors(
        self, order: list[str], centres: dict[str, str]
    ) -> list[str]:
        """Return the instances above this one, from its parent to the root.

        The first instance of each data centre is the root of a tree of the
        data centre; these roots form a tree too.
        """
        local = [name for name in order if centres[name] == self._data_centre]
        roots: dict[str, str] = {}
        for name in order:
            roots.setdefault(centres[name], name)
        return _path_to_root(local, self._instance) + _path_to_root(
            list(roots.values()), local[0]
        )

    def _wait_for_peers(self) -> list[roster.Member]:
        deadline = time.monotonic() + MAX_PEERS_WAIT_S
        while time.monotonic() < deadline:
            peers = self._peers()
            if peers is not None:
                return peers
            time.sleep(PEERS_POLL_INTERVAL_S)
        return []


def _path_to_root(order: list[str], name: str) -> list[str]:
    """Return the names above one in a tree that is filled in an order."""
    rank = order.index(name)
    path = []
    while rank > 0:
        rank = (rank - 1) // FAN_OUT
        path.append(order[rank])
    return path
