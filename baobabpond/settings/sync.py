"""Fetch newer settings from instances that have them."""

import random
import threading

from .. import metrics as metrics_module
from ..gen.peer import ttypes
from ..members import table as table_module
from ..peers import client as peer_client

from . import current as current_module
from . import tree as tree_module

CHECK_S = 0.5


class SettingsSync:
    """Follow the settings by gossip, with or without the log."""

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
        self._news = threading.Event()
        self._stopping = False
        table.subscribe(self._on_member)
        current.subscribe(self._on_settings)

    def start(self) -> None:
        """Start the task that fetches newer settings."""
        threading.Thread(
            target=self._run, name='settings-sync', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask the task to end."""
        self._stopping = True
        self._news.set()

    def fetch_newer(self) -> bool:
        """Fetch from one member that is ahead; tell whether it helped."""
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
            self._news.wait(CHECK_S)
            self._news.clear()
            self.fetch_newer()

    def _on_member(self, member: ttypes.Member) -> None:
        if member.settings_revision > self._current.revision:
            self._news.set()

    def _on_settings(self, settings: current_module.Settings) -> None:
        self._table.update_own(settings_revision=settings.revision)
        self._metrics.gauge('settings.revision', settings.revision)
