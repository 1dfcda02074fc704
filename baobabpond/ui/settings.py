"""Publish and show the settings tree."""

import datetime
import json

from .. import errors
from ..settings import check
from ..settings import fold as fold_module
from ..settings import publish as publish_module

from . import entries

DEFAULT_LOG = 'http://127.0.0.1:8200'
DEFAULT_TOPIC = 'baobabpond'
REFUSED_EXIT_CODE = 6
BEHIND_EXIT_CODE = 7


class SettingsCommands:
    """Publish and show the settings tree."""

    def publish(
        self,
        file: str,
        base: int | None = None,
        message: str = '',
        author: str | None = None,
        log: str = DEFAULT_LOG,
        topic: str = DEFAULT_TOPIC,
        timeout: float = publish_module.DEFAULT_TIMEOUT_S,
    ) -> None:
        """Publish changes and wait until they are accepted or refused.

        Args:
            file: JSON with comments: an object of nodes, each an object of
                settings; null takes an override away.
            base: revision that the changes are based on; the newest if none.
            message: why the change is made.
            author: who makes it; the system's user if none.
            log: URL of the log service.
            topic: topic of the records.
            timeout: longest wait, in seconds.
        """
        changes = publish_module.parse_changes(check.read_file(file), file)
        view = publish_module.SettingsLogClient(log, topic)
        view.refresh()
        problems = publish_module.check_changes(view.fold, changes)
        if problems:
            raise errors.UserError(
                '; '.join(map(str, problems)), REFUSED_EXIT_CODE
            )
        base_revision = view.fold.revision if base is None else base
        item = publish_module.new_publish(
            changes, base_revision, message, author
        )
        entry = view.publish(item, timeout)
        if not entry.accepted:
            raise errors.UserError(
                f'refused: {entry.reason}', REFUSED_EXIT_CODE
            )
        print(f'accepted as revision {entry.revision}')

    def show(
        self,
        node: str = '',
        log: str = DEFAULT_LOG,
        topic: str = DEFAULT_TOPIC,
    ) -> None:
        """Print the settings in force at a node.

        Args:
            node: deployment/service/workload; the root if none.
            log: URL of the log service.
            topic: topic of the records.
        """
        view = publish_module.SettingsLogClient(log, topic)
        view.refresh()
        print(f'// revision {view.fold.revision}')
        effective = view.fold.tree.effective(node)
        print(json.dumps(effective, indent=4, sort_keys=True))

    def history(
        self, log: str = DEFAULT_LOG, topic: str = DEFAULT_TOPIC
    ) -> None:
        """Print the audit trail, oldest first.

        Args:
            log: URL of the log service.
            topic: topic of the records.
        """
        view = publish_module.SettingsLogClient(log, topic)
        view.refresh()
        for entry in view.fold.audit:
            print(_audit_line(entry))

    def status(self, instance: str) -> None:
        """Print which instances have the newest settings in force.

        Args:
            instance: URL of any instance.
        """
        status = entries.fetch(f'{instance}/v1/status')
        live = [m for m in status['members'] if m['state'] != 'dead']
        newest = max(member['settings_revision'] for member in live)
        for member in live:
            mark = '' if member['settings_revision'] == newest else '  behind'
            print(
                f'{member["instance"]}  {member["state"]}  '
                f'revision {member["settings_revision"]}{mark}'
            )
        if any(m['settings_revision'] != newest for m in live):
            raise errors.UserError(
                f'not all instances have revision {newest}', BEHIND_EXIT_CODE
            )


def _audit_line(entry: fold_module.AuditEntry) -> str:
    when = datetime.datetime.fromtimestamp(entry.time_s, datetime.UTC)
    changes = ', '.join(
        f'{change["node"] or "root"}/{change["key"]}='
        + (json.dumps(change['value']) if 'value' in change else 'inherit')
        for change in entry.changes
    )
    end = (
        f'accepted as revision {entry.revision}'
        if entry.accepted
        else f'refused: {entry.reason}'
    )
    return (
        f'{when:%Y-%m-%dT%H:%M:%SZ}  {entry.publish_id}  {entry.author}  '
        f'base {entry.base_revision}  {changes}  {end}'
        + (f'  "{entry.message}"' if entry.message else '')
    )
