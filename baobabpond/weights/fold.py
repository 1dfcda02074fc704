"""Fold the versions that trainers announce; the highest wins."""

import typing

from ..gen import records as schema
from ..log import state


@state.folds.register('versions')
class VersionFold(state.Fold):
    """Keep the newest version of each service."""

    item_types = ('version',)

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}

    def get(self, service: str) -> int | None:
        """Return the newest version of a service, if one is announced."""
        return self._versions.get(service)

    def apply(self, item: schema.Version, position: state.Position) -> None:
        """Take in an announcement."""
        known = self._versions.get(item['service'], -1)
        self._versions[item['service']] = max(known, item['version'])

    def dump(self) -> typing.Any:
        """Return all versions."""
        return self._versions

    def load(self, dumped: typing.Any) -> None:
        """Replace all versions."""
        self._versions = dict(dumped)
