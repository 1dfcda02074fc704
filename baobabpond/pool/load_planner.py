"""Plan which upstreams load which weights. Answers new versions.

A load costs, and while it lasts the upstream starts no run of its model. Only
as many upstreams load a version as its trainer's allowed lag makes needed.
"""

import math
import typing


class LoadCandidate(typing.NamedTuple):
    """Hold what the plan needs of one upstream."""

    upstream: str
    versions: dict[str, int]
    is_loading: bool
    # May be ordered now.
    may_order: bool
    running: int
    slots: int


class Target(typing.NamedTuple):
    """Hold what the plan needs of one model."""

    model: str
    # Newest version that was announced.
    version: int
    # Versions that a sample may be behind the newest one.
    lag: int
    # Items that run or wait.
    demand: int
    # Items of the newest batch; 0 if there was none.
    batch_items: int = 0


class PlannedLoad(typing.NamedTuple):
    """Name a load to order."""

    upstream: str
    model: str
    version: int


def wanted_fresh(
    target: Target, candidates: list[LoadCandidate], models: int
) -> int:
    """Return how many upstreams should hold a model's newest version.

    Where no lag is allowed a batch waits for its own version to be loaded:
    more upstreams than the batch fills would only make it wait longer.
    """
    count = len(candidates)
    wanted = math.ceil(count / (target.lag + 1))
    if target.lag == 0 and target.batch_items:
        slots = sum(candidate.slots for candidate in candidates) / max(
            1, count
        )
        filled = math.ceil(target.batch_items / max(1.0, slots))
        wanted = min(wanted, filled)
    by_share = count // max(1, models)
    return min(count, max(wanted, by_share))


def plan(
    candidates: list[LoadCandidate], targets: list[Target], most_loads: int
) -> list[PlannedLoad]:
    """Return the loads to order now, the most pressing first."""
    room = most_loads - sum(candidate.is_loading for candidate in candidates)
    taken: set[str] = set()
    planned: list[PlannedLoad] = []
    for target in sorted(targets, key=lambda t: _pressure(t, candidates)):
        missing = _missing(target, candidates, len(targets))
        for candidate in _oldest_first(target, candidates):
            if room <= 0:
                return planned
            if missing <= 0:
                break
            if candidate.upstream in taken:
                continue
            taken.add(candidate.upstream)
            planned.append(
                PlannedLoad(candidate.upstream, target.model, target.version)
            )
            room -= 1
            missing -= 1
    return planned


def _missing(
    target: Target, candidates: list[LoadCandidate], models: int
) -> int:
    fresh = sum(
        candidate.versions.get(target.model, 0) >= target.version
        for candidate in candidates
    )
    return wanted_fresh(target, candidates, models) - fresh


def _usable_slots(target: Target, candidates: list[LoadCandidate]) -> int:
    oldest = target.version - target.lag
    return sum(
        candidate.slots
        for candidate in candidates
        if candidate.versions.get(target.model, 0) >= oldest
    )


def _pressure(target: Target, candidates: list[LoadCandidate]) -> float:
    """Return a key that is lowest for the model most short of slots."""
    return _usable_slots(target, candidates) - target.demand


def _oldest_first(
    target: Target, candidates: list[LoadCandidate]
) -> list[LoadCandidate]:
    free = [
        candidate
        for candidate in candidates
        if candidate.may_order
        and not candidate.is_loading
        and candidate.versions.get(target.model, 0) < target.version
    ]
    return sorted(
        free,
        key=lambda h: (h.versions.get(target.model, 0), h.running / h.slots),
    )
