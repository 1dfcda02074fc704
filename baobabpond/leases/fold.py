"""Fold lease records; each must name the lease's last record."""

import typing

from ..gen import records as schema
from ..log import state

NEVER_HELD = -1


class LeaseEntry(typing.NamedTuple):
    """Hold a lease; the fence is the offset at which its holder got it."""

    holder: str
    fence: int
    last_offset: int
    released: bool


@state.folds.register('leases')
class LeaseFold(state.Fold):
    """Keep the holder of each lease."""

    item_types = ('lease',)

    def __init__(self) -> None:
        self._entries: dict[str, LeaseEntry] = {}

    def get(self, name: str) -> LeaseEntry | None:
        """Return a lease, or None if it was never held."""
        return self._entries.get(name)

    def apply(self, item: schema.Lease, position: state.Position) -> None:
        """Acquire, renew or release a lease if nothing came between."""
        entry = self._entries.get(item['name'])
        last_offset = NEVER_HELD if entry is None else entry.last_offset
        if item['previous_offset'] != last_offset:
            return
        renewed = (
            entry is not None
            and entry.holder == item['holder']
            and not entry.released
        )
        if item['released'] and not renewed:
            return
        fence = entry.fence if renewed and entry else position.offset
        self._entries[item['name']] = LeaseEntry(
            item['holder'], fence, position.offset, item['released']
        )

    def dump(self) -> typing.Any:
        """Return all leases."""
        return {name: list(entry) for name, entry in self._entries.items()}

    def load(self, dumped: typing.Any) -> None:
        """Replace all leases."""
        self._entries = {
            name: LeaseEntry(*entry) for name, entry in dumped.items()
        }
