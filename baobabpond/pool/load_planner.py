"""Plan which upstreams load newly announced weight versions.

A load is costly, and while it lasts the upstream starts no run of the model.
Only as many upstreams load a version as the trainer's maximum staleness
requires.
"""

import math
import typing


class LoadCandidate(typing.NamedTuple):
    """Describe the state of an upstream that the plan depends on."""

    upstream: str
    versions: dict[str, int]
    is_loading: bool
    # An order may be sent to the upstream now.
    may_order: bool
    running: int
    slots: int
    # Each load takes some of the requests that the upstream is limited to.
    is_limited: bool = False


class Target(typing.NamedTuple):
    """Describe the state of a model that the plan depends on."""

    model: str
    # Newest announced version.
    version: int
    # Versions that a sample may be behind the newest one.
    max_staleness: int
    # Running and waiting items.
    demand: int
    # Items of the newest batch; 0 if there was none.
    batch_items: int = 0


class PlannedLoad(typing.NamedTuple):
    """Describe a load to order."""

    upstream: str
    model: str
    version: int


def desired_updated(
    target: Target, candidates: list[LoadCandidate], models: int
) -> int:
    """Return how many upstreams should serve a model's newest version.

    If no staleness is allowed, a batch waits until its own version is loaded:
    loading on more upstreams than the batch fills only delays it.
    """
    count = len(candidates)
    desired = math.ceil(count / (target.max_staleness + 1))
    if target.max_staleness == 0 and target.batch_items:
        slots = sum(candidate.slots for candidate in candidates) / max(
            1, count
        )
        filled_upstreams = math.ceil(target.batch_items / max(1.0, slots))
        desired = min(desired, filled_upstreams)
    fair_share = count // max(1, models)
    return min(count, max(desired, fair_share))


def plan(
    candidates: list[LoadCandidate], targets: list[Target], max_loads: int
) -> list[PlannedLoad]:
    """Return the loads to order now, the most urgent first."""
    remaining_loads = max_loads - sum(
        candidate.is_loading for candidate in candidates
    )
    planned_upstreams: set[str] = set()
    planned: list[PlannedLoad] = []
    for target in sorted(
        targets, key=lambda target: _slot_surplus(target, candidates)
    ):
        needed = _needed_loads(target, candidates, len(targets))
        for candidate in _oldest_first(target, candidates):
            if remaining_loads <= 0:
                return planned
            if needed <= 0:
                break
            if candidate.upstream in planned_upstreams:
                continue
            planned_upstreams.add(candidate.upstream)
            planned.append(
                PlannedLoad(candidate.upstream, target.model, target.version)
            )
            remaining_loads -= 1
            needed -= 1
    return planned


def _needed_loads(
    target: Target, candidates: list[LoadCandidate], models: int
) -> int:
    updated = sum(
        candidate.versions.get(target.model, 0) >= target.version
        for candidate in candidates
    )
    return desired_updated(target, candidates, models) - updated


def _usable_slots(target: Target, candidates: list[LoadCandidate]) -> int:
    min_version = target.version - target.max_staleness
    return sum(
        candidate.slots
        for candidate in candidates
        if candidate.versions.get(target.model, 0) >= min_version
    )


def _slot_surplus(target: Target, candidates: list[LoadCandidate]) -> float:
    """Return slots minus demand, lowest for the model shortest of slots."""
    return _usable_slots(target, candidates) - target.demand


def _oldest_first(
    target: Target, candidates: list[LoadCandidate]
) -> list[LoadCandidate]:
    orderable = [
        candidate
        for candidate in candidates
        if candidate.may_order
        and not candidate.is_loading
        and candidate.versions.get(target.model, 0) < target.version
    ]
    return sorted(
        orderable,
        key=lambda candidate: (
            candidate.is_limited,
            candidate.versions.get(target.model, 0),
            candidate.running / candidate.slots,
        ),
    )
