"""Test the summary of the checks."""

import contextlib
import io
import pathlib
import sys
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


class ImmediateOutputTest(unittest.TestCase):
    """Name each failure when it happens; keep passing tests silent.

    Otherwise the failures of a run that does not end stay unknown.
    """

    class Example(unittest.TestCase):
        """Log, and fail in one of the tests."""

        def test_passes(self):
            print('noise of a passing test')

        def test_fails(self):
            print('log of a failing test')
            self.fail('the message')

        def test_subtests(self):
            with self.subTest(case=7):
                self.fail('in a subtest')

    def run_example(self, name):
        output = io.StringIO()
        with mock.patch.object(sys, 'stdout', output):
            outcomes = checks.run_suite(
                unittest.TestSuite([self.Example(name)])
            )
        return outcomes, output.getvalue()

    def test_failure_is_named_before_the_summary(self):
        outcomes, output = self.run_example('test_fails')
        self.assertEqual([False], [o.passed for o in outcomes])
        first = output.index('test_fails: the message')
        self.assertLess(first, output.index('=' * 70))
        self.assertIn('log of a failing test', output)

    def test_failed_subtest_is_named_with_its_parameters(self):
        _, output = self.run_example('test_subtests')
        self.assertRegex(output, r'FAILED .*case=7.*in a subtest')

    def test_passing_test_prints_nothing_of_its_own(self):
        _, output = self.run_example('test_passes')
        self.assertNotIn('noise', output)


class IsolatedTestsTest(unittest.TestCase):
    """Tests that other load disturbs do not run beside other checks."""

    def run_names(self, function, *arguments):
        suites = []
        with mock.patch.object(checks, 'run_suite', suites.append):
            function(*arguments)
        return [test.id() for test in checks.list_tests(suites[0])]

    def test_each_test_runs_once(self):
        isolated = self.run_names(checks.run_isolated_tests)
        others = self.run_names(checks.run_unit_tests, [])
        self.assertTrue(isolated)
        self.assertTrue(
            all(name.startswith('test.isolated.') for name in isolated)
        )
        self.assertFalse(set(isolated) & set(others))
        self.assertIn(self.id(), others)

    def test_isolated_test_can_be_named(self):
        names = self.run_names(
            checks.run_unit_tests, ['test.isolated.test_untrusted_clients']
        )
        self.assertTrue(names)


if __name__ == '__main__':
    unittest.main()
