"""Print the number and share of code lines by folder."""

import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent
FOLDERS = (
    'baobabpond',
    'platform',
    'standins',
    'measure',
    'tools',
    'test',
    'scenarios',
)
TESTS = ('test', 'scenarios')
RESILIENCE = (
    'routing',
    'members',
    'claims',
    'leases',
    'log',
    'rollout',
    'weights',
    'batches',
    'pool',
    'store',
    'upstreams',
    'catalogue',
)


def count_lines(folder: pathlib.Path) -> int:
    """Count the non-blank Python lines in a folder, without generated code."""
    lines = 0
    for path in folder.rglob('*.py'):
        if 'gen' in path.parts:
            continue
        text = path.read_text(encoding='utf-8')
        lines += sum(bool(line.strip()) for line in text.splitlines())
    return lines


def main() -> None:
    """Print the lines and shares of each folder, tests and resilience."""
    totals = {folder: count_lines(ROOT / folder) for folder in FOLDERS}
    total_lines = sum(totals.values())
    for folder, lines in totals.items():
        print(f'{folder:<12}{lines:>7}  {lines / total_lines:>6.1%}')
    tests = sum(totals[folder] for folder in TESTS)
    resilience = sum(
        count_lines(ROOT / 'baobabpond' / folder) for folder in RESILIENCE
    )
    print(f'tests: {tests / total_lines:.1%} of all (below a third)')
    print(
        'routing, limits, retries, membership, state, recovery: '
        f'{resilience / total_lines:.1%} of all (a quarter or more)'
    )


if __name__ == '__main__':
    main()
