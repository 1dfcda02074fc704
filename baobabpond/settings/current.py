"""Store the newest settings received from the log or another instance."""

import collections.abc
import threading
import typing

import structlog

from . import fold as fold_module
from . import tree as tree_module

LOG = structlog.get_logger(__name__)


class Settings(typing.NamedTuple):
    """Hold a settings tree with its revision."""

    revision: int
    tree: tree_module.Tree


class CurrentSettings:
    """Store the settings in force; the revision never decreases."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._settings = Settings(0, tree_module.Tree())
        self._listeners: list[collections.abc.Callable[[Settings], None]] = []

    @property
    def revision(self) -> int:
        """Return the revision in force."""
        return self._settings.revision

    @property
    def tree(self) -> tree_module.Tree:
        """Return the tree in force."""
        return self._settings.tree

    @property
    def settings(self) -> Settings:
        """Return the revision and the tree in force."""
        return self._settings

    def subscribe(
        self, listener: collections.abc.Callable[[Settings], None]
    ) -> None:
        """Call a listener after each change, in the thread that made it."""
        self._listeners.append(listener)

    def update_if_newer(self, settings: Settings, source: str) -> bool:
        """Replace the settings by a higher revision; return whether it was."""
        with self._lock:
            if settings.revision <= self._settings.revision:
                return False
            self._settings = settings
        LOG.info('settings in force', revision=settings.revision, by=source)
        for listener in self._listeners:
            listener(settings)
        return True

    def update_from_log(self, fold: fold_module.SettingsFold) -> bool:
        """Replace the settings by those folded from the log, if newer."""
        return self.update_if_newer(Settings(fold.revision, fold.tree), 'log')
