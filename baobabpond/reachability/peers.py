"""Ask other instances which upstreams they reach, and answer them."""

import collections.abc
import concurrent.futures
import random
import time
import types
import typing

import structlog

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..gen.peer import LogRelay
from ..gen.peer import ttypes
from ..members import roster as roster_module
from ..peers import pool as pool_module
from ..ports import catalogue

from . import prober as prober_module
from . import tracker as tracker_module

CONNECT_TIMEOUT_MS = 200
# The peer connects to the upstreams first.
CALL_TIMEOUT_MS = 600
# Where a request waits for the answers.
SHORT_CALL_TIMEOUT_MS = 250
MAX_ASKED = 4
# Upstreams about which one call asks.
MAX_UPSTREAMS = 2
MS_PER_S = 1000

LOG = structlog.get_logger(__name__)


class ReachReport(typing.NamedTuple):
    """What one instance says of the upstreams it was asked about."""

    instance: str
    data_centre: str
    # Where it takes requests to pass on to upstreams.
    relay_address: tuple[str, int]
    reached: frozenset[str]
    # By upstream, how long ago a connection to it succeeded; none from
    # instances that don't tell.
    ages_s: collections.abc.Mapping[str, float] = types.MappingProxyType({})


class PeerQuery:
    """Ask several instances at the same time."""

    def __init__(
        self,
        list_peers: collections.abc.Callable[[], list[roster_module.Member]],
    ) -> None:
        self._list_peers = list_peers
        self._pool: pool_module.ClientPool[LogRelay.Client] = (
            pool_module.ClientPool(LogRelay.Client, CONNECT_TIMEOUT_MS)
        )

    def ask(
        self,
        entries: list[catalogue.UpstreamEntry],
        call_timeout_ms: int = CALL_TIMEOUT_MS,
    ) -> list[ReachReport]:
        """Return the reports of some that respond, drawn at random."""
        peers = self._list_peers()
        asked = random.sample(peers, min(MAX_ASKED, len(peers)))
        if not asked or not entries:
            return []
        keys = [
            ttypes.UpstreamKey(entry.id, entry.born)
            for entry in entries[:MAX_UPSTREAMS]
        ]
        with concurrent.futures.ThreadPoolExecutor(
            len(asked), 'reach-query'
        ) as executor:
            answers = executor.map(
                lambda peer: self._ask(peer, keys, call_timeout_ms), asked
            )
            return [answer for answer in answers if answer is not None]

    def _ask(
        self,
        peer: roster_module.Member,
        keys: list[ttypes.UpstreamKey],
        call_timeout_ms: int,
    ) -> ReachReport | None:
        host, _ = peer.peer_address
        try:
            answer = self._pool.call(
                peer.peer_address,
                call_timeout_ms,
                lambda client: client.find_reached(keys),
            )
        except pool_module.PeerError as error:
            LOG.info(
                'instance does not say which upstreams it reaches',
                peer=peer.instance,
                error=str(error),
            )
            return None
        return ReachReport(
            peer.instance,
            peer.data_centre,
            (host, answer.relay_port),
            frozenset(answer.reached),
            {
                upstream: age_ms / MS_PER_S
                for upstream, age_ms in zip(
                    answer.reached, answer.ages_ms or (), strict=False
                )
            },
        )


class ReachHandler:
    """Tell other instances which upstreams this one reaches."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        tracker: tracker_module.PathTracker,
        prober: prober_module.Prober,
        relay_port: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._directory = directory
        self._tracker = tracker
        self._prober = prober
        self._relay_port = relay_port
        self._metrics = metrics

    def find_reached(
        self, keys: list[ttypes.UpstreamKey]
    ) -> ttypes.ReachedUpstreams:
        """Return which of some upstreams this instance reaches.

        It connects to them: what it knows may be from before the failure for
        which it is asked.
        """
        self._metrics.count('reachability.asked_by_peers')
        wanted = {(key.upstream, key.born) for key in keys}
        entries = [
            entry
            for entry in self._directory.entries()
            if entry.incarnation in wanted
        ]
        reached = self._prober.probe(entries[:MAX_UPSTREAMS]).reached
        return ttypes.ReachedUpstreams(
            [entry.id for entry in reached],
            self._relay_port,
            [int(self._age_s(entry) * MS_PER_S) for entry in reached],
        )

    def _age_s(self, entry: catalogue.UpstreamEntry) -> float:
        """Return how long ago a connection to an upstream succeeded."""
        return time.monotonic() - self._tracker.path_to(entry).connected_at
