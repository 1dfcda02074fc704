"""Name the ways to decide; each kind has its first version as baseline."""

import math
import typing

from baobabpond.pool import load_planner
from baobabpond.pool import migration_policy
from baobabpond.pool import migrator
from baobabpond.pool import placement
from baobabpond.pool import priority
from baobabpond.pool import queue
from baobabpond import registry

Place = typing.Callable[[list[placement.Candidate]], str | None]
Plan = typing.Callable[
    [list[load_planner.LoadCandidate], list[load_planner.Target], int],
    list[load_planner.PlannedLoad],
]

BASELINE = 'baseline'
PRODUCT = 'product'
MEMORY_SHARE = 1.6

orders: registry.Registry[queue.Rank] = registry.Registry('order')
placements: registry.Registry[Place] = registry.Registry('placement')
rescues: registry.Registry[migrator.Decide] = registry.Registry('rescue')
plans: registry.Registry[Plan] = registry.Registry('weight plan')

orders.register(PRODUCT)(priority.rank)
placements.register(PRODUCT)(placement.choose)
rescues.register(PRODUCT)(migration_policy.decide)
plans.register(PRODUCT)(load_planner.plan)


class Policies(typing.NamedTuple):
    """Name one way for each kind of decision."""

    order: str = PRODUCT
    placement: str = PRODUCT
    rescue: str = PRODUCT
    weights: str = PRODUCT


@orders.register(BASELINE)
def by_due_time(waiting: priority.WaitingItem) -> tuple[float, float, float]:
    """Let the batch that is due first go first, its items as they come."""
    return waiting.due_in_s, 0.0, 0.0


@orders.register('shortest_first')
def by_length(waiting: priority.WaitingItem) -> tuple[float, float, float]:
    """Let short items go first."""
    return waiting.expected_run_s, 0.0, 0.0


@placements.register(BASELINE)
def fewest_running(choices: list[placement.Candidate]) -> str | None:
    """Choose the upstream with the fewest runs, whatever its speed."""
    free = [choice for choice in choices if choice.running < choice.slots]
    if not free:
        return None
    return min(free, key=lambda choice: choice.running).upstream


@placements.register('memory_bound')
def within_memory(choices: list[placement.Candidate]) -> str | None:
    """Let no more runs start than the memory will hold in turns."""
    return placement.choose(
        [
            choice
            for choice in choices
            if choice.running == 0 or choice.memory_usage <= MEMORY_SHARE
        ]
    )


@rescues.register(BASELINE)
def only_stalled(running: migration_policy.RunState) -> str:
    """Move only runs that fell silent."""
    return (
        migration_policy.STALLED
        if migration_policy.is_stalled(running)
        else ''
    )


@rescues.register('never')
def never(running: migration_policy.RunState) -> str:
    """Leave all runs where they are."""
    return ''


@plans.register(BASELINE)
def everywhere(
    holders: list[load_planner.LoadCandidate],
    targets: list[load_planner.Target],
    most_loads: int,
) -> list[load_planner.PlannedLoad]:
    """Load each version on all upstreams, in the order of their names."""
    room = most_loads - sum(holder.is_loading for holder in holders)
    planned = []
    for holder in holders:
        for target in targets:
            is_old = holder.versions.get(target.model, 0) < target.version
            if len(planned) < room and is_old and holder.may_order:
                if not holder.is_loading:
                    planned.append(
                        load_planner.PlannedLoad(
                            holder.upstream, target.model, target.version
                        )
                    )
                    break
    return planned


@plans.register('all_at_once')
def all_at_once(
    holders: list[load_planner.LoadCandidate],
    targets: list[load_planner.Target],
    most_loads: int,
) -> list[load_planner.PlannedLoad]:
    """Plan as the product does, without a bound on loads at once."""
    return load_planner.plan(holders, targets, math.ceil(len(holders)))
