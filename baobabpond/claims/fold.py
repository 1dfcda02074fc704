"""Fold claim and outcome records; the first claim of a key wins."""

import heapq
import typing

from .. import verdicts
from ..gen import records as schema
from ..log import state


class ClaimEntry(typing.NamedTuple):
    """Store the winning claim of a key and its outcome, if recorded.

    The offset is that of the record with the claim; the entry expires at
    a log time, in seconds.
    """

    claim_id: str
    holder: str
    incarnation: int
    body_digest: str
    offset: int
    expires_s: float
    outcome: schema.Outcome | None = None

    @property
    def has_outcome(self) -> bool:
        """Return whether an outcome has been recorded."""
        return self.outcome is not None


@state.folds.register('claims')
class ClaimFold(state.Fold):
    """Map each key to its winning claim until the claim expires."""

    item_types = ('claim', 'outcome')

    def __init__(self) -> None:
        self._entries: dict[str, ClaimEntry] = {}
        self._expiry_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> ClaimEntry | None:
        """Return the winning claim of a key, or None if it is unclaimed."""
        return self._entries.get(key)

    def apply(
        self,
        item: schema.Claim | schema.Outcome,
        position: state.Position,
    ) -> None:
        """Apply a claim or an outcome record."""
        if item['type'] == 'claim':
            self._apply_claim(item, position)
        else:
            self._apply_outcome(item)

    def expire(self, log_time_s: float) -> None:
        """Drop the keys whose retention period has ended by a log time."""
        while self._expiry_heap and self._expiry_heap[0][0] <= log_time_s:
            expires_s, key = heapq.heappop(self._expiry_heap)
            entry = self._entries.get(key)
            if entry is not None and entry.expires_s <= expires_s:
                del self._entries[key]

    def dump(self) -> typing.Any:
        """Return all entries for a snapshot."""
        return {key: list(entry) for key, entry in self._entries.items()}

    def load(self, dumped: typing.Any) -> None:
        """Replace all entries by those of a snapshot."""
        self._entries = {
            key: ClaimEntry(*entry) for key, entry in dumped.items()
        }
        self._expiry_heap = [
            (entry.expires_s, key) for key, entry in self._entries.items()
        ]
        heapq.heapify(self._expiry_heap)

    def _apply_claim(
        self, item: schema.Claim, position: state.Position
    ) -> None:
        if item['key'] in self._entries:
            return
        expires_s = position.log_time_s + item['keep_s']
        self._entries[item['key']] = ClaimEntry(
            item['claim_id'],
            item['holder'],
            item['incarnation'],
            item['body_digest'],
            position.offset,
            expires_s,
        )
        heapq.heappush(self._expiry_heap, (expires_s, item['key']))

    def _apply_outcome(self, item: schema.Outcome) -> None:
        entry = self._entries.get(item['key'])
        if entry is None or entry.claim_id != item['claim_id']:
            return
        if item['verdict'] == verdicts.Verdict.NOT_RUN.value:
            # Only the holder records this verdict, and it never executes the
            # request afterwards, so the key can be claimed again.
            del self._entries[item['key']]
            return
        self._entries[item['key']] = entry._replace(outcome=item)
