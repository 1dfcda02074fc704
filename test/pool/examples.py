"""Create tasks and upstreams for the tests of the scheduler."""

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.pool import state
from baobabpond.ports import callers
from baobabpond.ports import catalogue


def task(name: str = 'i', min_version: int = 1) -> state.Task:
    """Return the task of an item in a batch of its own."""
    head = records.BatchHead('b', 'h', 'r', 0.0, 1, 'm', min_version, 1, 1)
    item = callers.Item(name, '/t', (), '', 9, 'g', 0)
    return state.Task(state_module.Batch(head, (item,), 0.0), item, 0.0)


def upstream(name: str = 'u') -> state.Upstream:
    """Return an upstream with four slots."""
    entry = catalogue.UpstreamEntry(
        name, 'models', 'h', 80, 'a', 4, False, 1, {'m': 1}
    )
    return state.Upstream(entry)
