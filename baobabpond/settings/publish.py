"""Publish changes to the tree and wait for the log's decision."""

import getpass
import time
import typing
import uuid

from .. import errors
from .. import metrics as metrics_module
from ..gen import records as schema
from ..log import client as log_client
from ..log import follower as follower_module
from ..log import state as state_module
from ..log import writer as writer_module

from . import check
from . import fold as fold_module

DEFAULT_TIMEOUT_S = 15.0


class SettingsLogClient:
    """Read the settings from the log without an instance."""

    def __init__(self, log_url: str, topic: str) -> None:
        self._client = log_client.LogClient(log_url, topic)
        self._state = state_module.State()
        self._metrics = metrics_module.Metrics()
        self._follower = follower_module.Follower(
            self._client, self._state, self._metrics
        )

    @property
    def fold(self) -> fold_module.SettingsFold:
        """Return the settings as of the last refresh."""
        return self._state.fold(fold_module.SettingsFold)

    def refresh(self) -> None:
        """Read to the end of the log, or raise UserError."""
        try:
            self._follower.catch_up()
        except log_client.LogError as error:
            raise errors.UserError(
                f'the log cannot be read: {error}', exit_code=3
            ) from error

    def publish(
        self, item: schema.Publish, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> fold_module.AuditEntry:
        """Append a publish and return its end, or raise UserError."""
        self.refresh()
        self._follower.start()
        writer = writer_module.Writer(
            f'operator-{item["publish_id"]}',
            self._client,
            self._state,
            self._metrics,
        )
        writer.start()
        pending = writer.submit(item)
        try:
            return self._await_end(item, writer, pending, timeout_s)
        finally:
            writer.stop()
            self._follower.stop()

    def _await_end(
        self,
        item: schema.Publish,
        writer: writer_module.Writer,
        pending: writer_module.PendingItem,
        timeout_s: float,
    ) -> fold_module.AuditEntry:
        deadline = time.monotonic() + timeout_s
        publish_id = item['publish_id']
        if self._state.wait_for(
            lambda: self.fold.entry(publish_id) is not None, deadline
        ):
            entry = self.fold.entry(publish_id)
            assert entry is not None
            return entry
        if writer.cancel(pending):
            raise errors.UserError('not published: the log is down', 3)
        raise errors.UserError(
            f'the log gave no answer in {timeout_s:g} s; the publish may '
            f'still be accepted: look for {publish_id} in the history',
            exit_code=4,
        )


def new_publish(
    changes: list[schema.Change],
    base_revision: int,
    message: str,
    author: str | None = None,
) -> schema.Publish:
    """Return a publish item with an id of its own."""
    return {
        'type': 'publish',
        'publish_id': uuid.uuid4().hex,
        'base_revision': base_revision,
        'author': author or getpass.getuser(),
        'message': message,
        'changes': changes,
    }


def parse_changes(nodes: typing.Any, source: str) -> list[schema.Change]:
    """Return the changes that a file of nodes asks for, or raise UserError."""
    if not isinstance(nodes, dict):
        raise errors.UserError(f'{source}: not an object of nodes', 2)
    changes: list[schema.Change] = []
    for node, own in nodes.items():
        if not isinstance(own, dict):
            raise errors.UserError(f'{source}: {node}: not an object', 2)
        for key, value in own.items():
            changes.append(_change(node, key, value))
    return changes


def _change(node: str, key: str, value: typing.Any) -> schema.Change:
    path = '' if node in ('', 'root') else node
    if value is None:
        return {'node': path, 'key': key}
    return {'node': path, 'key': key, 'value': value}


def check_changes(
    fold: fold_module.SettingsFold, changes: list[schema.Change]
) -> list[check.Problem]:
    """Return what would be wrong with the tree after some changes."""
    return fold.tree.apply(changes).problems()
