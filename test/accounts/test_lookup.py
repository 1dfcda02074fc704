"""Test that accounts are found by key, and keys are nowhere to be read."""

import json
import unittest

from baobabpond.accounts import lookup
from baobabpond.accounts import peers
from baobabpond import decoding
from baobabpond.ports import log as log_port

from ..platform_plugin import test_plugin

from . import examples

SECRET = 'SECRET-key'


class LookupTest(unittest.TestCase):
    """Find accounts by the digests of keys."""

    def test_digest_of_a_key_is_no_key(self) -> None:
        """Whoever reads a digest on the way gets nowhere with it."""
        text = f'sha256:{lookup.digest_key(examples.KEY).hex()}'
        account = lookup.create('kea', [text], None)
        accounts = lookup.index([account])
        self.assertEqual(account, lookup.find(accounts, examples.KEY))
        self.assertIsNone(lookup.find(accounts, text))
        self.assertIsNone(lookup.find(examples.ACCOUNTS, text))

    def test_key_that_two_accounts_hold(self) -> None:
        """All instances attribute its requests to the same one."""
        accounts = lookup.index(
            lookup.create(name, ['k'], None) for name in ('tui', 'kea')
        )
        found = lookup.find(accounts, 'k')
        assert found is not None
        self.assertEqual('tui', found.name)


class KeyRedactorTest(unittest.TestCase):
    """Pass records of the operators on to another instance."""

    def setUp(self) -> None:
        """Create a redactor with the decoder of the plugin."""
        self.decoder = test_plugin.load_platform().catalogue_decoder
        self.redactor = peers.KeyRedactor(self.decoder)

    def redact(self, value: bytes, key: str = 'config') -> bytes:
        """Return the value of a record as another instance gets it."""
        (record,) = self.redactor.redact(
            self.decoder.configuration_topic, [log_port.Record(key, value, 5)]
        )
        self.assertEqual((key, 5), (record.key, record.offset))
        return record.value

    def test_keys_are_replaced_by_digests(self) -> None:
        """The configuration otherwise says the same."""
        value = json.dumps(
            {
                'version': 3,
                'routes': [],
                'services': [],
                'limits': {'max-body-bytes': 7},
                'tenants': [
                    {'name': 'kea', 'keys': [SECRET], 'priority': 2},
                    {'name': 'tui'},
                ],
            }
        ).encode()
        redacted = self.redact(value)
        self.assertNotIn(b'SECRET', redacted)
        self.assertEqual(
            self.decoder.configuration('config', value),
            self.decoder.configuration('config', redacted),
        )
        self.assertEqual(redacted, self.redact(redacted))

    def test_malformed_configurations_are_not_passed_on(self) -> None:
        """They may have keys in unexpected places; both sides ignore them."""
        for tenants in (SECRET, {'kea': SECRET}, [{'keys': SECRET}]):
            redacted = self.redact(json.dumps({'tenants': tenants}).encode())
            self.assertNotIn(b'SECRET', redacted)
            with self.assertRaises(decoding.MalformedData):
                self.decoder.configuration('config', redacted)
        self.assertNotIn(b'SECRET', self.redact(b'SECRET'))

    def test_other_records_are_unchanged(self) -> None:
        """Tombstones, announced versions and other topics."""
        self.assertEqual(b'', self.redact(b''))
        self.assertEqual(b'x', self.redact(b'x', 'version/m'))
        records = [log_port.Record('config', b'x')]
        self.assertEqual(records, self.redactor.redact('other', records))
