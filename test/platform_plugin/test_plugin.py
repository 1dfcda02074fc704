"""Test the plugin for the users' platform and its isolation."""

import json
import pathlib
import re
import subprocess
import sys
import unittest

from baobabpond.accounts import lookup
from baobabpond import decoding
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.ports import platforms
from baobabpond.ports import upstreams

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
PLUGIN = ROOT / 'platform' / 'users_platform'
MAX_LINES = 800
# Headers in general use; the product's own HTTP interface has them too.
COMMON_HEADERS = ('Last-Event-Id', 'X-Request-Id')


def load_platform() -> platforms.Platform:
    """Return the plugin's ports."""
    platforms.load('users_platform', ROOT / 'platform')
    return platforms.platforms.get('users_platform')('127.0.0.1:1')


class IsolationTest(unittest.TestCase):
    """Check that the plugin is small and the product independent of it."""

    def test_folder_does_not_shadow_the_standard_module(self) -> None:
        """In the root, the standard library's platform is imported."""
        process = subprocess.run(
            [sys.executable, '-c', 'import platform; platform.system()'],
            cwd=ROOT,
            check=False,
        )
        self.assertEqual(0, process.returncode)
        self.assertFalse((ROOT / 'platform' / '__init__.py').exists())

    def test_plugin_is_small(self) -> None:
        """The plugin translates and holds no logic of the product."""
        lines = sum(
            len(path.read_text(encoding='utf-8').splitlines())
            for path in PLUGIN.rglob('*.py')
        )
        self.assertLess(lines, MAX_LINES)

    def test_product_has_no_names_of_the_platform(self) -> None:
        """The product has no paths, headers or topics of the platform."""
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


