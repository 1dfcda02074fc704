"""Test registrations of another writer among those of the upstreams."""

import random
import unittest

import structlog

from baobabpond.catalogue import directory as directory_module
from baobabpond.ports import log as log_port
from test.platform_plugin import odd_entries
from test.platform_plugin import test_plugin

SEED = 35
MUTATIONS = 4000


class OddEntriesTest(unittest.TestCase):
    """Each such entry names no upstream, and the others hold."""

    def setUp(self) -> None:
        """Create a directory that decodes the platform's records."""
        self.directory = directory_module.UpstreamDirectory(
            test_plugin.load_platform().catalogue_decoder, lambda: None, 1.2
        )

    def apply(self, *entries: tuple[str, bytes]) -> None:
        """Apply entries between two good ones, as a snapshot."""
        records = [
            ('first', odd_entries.entry()),
            *entries,
            ('last', odd_entries.entry()),
        ]
        with structlog.testing.capture_logs():
            self.directory.apply(
                [log_port.Record(key, value) for key, value in records], True
            )

    def ids(self) -> list[str]:
        """Return the ids of the upstreams."""
        return [entry.id for entry in self.directory.entries()]

    def test_odd_values(self) -> None:
        """They are unreadable, or fields are missing or of another type."""
        for name, value in odd_entries.ODD.items():
            with self.subTest(name):
                self.apply(('odd', value))
                self.assertEqual(['first', 'last'], self.ids())

    def test_odd_keys(self) -> None:
        """The id of an upstream goes into headers and log lines."""
        for key in ('', 'a\r\nX: y', 'a b\x00', '\x7f'):
            with self.subTest(key):
                self.apply((key, odd_entries.entry()))
                self.assertEqual(['first', 'last'], self.ids())

    def test_mutated_entries(self) -> None:
        """Whatever is kept can be connected to and written again."""
        rng = random.Random(SEED)
        for _ in range(MUTATIONS):
            value = odd_entries.mutated(rng)
            with self.subTest(value):
                self.apply(('odd', value))
                ids = self.ids()
                self.assertIn('first', ids)
                self.assertIn('last', ids)
                for entry in self.directory.entries():
                    self.assertTrue(entry.host.isprintable() and entry.host)
                    self.assertIn(entry.port, range(1, 65536))
                    for text in (entry.service, entry.software, entry.id):
                        text.encode()

    def test_good_entry_with_unknown_fields(self) -> None:
        """Later versions of the platform may add some."""
        self.apply(('odd', odd_entries.entry(new={'a': [1.5, '\U0001f600']})))
        self.assertEqual(['first', 'odd', 'last'], self.ids())


if __name__ == '__main__':
    unittest.main()
