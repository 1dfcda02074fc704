"""Test the summary of the checks."""

import contextlib
import io
import pathlib
import tempfile
import unittest
from unittest import mock

from tools import checks


class SummaryTest(unittest.TestCase):
    """Ignore the failures listed in KNOWN-RED.txt, and no others."""

    def summarize(self, red, *outcomes):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'KNOWN-RED.txt'
            path.write_text(red, encoding='utf-8')
            output = io.StringIO()
            with (
                mock.patch.object(checks, 'KNOWN_RED', path),
                contextlib.redirect_stdout(output),
            ):
                code = checks.summarize(list(outcomes))
        return code, output.getvalue()

    def test_failure_counts(self):
        code, output = self.summarize('', checks.Outcome('a', False))
        self.assertEqual(1, code)
        self.assertIn('0 passed, 1 failed', output)

    def test_known_failure_is_printed_but_not_counted(self):
        code, output = self.summarize(
            'test: a\n',
            checks.Outcome('a', False),
            checks.Outcome('b', True),
        )
        self.assertEqual(0, code)
        self.assertIn('KNOWN RED a', output)
        self.assertIn('1 passed, 0 failed', output)

    def test_passing_entry_is_reported(self):
        code, output = self.summarize('test: a\n', checks.Outcome('a', True))
        self.assertEqual(0, code)
        self.assertIn('ready to remove', output)

    def test_run_without_checks_fails(self):
        self.assertEqual(1, self.summarize('')[0])


if __name__ == '__main__':
    unittest.main()