class RecordDecoderTest(unittest.TestCase):
    """Decode the records of others."""

    def setUp(self) -> None:
        """Load the plugin."""
        self.decoder = load_platform().catalogue_decoder

    def test_configuration(self) -> None:
        """Route kinds, traffic splits and timeouts are decoded."""
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
        decoded = self.decoder.configuration(
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

    def configuration(self, **fields: object) -> catalogue.Configuration:
        """Decode a configuration with one route and further fields."""
        route = {
            'host': 'h',
            'path-prefix': '/',
            'route-type': 'idempotent',
            'service': 's',
        }
        value = {
            'version': 1,
            'routes': [{**route, **fields.pop('route', {})}],
            'services': [],
            **fields,
        }
        decoded = self.decoder.configuration(
            'config', json.dumps(value).encode()
        )
        assert decoded is not None
        return decoded

    def test_scaling(self) -> None:
        """Limits and prices of upstreams; services without are not scaled."""
        scaling = {
            'min': 1,
            'max': 15,
            'boot-s': 4.0,
            'spot-price': 0.18,
            'zone-prices': {'gdansk': 1.0, 'gdynia': 0.8},
        }
        decoded = self.configuration(
            services=[{'name': 's', 'scaling': scaling}, {'name': 't'}]
        )
        self.assertEqual(
            catalogue.Scaling(
                1, 15, 4.0, 0.18, {'gdansk': 1.0, 'gdynia': 0.8}
            ),
            decoded.services['s'].scaling,
        )
        self.assertIsNone(decoded.services['t'].scaling)
        with self.assertRaises(decoding.MalformedData):
            self.configuration(
                services=[{'name': 's', 'scaling': {**scaling, 'max': -1}}]
            )

    def test_spot_upstream_that_is_reclaimed(self) -> None:
        """Its registration states the time that is left."""
        value = {
            'service': 's',
            'address': '127.0.0.1:9',
            'zone': 'gdynia',
            'slots': 8,
            'state': 'draining',
            'use-spot': True,
            'leaves_ms': 1500,
        }
        entry = self.decoder.upstream('i-1', json.dumps(value).encode())
        self.assertEqual(
            (True, True, 1.5), (entry.draining, entry.is_spot, entry.leaves_s)
        )
        for name in ('use-spot', 'leaves_ms'):
            del value[name]
        entry = self.decoder.upstream('i-1', json.dumps(value).encode())
        self.assertEqual((False, None), (entry.is_spot, entry.leaves_s))

    def test_accounts(self) -> None:
        """Accounts are found by key; without tenants there are none."""
        decoded = self.configuration(
            tenants=[
                {'name': 'kea', 'keys': ['k-1', 'k-2'], 'priority': 3},
                {'name': 'tui', 'keys': ['k-2']},
                {'name': 'moa'},
            ],
            route={'public': True},
        )
        assert decoded.accounts is not None
        self.assertEqual(
            ['kea', 'tui', 'moa'],
            [account.name for account in decoded.accounts.accounts],
        )
        for key in ('k-1', 'k-2'):
            account = lookup.find(decoded.accounts, key)
            assert account is not None
            self.assertEqual(('kea', 3), (account.name, account.priority))
        self.assertIsNone(lookup.find(decoded.accounts, 'k-3'))
        self.assertIsNone(decoded.accounts.accounts[1].priority)
        self.assertTrue(decoded.routes[0].is_public)
        self.assertNotIn('k-1', repr(decoded))
        self.assertIsNone(self.configuration().accounts)
        self.assertIsNone(self.configuration(tenants=None).accounts)
        self.assertFalse(self.configuration().routes[0].is_public)
        empty = self.configuration(tenants=[]).accounts
        assert empty is not None
        self.assertIsNone(lookup.find(empty, ''))

    def test_malformed_accounts_name_no_key(self) -> None:
        """A configuration with one is refused as a whole.

        A text in place of a flag would otherwise open a route.
        """
        cases = (
            {'tenants': {'kea': ['SECRET']}},
            {'tenants': ['SECRET']},
            {'tenants': [{'keys': ['SECRET']}]},
            {'tenants': [{'name': 'k e a', 'keys': ['SECRET']}]},
            {'tenants': [{'name': 'kea', 'keys': 'SECRET'}]},
            {'tenants': [{'name': 'kea', 'keys': ['SECRET key']}]},
            {'tenants': [{'name': 'kea', 'keys': ['']}]},
            {'tenants': [{'name': 'kea', 'keys': [['SECRET']]}]},
            {'tenants': [{'name': 'kea', 'priority': 'SECRET'}]},
            {'tenants': [], 'route': {'public': 'false'}},
        )
        for fields in cases:
            with self.subTest(fields=fields):
                with self.assertRaises(decoding.MalformedData) as raised:
                    self.configuration(**fields)
                self.assertNotIn('SECRET', str(raised.exception))

    def test_invalid_records_register_no_upstream(self) -> None:
        """Unknown states, wrong types and bytes raise or give None."""
        valid = {
            'service': 's',
            'address': '1.2.3.4:5',
            'zone': 'z',
            'slots': 4,
            'state': 'ready',
        }
        self.assertIsNotNone(self.decode(json.dumps(valid).encode()))
        invalid = (
            b'\xff',
            b'[]',
            b'{}',
            json.dumps({**valid, 'state': 'odd'}).encode(),
            json.dumps({**valid, 'address': 5}).encode(),
            json.dumps({**valid, 'address': 'nowhere'}).encode(),
            json.dumps({**valid, 'service': ['s']}).encode(),
            json.dumps({**valid, 'models': 3}).encode(),
            json.dumps({**valid, 'zone': 5}).encode(),
            json.dumps({**valid, 'slots': '4'}).encode(),
        )
        for value in invalid:
            with self.subTest(value=value):
                self.assertIsNone(self.decode(value))

    def decode(self, value: bytes) -> catalogue.UpstreamEntry | None:
        """Decode a record; None if the directory would skip it."""
        try:
            return self.decoder.upstream('i-1', value)
        except decoding.MalformedData:
            return None


class SamplerProtocolTest(unittest.TestCase):
    """Translate requests and responses."""

    def setUp(self) -> None:
        """Load the plugin."""
        self.protocol = load_platform().upstreams

    def headers(self, **options: int) -> dict[str, str]:
        """Return the headers of a request to the upstream."""
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

    def test_hop_by_hop_headers_are_removed(self) -> None:
        """Other headers are forwarded."""
        sent = self.headers()
        self.assertNotIn('X-Hop', sent)
        self.assertNotIn('Connection', sent)
        self.assertEqual('m', sent['X-Model'])
        self.assertEqual('2', sent['Last-Event-Id'])
        self.assertEqual('1500', sent['X-Deadline-Ms'])
        self.assertEqual('i-1', sent['X-Target-Instance'])

    def account_headers(self, account: str | None) -> dict[str, str]:
        """Return the headers of a request that states a key and an account."""
        request = upstreams.Request(
            'id-1',
            'POST',
            '/a',
            'h',
            [
                ('Authorization', 'Bearer k-1'),
                ('authorization', 'Bearer k-2'),
                ('x-tenant', 'tui'),
                ('X-Model', 'm'),
            ],
            b'',
            account,
        )
        sent = self.protocol.request_headers(request, 'i-1', 1.5)
        self.assertEqual('m', dict(sent)['X-Model'])
        return {
            name.title(): value
            for name, value in sent
            if name.title() in ('Authorization', 'X-Tenant')
        }

    def test_account_replaces_the_headers_of_the_caller(self) -> None:
        """Upstreams see no key, and no account that a caller claims."""
        self.assertEqual({'X-Tenant': 'kea'}, self.account_headers('kea'))
        self.assertEqual({}, self.account_headers(''))

    def test_without_accounts_the_headers_pass(self) -> None:
        """Deployments without accounts may use the headers themselves."""
        self.assertEqual(
            {'Authorization': 'Bearer k-2', 'X-Tenant': 'tui'},
            self.account_headers(None),
        )

    def test_resumption_replaces_the_last_event_of_the_caller(self) -> None:
        """Only the event after which the run continues is sent."""
        self.assertEqual('5', self.headers(last_event=5)['Last-Event-Id'])

    def test_not_run_only_if_the_upstream_states_it(self) -> None:
        """An error status alone does not mean that nothing was run."""
        parse = self.protocol.parse_response_head
        self.assertFalse(parse(503, {}).not_run)
        self.assertTrue(parse(503, {'X-Not-Executed': '1'}).not_run)
        self.assertTrue(parse(421, {}).not_run)

    def test_reported_load(self) -> None:
        """A fourth figure must not make the other three unknown."""

        def load(text: str) -> upstreams.ReportedLoad | None:
            head = self.protocol.parse_response_head(
                200, {'X-Server-Load': text}
            )
            return head.load

        known = upstreams.ReportedLoad(3, 0, 8)
        self.assertEqual(known, load('3,0,8'))
        self.assertEqual(known._replace(slowness=2.5), load('3,0,8,250'))
        self.assertEqual(known._replace(slowness=0.5), load('3, 0, 8, 50.0'))
        for unreadable in ('x', '', '0', '-5', 'nan', 'inf'):
            self.assertEqual(known, load(f'3,0,8,{unreadable}'))
        for unreadable in ('x', '', '3,0', '3,0,x', '3,0,8,100,1', '-1,0,8'):
            self.assertIsNone(load(unreadable))

    def test_request_limit(self) -> None:
        """A limit that is no rate is reported as unreadable."""
        cases = {
            '2.5': (2.5, False),
            '0': (0.0, False),
            '1e9': (1e9, False),
            '-1': (None, True),
            'nan': (None, True),
            'inf': (None, True),
            'many': (None, True),
            '': (None, True),
        }
        for text, expected in cases.items():
            with self.subTest(text=text):
                head = self.protocol.parse_response_head(
                    200, {'Server-Limit': text}
                )
                self.assertEqual(
                    expected, (head.request_limit, head.has_unreadable_limit)
                )
        head = self.protocol.parse_response_head(200, {})
        self.assertIsNone(head.request_limit)
        self.assertFalse(head.has_unreadable_limit)

    def test_event_with_a_weight_version(self) -> None:
        """A weight version in a block belongs to its event."""
        event = self.protocol.parse_event(
            ['x-weight-versions: 4', 'id: 7', 'data: a', 'data: b']
        )
        self.assertEqual((7, 'a\nb', 4), event)
        self.assertIsNone(self.protocol.parse_event(['data: a']))


class ClientProtocolTest(unittest.TestCase):
    """Decode requests of callers."""

    def setUp(self) -> None:
        """Load the plugin."""
        self.protocol = load_platform().callers

    def test_reward_call_of_an_item(self) -> None:
        """A malformed one makes the batch invalid; it may be missing."""
        call = {'id': 'r', 'host': 'H.example', 'path': '/s/1', 'body': 'eA=='}
        item = {'id': 'i', 'path': '/f/1', 'headers': {}, 'body': ''}
        submission = self.protocol.submission(
            'b',
            json.dumps({'items': [{**item, 'scorer': call}, item]}).encode(),
        )
        self.assertEqual(
            callers.RewardCall('r', 'h.example', '/s/1', 'eA=='),
            submission.items[0].reward_call,
        )
        self.assertIsNone(submission.items[1].reward_call)
        for malformed in ({}, 'text', {**call, 'body': '?'}):
            body = json.dumps({'items': [{**item, 'scorer': malformed}]})
            with self.assertRaises(callers.BadRequest):
                self.protocol.submission('b', body.encode())

    def test_score_is_listed_with_its_result(self) -> None:
        """Results of items without a reward call have none."""
        page = callers.ResultPage(
            2,
            0,
            [
                callers.Result('i', True, 'x', (1,), 'signature'),
                callers.Result('j', True, 'x', (1,)),
            ],
        )
        results = json.loads(self.protocol.result_page(page))['results']
        self.assertEqual('signature', results[0]['score'])
        self.assertNotIn('score', results[1])

    def test_key_of_a_call(self) -> None:
        """Other schemes carry no key; a call on a batch has one as well."""
        cases = {
            'Bearer k-1': 'k-1',
            'bearer  k-1 ': 'k-1',
            'Bearer': '',
            'Bearer ': '',
            'Basic k-1': None,
            'k-1': None,
            '': None,
        }
        for text, key in cases.items():
            with self.subTest(text=text):
                headers = {'Authorization': text}
                for target in ('/a', '/api/lots/b', '/api/items/b?id=i'):
                    call = self.protocol.call('GET', target, headers)
                    self.assertEqual(key, call.key)
        self.assertIsNone(self.protocol.call('GET', '/a', {}).key)

    def test_calls(self) -> None:
        """The kind of a call follows from its method and path."""
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
