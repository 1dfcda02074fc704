"""Write the settings reference page from the JSON schemas."""

import json
import pathlib
import typing

from baobabpond.settings import check

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE_PATH = ROOT / 'docs' / 'reference' / 'settings.md'
INTRODUCTION = """# Settings

Written by `./run reference` from `baobabpond/schema`; do not edit.

## The tree

Published with `baobabpond settings publish FILE`. A node inherits what it does
not override: root → deployment → deployment/service →
deployment/service/workload.
"""
INSTANCE_SECTION = """
## One process

Given to `baobabpond serve --config FILE`.
"""
HOST_SECTION = """
## One instance on a platform

Read from the file that `BAOBABPOND_CONFIG` names; the platform renders it from
`deploy/settings.json5`.
"""


def allowed_values(rule: dict[str, typing.Any]) -> str:
    """Describe the values that a property's schema allows."""
    if 'enum' in rule:
        return ', '.join(map(str, rule['enum']))
    if 'minimum' in rule:
        return f'{rule["type"]}, {rule["minimum"]} to {rule["maximum"]}'
    if 'exclusiveMinimum' in rule:
        low = rule['exclusiveMinimum']
        return f'{rule["type"]}, above {low}, to {rule["maximum"]}'
    if 'pattern' in rule:
        return f'{rule["type"]} matching `{rule["pattern"]}`'
    return str(rule['type'])


def table(schema: str, defaults: typing.Any) -> list[str]:
    """Return the Markdown table of a schema's properties."""
    lines = ['', '| key | allowed | default | meaning |', '|---|---|---|---|']
    for key, rule in check.load_schema(schema)['properties'].items():
        lines.append(
            f'| `{key}` | {allowed_values(rule)} '
            f'| `{json.dumps(defaults[key])}` | {rule["description"]} |'
        )
    return lines


def host_table() -> list[str]:
    """Return the Markdown table of the settings of a platform's instance.

    The descriptions of those that are optional state their defaults.
    """
    schema = check.load_schema('host')
    lines = ['', '| key | allowed | required | meaning |', '|---|---|---|---|']
    for key, rule in schema['properties'].items():
        is_required = 'yes' if key in schema['required'] else 'no'
        lines.append(
            f'| `{key}` | {allowed_values(rule)} '
            f'| {is_required} | {rule["description"]} |'
        )
    return lines


def render() -> str:
    """Render the whole page as Markdown."""
    tree = table('tree', check.default_tree())
    instance = table('instance', check.load_instance(None))
    return (
        INTRODUCTION
        + '\n'.join(tree)
        + '\n'
        + INSTANCE_SECTION
        + '\n'.join(instance)
        + '\n'
        + HOST_SECTION
        + '\n'.join(host_table())
        + '\n'
    )


if __name__ == '__main__':
    PAGE_PATH.write_text(render(), encoding='utf-8')
