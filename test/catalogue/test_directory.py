"""Test the directory of upstreams."""

import unittest

import freezegun

from baobabpond.catalogue import directory as directory_module
from baobabpond.ports import catalogue
from baobabpond.ports import log as log_port

CALM_S = 60.0


class FakeOperator:
    """Read entries written as 'host born' or 'host born draining'."""

    def upstream(self, key: str, value: bytes) -> catalogue.UpstreamEntry:
        """Return the entry of a record."""
        host, born, *flags = value.decode().split()
        return catalogue.UpstreamEntry(
            key, 'models', host, 80, 'a', 4, bool(flags), int(born), {}
        )


class DirectoryTest(unittest.TestCase):
    """Fold records of upstreams."""

    def setUp(self) -> None:
        """Make a directory that notes which addresses are gone."""
        self.contact_duration_s = CALM_S
        self.gone: list[tuple[str, int]] = []
        self.directory = directory_module.UpstreamDirectory(
            FakeOperator(), lambda: self.contact_duration_s, self.gone.append
        )

    def take(self, key: str, value: str) -> None:
        """Let the directory take one record."""
        record = log_port.Record(key, value.encode(), 0)
        self.directory.apply([record], False)

    def ids(self) -> list[str]:
        """Return the ids of the entries in force."""
        return [entry.id for entry in self.directory.entries()]

    def test_gone_upstream_takes_its_address_along(self) -> None:
        """Connections to what is gone can be closed."""
        self.take('u1', 'h1 1')
        self.take('u2', 'h2 1')
        self.take('u1', '')
        self.assertEqual(['u2'], self.ids())
        self.assertEqual([('h1', 80)], self.gone)

    def test_new_incarnation_leaves_the_old_address(self) -> None:
        """An id that starts again elsewhere frees where it was."""
        self.take('u1', 'h1 1')
        self.take('u1', 'h9 2')
        self.assertEqual([('h1', 80)], self.gone)
        self.assertEqual('h9', self.directory.entries()[0].host)

    def test_draining_keeps_the_connections(self) -> None:
        """Requests under way at a draining upstream still end there."""
        self.take('u1', 'h1 1')
        self.take('u1', 'h1 1 draining')
        self.assertEqual([], self.gone)
        self.assertEqual([], self.directory.usable('models'))

    def test_lapse_in_an_outage_is_forgiven_for_a_while(self) -> None:
        """Entries that lapsed with the log away have time to come back."""
        with freezegun.freeze_time() as clock:
            self.take('u1', 'h1 1')
            self.contact_duration_s = 0.1
            self.take('u1', '')
            self.assertEqual(['u1'], self.ids())
            clock.tick(directory_module.RETURN_S + 0.1)
            self.assertEqual([], self.ids())
            self.assertEqual([('h1', 80)], self.gone)

    def test_snapshot_removes_what_it_does_not_name(self) -> None:
        """Keys that a load doesn't name were removed meanwhile."""
        self.take('u1', 'h1 1')
        self.take('u2', 'h2 1')
        self.directory.apply([log_port.Record('u2', b'h2 1', 7)], True)
        self.assertEqual(['u2'], self.ids())
        self.assertEqual([('h1', 80)], self.gone)


if __name__ == '__main__':
    unittest.main()
