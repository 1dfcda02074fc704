"""Test the plugin for the users' platform and its place in the project."""

import json
import pathlib
import re
import subprocess
import sys
import unittest

from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.ports import platforms
from baobabpond.ports import upstreams

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PLUGIN = ROOT / 'platform' / 'users_platform'
MOST_LINES = 800
# Headers in wide use, which the product's own interface has too.
COMMON_HEADERS = ('Last-Event-Id', 'X-Request-Id')


def load_platform() -> platforms.Platform:
    """Return the plugin's ports."""
    platforms.load('users_platform', ROOT / 'platform')
    return platforms.platforms.get('users_platform')('127.0.0.1:1')


class PlaceTest(unittest.TestCase):
    """Keep the folder small, and its names inside."""

    def test_folder_does_not_hide_the_runtimes_module(self) -> None:
        """The standard library's platform is found from the root."""
        done = subprocess.run(
            [sys.executable, '-c', 'import platform; platform.system()'],
            cwd=ROOT,
            check=False,
        )
        self.assertEqual(0, done.returncode)
        self.assertFalse((ROOT / 'platform' / '__init__.py').exists())

    def test_folder_is_small(self) -> None:
        """The plugin only translates."""
        lines = sum(
            len(path.read_text(encoding='utf-8').splitlines())
            for path in PLUGIN.rglob('*.py')
        )
        self.assertLess(lines, MOST_LINES)

    def test_names_do_not_leak(self) -> None:
        """Nothing in the product spells the platform's calls or headers."""
        texts = [p.read_text(encoding='utf-8') for p in PLUGIN.rglob('*.py')]
        names = {
            name
            for text in texts
            for name in re.findall(
                r"'(/api/[a-z-]+/?|X-[A-Za-z-]+|keyed\.(?:op|servers))'", text
            )
        }
        names -= set(COMMON_HEADERS)
        self.assertGreater(len(names), 15)
        leaks = [
            f'{path.relative_to(ROOT)}: {name}'
            for path in (ROOT / 'baobabpond').rglob('*.py')
            for name in names
            if name in path.read_text(encoding='utf-8')
        ]
        self.assertEqual([], leaks)


class OperatorTest(unittest.TestCase):
    """Decode what others write."""

    def setUp(self) -> None:
        """Load the plugin."""
        self.operator = load_platform().catalogue_decoder

    def test_configuration(self) -> None:
        """Kinds, splits and times are decoded."""
        value = {
            'version': 7,
            'routes': [
                {
                    'name': 'r',
                    'host': 'H.example',
                    'path-prefix': '/a/',
                    'route-type': 'streaming',
                    'timeout-ms': 1500,
                    'resumable': True,
                    'traffic-split': [
                        {'service': 's', 'weight': 90},
                        {'service': 't', 'weight': 10},
                    ],
                }
            ],
            'services': [{'name': 's'}, {'name': 't', 'engine': None}],
            'limits': {'max-body-bytes': 5},
            'unknown': 1,
        }
        decoded = self.operator.configuration(
            'config', json.dumps(value).encode()
        )
        assert decoded is not None
        route = decoded.routes[0]
        self.assertEqual('h.example', route.host)
        self.assertIs(catalogue.RouteKind.STREAMING, route.kind)
        self.assertEqual(
            [('s', 90.0), ('t', 10.0)], [*map(tuple, route.shares)]
        )
        self.assertEqual(1.5, route.timeout_s)
        self.assertEqual(5, decoded.limits.body_bytes)

    def test_entries_of_other_writers_name_no_upstream(self) -> None:
        """Odd states, types and bytes raise or give nothing."""
        good = {'service': 's', 'address': '1.2.3.4:5', 'state': 'ready'}
        self.assertIsNotNone(self.decode(json.dumps(good).encode()))
        odd = (
            b'\xff',
            b'[]',
            b'{}',
            json.dumps({**good, 'state': 'odd'}).encode(),
            json.dumps({**good, 'address': 5}).encode(),
            json.dumps({**good, 'address': 'nowhere'}).encode(),
            json.dumps({**good, 'service': ['s']}).encode(),
            json.dumps({**good, 'models': 3}).encode(),
        )
        for value in odd:
            with self.subTest(value=value):
                self.assertIsNone(self.decode(value))

    def decode(self, value: bytes) -> catalogue.UpstreamEntry | None:
        """Return an entry as the directory would take it."""
        try:
            return self.operator.upstream('i-1', value)
        except (ValueError, KeyError, TypeError, AttributeError):
            return None


