"""Make items and batches for the tests of the pool."""

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.pool import work as work_module
from baobabpond.ports import callers
from baobabpond.ports import catalogue


def work(name: str = 'i', min_version: int = 1) -> work_module.Work:
    """Return the work of an item in a batch of its own."""
    head = records.BatchHead('b', 'h', 'r', 0.0, 1, 'm', min_version, 1, 1)
    item = callers.Item(name, '/t', (), '', 9, 'g', 0)
    return work_module.Work(state_module.Batch(head, (item,), 0.0), item, 0.0)


def upstream(name: str = 'u') -> work_module.Upstream:
    """Return an upstream with four slots."""
    entry = catalogue.UpstreamEntry(
        name, 'models', 'h', 80, 'a', 4, False, 1, {'m': 1}
    )
    return work_module.Upstream(entry)
