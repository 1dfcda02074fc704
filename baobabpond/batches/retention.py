"""Find what the log need not keep any more.

Keyed records stay until they are removed, so old batches would fill the log.
"""

import collections.abc

from . import shard_state as state_module

# Callers may read a little later than they are promised.
RETENTION_MARGIN_S = 30.0
# Keys removed by one append.
MAX_KEYS_PER_APPEND = 400


def expired_keys(
    shard_state: state_module.ShardState,
    batches: collections.abc.Iterable[state_module.Batch],
    now: float,
    status_s: float,
) -> list[str]:
    """Return the keys of closed batches that nobody may read any more."""
    keys: list[str] = []
    for batch in batches:
        if (
            batch.is_open
            or now - batch.submitted < status_s + RETENTION_MARGIN_S
        ):
            continue
        for item in batch.items:
            keys += shard_state.progress_keys(item.id)
        keys += sorted(batch.keys)
        if len(keys) >= MAX_KEYS_PER_APPEND:
            break
    return keys[:MAX_KEYS_PER_APPEND]
