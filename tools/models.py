"""Verify the Promela models and check that broken variants are rejected."""

import pathlib
import re
import subprocess
import tempfile
import typing

ROOT = pathlib.Path(__file__).resolve().parent.parent
MODELS_FOLDER = ROOT / 'models'
VARIANT_PATTERN = re.compile(r'^#ifn?def (BROKEN_\w+)', re.MULTILINE)
STATES_PATTERN = re.compile(r'^\s*([\d.e+]+) states, stored', re.MULTILINE)
ERRORS_PATTERN = re.compile(r'errors: (\d+)')
MAX_SEARCH_DEPTH = 1_000_000
TIMEOUT_S = 120


class Report(typing.NamedTuple):
    """Describe the result of one state-space search by Spin."""

    name: str
    expect_errors: bool
    errors: int
    states: int
    complete: bool

    @property
    def as_expected(self) -> bool:
        """Return whether the model holds or the variant is rejected."""
        if self.expect_errors:
            return self.errors > 0
        return self.errors == 0 and self.complete

    def line(self) -> str:
        """Format the report as one line."""
        expected = 'rejected' if self.expect_errors else 'holds'
        outcome = 'ok' if self.as_expected else 'FAILED'
        return (
            f'model {self.name}: {outcome} (expected: {expected}; '
            f'{self.errors} errors, {self.states} states)'
        )


def run_all() -> list[Report]:
    """Search every model and each of its BROKEN_* variants."""
    reports = []
    for path in sorted(MODELS_FOLDER.glob('*.pml')):
        reports.append(_run(path, None))
        variants = VARIANT_PATTERN.findall(path.read_text(encoding='utf-8'))
        for variant in sorted(set(variants)):
            reports.append(_run(path, variant))
    return reports


def _run(path: pathlib.Path, variant: str | None) -> Report:
    name = path.stem if variant is None else f'{path.stem}/{variant}'
    defines = [] if variant is None else [f'-D{variant}']
    with tempfile.TemporaryDirectory() as folder:
        for command in (
            ['spin', '-a', *defines, str(path)],
            ['gcc', '-O2', '-DSAFETY', '-DCOLLAPSE', '-o', 'pan', 'pan.c'],
        ):
            subprocess.run(
                command, cwd=folder, check=True, capture_output=True
            )
        output = subprocess.run(
            ['./pan', '-E', f'-m{MAX_SEARCH_DEPTH}'],
            cwd=folder,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        ).stdout
    errors = ERRORS_PATTERN.search(output)
    states = STATES_PATTERN.search(output)
    return Report(
        name,
        variant is not None,
        int(errors.group(1)) if errors else -1,
        int(float(states.group(1))) if states else 0,
        'max search depth too small' not in output,
    )
