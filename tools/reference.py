"""Write the reference of settings from their schema."""

import json
import pathlib
import typing

from baobabpond.settings import check

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / 'docs' / 'reference' / 'settings.md'
INTRODUCTION = """# Settings

Written by `./run reference` from `baobabpond/schema`; do not edit.

## The tree

Published with `baobabpond settings publish FILE`. A node inherits what it does
not override: root → deployment → deployment/service →
deployment/service/workload.
"""
INSTANCE = """
## One process

Given to `baobabpond serve --config FILE`.
"""


def allowed(rule: dict[str, typing.Any]) -> str:
    """Return what values a rule allows."""
    if 'enum' in rule:
        return ', '.join(map(str, rule['enum']))
    if 'minimum' in rule:
        return f'{rule["type"]}, {rule["minimum"]} to {rule["maximum"]}'
    if 'pattern' in rule:
        return f'{rule["type"]} matching `{rule["pattern"]}`'
    return str(rule['type'])


def rows(schema: str, defaults: typing.Any) -> list[str]:
    """Return the table of a schema."""
    lines = ['', '| key | allowed | default | meaning |', '|---|---|---|---|']
    for key, rule in check.load_schema(schema)['properties'].items():
        lines.append(
            f'| `{key}` | {allowed(rule)} | `{json.dumps(defaults[key])}` '
            f'| {rule["description"]} |'
        )
    return lines


def page() -> str:
    """Return the whole page."""
    tree = rows('tree', check.default_tree())
    instance = rows('instance', check.load_instance(None))
    return (
        INTRODUCTION
        + '\n'.join(tree)
        + '\n'
        + INSTANCE
        + '\n'.join(instance)
        + '\n'
    )


if __name__ == '__main__':
    PAGE.write_text(page(), encoding='utf-8')
