"""Fold lease records by compare-and-set on the lease's last offset."""

import typing

from ..gen import records as schema
from ..log import state

NO_OFFSET = -1


class LeaseEntry(typing.NamedTuple):
    """Describe a lease; the fencing token is its acquisition's offset."""

    holder: str
    fence: int
    last_offset: int
    released: bool


@state.folds.register('leases')
class LeaseFold(state.Fold):
    """Map each lease to its current holder."""

    item_types = ('lease',)

    def __init__(self) -> None:
        self._entries: dict[str, LeaseEntry] = {}

    def get(self, name: str) -> LeaseEntry | None:
        """Return a lease, or None if it was never acquired."""
        return self._entries.get(name)

    def apply(self, item: schema.Lease, position: state.Position) -> None:
        """Acquire, renew or release a lease unless it changed meanwhile."""
        entry = self._entries.get(item['name'])
        last_offset = NO_OFFSET if entry is None else entry.last_offset
        if item['previous_offset'] != last_offset:
            return
        is_renewal = (
            entry is not None
            and entry.holder == item['holder']
            and not entry.released
        )
        if item['released'] and not is_renewal:
            return
        fence = entry.fence if is_renewal and entry else position.offset
        self._entries[item['name']] = LeaseEntry(
            item['holder'], fence, position.offset, item['released']
        )

    def dump(self) -> typing.Any:
        """Return all leases for a snapshot."""
        return {name: list(entry) for name, entry in self._entries.items()}

    def load(self, dumped: typing.Any) -> None:
        """Replace all leases by those of a snapshot."""
        self._entries = {
            name: LeaseEntry(*entry) for name, entry in dumped.items()
        }