class UpstreamTest(unittest.TestCase):
    """Translate requests and answers."""

    def setUp(self) -> None:
        """Load the plugin."""
        self.protocol = load_platform().upstreams

    def headers(self, **options: int) -> dict[str, str]:
        """Return the headers of a request as they go out."""
        request = upstreams.Request(
            'id-1',
            'POST',
            '/a',
            'h',
            [
                ('X-Model', 'm'),
                ('Connection', 'close, X-Hop'),
                ('X-Hop', '1'),
                ('X-Deadline-Ms', '9'),
                ('Last-Event-Id', '2'),
            ],
            b'',
        )
        return dict(
            self.protocol.request_headers(request, 'i-1', 1.5, **options)
        )

    def test_hop_headers_stay_behind(self) -> None:
        """Headers of one connection are not forwarded, the others are."""
        sent = self.headers()
        self.assertNotIn('X-Hop', sent)
        self.assertNotIn('Connection', sent)
        self.assertEqual('m', sent['X-Model'])
        self.assertEqual('2', sent['Last-Event-Id'])
        self.assertEqual('1500', sent['X-Deadline-Ms'])
        self.assertEqual('i-1', sent['X-Target-Instance'])

    def test_resumption_replaces_the_callers_event(self) -> None:
        """One event is named, the one after which the run goes on."""
        self.assertEqual('5', self.headers(last_event=5)['Last-Event-Id'])

    def test_not_run_is_what_the_upstream_states(self) -> None:
        """Only the mark or a misdirection says that nothing ran."""
        read = self.protocol.parse_response_head
        self.assertFalse(read(503, {}).not_run)
        self.assertTrue(read(503, {'X-Not-Executed': '1'}).not_run)
        self.assertTrue(read(421, {}).not_run)
        self.assertEqual((3, 0, 8), read(200, {'X-Server-Load': '3,0,8'}).load)
        self.assertIsNone(read(200, {'X-Server-Load': 'x'}).load)

    def test_event_with_a_version(self) -> None:
        """A version line belongs to its event."""
        event = self.protocol.parse_event(
            ['x-weight-versions: 4', 'id: 7', 'data: a', 'data: b']
        )
        self.assertEqual((7, 'a\nb', 4), event)
        self.assertIsNone(self.protocol.parse_event(['data: a']))


class CallerTest(unittest.TestCase):
    """Decode calls."""

    def setUp(self) -> None:
        """Load the plugin."""
        self.protocol = load_platform().callers

    def test_calls(self) -> None:
        """Each call is known by its method and path."""
        call = self.protocol.call(
            'GET', '/api/lots/b?after=3', {'Host': 'H', 'X-Wait-Ms': '9000'}
        )
        self.assertIs(callers.CallKind.READ_RESULTS, call.kind)
        self.assertEqual(
            ('b', 3, 1.0), (call.batch, call.position, call.wait_s)
        )
        call = self.protocol.call('GET', '/api/items/b?id=i', {})
        self.assertEqual(('b', 'i'), (call.batch, call.item))
        call = self.protocol.call('POST', '/api/lots/b', {})
        self.assertIs(callers.CallKind.REQUEST, call.kind)
        with self.assertRaises(callers.BadRequest):
            self.protocol.call('GET', '/api/lots/b?after=x', {})
