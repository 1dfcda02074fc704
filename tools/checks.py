"""Run the checks and print the number passed and failed."""

import argparse
import collections.abc
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import typing
import unittest

from tools import models
from tools import shares

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
BIN = pathlib.Path(sys.executable).parent
SCENARIO_TIMEOUT_S = 1800
# Folder of the tests that run alone, after all other checks.
ISOLATED = 'isolated'
# Characters of the message of a failed check that are printed.
MAX_DETAIL = 300


class Outcome(typing.NamedTuple):
    """Record the result of one check."""

    name: str
    passed: bool
    detail: str = ''


class CollectingResult(unittest.TextTestResult):
    """Record the outcome of each unit test, and print failures at once.

    An unfinished run then still shows which tests have failed.
    """

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.outcomes: list[Outcome] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Record a passed test."""
        super().addSuccess(test)
        self.outcomes.append(Outcome(test.id(), True))

    def addFailure(self, test: unittest.TestCase, err: typing.Any) -> None:
        """Record a failed test."""
        super().addFailure(test, err)
        self._add_failed(test, str(err[1]))

    def addError(self, test: unittest.TestCase, err: typing.Any) -> None:
        """Record a test that raised an unexpected exception."""
        super().addError(test, err)
        self._add_failed(test, repr(err[1]))

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:
        """Record a test that passed though it was expected to fail."""
        super().addUnexpectedSuccess(test)
        self._add_failed(test, 'unexpected success')

    def addSubTest(
        self,
        test: unittest.TestCase,
        subtest: unittest.TestCase,
        err: typing.Any,
    ) -> None:
        """Record a failed subtest under the name of its test."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self._add_failed(test, f'{subtest}: {err[1]}')

    def _add_failed(self, test: unittest.TestCase, detail: str) -> None:
        outcome = Outcome(test.id(), False, detail)
        self.outcomes.append(outcome)
        self.stream.write(f'\n{failure_line(outcome)}\n')
        self.stream.flush()


def failure_line(outcome: Outcome) -> str:
    """Return the line that names a failed check and its message."""
    is_known = outcome.name in read_known_failures()
    kind = 'KNOWN RED' if is_known else 'FAILED'
    return f'{kind} {outcome.name}: {outcome.detail[:MAX_DETAIL]}'


def lint() -> list[Outcome]:
    """Run the formatter in check mode and the linter."""
    folders = [f for f in shares.FOLDERS if (ROOT / f).exists()]
    commands = {
        'formatter': [str(BIN / 'ruff'), 'format', '--check', *folders],
        'linter': [str(BIN / 'flake8'), *folders],
    }
    outcomes = []
    for name, command in commands.items():
        completed = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=False
        )
        passed = completed.returncode == 0
        print(f'{name}: {"ok" if passed else "FAILED"}')
        if not passed:
            print(completed.stdout[-4000:] + completed.stderr[-2000:])
        outcomes.append(Outcome(name, passed))
    return outcomes


def run_unit_tests(names: list[str]) -> list[Outcome]:
    """Run unit tests; without names, all except the isolated ones."""
    loader = unittest.TestLoader()
    if names:
        return run_suite(loader.loadTestsFromNames(names))
    suite = loader.discover(str(ROOT / 'test'), top_level_dir=str(ROOT))
    return run_suite(
        unittest.TestSuite(t for t in list_tests(suite) if not is_isolated(t))
    )


def run_isolated_tests() -> list[Outcome]:
    """Run the tests that other load would disturb, one at a time."""
    suite = unittest.TestLoader().discover(
        str(ROOT / 'test' / ISOLATED), top_level_dir=str(ROOT)
    )
    return run_suite(suite)


def list_tests(
    suite: unittest.TestSuite,
) -> collections.abc.Iterator[unittest.TestCase]:
    """Yield the tests of a suite and of the suites in it."""
    for member in suite:
        if isinstance(member, unittest.TestSuite):
            yield from list_tests(member)
        else:
            yield member


def is_isolated(test: unittest.TestCase) -> bool:
    """Return whether a test has to run alone."""
    return test.id().startswith(f'test.{ISOLATED}.')


def run_suite(suite: unittest.TestSuite) -> list[Outcome]:
    """Run tests, printing the name and message of each failure at once."""
    # With a buffer, only failed tests print what they logged.
    runner = unittest.TextTestRunner(
        resultclass=CollectingResult,
        verbosity=1,
        stream=sys.stdout,
        buffer=True,
    )
    result = typing.cast(CollectingResult, runner.run(suite))
    return result.outcomes


