"""Check settings against their schema and say what is wrong."""

import functools
import importlib.resources
import json
import typing

import json5
import jsonschema

from .. import errors
from ..gen import host as host_schema
from ..gen import instance as instance_schema
from ..gen import tree as tree_schema

PACKAGE = 'baobabpond'


class Problem(typing.NamedTuple):
    """Name the path of a bad setting, what is wrong and what is allowed."""

    path: str
    wrong: str
    allowed: str

    def __str__(self) -> str:
        return f'{self.path}: {self.wrong}; allowed: {self.allowed}'


@functools.cache
def load_schema(name: str) -> dict[str, typing.Any]:
    """Return the JSON Schema of a name from the package."""
    source = importlib.resources.files(PACKAGE) / 'schema'
    return json.loads((source / f'{name}.schema.json').read_text())


@functools.cache
def _validator(name: str) -> jsonschema.Draft7Validator:
    return jsonschema.Draft7Validator(
        load_schema(name), format_checker=jsonschema.FormatChecker()
    )


def problems(
    schema_name: str, values: typing.Any, path: str = ''
) -> list[Problem]:
    """Return all that is wrong with some values."""
    found = _validator(schema_name).iter_errors(values)
    return [
        _describe(error, path, schema_name)
        for error in sorted(found, key=lambda error: str(error.path))
    ]


def _describe(
    error: jsonschema.ValidationError, path: str, schema_name: str
) -> Problem:
    where = '/'.join([path, *(str(part) for part in error.absolute_path)])
    where = where.strip('/') or 'settings'
    if error.validator == 'additionalProperties':
        known = ', '.join(sorted(load_schema(schema_name)['properties']))
        return Problem(where, error.message, f'the keys {known}')
    return Problem(where, error.message, _allowed(error.schema))


def _allowed(rule: typing.Any) -> str:
    parts = []
    if 'type' in rule:
        parts.append(str(rule['type']))
    if 'enum' in rule:
        parts.append('one of ' + ', '.join(map(str, rule['enum'])))
    if 'minimum' in rule or 'maximum' in rule:
        parts.append(f'from {rule.get("minimum")} to {rule.get("maximum")}')
    if 'pattern' in rule:
        parts.append(f'matching {rule["pattern"]}')
    return ' '.join(parts) or 'see the reference'


def parse(text: str, source: str) -> typing.Any:
    """Parse JSON with comments, or raise UserError."""
    try:
        return json5.loads(text)
    except ValueError as error:
        raise errors.UserError(f'{source}: {error}', exit_code=2) from error


def _default(name: str) -> typing.Any:
    source = importlib.resources.files(PACKAGE) / 'settings' / name
    return parse(source.read_text(), name)


@functools.cache
def default_tree() -> tree_schema.NodeSettings:
    """Return the defaults at the root of the tree."""
    return _default('default_tree.json5')


def read_file(path: str) -> typing.Any:
    """Read a file of JSON with comments, or raise UserError."""
    try:
        with open(path, encoding='utf-8') as source:
            return parse(source.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UserError(f'{path}: {error}', exit_code=2) from error


def load_instance(path: str | None) -> instance_schema.InstanceSettings:
    """Return the checked settings of one process, or raise UserError."""
    values = dict(_default('default_instance.json5'))
    if path is not None:
        overrides = read_file(path)
        if not isinstance(overrides, dict):
            raise errors.UserError(f'{path}: not an object', exit_code=2)
        values.update(overrides)
    _refuse_problems('instance', values, path)
    return typing.cast(instance_schema.InstanceSettings, values)


def load_host(path: str | None) -> host_schema.HostSettings:
    """Return the checked settings of an instance on a platform.

    Raises UserError.
    """
    if path is None:
        raise errors.UserError('no settings are given', exit_code=2)
    values = read_file(path)
    _refuse_problems('host', values, path)
    return typing.cast(host_schema.HostSettings, values)


def _refuse_problems(
    schema_name: str, values: typing.Any, path: str | None
) -> None:
    found = problems(schema_name, values)
    if found:
        raise errors.UserError(
            f'{path}: ' + '; '.join(map(str, found)), exit_code=2
        )
