"""Reload the settings file of a process when it changes."""

import collections.abc
import pathlib
import threading

import structlog

from .. import errors
from ..gen import host as host_schema

from . import check

POLL_INTERVAL_S = 1.0
LOG = structlog.get_logger(__name__)

Listener = collections.abc.Callable[[host_schema.HostSettings], None]


class SettingsFile:
    """Poll a settings file and call a listener with changed settings.

    A signal handler can request a reload before the next poll.
    """

    def __init__(self, path: str, listener: Listener) -> None:
        self._path = path
        self._listener = listener
        self._reload_requested = threading.Event()
        self._content = self._read()

    def start(self) -> None:
        """Start the thread that polls the file."""
        threading.Thread(target=self._run, name='reload', daemon=True).start()

    def request_reload(self) -> None:
        """Make the thread read the file without waiting for the next poll."""
        self._reload_requested.set()

    def reload_if_changed(self) -> bool:
        """Apply the settings if the file has changed.

        Returns whether they were applied; invalid settings are logged only.
        """
        content = self._read()
        if content is None or content == self._content:
            return False
        self._content = content
        try:
            settings = check.load_host(self._path)
        except errors.UserError as error:
            LOG.error(
                'changed settings are invalid; keeping the previous ones',
                error=error,
            )
            return False
        self._listener(settings)
        LOG.info('settings reloaded', path=self._path)
        return True

    def _read(self) -> bytes | None:
        try:
            return pathlib.Path(self._path).read_bytes()
        except OSError as error:
            LOG.warning('cannot read settings file', error=str(error))
            return None

    def _run(self) -> None:
        while True:
            self._reload_requested.wait(POLL_INTERVAL_S)
            self._reload_requested.clear()
            self.reload_if_changed()
