"""Test which instances callers are sent to."""

import json
import time
import unittest

import freezegun

from baobabpond.members import roster as roster_module
from baobabpond.ports import log as log_port
from test.store import fakes

# A caller that still connects to a lost instance loses a second by it.
CONNECT_S = 1.0


def make_member(name: str, **changes: object) -> roster_module.Member:
    """Return an instance."""
    usual = roster_module.Member(name, f'{name}:1', f'{name}:2', 'near', False)
    return usual._replace(**changes)


class RosterTest(unittest.TestCase):
    """Fold heartbeats."""

    def setUp(self) -> None:
        """Make a roster that is in contact with the log."""
        # When the log last answered; None: just now.
        self.contact: float | None = None
        self.roster = roster_module.Roster(
            make_member('own'), fakes.FakeLog(), self.silence_s
        )

    def silence_s(self, since: float) -> float:
        """Return for how long the log is known to hold nothing new."""
        until = time.monotonic() if self.contact is None else self.contact
        return max(0.0, until - since)

    def hear(self, *members: roster_module.Member) -> None:
        """Take heartbeats."""
        self.roster.apply(
            [
                log_port.Record(m.instance, json.dumps(m._asdict()).encode())
                for m in members
            ],
            False,
        )

    def usable(self) -> list[str]:
        """Return the names of the instances that callers may use."""
        return [member.instance for member in self.roster.usable()]

    def test_silent_instance_is_left_out_soon(self) -> None:
        """A lost instance goes within two heartbeats and a second."""
        with freezegun.freeze_time() as clock:
            self.hear(make_member('a'), make_member('b'))
            clock.tick(roster_module.HEARTBEAT_S)
            self.hear(make_member('b'))
            clock.tick(CONNECT_S)
            self.hear(make_member('b'))
            clock.tick(roster_module.HEARTBEAT_S)
            self.hear(make_member('b'))
            self.assertEqual(['b'], self.usable())

    def test_nobody_is_silent_while_the_log_is_away(self) -> None:
        """Without the log no heartbeat can come, so all stay."""
        with freezegun.freeze_time() as clock:
            self.hear(make_member('a'), make_member('b'))
            self.contact = time.monotonic()
            clock.tick(30)
            self.assertEqual(['a', 'b'], self.usable())

    def test_nobody_is_silent_while_a_read_hangs(self) -> None:
        """A cut shows late; until then peers must stay known as ways out."""
        with freezegun.freeze_time() as clock:
            self.hear(make_member('a'))
            clock.tick(roster_module.HEARTBEAT_S)
            self.contact = time.monotonic()
            clock.tick(roster_module.GONE_S)
            self.assertEqual(['a'], self.usable())

    def test_own_instance_stays_while_its_heartbeats_are_late(self) -> None:
        """A caller that is answered can always come back here."""
        self.roster.announce()
        with freezegun.freeze_time() as clock:
            self.hear(make_member('own'), make_member('a'))
            clock.tick(10)
            self.assertEqual(['own'], self.usable())
        self.roster.leave()
        self.assertEqual([], self.usable())

    def test_leaving_and_far_instances(self) -> None:
        """A leaving instance is left out; near ones come first."""
        self.hear(
            make_member('a', data_centre='far'),
            make_member('b', leaving=True),
            make_member('c'),
        )
        self.assertEqual(['c', 'a'], self.usable())

    def test_unreadable_heartbeat_is_passed_over(self) -> None:
        """Odd records do no harm."""
        self.roster.apply([log_port.Record('x', b'[]')], False)
        self.assertEqual([], self.usable())
