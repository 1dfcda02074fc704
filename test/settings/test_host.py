"""Test loading and reloading the settings of an instance on a platform."""

import json
import pathlib
import re
import tempfile
import unittest

from baobabpond import errors
from baobabpond.settings import check
from baobabpond.settings import watch

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SETTINGS = {
    'instance': 'a',
    'data_centre': 'd',
    'region': 'r',
    'address': '127.0.0.1',
    'callers_listen': '127.0.0.1:1',
    'ready_listen': '127.0.0.1:2',
    'entries_listen': '127.0.0.1:3',
    'metrics_port': 4,
    'peer_port': 5,
    'relay_port': 6,
    'plugin_folder': 'platform',
    'plugin': 'p',
    'store_address': '127.0.0.1:6',
    'parts': 12,
    'order_lease_ms': 3000,
    'upstreams_check_fences': True,
    'grace_s': 8,
    'status_s': 120,
    'longest_validity_s': 5,
    'memory_mb': 200,
    'log_level': 'info',
}


class HostSettingsTest(unittest.TestCase):
    """Validate and reload the settings file."""

    def setUp(self) -> None:
        """Write a settings file."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'host.json5'
        self.write(SETTINGS)
        self.applied: list[object] = []

    def write(self, settings: dict[str, object]) -> None:
        """Write a settings file that starts with a comment."""
        self.path.write_text('// comment\n' + json.dumps(settings))

    def test_unknown_fields_are_ignored(self) -> None:
        """Fields that the platform adds do not make the settings invalid."""
        self.write({**SETTINGS, 'new_field': [1]})
        self.assertEqual('a', check.load_host(str(self.path))['instance'])

    def test_invalid_fields_are_named(self) -> None:
        """The error names the invalid field."""
        self.write({**SETTINGS, 'grace_s': 'soon'})
        with self.assertRaisesRegex(errors.UserError, 'grace_s'):
            check.load_host(str(self.path))

    def test_change_is_applied_once(self) -> None:
        """A changed file is applied, an unchanged one is not."""
        watched = watch.SettingsFile(str(self.path), self.applied.append)
        self.assertFalse(watched.reload_if_changed())
        self.write({**SETTINGS, 'grace_s': 9})
        self.assertTrue(watched.reload_if_changed())
        self.assertFalse(watched.reload_if_changed())
        self.assertEqual(1, len(self.applied))

    def test_invalid_change_is_not_applied(self) -> None:
        """An invalid file does not reach the listener."""
        watched = watch.SettingsFile(str(self.path), self.applied.append)
        self.path.write_text('{')
        self.assertFalse(watched.reload_if_changed())
        self.assertEqual([], self.applied)

    def test_template_has_every_setting(self) -> None:
        """The deployed template has exactly the fields that are required."""
        template = (ROOT / 'deploy' / 'settings.json5').read_text()
        named = set(re.findall(r'^  (\w+):', template, re.MULTILINE))
        schema = check.load_schema('host')
        self.assertEqual(set(schema['required']), named)
