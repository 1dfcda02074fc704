"""Load settings and validate them against their JSON Schema."""

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
    """Describe an invalid setting and the values that are allowed."""

    path: str
    violation: str
    allowed: str

    def __str__(self) -> str:
        return f'{self.path}: {self.violation}; allowed: {self.allowed}'


@functools.cache
def load_schema(name: str) -> dict[str, typing.Any]:
    """Return the packaged JSON Schema with this name."""
    source = importlib.resources.files(PACKAGE) / 'schema'
    return json.loads((source / f'{name}.schema.json').read_text())


@functools.cache
def _make_validator(name: str) -> jsonschema.Draft7Validator:
    return jsonschema.Draft7Validator(
        load_schema(name), format_checker=jsonschema.FormatChecker()
    )


def problems(
    schema_name: str, values: typing.Any, path: str = ''
) -> list[Problem]:
    """Return all violations of a schema by some values."""
    found = _make_validator(schema_name).iter_errors(values)
    return [
        _describe(error, path, schema_name)
        for error in sorted(found, key=lambda error: str(error.path))
    ]


def _describe(
    error: jsonschema.ValidationError, path: str, schema_name: str
) -> Problem:
    setting = '/'.join([path, *(str(part) for part in error.absolute_path)])
    setting = setting.strip('/') or 'settings'
    if error.validator == 'additionalProperties':
        known = ', '.join(sorted(load_schema(schema_name)['properties']))
        return Problem(setting, error.message, f'the keys {known}')
    return Problem(setting, error.message, _describe_allowed(error.schema))


def _describe_allowed(rule: typing.Any) -> str:
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
    """Parse JSON5; raise UserError, which names the source."""
    try:
        return json5.loads(text)
    except ValueError as error:
        raise errors.UserError(f'{source}: {error}', exit_code=2) from error


def _load_defaults(name: str) -> typing.Any:
    source = importlib.resources.files(PACKAGE) / 'settings' / name
    return parse(source.read_text(), name)


@functools.cache
def default_tree() -> tree_schema.NodeSettings:
    """Return the defaults at the root of the tree."""
    return _load_defaults('default_tree.json5')


def read_file(path: str) -> typing.Any:
    """Read and parse a JSON5 file; raise UserError."""
    try:
        with open(path, encoding='utf-8') as source:
            return parse(source.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise errors.UserError(f'{path}: {error}', exit_code=2) from error


def load_instance(path: str | None) -> instance_schema.InstanceSettings:
    """Return the validated settings of one process; raise UserError.

    Settings that the file leaves out have their defaults.
    """
    values = dict(_load_defaults('default_instance.json5'))
    if path is not None:
        overrides = read_file(path)
        if not isinstance(overrides, dict):
            raise errors.UserError(f'{path}: expected an object', exit_code=2)
        values.update(overrides)
    _raise_for_problems('instance', values, path)
    return typing.cast(instance_schema.InstanceSettings, values)


def load_host(path: str | None) -> host_schema.HostSettings:
    """Return the validated settings of an instance on a platform.

    Raises UserError, also without a path, since there are no defaults.
    """
    if path is None:
        raise errors.UserError('no settings file given', exit_code=2)
    values = read_file(path)
    _raise_for_problems('host', values, path)
    return typing.cast(host_schema.HostSettings, values)


def _raise_for_problems(
    schema_name: str, values: typing.Any, path: str | None
) -> None:
    found = problems(schema_name, values)
    if found:
        raise errors.UserError(
            f'{path}: ' + '; '.join(map(str, found)), exit_code=2
        )
