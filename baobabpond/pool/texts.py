"""Keep the events that items have, for the runs that go on from them."""

from ..batches import shard_state as state_module

from . import work as work_module

# Items of ended batches whose events are kept for later ones.
MOST_LEFTOVERS = 2000


class Texts:
    """Name texts, and find those that an item may go on from.

    The pool's lock guards all calls.
    """

    def __init__(self, shard_state: state_module.ShardState) -> None:
        self._shard_state = shard_state
        self._epoch = 0
        self._number = 0
        # Events of items whose batch ended before they did.
        self._leftovers: dict[str, state_module.PartialOutput] = {}

    def begin(self, epoch: int) -> None:
        """Name the texts of a tenure."""
        self._epoch = epoch

    def restart(self, work: work_module.Work) -> None:
        """Begin a new text without events."""
        self._number += 1
        work.text = f'{self._epoch}.{self._number}'
        work.events = []
        work.kept_events = 0

    def resume(self, work: work_module.Work) -> None:
        """Go on from the longest usable text of an earlier run."""
        texts = self._shard_state.partial_outputs(work.id)
        kept = {text.name: len(text.events) for text in texts}
        leftover = self._leftovers.pop(work.id, None)
        if leftover is not None:
            texts.append(leftover)
        usable = [text for text in texts if fits(text, work)]
        self.restart(work)
        if usable:
            text = max(usable, key=lambda text: len(text.events))
            work.events = list(text.events)
            work.text = text.name
            work.kept_events = kept.get(text.name, 0)

    def require_single_version(self, work: work_module.Work) -> None:
        """Let one weight version make the item's whole text."""
        work.single_version = True
        if len({version for _, version in work.events}) > 1:
            self.restart(work)

    def keep(self, work: work_module.Work) -> None:
        """Keep the events of an item whose batch has ended."""
        if not work.events:
            return
        self._leftovers[work.id] = state_module.PartialOutput(
            work.text, list(work.events)
        )
        while len(self._leftovers) > MOST_LEFTOVERS:
            self._leftovers.pop(next(iter(self._leftovers)))


def fits(text: state_module.PartialOutput, work: work_module.Work) -> bool:
    """Tell whether an item may go on from a text."""
    versions = {version for _, version in text.events}
    if not versions or min(versions) < work.min_version:
        return False
    return len(versions) == 1 or not work.single_version
