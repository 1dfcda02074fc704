"""Fold claims and outcomes; the first claim of a key wins."""

import heapq
import typing

from .. import verdicts
from ..gen import records as schema
from ..log import state


class ClaimEntry(typing.NamedTuple):
    """Hold the winning claim of a key and its outcome, if known."""

    claim_id: str
    holder: str
    incarnation: int
    body_digest: str
    offset: int
    expires_s: float
    outcome: schema.Outcome | None = None

    @property
    def settled(self) -> bool:
        """Tell whether the outcome is known."""
        return self.outcome is not None


@state.folds.register('claims')
class ClaimFold(state.Fold):
    """Keep the winning claim of each key until it expires."""

    item_types = ('claim', 'outcome')

    def __init__(self) -> None:
        self._entries: dict[str, ClaimEntry] = {}
        self._expiry: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, key: str) -> ClaimEntry | None:
        """Return the winning claim of a key."""
        return self._entries.get(key)

    def apply(
        self,
        item: schema.Claim | schema.Outcome,
        position: state.Position,
    ) -> None:
        """Take in a claim or an outcome."""
        if item['type'] == 'claim':
            self._apply_claim(item, position)
        else:
            self._apply_outcome(item)

    def expire(self, log_time_s: float) -> None:
        """Forget the keys whose time is over."""
        while self._expiry and self._expiry[0][0] <= log_time_s:
            expires_s, key = heapq.heappop(self._expiry)
            entry = self._entries.get(key)
            if entry is not None and entry.expires_s <= expires_s:
                del self._entries[key]

    def dump(self) -> typing.Any:
        """Return all entries."""
        return {key: list(entry) for key, entry in self._entries.items()}

    def load(self, dumped: typing.Any) -> None:
        """Replace all entries."""
        self._entries = {
            key: ClaimEntry(*entry) for key, entry in dumped.items()
        }
        self._expiry = [
            (entry.expires_s, key) for key, entry in self._entries.items()
        ]
        heapq.heapify(self._expiry)

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
        heapq.heappush(self._expiry, (expires_s, item['key']))

    def _apply_outcome(self, item: schema.Outcome) -> None:
        entry = self._entries.get(item['key'])
        if entry is None or entry.claim_id != item['claim_id']:
            return
        if item['verdict'] == verdicts.Verdict.NOT_RUN.value:
            # Only the holder says so, and it never runs the claim after.
            del self._entries[item['key']]
            return
        self._entries[item['key']] = entry._replace(outcome=item)
