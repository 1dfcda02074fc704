"""Find the records of expired batches.

Keyed records stay until a tombstone removes them, so old batches would fill
the log.
"""

import collections.abc

from . import shard_state as state_module

# Callers may read somewhat later than the guaranteed time.
RETENTION_MARGIN_S = 30.0
# Tombstones in one append.
MAX_KEYS_PER_APPEND = 400


def expired_keys(
    shard_state: state_module.ShardState,
    batches: collections.abc.Iterable[state_module.Batch],
    now: float,
    retention_s: float,
) -> list[str]:
    """Return keys of closed batches past the time they can be read.

    The retention time in seconds counts from when this process learnt of a
    batch: the submission is a time of day of another instance.
    """
    keys = shard_state.leftover_keys()
    for batch in batches:
        if len(keys) >= MAX_KEYS_PER_APPEND:
            break
        if (
            batch.is_open
            or now - batch.known_since < retention_s + RETENTION_MARGIN_S
        ):
            continue
        for item in batch.items:
            keys += shard_state.temporary_keys(batch.head.id, item.id)
        keys += sorted(batch.keys)
    return keys[:MAX_KEYS_PER_APPEND]