class ScenarioRun:
    """Run the scenarios in a process of their own."""

    def __init__(self, arguments: list[str]) -> None:
        # The unit tests that run meanwhile patch this process's clock, so
        # until they have finished only the child process may measure time.
        self._report = tempfile.NamedTemporaryFile(suffix='.json')
        self._output = tempfile.TemporaryFile('w+', errors='replace')
        self._process = subprocess.Popen(
            [
                sys.executable,
                '-m',
                'behave',
                '--format',
                'progress2',
                '--format',
                'json',
                '--outfile',
                '/dev/stdout',
                '--outfile',
                self._report.name,
                *arguments,
                'scenarios',
            ],
            cwd=ROOT,
            # Failed steps are printed at once, to standard error.
            stdout=self._output,
        )

    def finish(self) -> list[Outcome]:
        """Wait for the scenarios and return their outcomes.

        Raises subprocess.TimeoutExpired after SCENARIO_TIMEOUT_S.
        """
        self._process.wait(SCENARIO_TIMEOUT_S)
        self._output.seek(0)
        print(self._output.read())
        text = pathlib.Path(self._report.name).read_text(encoding='utf-8')
        if not text.strip():
            return [Outcome('scenarios', False, 'behave wrote no report')]
        return _scenario_outcomes(json.loads(text))


def _scenario_outcomes(features: typing.Any) -> list[Outcome]:
    outcomes = []
    for feature in features:
        for element in feature.get('elements', ()):
            if element['type'] == 'background':
                continue
            status = element['status']
            if status == 'skipped':
                continue
            errors = [
                ' '.join(step['result'].get('error_message', ''))
                for step in element['steps']
                if step.get('result', {}).get('status') not in ('passed', None)
            ]
            outcomes.append(
                Outcome(element['name'], status == 'passed', str(errors))
            )
    return outcomes


def check_models() -> list[Outcome]:
    """Check the Promela models and their broken variants."""
    outcomes = []
    for report in models.run_all():
        print(report.line())
        outcomes.append(Outcome(report.name, report.as_expected))
    return outcomes


def read_known_failures() -> set[str]:
    """Return the names of the checks that KNOWN-RED.txt lets fail."""
    names = set()
    for line in KNOWN_RED.read_text(encoding='utf-8').splitlines():
        if line.startswith('test: '):
            names.add(line.removeprefix('test: ').strip())
    return names


def summarize(outcomes: list[Outcome]) -> int:
    """Print failures and counts and return the exit code.

    Known failures do not count; a run without any outcome fails.
    """
    known_failures = read_known_failures()
    failed = [o for o in outcomes if not o.passed]
    for outcome in failed:
        print(failure_line(outcome))
    for name in sorted(known_failures):
        if any(o.name == name and o.passed for o in outcomes) and not any(
            o.name == name for o in failed
        ):
            print(f'{name} passes: ready to remove from KNOWN-RED.txt')
    unexpected = [o for o in failed if o.name not in known_failures]
    passed = sum(outcome.passed for outcome in outcomes)
    print(f'{passed} passed, {len(unexpected)} failed')
    return 1 if unexpected or not outcomes else 0


def main() -> None:
    """Run the checks selected on the command line."""
    arguments = argparse.ArgumentParser()
    arguments.add_argument(
        'part', choices=['all', 'unit', 'scenarios', 'models']
    )
    options, remaining = arguments.parse_known_args()
    started = time.monotonic()
    outcomes: list[Outcome] = []
    scenarios = None
    if options.part == 'all':
        # Scenarios mostly wait for processes; the other checks run meanwhile.
        scenarios = ScenarioRun([])
        outcomes += lint()
    if options.part in ('all', 'unit'):
        outcomes += run_unit_tests(remaining)
    if options.part in ('all', 'models'):
        outcomes += check_models()
    if options.part == 'scenarios':
        scenarios = ScenarioRun(remaining)
    if scenarios is not None:
        outcomes += scenarios.finish()
    if options.part == 'all' or (options.part == 'unit' and not remaining):
        outcomes += run_isolated_tests()
    print(f'took {time.monotonic() - started:.0f} s')
    sys.exit(summarize(outcomes))


if __name__ == '__main__':
    main()
