"""Test what instances tell one another about cuts."""

import unittest
from unittest import mock

from baobabpond.ports import log as log_port
from baobabpond.reachability import sharing

KEY = f'{sharing.KEY_PREFIX}own'


class SharingTest(unittest.TestCase):
    """Append the records of one instance, and apply those of others."""

    def setUp(self) -> None:
        """Create the records of an instance."""
        self.log = mock.create_autospec(log_port.Log, instance=True)
        self.log.append.return_value = log_port.AppendResult(
            log_port.AppendOutcome.DONE
        )
        self.records = sharing.CutRecords('own', 'topic', 0, self.log)

    def appended(self) -> list[log_port.Record]:
        """Return all records that were appended."""
        return [
            record
            for call in self.log.append.call_args_list
            for record in call.args[2]
        ]

    def test_cut_of_another_instance_is_known(self) -> None:
        """It ends with a tombstone."""
        key = f'{sharing.KEY_PREFIX}other'
        self.records.apply(
            [log_port.Record(key, b'{"cut_off": ["orders"]}')], False
        )
        self.assertEqual({'orders'}, self.records.services_of('other'))
        self.records.apply([log_port.Record(key, b'')], False)
        self.assertFalse(self.records.is_cut_off('other'))

    def test_own_cut_is_known_before_the_log_has_it(self) -> None:
        """The log may be away."""
        self.log.append.return_value = log_port.AppendResult(
            log_port.AppendOutcome.REFUSED
        )
        self.records.set_own(frozenset({'orders'}))
        self.assertTrue(self.records.is_cut_off('own'))
        self.assertFalse(self.records.append_pending())
        self.log.append.return_value = log_port.AppendResult(
            log_port.AppendOutcome.DONE
        )
        self.assertTrue(self.records.append_pending())
        self.assertIsNone(self.records.pending())

    def test_record_of_the_former_process_is_removed(self) -> None:
        """The instance has been restarted while it was cut off."""
        self.records.apply(
            [log_port.Record(KEY, b'{"cut_off": ["orders"]}')], True
        )
        self.assertTrue(self.records.append_pending())
        self.assertEqual([log_port.Record(KEY, b'')], self.appended())

    def test_malformed_record_is_ignored(self) -> None:
        """The others hold."""
        self.records.apply([log_port.Record(KEY, b'[]')], False)
        self.assertFalse(self.records.is_cut_off('own'))
