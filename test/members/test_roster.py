"""Test which instances are listed for callers."""

import json
import time
import unittest

import freezegun

from baobabpond.members import roster as roster_module
from baobabpond.ports import log as log_port
from test.store import fakes

# Time that a caller loses by connecting to a lost instance.
CONNECT_S = 1.0


def make_member(name: str, **changes: object) -> roster_module.Member:
    """Return an instance."""
    usual = roster_module.Member(name, f'{name}:1', f'{name}:2', 'near', False)
    return usual._replace(**changes)


class RosterTest(unittest.TestCase):
    """Apply heartbeats."""

    def setUp(self) -> None:
        """Create a roster whose log is reachable."""
        # When the log last answered; None means now.
        self.contact: float | None = None
        self.roster = roster_module.Roster(
            make_member('own'), fakes.FakeLog(), self.silence_s
        )

    def silence_s(self, since: float) -> float:
        """Return for how many seconds the log is known to be silent."""
        until = time.monotonic() if self.contact is None else self.contact
        return max(0.0, until - since)

    def apply_heartbeats(self, *members: roster_module.Member) -> None:
        """Apply heartbeats."""
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

    def test_addresses_of_peers(self) -> None:
        """This instance and leaving ones are not among them."""
        self.roster.announce()
        self.apply_heartbeats(make_member('a'), make_member('b', leaving=True))
        self.assertEqual([('a', 2)], self.roster.peer_addresses())

    def test_heartbeat_of_an_earlier_build(self) -> None:
        """It lacks the cores; without it the instance would be unlisted."""
        fields = make_member('a')._asdict()
        del fields['cores']
        self.roster.apply(
            [log_port.Record('a', json.dumps(fields).encode())], False
        )
        self.assertEqual(['a'], self.usable())

    def test_silent_instance_is_removed_in_time(self) -> None:
        """A lost instance is removed within two heartbeats and a second."""
        with freezegun.freeze_time() as clock:
            self.apply_heartbeats(make_member('a'), make_member('b'))
            clock.tick(roster_module.HEARTBEAT_S)
            self.apply_heartbeats(make_member('b'))
            clock.tick(CONNECT_S)
            self.apply_heartbeats(make_member('b'))
            clock.tick(roster_module.HEARTBEAT_S)
            self.apply_heartbeats(make_member('b'))
            self.assertEqual(['b'], self.usable())

    def test_instances_stay_while_the_log_is_unreachable(self) -> None:
        """Without the log no heartbeat can arrive, so all stay listed."""
        with freezegun.freeze_time() as clock:
            self.apply_heartbeats(make_member('a'), make_member('b'))
            self.contact = time.monotonic()
            clock.tick(30)
            self.assertEqual(['a', 'b'], self.usable())

    def test_instances_stay_while_a_read_hangs(self) -> None:
        """A partition shows late; until then peers are needed as relays."""
        with freezegun.freeze_time() as clock:
            self.apply_heartbeats(make_member('a'))
            clock.tick(roster_module.HEARTBEAT_S)
            self.contact = time.monotonic()
            clock.tick(roster_module.HEARTBEAT_TIMEOUT_S)
            self.assertEqual(['a'], self.usable())

    def test_own_instance_stays_while_its_heartbeats_are_delayed(self) -> None:
        """An instance that answers callers always lists itself."""
        self.roster.announce()
        with freezegun.freeze_time() as clock:
            self.apply_heartbeats(make_member('own'), make_member('a'))
            clock.tick(10)
            self.assertEqual(['own'], self.usable())
        self.roster.leave()
        self.assertEqual([], self.usable())

    def test_leaving_instances_are_omitted_and_near_ones_first(self) -> None:
        """A leaving instance is omitted; its own data centre comes first."""
        self.apply_heartbeats(
            make_member('a', data_centre='far'),
            make_member('b', leaving=True),
            make_member('c'),
        )
        self.assertEqual(['c', 'a'], self.usable())

    def test_malformed_heartbeat_is_ignored(self) -> None:
        """A malformed record changes nothing."""
        self.roster.apply([log_port.Record('x', b'[]')], False)
        self.assertEqual([], self.usable())

    def test_peers_are_unknown_before_the_first_heartbeats(self) -> None:
        """An empty list says that there are no others."""
        self.assertIsNone(self.roster.known_peers())
        self.roster.apply([], True)
        self.assertEqual([], self.roster.known_peers())

    def test_addresses_of_peers_are_those_for_instances(self) -> None:
        """Callers use another port."""
        self.apply_heartbeats(make_member('own'), make_member('a'))
        self.assertEqual([('a', 2)], self.roster.peer_addresses())
        self.assertEqual(
            ['a'], [peer.instance for peer in self.roster.known_peers()]
        )
