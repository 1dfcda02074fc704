"""Test the settings of limits, and how excesses are counted and logged."""

import resource
import typing
import unittest
from unittest import mock

import freezegun
import structlog

from baobabpond.edge import client_limits
from baobabpond import metrics
from baobabpond.settings import check


def problems(values: dict[str, typing.Any]) -> list[str]:
    """Return the paths of invalid limits."""
    found = check.problems('host', {'client_limits': values})
    return [p.path for p in found if p.path.startswith('client_limits')]


class SettingsTest(unittest.TestCase):
    """Read limits from the settings of an instance."""

    def properties(self) -> dict[str, typing.Any]:
        """Return the schema of each limit."""
        schema = check.load_schema('host')['properties']['client_limits']
        return schema['properties']

    def test_each_limit_is_a_setting(self) -> None:
        """The reference names the defaults that apply."""
        defaults = client_limits.DEFAULTS._asdict()
        self.assertEqual(set(defaults), set(self.properties()))
        for name, rule in self.properties().items():
            if 'default' in rule:
                self.assertEqual(defaults[name], rule['default'], name)

    def test_invalid_limits(self) -> None:
        """They are found before the instance starts."""
        self.assertEqual([], problems({'threads': 8, 'slow_client_share': 1}))
        self.assertEqual(
            ['client_limits/threads'], problems({'threads': 'many'})
        )
        self.assertEqual(['client_limits'], problems({'thread': 8}))
        for name in self.properties():
            self.assertEqual(
                [f'client_limits/{name}'], problems({name: -1}), name
            )

    def test_connections_follow_from_the_descriptors(self) -> None:
        """Some are left for files, upstreams and peers."""
        for descriptors, connections in (
            (1638, 719),
            (10_762, 5281),
            (210, client_limits.MIN_CONNECTIONS),
            (resource.RLIM_INFINITY, client_limits.MAX_CONNECTIONS),
        ):
            with mock.patch.object(
                resource,
                'getrlimit',
                autospec=True,
                return_value=(descriptors, 0),
            ):
                limits = client_limits.from_settings({})
                self.assertEqual(connections, limits.connections)

    def test_listeners_share_the_descriptors(self) -> None:
        """Each gets its share, and the limits that are set."""
        settings = {'client_limits': {'connections': 1000, 'header_lines': 7}}
        limits = client_limits.from_settings(
            settings, client_limits.RELAY_SHARE
        )
        self.assertEqual((250, 7), (limits.connections, limits.header_lines))


class ExcessesTest(unittest.TestCase):
    """A client repeats what it may not do."""

    def test_all_are_counted_and_few_are_logged(self) -> None:
        """Clients cannot fill the log."""
        measured = metrics.Metrics()
        excesses = client_limits.Excesses(measured)
        with (
            structlog.testing.capture_logs() as captured,
            freezegun.freeze_time() as time,
        ):
            for _ in range(3):
                for _ in range(100):
                    excesses.report('trailers', '127.0.0.1')
                time.tick(client_limits.LOG_INTERVAL_S)
        # Threads that other tests have left behind log meanwhile.
        lines = [line for line in captured if line.get('limit') == 'trailers']
        self.assertEqual(300, measured.counter('edge.clients.trailers'))
        self.assertEqual([1, 100, 100], [line['count'] for line in lines])
        self.assertEqual({'400'}, {line['outcome'] for line in lines})
