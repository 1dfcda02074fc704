"""Define the steps that a trainer requests, and its pull cursor."""

import json
import typing

from returns import result
import xxhash

from .. import verdicts

MAX_GROUPS = 65_536
MAX_SAMPLES_PER_GROUP = 1024
MAX_TOKENS = 1_000_000


class GroupSpec(typing.NamedTuple):
    """Describe a group of samples generated from one prompt."""

    name: str
    prompt: str
    samples: int
    max_tokens: int


class StepSpec(typing.NamedTuple):
    """Describe a step; the digest covers its number and all groups."""

    number: int
    groups: tuple[GroupSpec, ...]
    digest: str


class Cursor(typing.NamedTuple):
    """Record as a bit mask which groups of a step were delivered.

    The trainer sends it back with each pull, so that the delivery state
    never depends on the memory of an instance.
    """

    digest: str
    delivered: int

    def includes(self, index: int) -> bool:
        """Return whether a group was delivered to the trainer."""
        return bool(self.delivered >> index & 1)

    def with_group(self, index: int) -> 'Cursor':
        """Return a copy of the cursor that also includes a group."""
        return self._replace(delivered=self.delivered | 1 << index)

    def __str__(self) -> str:
        return f'{self.digest}.{self.delivered:x}'


def parse_step(
    number: int, fields: dict[str, typing.Any]
) -> result.Result[StepSpec, verdicts.Refusal]:
    """Return the specification in a request body, or a refusal."""
    groups = fields.get('groups')
    if not isinstance(groups, list) or not 0 < len(groups) <= MAX_GROUPS:
        return _fail('groups', f'must be a list of 1 to {MAX_GROUPS} groups')
    parsed = []
    for index, group in enumerate(groups):
        error = _find_group_error(group)
        if error:
            return _fail(f'groups/{index}', error)
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
    """Return the cursor in a pull request; an empty text is the start."""
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


def _find_group_error(group: typing.Any) -> str:
    if not isinstance(group, dict):
        return 'must be an object'
    for key in ('name', 'prompt'):
        if not isinstance(group.get(key), str):
            return f'{key} must be a string'
    for key, maximum in (
        ('samples', MAX_SAMPLES_PER_GROUP),
        ('max_tokens', MAX_TOKENS),
    ):
        value = group.get(key)
        if not isinstance(value, int) or not 0 < value <= maximum:
            return f'{key} must be an integer from 1 to {maximum}'
    return ''


def _fail(
    path: str, message: str
) -> result.Result[typing.Any, verdicts.Refusal]:
    return result.Failure(
        verdicts.bad_request('bad_step', f'{path}: {message}')
    )
