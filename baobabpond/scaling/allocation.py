"""Distribute upstreams over data centres and kinds, at the lowest price."""

import typing

from ..ports import catalogue


class Pool(typing.NamedTuple):
    """The upstreams of one kind in a data centre."""

    data_centre: str
    is_spot: bool


Counts = dict[Pool, int]


def price_of(pool: Pool, scaling: catalogue.Scaling) -> float:
    """Return the price of one upstream."""
    price = scaling.prices[pool.data_centre]
    return price * scaling.spot_price if pool.is_spot else price


def cost(counts: Counts, scaling: catalogue.Scaling) -> float:
    """Return the price of all upstreams together."""
    return sum(
        count * price_of(pool, scaling) for pool, count in counts.items()
    )


def safe_count(counts: Counts) -> int:
    """Return how many are left at least after a reclaim.

    A data centre may reclaim all its spot upstreams at once.
    """
    spot = [count for pool, count in counts.items() if pool.is_spot]
    return sum(counts.values()) - max(spot, default=0)


def is_enough(counts: Counts, needed: int, scaling: catalogue.Scaling) -> bool:
    """Return whether counts meet a need and the lower limits."""
    return safe_count(counts) >= needed and all(
        _total_in(counts, data_centre) >= scaling.min_count
        for data_centre in scaling.prices
    )


def is_allowed(counts: Counts, scaling: catalogue.Scaling) -> bool:
    """Return whether no data centre has more than it may."""
    return all(
        _total_in(counts, data_centre) <= scaling.max_count
        for data_centre in scaling.prices
    )


def allocate(
    needed: int,
    scaling: catalogue.Scaling,
    at_least: Counts,
    unavailable: typing.Container[Pool] = (),
) -> Counts:
    """Return the cheapest counts that meet a need after any one reclaim.

    No count is below that of at_least; those of unavailable pools equal it.
    If the limits don't allow enough, returns as many as they allow.
    """
    most_spot = max(
        [
            scaling.max_count,
            *(count for pool, count in at_least.items() if pool.is_spot),
        ]
    )
    options = [
        _fill(needed, scaling, at_least, unavailable, spot_limit)
        for spot_limit in range(most_spot + 1)
    ]
    return min(
        options,
        key=lambda counts: (
            max(0, needed - safe_count(counts)),
            cost(counts, scaling),
        ),
    )


def _fill(
    needed: int,
    scaling: catalogue.Scaling,
    at_least: Counts,
    unavailable: typing.Container[Pool],
    spot_limit: int,
) -> Counts:
    """Add the cheapest upstreams until enough are safe.

    No data centre gets more spot upstreams than a limit.
    """
    pools = _cheapest_first(scaling)
    counts = {pool: at_least.get(pool, 0) for pool in pools}

    def may_add(pool: Pool) -> bool:
        if pool in unavailable:
            return False
        if pool.is_spot and counts[pool] >= spot_limit:
            return False
        return _total_in(counts, pool.data_centre) < scaling.max_count

    for pool in pools:
        while may_add(pool) and (
            _total_in(counts, pool.data_centre) < scaling.min_count
        ):
            counts[pool] += 1
    while safe_count(counts) < needed:
        # One more of a kind helps only if it isn't the largest spot pool.
        pool = next((p for p in pools if may_add(p)), None)
        if pool is None:
            break
        counts[pool] += 1
    return counts


def _cheapest_first(scaling: catalogue.Scaling) -> list[Pool]:
    pools = [
        Pool(data_centre, is_spot)
        for data_centre in scaling.prices
        for is_spot in (True, False)
    ]
    return sorted(pools, key=lambda pool: (price_of(pool, scaling), pool))


def _total_in(counts: Counts, data_centre: str) -> int:
    return sum(
        count
        for pool, count in counts.items()
        if pool.data_centre == data_centre
    )
