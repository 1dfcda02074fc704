"""Run the checks and close with a line that counts them."""

import argparse
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


class Outcome(typing.NamedTuple):
    """Hold the end of one check."""

    name: str
    passed: bool
    detail: str = ''


class CollectingResult(unittest.TextTestResult):
    """Keep the end of each unit test."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.outcomes: list[Outcome] = []

    def addSuccess(self, test: unittest.TestCase) -> None:
        """Keep a success."""
        super().addSuccess(test)
        self.outcomes.append(Outcome(test.id(), True))

    def addFailure(self, test: unittest.TestCase, err: typing.Any) -> None:
        """Keep a failure."""
        super().addFailure(test, err)
        self.outcomes.append(Outcome(test.id(), False, str(err[1])))

    def addError(self, test: unittest.TestCase, err: typing.Any) -> None:
        """Keep an error."""
        super().addError(test, err)
        self.outcomes.append(Outcome(test.id(), False, repr(err[1])))

    def addSubTest(
        self,
        test: unittest.TestCase,
        subtest: unittest.TestCase,
        err: typing.Any,
    ) -> None:
        """Keep a failed subtest under its test's name."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.outcomes.append(Outcome(test.id(), False, str(err[1])))


def lint() -> list[Outcome]:
    """Check format and style."""
    folders = [f for f in shares.FOLDERS if (ROOT / f).exists()]
    commands = {
        'formatter': [str(BIN / 'ruff'), 'format', '--check', *folders],
        'linter': [str(BIN / 'flake8'), *folders],
    }
    outcomes = []
    for name, command in commands.items():
        done = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, check=False
        )
        passed = done.returncode == 0
        print(f'{name}: {"ok" if passed else "FAILED"}')
        if not passed:
            print(done.stdout[-4000:] + done.stderr[-2000:])
        outcomes.append(Outcome(name, passed))
    return outcomes


def units(names: list[str]) -> list[Outcome]:
    """Run the unit tests."""
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / 'test'), top_level_dir=str(ROOT))
    runner = unittest.TextTestRunner(
        resultclass=CollectingResult, verbosity=1, stream=sys.stdout
    )
    result = typing.cast(CollectingResult, runner.run(suite))
    return result.outcomes


class ScenarioRun:
    """Run the scenarios in a process of their own."""

    def __init__(self, arguments: list[str]) -> None:
        # Beside unit tests that pause this process's clock, so that only
        # the other process may keep time until they are done.
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
            stdout=self._output,
            stderr=subprocess.STDOUT,
        )

    def finish(self) -> list[Outcome]:
        """Wait for the scenarios and return their ends."""
        self._process.wait(SCENARIO_TIMEOUT_S)
        self._output.seek(0)
        print(self._output.read())
        text = pathlib.Path(self._report.name).read_text(encoding='utf-8')
        if not text.strip():
            return [Outcome('scenarios', False, 'behave gave no report')]
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


def model_checks() -> list[Outcome]:
    """Check the models and their broken variants."""
    outcomes = []
    for report in models.run_all():
        print(report.line())
        outcomes.append(Outcome(report.name, report.as_expected))
    return outcomes


def known_red() -> set[str]:
    """Return the names of the checks that may fail."""
    names = set()
    for line in KNOWN_RED.read_text(encoding='utf-8').splitlines():
        if line.startswith('test: '):
            names.add(line.removeprefix('test: ').strip())
    return names


def summarize(outcomes: list[Outcome]) -> int:
    """Print the counts and return the exit code."""
    red = known_red()
    failed = [o for o in outcomes if not o.passed]
    for outcome in failed:
        kind = 'KNOWN RED' if outcome.name in red else 'FAILED'
        print(f'{kind} {outcome.name}: {outcome.detail[:300]}')
    for name in sorted(red):
        if any(o.name == name and o.passed for o in outcomes) and not any(
            o.name == name for o in failed
        ):
            print(f'{name} is green: ready to remove from KNOWN-RED.txt')
    counted = [o for o in failed if o.name not in red]
    passed = sum(outcome.passed for outcome in outcomes)
    print(f'{passed} passed, {len(counted)} failed')
    return 1 if counted or not outcomes else 0


def main() -> None:
    """Run what the command line names."""
    arguments = argparse.ArgumentParser()
    arguments.add_argument(
        'part', choices=['all', 'unit', 'scenarios', 'models']
    )
    options, rest = arguments.parse_known_args()
    started = time.monotonic()
    outcomes: list[Outcome] = []
    scenarios = None
    if options.part == 'all':
        # Scenarios mostly wait for processes; the rest runs meanwhile.
        scenarios = ScenarioRun([])
        outcomes += lint()
    if options.part in ('all', 'unit'):
        outcomes += units(rest)
    if options.part in ('all', 'models'):
        outcomes += model_checks()
    if options.part == 'scenarios':
        scenarios = ScenarioRun(rest)
    if scenarios is not None:
        outcomes += scenarios.finish()
    print(f'took {time.monotonic() - started:.0f} s')
    sys.exit(summarize(outcomes))


if __name__ == '__main__':
    main()
