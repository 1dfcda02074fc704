"""Find the records of expired batches.

Keyed records stay until a tombstone removes them, so old batches would fill
the log.
"""

import collections.abc

from . import shard_state as state_module

# Callers may read somewhat later than the guaranteed time.
RETENTION_MARGIN_S = 30.0
# A trainer that has not ended a batch by then will not do so.
ABANDONED_S = 3600.0
# Items and results of batches that are complete and not ended, beyond the
# guaranteed time; without a bound, a trainer that ends none would fill the
# memory of all instances.
MAX_UNENDED_BYTES = 32_000_000
# Tombstones in one append.
MAX_KEYS_PER_APPEND = 400


def expired_keys(
    shard_state: state_module.ShardState,
    batches: collections.abc.Iterable[state_module.Batch],
    now: float,
    retention_s: float,
) -> list[str]:
    """Return keys of batches past the time they can be read.

    The retention time in seconds counts from when this process learnt of a
    batch: the submission is a time of day of another instance. Batches that
    nobody has ended are readable for longer, within bounds.
    """
    keys = shard_state.leftover_keys()
    past = [
        batch
        for batch in batches
        if not batch.is_open
        and now - batch.known_since >= retention_s + RETENTION_MARGIN_S
    ]
    unended = [batch for batch in past if not batch.ended]
    abandoned = _abandoned(unended, now)
    for batch in past:
        if len(keys) >= MAX_KEYS_PER_APPEND:
            break
        if not batch.ended and batch.head.id not in abandoned:
            continue
        for item in batch.items:
            keys += shard_state.temporary_keys(batch.head.id, item.id)
        keys += sorted(batch.keys)
    return keys[:MAX_KEYS_PER_APPEND]


def _abandoned(unended: list[state_module.Batch], now: float) -> set[str]:
    """Return the ids of batches whose trainers are not expected to return."""
    remaining_bytes = MAX_UNENDED_BYTES
    abandoned = set()
    for batch in sorted(unended, key=lambda each: -each.known_since):
        remaining_bytes -= size_bytes(batch)
        age_s = now - batch.known_since
        if age_s > ABANDONED_S or remaining_bytes < 0:
            abandoned.add(batch.head.id)
    return abandoned


def size_bytes(batch: state_module.Batch) -> int:
    """Return about how much a batch holds."""
    return sum(len(item.body) for item in batch.items) + sum(
        len(result.output) for result in batch.results
    )
