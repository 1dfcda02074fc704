"""Keep the newest settings known, from the log or from another instance."""

import collections.abc
import threading
import typing

import structlog

from . import fold as fold_module
from . import tree as tree_module

LOG = structlog.get_logger(__name__)


class Settings(typing.NamedTuple):
    """Hold one revision of the tree."""

    revision: int
    tree: tree_module.Tree


class CurrentSettings:
    """Move to a higher revision only, never back."""

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
        """Call a listener at each new revision."""
        self._listeners.append(listener)

    def update_if_newer(self, settings: Settings, source: str) -> bool:
        """Put settings in force if they are newer; tell whether they are."""
        with self._lock:
            if settings.revision <= self._settings.revision:
                return False
            self._settings = settings
        LOG.info('settings in force', revision=settings.revision, by=source)
        for listener in self._listeners:
            listener(settings)
        return True

    def update_from_log(self, fold: fold_module.SettingsFold) -> bool:
        """Put the log's settings in force if they are newer."""
        return self.update_if_newer(Settings(fold.revision, fold.tree), 'log')
