"""Wire up what finds out which upstreams this instance reaches."""

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..members import roster as roster_module
from ..ports import catalogue
from ..ports import log as log_port
from ..upstreams import connections as connections_module

from . import monitor as monitor_module
from . import peers
from . import prober
from . import sharing
from . import tracker as tracker_module


class ReachComponents:
    """What one instance knows of its paths, and exchanges with others."""

    def __init__(
        self,
        instance: str,
        log: log_port.Log,
        directory: directory_module.UpstreamDirectory,
        roster: roster_module.Roster,
        connections: connections_module.ConnectionPool,
        relay_port: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._roster = roster
        self.tracker = tracker_module.PathTracker()
        self.records = sharing.CutRecords(
            instance, roster_module.TOPIC, roster_module.PARTITION, log
        )
        path_prober = prober.Prober(connections, self.tracker, metrics)
        self._peer_query = peers.PeerQuery(self.peers_not_cut_off)
        self.monitor = monitor_module.ReachMonitor(
            directory,
            self.tracker,
            path_prober,
            self._peer_query,
            self.records,
            metrics,
        )
        self.reach_handler = peers.ReachHandler(
            directory, self.tracker, path_prober, relay_port, metrics
        )

    def start(self) -> None:
        """Start to share cuts."""
        self.records.start()

    def ask_peers(
        self, entries: list[catalogue.UpstreamEntry]
    ) -> list[peers.ReachReport]:
        """Ask other instances which upstreams they reach, while one waits."""
        return self._peer_query.ask(entries, peers.SHORT_CALL_TIMEOUT_MS)

    def peers_not_cut_off(self) -> list[roster_module.Member]:
        """Return the other instances that have no cut on record."""
        return [
            member
            for member in self._roster.peers()
            if not self.records.is_cut_off(member.instance)
        ]

    def members_for_callers(self) -> list[roster_module.Member]:
        """Return the instances that callers should use.

        Those that are cut off are left out, unless all are.
        """
        members = self._roster.usable()
        reaching = [
            member
            for member in members
            if not self.records.is_cut_off(member.instance)
        ]
        return reaching or members

    def may_own_shard(self) -> bool:
        """Return whether no other instance is in a better place to own it.

        The owner orders weights and runs items over direct paths only.
        """
        return (
            not self.monitor.cut_off_services or not self.peers_not_cut_off()
        )
