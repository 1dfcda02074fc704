"""Run a measurement: one JSON line per run, then a table."""

import argparse
import json
import statistics
import sys
import typing

from measure import accounts  # noqa: F401  Registers measurements.
from measure import control  # noqa: F401  Registers measurements.
from measure import overload  # noqa: F401  Registers measurements.
from measure import platform  # noqa: F401  Registers measurements.
from measure import registry
from measure import relay  # noqa: F401  Registers measurements.
from measure import rollout  # noqa: F401  Registers measurements.
from measure import slopes  # noqa: F401  Registers measurements.

GROUP_KEYS = ('variant', 'user', 'fault', 'instances')


def parse() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='./run measure')
    parser.add_argument('name', nargs='?', choices=registry.measurements.names)
    parser.add_argument('--seed', type=int, action='append')
    parser.add_argument('--baseline', action='store_true')
    parser.add_argument('--policy', action='store_true')
    parser.add_argument('--user', default='pasak')
    parser.add_argument('--fault', action='append')
    parser.add_argument('--instances', default='4,8,16,32')
    parser.add_argument('--seconds', type=float, default=10.0)
    parser.add_argument('--set', action='append', default=[])
    return parser.parse_args()


def table(rows: list[registry.Row]) -> list[str]:
    """Format minimum, median and maximum of each figure over the seeds."""
    groups: dict[tuple[typing.Any, ...], list[registry.Row]] = {}
    for row in rows:
        key = tuple(row.get(name) for name in GROUP_KEYS)
        groups.setdefault(key, []).append(row)
    lines = []
    for key, members in groups.items():
        label = ' '.join(str(part) for part in key if part is not None)
        lines.append(f'{label} ({len(members)} runs)')
        for name, value in members[0].items():
            if name in GROUP_KEYS or not isinstance(value, int | float):
                continue
            values = [member[name] for member in members]
            lines.append(
                f'  {name:<26}{min(values):>10.4g}'
                f'{statistics.median(values):>10.4g}{max(values):>10.4g}'
            )
    return lines


def main() -> None:
    """Run the measurement that the command line selects."""
    options = parse()
    if options.name is None:
        print('\n'.join(registry.measurements.names))
        return
    options.seed = options.seed or [1, 2, 3]
    options.fault = options.fault or ['none']
    rows = []
    for row in registry.measurements.get(options.name)(options):
        print(json.dumps(row), flush=True)
        if 'fit' not in row:
            rows.append(row)
    print('\n'.join(['', 'min / median / max', *table(rows)]))
    sys.exit(0)


if __name__ == '__main__':
    main()
