"""Publish changes to the settings tree and wait for the decision.

A publish is decided when it is read back from the log, by the same fold
as in each instance.
"""

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
    """Read and publish settings directly on the log, without an instance."""

    def __init__(self, log_url: str, topic: str) -> None:
        self._client = log_client.LogClient(log_url, topic)
        self._state = state_module.State()
        self._metrics = metrics_module.Metrics()
        self._follower = follower_module.Follower(
            self._client, self._state, self._metrics
        )

    @property
    def fold(self) -> fold_module.SettingsFold:
        """Return the settings folded from the log up to the last read."""
        return self._state.fold(fold_module.SettingsFold)

    def refresh(self) -> None:
        """Read to the end of the log; raise UserError."""
        try:
            self._follower.catch_up()
        except log_client.LogError as error:
            raise errors.UserError(
                f'the log cannot be read: {error}', exit_code=3
            ) from error

    def publish(
        self, item: schema.Publish, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> fold_module.AuditEntry:
        """Append a publish and return its audit entry; raise UserError.

        An accepted and a refused publish both return an entry.
        """
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
            return self._await_decision(item, writer, pending, timeout_s)
        finally:
            writer.stop()
            self._follower.stop()

    def _await_decision(
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
            raise errors.UserError('not published: the log is unavailable', 3)
        raise errors.UserError(
            f'the log did not answer within {timeout_s:g} s; the publish may '
            f'still be accepted: search for {publish_id} in the history',
            exit_code=4,
        )


def new_publish(
    changes: list[schema.Change],
    base_revision: int,
    message: str,
    author: str | None = None,
) -> schema.Publish:
    """Return a publish record with a new random id."""
    return {
        'type': 'publish',
        'publish_id': uuid.uuid4().hex,
        'base_revision': base_revision,
        'author': author or getpass.getuser(),
        'message': message,
        'changes': changes,
    }


def parse_changes(nodes: typing.Any, source: str) -> list[schema.Change]:
    """Return the changes described by a file of nodes; raise UserError.

    A null value removes an override.
    """
    if not isinstance(nodes, dict):
        raise errors.UserError(f'{source}: expected an object of nodes', 2)
    changes: list[schema.Change] = []
    for node, overrides in nodes.items():
        if not isinstance(overrides, dict):
            raise errors.UserError(f'{source}: {node}: expected an object', 2)
        for key, value in overrides.items():
            changes.append(_make_change(node, key, value))
    return changes


def _make_change(node: str, key: str, value: typing.Any) -> schema.Change:
    path = '' if node in ('', 'root') else node
    if value is None:
        return {'node': path, 'key': key}
    return {'node': path, 'key': key, 'value': value}


def check_changes(
    fold: fold_module.SettingsFold, changes: list[schema.Change]
) -> list[check.Problem]:
    """Return the problems that the tree would have after some changes."""
    return fold.tree.apply(changes).problems()
