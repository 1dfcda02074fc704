"""Describe the steps that a trainer asks for, and its cursor."""

import json
import typing

from returns import result
import xxhash

from .. import verdicts

MAX_GROUPS = 65_536
MAX_SAMPLES_PER_GROUP = 1024
MAX_TOKENS = 1_000_000


class GroupSpec(typing.NamedTuple):
    """Describe one group of samples of one prompt."""

    name: str
    prompt: str
    samples: int
    max_tokens: int


class StepSpec(typing.NamedTuple):
    """Describe one step; the digest tells two specifications apart."""

    number: int
    groups: tuple[GroupSpec, ...]
    digest: str


class Cursor(typing.NamedTuple):
    """Hold the groups of a step that the trainer has.

    The trainer sends it back with each pull, so that what it has is
    never a matter of an instance's memory.
    """

    digest: str
    delivered: int

    def has(self, index: int) -> bool:
        """Tell whether the trainer has a group."""
        return bool(self.delivered >> index & 1)

    def with_group(self, index: int) -> 'Cursor':
        """Return the cursor after one more group."""
        return self._replace(delivered=self.delivered | 1 << index)

    def __str__(self) -> str:
        return f'{self.digest}.{self.delivered:x}'


def parse_step(
    number: int, fields: dict[str, typing.Any]
) -> result.Result[StepSpec, verdicts.Refusal]:
    """Return a checked step, or why it is refused."""
    groups = fields.get('groups')
    if not isinstance(groups, list) or not 0 < len(groups) <= MAX_GROUPS:
        return _fail('groups', f'must be a list of 1 to {MAX_GROUPS} groups')
    parsed = []
    for index, group in enumerate(groups):
        problem = _group_problem(group)
        if problem:
            return _fail(f'groups/{index}', problem)
        parsed.append(
            GroupSpec(
                group['name'],
                group['prompt'],
                group['samples'],
                group['max_tokens'],
            )
        )
    if len({group.name for group in parsed}) < len(parsed):
        return _fail('groups', 'must have different names')
    canonical = json.dumps([number, groups], sort_keys=True)
    digest = xxhash.xxh3_64_hexdigest(canonical.encode())
    return result.Success(StepSpec(number, tuple(parsed), digest))


def parse_cursor(
    text: typing.Any, spec: StepSpec
) -> result.Result[Cursor, verdicts.Refusal]:
    """Return a checked cursor; an empty one stands at the start."""
    if text == '':
        return result.Success(Cursor(spec.digest, 0))
    if not isinstance(text, str) or text.count('.') != 1:
        return _fail('cursor', 'must be one that a pull returned')
    digest, delivered_hex = text.split('.')
    try:
        delivered = int(delivered_hex, 16)
    except ValueError:
        return _fail('cursor', 'must be one that a pull returned')
    if digest != spec.digest:
        return _fail('cursor', 'belongs to another specification of the step')
    if not 0 <= delivered < 1 << len(spec.groups):
        return _fail('cursor', 'names groups that the step lacks')
    return result.Success(Cursor(digest, delivered))


def _group_problem(group: typing.Any) -> str:
    if not isinstance(group, dict):
        return 'must be an object'
    for key in ('name', 'prompt'):
        if not isinstance(group.get(key), str):
            return f'{key} must be a string'
    for key, highest in (
        ('samples', MAX_SAMPLES_PER_GROUP),
        ('max_tokens', MAX_TOKENS),
    ):
        value = group.get(key)
        if not isinstance(value, int) or not 0 < value <= highest:
            return f'{key} must be an integer from 1 to {highest}'
    return ''


def _fail(
    path: str, message: str
) -> result.Result[typing.Any, verdicts.Refusal]:
    return result.Failure(
        verdicts.bad_request('bad_step', f'{path}: {message}')
    )
