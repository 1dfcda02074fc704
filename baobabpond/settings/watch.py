"""Follow the settings file of a process."""

import collections.abc
import pathlib
import threading

import structlog

from .. import errors
from ..gen import host as host_schema

from . import check

PERIOD_S = 1.0
LOG = structlog.get_logger(__name__)

Taker = collections.abc.Callable[[host_schema.HostSettings], None]


class SettingsFile:
    """Pass changed settings on, whether a signal tells of them or not."""

    def __init__(self, path: str, take: Taker) -> None:
        self._path = path
        self._take = take
        self._asked = threading.Event()
        self._content = self._read()

    def start(self) -> None:
        """Follow in a task of its own."""
        threading.Thread(target=self._run, name='reload', daemon=True).start()

    def request_reload(self) -> None:
        """Read the file now."""
        self._asked.set()

    def reload_if_changed(self) -> bool:
        """Take the settings if they have changed; tell if they were taken."""
        content = self._read()
        if content is None or content == self._content:
            return False
        self._content = content
        try:
            settings = check.load_host(self._path)
        except errors.UserError as error:
            LOG.error('new settings are wrong; the old ones stay', error=error)
            return False
        self._take(settings)
        LOG.info('settings reloaded', path=self._path)
        return True

    def _read(self) -> bytes | None:
        try:
            return pathlib.Path(self._path).read_bytes()
        except OSError as error:
            LOG.warning('settings cannot be read', error=str(error))
            return None

    def _run(self) -> None:
        while True:
            self._asked.wait(PERIOD_S)
            self._asked.clear()
            self.reload_if_changed()
