"""Fold the weight versions that trainers announce; the highest wins."""

import typing

from ..gen import records as schema
from ..log import state


@state.folds.register('versions')
class VersionFold(state.Fold):
    """Map each service to its newest weight version."""

    item_types = ('version',)

    def __init__(self) -> None:
        self._versions: dict[str, int] = {}

    def get(self, service: str) -> int | None:
        """Return the newest version, or None if none was announced."""
        return self._versions.get(service)

    def apply(self, item: schema.Version, position: state.Position) -> None:
        """Apply an announcement; an older version than known is ignored."""
        known = self._versions.get(item['service'], -1)
        self._versions[item['service']] = max(known, item['version'])

    def dump(self) -> typing.Any:
        """Return all versions for a snapshot."""
        return self._versions

    def load(self, dumped: typing.Any) -> None:
        """Replace all versions by those of a snapshot."""
        self._versions = dict(dumped)
