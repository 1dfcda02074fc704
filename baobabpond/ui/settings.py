"""Define the commands for the settings tree."""

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
        """Publish changes to the tree and wait for the decision.

        Args:
            file: path of a JSON5 file: an object of nodes, each an object of
                settings; null removes an override.
            base: revision that the changes are based on; default: the newest.
            message: reason for the changes.
            author: author of the changes; default: the login name.
            log: URL of the log service.
            topic: topic of the log that holds the records.
            timeout: longest wait for the decision, in seconds.
        """
        changes = publish_module.parse_changes(check.read_file(file), file)
        client = publish_module.SettingsLogClient(log, topic)
        client.refresh()
        problems = publish_module.check_changes(client.fold, changes)
        if problems:
            raise errors.UserError(
                '; '.join(map(str, problems)), REFUSED_EXIT_CODE
            )
        base_revision = client.fold.revision if base is None else base
        record = publish_module.new_publish(
            changes, base_revision, message, author
        )
        entry = client.publish(record, timeout)
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
            node: deployment/service/workload; default: the root.
            log: URL of the log service.
            topic: topic of the log that holds the records.
        """
        client = publish_module.SettingsLogClient(log, topic)
        client.refresh()
        print(f'// revision {client.fold.revision}')
        effective = client.fold.tree.effective(node)
        print(json.dumps(effective, indent=4, sort_keys=True))

    def history(
        self, log: str = DEFAULT_LOG, topic: str = DEFAULT_TOPIC
    ) -> None:
        """Print the audit trail, oldest first.

        Args:
            log: URL of the log service.
            topic: topic of the log that holds the records.
        """
        client = publish_module.SettingsLogClient(log, topic)
        client.refresh()
        for entry in client.fold.audit:
            print(_format_audit_entry(entry))

    def status(self, instance: str) -> None:
        """Print the settings revision of each instance; fail if they differ.

        Args:
            instance: URL of any instance.
        """
        status = entries.fetch_json(f'{instance}/v1/status')
        live = [m for m in status['members'] if m['state'] != 'dead']
        newest_revision = max(member['settings_revision'] for member in live)
        for member in live:
            suffix = (
                ''
                if member['settings_revision'] == newest_revision
                else '  behind'
            )
            print(
                f'{member["instance"]}  {member["state"]}  '
                f'revision {member["settings_revision"]}{suffix}'
            )
        if any(m['settings_revision'] != newest_revision for m in live):
            raise errors.UserError(
                f'not all instances have revision {newest_revision}',
                BEHIND_EXIT_CODE,
            )


def _format_audit_entry(entry: fold_module.AuditEntry) -> str:
    timestamp = datetime.datetime.fromtimestamp(entry.time_s, datetime.UTC)
    changes = ', '.join(
        f'{change["node"] or "root"}/{change["key"]}='
        + (json.dumps(change['value']) if 'value' in change else 'inherit')
        for change in entry.changes
    )
    decision = (
        f'accepted as revision {entry.revision}'
        if entry.accepted
        else f'refused: {entry.reason}'
    )
    return (
        f'{timestamp:%Y-%m-%dT%H:%M:%SZ}  {entry.publish_id}  {entry.author}  '
        f'base {entry.base_revision}  {changes}  {decision}'
        + (f'  "{entry.message}"' if entry.message else '')
    )
