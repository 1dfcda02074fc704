"""Apply published changes to the settings tree and record an audit trail."""

import typing

from ..gen import records as schema
from ..log import state

from . import tree as tree_module

MAX_AUDIT_ENTRIES = 1000


class AuditEntry(typing.NamedTuple):
    """Record one publish, accepted or refused."""

    publish_id: str
    author: str
    time_s: float
    message: str
    base_revision: int
    revision: int
    changes: list[schema.Change]
    accepted: bool
    reason: str


@state.folds.register('settings')
class SettingsFold(state.Fold):
    """Apply each publish that is valid and based on the newest revision.

    Each instance decides alike, since all read the log in the same order.
    """

    item_types = ('publish',)

    def __init__(self) -> None:
        self._tree = tree_module.Tree()
        self._revision = 0
        self._audit: list[AuditEntry] = []

    @property
    def tree(self) -> tree_module.Tree:
        """Return the tree after the last accepted publish."""
        return self._tree

    @property
    def revision(self) -> int:
        """Return the number of accepted publishes."""
        return self._revision

    @property
    def audit(self) -> list[AuditEntry]:
        """Return the audit trail, oldest first."""
        return self._audit

    def entry(self, publish_id: str) -> AuditEntry | None:
        """Return the audit entry of a publish, None if there is none."""
        for entry in reversed(self._audit):
            if entry.publish_id == publish_id:
                return entry
        return None

    def apply(self, item: schema.Publish, position: state.Position) -> None:
        """Accept or refuse a publish; ignore one already decided."""
        if self.entry(item['publish_id']) is not None:
            return
        candidate = self._tree.apply(item['changes'])
        reason = self._refusal_reason(item, candidate)
        if not reason:
            self._tree = candidate
            self._revision += 1
        self._audit.append(
            AuditEntry(
                publish_id=item['publish_id'],
                author=item['author'],
                time_s=position.log_time_s,
                message=item['message'],
                base_revision=item['base_revision'],
                revision=self._revision,
                changes=item['changes'],
                accepted=not reason,
                reason=reason,
            )
        )
        del self._audit[:-MAX_AUDIT_ENTRIES]

    def dump(self) -> typing.Any:
        """Return the revision, tree and audit trail for a snapshot."""
        return {
            'revision': self._revision,
            'nodes': self._tree.nodes,
            'audit': [list(entry) for entry in self._audit],
        }

    def load(self, dumped: typing.Any) -> None:
        """Restore the revision, tree and audit trail from a snapshot."""
        self._revision = dumped['revision']
        self._tree = tree_module.Tree(dumped['nodes'])
        self._audit = [AuditEntry(*entry) for entry in dumped['audit']]

    def _refusal_reason(
        self, item: schema.Publish, candidate: tree_module.Tree
    ) -> str:
        if item['base_revision'] != self._revision:
            return self._stale_base_reason(item['base_revision'])
        return '; '.join(map(str, candidate.problems()))

    def _stale_base_reason(self, base_revision: int) -> str:
        latest = next(
            (entry for entry in reversed(self._audit) if entry.accepted), None
        )
        reason = (
            f'based on revision {base_revision}, '
            f'but the newest is {self._revision}'
        )
        if latest is not None:
            reason += f', published by {latest.author}: {latest.message}'
        return reason
