"""Keep the events that items have, for the runs that go on from them."""

from ..batches import book as book_module

from . import state

# Items of ended batches whose events are kept for later ones.
MAX_RETAINED = 2000


class PartialOutputs:
    """Name texts, and find those that an item may go on from.

    The pool's lock guards all calls.
    """

    def __init__(self, book: book_module.Book) -> None:
        self._book = book
        self._epoch = 0
        self._number = 0
        # Events of items whose batch ended before they did.
        self._retained: dict[str, book_module.Text] = {}

    def set_epoch(self, epoch: int) -> None:
        """Name the texts of a tenure."""
        self._epoch = epoch

    def restart(self, task: state.Task) -> None:
        """Begin a new text without events."""
        self._number += 1
        task.text_name = f'{self._epoch}.{self._number}'
        task.events = []
        task.persisted_events = 0

    def resume(self, task: state.Task) -> None:
        """Go on from the longest usable text of an earlier run."""
        texts = self._book.texts(task.id)
        persisted = {text.name: len(text.events) for text in texts}
        retained = self._retained.pop(task.id, None)
        if retained is not None:
            texts.append(retained)
        usable = [text for text in texts if is_resumable(text, task)]
        self.restart(task)
        if usable:
            text = max(usable, key=lambda text: len(text.events))
            task.events = list(text.events)
            task.text_name = text.name
            task.persisted_events = persisted.get(text.name, 0)

    def require_single_version(self, task: state.Task) -> None:
        """Let one weight version make the item's whole text."""
        task.single_version = True
        if len({version for _, version in task.events}) > 1:
            self.restart(task)

    def retain(self, task: state.Task) -> None:
        """Keep the events of an item whose batch has ended."""
        if not task.events:
            return
        self._retained[task.id] = book_module.Text(
            task.text_name, list(task.events)
        )
        while len(self._retained) > MAX_RETAINED:
            self._retained.pop(next(iter(self._retained)))


def is_resumable(text: book_module.Text, task: state.Task) -> bool:
    """Tell whether an item may go on from a text."""
    versions = {version for _, version in text.events}
    if not versions or min(versions) < task.min_version:
        return False
    return len(versions) == 1 or not task.single_version
