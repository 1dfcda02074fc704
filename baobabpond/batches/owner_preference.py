"""Prefer instances with more processor cores as the owner of a shard.

The owner handles the events of all runs; on a small instance they are late
for every batch.
"""

import typing

# Instances claim a vacant shard later by up to this time, the later the more
# of the others have more cores.
MAX_DELAY_S = 0.4
# Differences below this factor don't count.
MIN_FACTOR = 1.25


def claim_delay_s(own_cores: float, others: typing.Sequence[float]) -> float:
    """Return how long to leave a vacant shard to instances with more cores.

    The delay is 0 where an instance does not know its cores.
    """
    if not own_cores or not others:
        return 0.0
    return MAX_DELAY_S * _count_larger(own_cores, others) / len(others)


def has_larger(own_cores: float, others: typing.Sequence[float]) -> bool:
    """Return whether another instance has markedly more cores."""
    return own_cores > 0 and _count_larger(own_cores, others) > 0


def _count_larger(own_cores: float, others: typing.Sequence[float]) -> int:
    return sum(cores >= own_cores * MIN_FACTOR for cores in others)
