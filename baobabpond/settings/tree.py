"""Resolve settings that nodes inherit from the root down to a workload."""

import collections.abc
import json
import typing

import xxhash

from ..gen import records as schema
from ..gen import tree as tree_schema

from . import check

MAX_DEPTH = 3
ROOT = ''


class Tree:
    """Hold the overrides of each node; immutable."""

    def __init__(
        self,
        nodes: collections.abc.Mapping[str, dict[str, typing.Any]]
        | None = None,
    ) -> None:
        self._nodes = {
            path: dict(overrides) for path, overrides in (nodes or {}).items()
        }
        self._effective: dict[str, tree_schema.NodeSettings] = {}

    @property
    def nodes(self) -> dict[str, dict[str, typing.Any]]:
        """Return the overrides of each node, by path."""
        return self._nodes

    @property
    def digest(self) -> str:
        """Return a hash of the canonical JSON, to compare trees."""
        return xxhash.xxh3_64_hexdigest(self.to_json().encode())

    def effective(self, path: str) -> tree_schema.NodeSettings:
        """Return the settings of a node, inherited ones included."""
        found = self._effective.get(path)
        if found is None:
            found = self._resolve(path)
            self._effective[path] = found
        return found

    def has_service(self, path: str) -> bool:
        """Return whether the tree has a node at or below a path's service."""
        parts = path.split('/')
        service = '/'.join(parts[:2])
        return len(parts) >= 2 and any(
            node == service or node.startswith(service + '/')
            for node in self._nodes
        )

    def services(self) -> list[str]:
        """Return the deployment/service paths of all services, sorted."""
        return sorted(
            {
                '/'.join(node.split('/')[:2])
                for node in self._nodes
                if node.count('/') >= 1
            }
        )

    def apply(
        self, changes: collections.abc.Iterable[schema.Change]
    ) -> 'Tree':
        """Return a copy of the tree with some changes applied."""
        nodes = {
            path: dict(overrides) for path, overrides in self._nodes.items()
        }
        for change in changes:
            overrides = nodes.setdefault(change['node'], {})
            if 'value' in change:
                overrides[change['key']] = change['value']
            else:
                overrides.pop(change['key'], None)
        return Tree(nodes)

    def problems(self) -> list[check.Problem]:
        """Return all invalid paths and settings of the tree."""
        found = []
        for path, overrides in sorted(self._nodes.items()):
            found += _path_problems(path)
            found += check.problems('tree', overrides, path)
            if not found:
                found += _cross_field_problems(path, self.effective(path))
        return found

    def to_json(self) -> str:
        """Return the tree as canonical JSON."""
        return json.dumps(self._nodes, sort_keys=True)

    def _resolve(self, path: str) -> tree_schema.NodeSettings:
        values: dict[str, typing.Any] = dict(check.default_tree())
        values.update(self._nodes.get(ROOT, {}))
        parts = path.split('/') if path else []
        for depth in range(1, len(parts) + 1):
            values.update(self._nodes.get('/'.join(parts[:depth]), {}))
        return typing.cast(tree_schema.NodeSettings, values)


def from_json(text: str) -> Tree:
    """Decode a tree encoded by to_json."""
    return Tree(json.loads(text))


def _path_problems(path: str) -> list[check.Problem]:
    if path == ROOT:
        return []
    parts = path.split('/')
    if len(parts) > MAX_DEPTH or not all(parts):
        return [
            check.Problem(
                path,
                'not a node',
                'deployment, deployment/service or '
                'deployment/service/workload',
            )
        ]
    return []


def _cross_field_problems(
    path: str, values: tree_schema.NodeSettings
) -> list[check.Problem]:
    found = []
    if values['limit_min'] > values['limit_max']:
        found.append(
            check.Problem(
                f'{path}/limit_min',
                f'{values["limit_min"]} is above limit_max',
                f'at most {values["limit_max"]}',
            )
        )
    if values['timeout_s'] > values['max_timeout_s']:
        found.append(
            check.Problem(
                f'{path}/timeout_s',
                f'{values["timeout_s"]} is above max_timeout_s',
                f'at most {values["max_timeout_s"]}',
            )
        )
    return found
