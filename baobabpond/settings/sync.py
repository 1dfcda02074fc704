"""Fetch newer settings from instances whose revision is higher."""

import random
import threading

from .. import metrics as metrics_module
from ..gen.peer import ttypes
from ..members import table as table_module
from ..peers import client as peer_client

from . import current as current_module
from . import tree as tree_module

CHECK_INTERVAL_S = 0.5


class SettingsSync:
    """Fetch settings when gossip shows a higher revision.

    This also works while this instance cannot reach the log.
    """

    def __init__(
        self,
        table: table_module.MemberTable,
        current: current_module.CurrentSettings,
        peers: peer_client.PeerClients,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._table = table
        self._current = current
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._wake = threading.Event()
        self._stopping = False
        table.subscribe(self._on_member)
        current.subscribe(self._on_settings)

    def start(self) -> None:
        """Start the thread that fetches newer settings."""
        threading.Thread(
            target=self._run, name='settings-sync', daemon=True
        ).start()

    def stop(self) -> None:
        """Request the thread to stop."""
        self._stopping = True
        self._wake.set()

    def fetch_newer(self) -> bool:
        """Fetch from a random member with a higher revision.

        Returns whether the settings were replaced.
        """
        ahead = [
            member
            for member in self._table.others(
                table_module.State.ALIVE, table_module.State.LEAVING
            )
            if member.settings_revision > self._current.revision
        ]
        if not ahead:
            return False
        member = self._rng.choice(ahead)
        try:
            body = self._peers.fetch_settings(member.address, member.peer_port)
        except peer_client.PeerError:
            self._metrics.count('settings.fetch_errors')
            return False
        self._metrics.count('settings.fetched')
        settings = current_module.Settings(
            body.revision, tree_module.from_json(body.tree_json)
        )
        return self._current.update_if_newer(settings, member.instance)

    def _run(self) -> None:
        while not self._stopping:
            self._wake.wait(CHECK_INTERVAL_S)
            self._wake.clear()
            self.fetch_newer()

    def _on_member(self, member: ttypes.Member) -> None:
        if member.settings_revision > self._current.revision:
            self._wake.set()

    def _on_settings(self, settings: current_module.Settings) -> None:
        self._table.update_own(settings_revision=settings.revision)
        self._metrics.gauge('settings.revision', settings.revision)
