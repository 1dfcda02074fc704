"""Test the directory of upstreams."""

import time
import unittest

import freezegun

from baobabpond.catalogue import directory as directory_module
from baobabpond.ports import catalogue
from baobabpond.ports import log as log_port
from baobabpond.ports import upstreams
from baobabpond.store import components as store_components
from baobabpond.store import contact
from baobabpond.store import follower

OUTAGE_S = 5.0
HEARTBEAT_S = 1.2
Presence = directory_module.Presence


class FakeOperator:
    """Decode entries of the form 'host born' or 'host born draining'."""

    def upstream(self, key: str, value: bytes) -> catalogue.UpstreamEntry:
        """Return the entry of a record."""
        host, born, *flags = value.decode().split()
        return catalogue.UpstreamEntry(
            key, 'models', host, 80, 'a', 4, bool(flags), int(born), {}
        )


class DirectoryTest(unittest.TestCase):
    """Apply records of upstreams."""

    def setUp(self) -> None:
        """Create a directory that collects removed addresses."""
        self.outage: contact.Outage | None = None
        self.removed: list[tuple[str, int]] = []
        self.directory = directory_module.UpstreamDirectory(
            FakeOperator(),
            lambda: self.outage,
            HEARTBEAT_S,
            self.removed.append,
        )

    def apply_record(self, key: str, value: str) -> None:
        """Apply one record."""
        record = log_port.Record(key, value.encode(), 0)
        self.directory.apply([record], False)

    def ids(self) -> list[str]:
        """Return the ids of the current entries."""
        return [entry.id for entry in self.directory.entries()]

    def test_removed_upstream_reports_its_address(self) -> None:
        """The listener can close connections to a removed upstream."""
        self.apply_record('u1', 'h1 1')
        self.apply_record('u2', 'h2 1')
        self.apply_record('u1', '')
        self.assertEqual(['u2'], self.ids())
        self.assertEqual([('h1', 80)], self.removed)

    def test_new_incarnation_reports_the_old_address(self) -> None:
        """A restart at another address reports the former address."""
        self.apply_record('u1', 'h1 1')
        self.apply_record('u1', 'h9 2')
        self.assertEqual([('h1', 80)], self.removed)
        self.assertEqual('h9', self.directory.entries()[0].host)

    def test_draining_does_not_report_the_address(self) -> None:
        """Requests in flight at a draining upstream can complete."""
        self.apply_record('u1', 'h1 1')
        self.apply_record('u1', 'h1 1 draining')
        self.assertEqual([], self.removed)
        self.assertEqual([], self.directory.usable('models'))

    def end_outage(self, age_s: float, duration_s: float = OUTAGE_S) -> None:
        """Let an outage of the log have ended some time ago."""
        ended_at = time.monotonic() - age_s
        started_at = ended_at - duration_s
        self.outage = contact.Outage(started_at, ended_at - 0.1, ended_at)

    def test_entry_lapsed_in_an_outage_has_a_grace_period(self) -> None:
        """Entries that lapsed during a log outage have time to reappear."""
        with freezegun.freeze_time() as clock:
            self.apply_record('u1', 'h1 1')
            self.end_outage(0.0)
            self.apply_record('u1', '')
            self.assertEqual(['u1'], self.ids())
            clock.tick(directory_module.LAPSE_GRACE_S + 0.1)
            self.assertEqual([], self.ids())
            self.assertEqual([('h1', 80)], self.removed)

    def test_grace_period_counts_from_the_end_of_the_outage(self) -> None:
        """Not from when the tombstone is read."""
        with freezegun.freeze_time() as clock:
            self.apply_record('u1', 'h1 1')
            self.end_outage(1.5)
            self.apply_record('u1', '')
            self.assertEqual(['u1'], self.ids())
            clock.tick(directory_module.LAPSE_GRACE_S - 1.4)
            self.assertEqual([], self.ids())

    def test_no_request_is_sent_after_the_grace_period(self) -> None:
        """It may have been chosen before, and waited for a connection."""
        with freezegun.freeze_time() as clock:
            self.apply_record('u1', 'h1 1')
            self.end_outage(0.0)
            self.apply_record('u1', '')
            entry = self.directory.entries()[0]
            self.assertTrue(self.directory.accepts_requests(entry))
            clock.tick(directory_module.LAPSE_GRACE_S + 0.1)
            self.assertFalse(self.directory.accepts_requests(entry))

    def test_short_outage_lets_no_entry_lapse(self) -> None:
        """A tombstone read after it is that of a departure."""
        self.apply_record('u1', 'h1 1')
        self.end_outage(0.0, HEARTBEAT_S)
        self.apply_record('u1', '')
        self.assertEqual([], self.ids())

    def test_reads_are_close_enough_to_tell_a_short_outage(self) -> None:
        """Guard against a loss of a heartbeat that seems to be longer.

        Its duration is the time between two reads, also where nothing is
        registered meanwhile.
        """
        longest_s = (
            store_components.UPSTREAMS_READ_WAIT_S
            + store_components.DIRECTORY_READ_PAUSE_S
            + HEARTBEAT_S
            + follower.RETRY_S
        )
        min_lapse_s = directory_module.MIN_LAPSE_INTERVALS * HEARTBEAT_S
        self.assertLess(longest_s, min_lapse_s)

    def test_lapsed_entry_outlasts_the_next_outage(self) -> None:
        """Its upstream had no time to register again in between."""
        with freezegun.freeze_time() as clock:
            self.apply_record('u1', 'h1 1')
            self.end_outage(0.0)
            self.apply_record('u1', '')
            entry = self.directory.entries()[0]
            for _ in range(4):
                clock.tick(1.0)
                # The next one lasts.
                self.outage = contact.Outage(
                    time.monotonic() - HEARTBEAT_S, 0.0, float('inf')
                )
                self.assertTrue(self.directory.accepts_requests(entry))
            self.end_outage(0.0)
            clock.tick(directory_module.LAPSE_GRACE_S - 0.1)
            self.assertEqual(['u1'], self.ids())
            clock.tick(0.2)
            self.assertEqual([], self.ids())

    def test_short_outage_does_not_extend_the_grace_period(self) -> None:
        """Whoever lives could register again before and after it."""
        with freezegun.freeze_time() as clock:
            self.apply_record('u1', 'h1 1')
            self.end_outage(0.0)
            self.apply_record('u1', '')
            clock.tick(directory_module.LAPSE_GRACE_S - 0.1)
            self.end_outage(0.0, HEARTBEAT_S)
            clock.tick(0.2)
            self.assertEqual([], self.ids())

    def test_departure_after_the_grace_period_counts_at_once(self) -> None:
        """Whoever lives is registered again by then."""
        self.apply_record('u1', 'h1 1')
        self.end_outage(directory_module.LAPSE_GRACE_S + 0.1)
        self.apply_record('u1', '')
        self.assertEqual([], self.ids())
        self.assertEqual([('h1', 80)], self.removed)

    def head(self, **fields: bool) -> upstreams.ResponseHead:
        """Return the head of a response."""
        head = upstreams.ResponseHead(
            False, False, 'id', None, 0, 'signature', True
        )
        return head._replace(**fields)

    def test_announced_shutdown_takes_an_upstream_out_at_once(self) -> None:
        """Its registration may still say that it is ready."""
        self.apply_record('u1', 'h1 1')
        entry = self.directory.entries()[0]
        self.assertTrue(self.directory.accepts_requests(entry))
        self.directory.observe(entry, self.head())
        self.assertEqual([], self.directory.usable('models'))
        self.assertFalse(self.directory.accepts_requests(entry))
        self.apply_record('u1', 'h1 1')
        self.assertEqual([], self.directory.usable('models'))

    def test_announced_shutdown_outlasts_a_lapsed_entry(self) -> None:
        """The same process may be registered again as ready."""
        self.apply_record('u1', 'h1 1')
        self.directory.observe(self.directory.entries()[0], self.head())
        self.apply_record('u1', '')
        self.assertEqual([], self.ids())
        self.apply_record('u1', 'h1 1')
        self.assertEqual([], self.directory.usable('models'))

    def test_announced_shutdown_ends_with_the_incarnation(self) -> None:
        """The next process under the same id is used."""
        self.apply_record('u1', 'h1 1')
        former = self.directory.entries()[0]
        self.directory.observe(former, self.head())
        self.apply_record('u1', 'h1 2')
        self.assertEqual(1, len(self.directory.usable('models')))
        self.directory.observe(former, self.head())
        self.assertEqual(1, len(self.directory.usable('models')))
        self.assertFalse(self.directory.accepts_requests(former))

    def test_announcement_of_another_upstream_does_not_count(self) -> None:
        """It listens at an address that was used before."""
        self.apply_record('u1', 'h1 1')
        entry = self.directory.entries()[0]
        self.directory.observe(entry, self.head(misdirected=True))
        self.directory.observe(entry, self.head(is_leaving=False))
        self.assertTrue(self.directory.accepts_requests(entry))

    def test_replaced_incarnations(self) -> None:
        """Another upstream, or a new start, at the address replaces one."""
        self.apply_record('u1', 'h1 1')
        (first,) = self.directory.entries()
        self.assertFalse(self.directory.is_replaced(first))
        self.apply_record('u1', 'h1 2')
        self.assertTrue(self.directory.is_replaced(first))
        self.apply_record('u1', '')
        self.assertFalse(self.directory.is_replaced(first))
        self.apply_record('u2', 'h1 3')
        self.assertTrue(self.directory.is_replaced(first))

    def test_presence_of_an_upstream(self) -> None:
        """It is replaced under its id or at its address, or gone."""
        self.apply_record('u1', 'h1 1')
        entry = self.directory.entries()[0]
        self.assertEqual(Presence.PRESENT, self.directory.presence(entry))
        self.apply_record('u2', 'h1 2')
        self.assertEqual(Presence.REPLACED, self.directory.presence(entry))
        self.apply_record('u2', '')
        self.apply_record('u1', 'h1 2')
        self.assertEqual(Presence.REPLACED, self.directory.presence(entry))
        self.apply_record('u1', '')
        self.assertEqual(Presence.GONE, self.directory.presence(entry))

    def test_planned_departures_are_remembered(self) -> None:
        """Whether by registration or announcement, also once replaced."""
        self.apply_record('u1', 'h1 1')
        self.apply_record('u2', 'h2 1')
        first, second = self.directory.entries()
        self.apply_record('u1', 'h1 1 draining')
        self.directory.observe(second, self.head())
        for value in ('', 'h3 2'):
            self.apply_record('u1', value)
            self.apply_record('u2', value)
            for entry in (first, second):
                self.assertEqual(
                    Presence.LEAVING, self.directory.presence(entry)
                )

    def test_snapshot_removes_entries_that_it_lacks(self) -> None:
        """Keys that a snapshot lacks were removed before it."""
        self.apply_record('u1', 'h1 1')
        self.apply_record('u2', 'h2 1')
        self.directory.apply([log_port.Record('u2', b'h2 1', 7)], True)
        self.assertEqual(['u2'], self.ids())
        self.assertEqual([('h1', 80)], self.removed)


if __name__ == '__main__':
    unittest.main()
