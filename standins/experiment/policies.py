"""Register scheduling policies; a baseline is the first version of one."""

import collections.abc
import math
import random
import typing

from baobabpond.pool import load_planner
from baobabpond.pool import migration_policy
from baobabpond.pool import migrator
from baobabpond.pool import placement
from baobabpond.pool import priority
from baobabpond.pool import queue
from baobabpond.pool import state
from baobabpond.ports import catalogue
from baobabpond import registry
from baobabpond.upstreams.capacity import estimator
from baobabpond.upstreams import load_balancer

from . import edge
from . import moving_average

Place = typing.Callable[[list[placement.Candidate]], str | None]
Plan = typing.Callable[
    [list[load_planner.LoadCandidate], list[load_planner.Target], int],
    list[load_planner.PlannedLoad],
]

BASELINE = 'baseline'
PRODUCT = 'product'
MAX_MEMORY_USAGE = 1.6

ChooseForReward = typing.Callable[
    [load_balancer.LoadBalancer, list[catalogue.UpstreamEntry]],
    catalogue.UpstreamEntry | None,
]
RankReward = typing.Callable[
    [priority.WaitingReward], tuple[float, float, float]
]

orders: registry.Registry[queue.Rank] = registry.Registry('order')
placements: registry.Registry[Place] = registry.Registry('placement')
rescues: registry.Registry[migrator.Decide] = registry.Registry('rescue')
plans: registry.Registry[Plan] = registry.Registry('weight plan')
reward_choices: registry.Registry[ChooseForReward] = registry.Registry(
    'reward choice'
)
reward_orders: registry.Registry[RankReward] = registry.Registry(
    'reward order'
)

learners: registry.Registry[
    collections.abc.Callable[[], estimator.CapacityLearner]
] = registry.Registry('capacity')

balancers: registry.Registry[
    collections.abc.Callable[[random.Random], edge.Balancer]
] = registry.Registry('balancer')

orders.register(PRODUCT)(priority.rank)
placements.register(PRODUCT)(placement.choose)
rescues.register(PRODUCT)(migration_policy.decide)
plans.register(PRODUCT)(load_planner.plan)
reward_choices.register(PRODUCT)(
    load_balancer.LoadBalancer.choose_for_background
)
reward_orders.register(PRODUCT)(priority.rank_reward)


class Policies(typing.NamedTuple):
    """Select a policy by name for each kind of decision."""

    order: str = PRODUCT
    placement: str = PRODUCT
    rescue: str = PRODUCT
    weights: str = PRODUCT
    reward_choice: str = PRODUCT
    reward_order: str = PRODUCT
    capacity: str = PRODUCT
    balancer: str = PRODUCT


@orders.register(BASELINE)
def by_due_time(waiting: priority.WaitingItem) -> tuple[float, float, float]:
    """Rank by the due time of the batch (earliest deadline first)."""
    return waiting.due_in_s, 0.0, 0.0


@orders.register('shortest_first')
def by_length(waiting: priority.WaitingItem) -> tuple[float, float, float]:
    """Rank by the expected run time, shortest first."""
    return waiting.expected_run_s, 0.0, 0.0


@placements.register(BASELINE)
def fewest_running(candidates: list[placement.Candidate]) -> str | None:
    """Choose the upstream with the fewest runs, ignoring its speed."""
    free = [
        candidate
        for candidate in candidates
        if candidate.running < candidate.slots
    ]
    if not free:
        return None
    return min(free, key=lambda candidate: candidate.running).upstream


@placements.register('memory_bound')
def within_memory(candidates: list[placement.Candidate]) -> str | None:
    """Exclude upstreams whose expected memory usage is above a limit."""
    return placement.choose(
        [
            candidate
            for candidate in candidates
            if candidate.running == 0
            or candidate.memory_usage <= MAX_MEMORY_USAGE
        ]
    )


@rescues.register(BASELINE)
def only_stalled(running: migration_policy.RunState) -> str:
    """Move only runs whose stream has stalled."""
    return (
        migration_policy.STALLED
        if migration_policy.is_stalled(running)
        else ''
    )


@rescues.register('by_average')
def by_average(running: migration_policy.RunState) -> str:
    """Move runs off upstreams whose average gap is 1.8 times the best.

    To be used with the capacity of the same name.
    """
    if only_stalled(running):
        return migration_policy.STALLED
    best_gap_s = running.best_gap_s
    is_slow = (
        best_gap_s is not None
        and running.migrations < migration_policy.MAX_MIGRATIONS
        and running.observed_s >= moving_average.MIN_SAMPLES
        and running.gap_s >= moving_average.SLOW_FACTOR * best_gap_s
        and running.remaining_events * (running.gap_s - best_gap_s)
        > moving_average.MIN_SAVING_S
    )
    return migration_policy.SLOW if is_slow else ''


@rescues.register('never')
def never(running: migration_policy.RunState) -> str:
    """Never move a run."""
    return ''


@learners.register(PRODUCT)
def learn() -> estimator.CapacityLearner:
    """Return the learner of the product."""
    return estimator.Learner(state.INITIAL_GAP_S)


balancers.register(BASELINE)(edge.AverageBalancer)


@balancers.register(PRODUCT)
def balance(rng: random.Random) -> edge.Balancer:
    """Return the load balancer of the product."""
    return load_balancer.LoadBalancer(rng=rng)


learners.register(BASELINE)(moving_average.Learner)


@plans.register(BASELINE)
def everywhere(
    candidates: list[load_planner.LoadCandidate],
    targets: list[load_planner.Target],
    max_loads: int,
) -> list[load_planner.PlannedLoad]:
    """Load every version on all upstreams, in the order given."""
    available = max_loads - sum(
        candidate.is_loading for candidate in candidates
    )
    planned = []
    for candidate in candidates:
        for target in targets:
            is_outdated = (
                candidate.versions.get(target.model, 0) < target.version
            )
            if (
                len(planned) < available
                and is_outdated
                and candidate.may_order
            ):
                if not candidate.is_loading:
                    planned.append(
                        load_planner.PlannedLoad(
                            candidate.upstream, target.model, target.version
                        )
                    )
                    break
    return planned


@plans.register('all_at_once')
def all_at_once(
    candidates: list[load_planner.LoadCandidate],
    targets: list[load_planner.Target],
    max_loads: int,
) -> list[load_planner.PlannedLoad]:
    """Plan like the product, without a limit on concurrent loads."""
    return load_planner.plan(candidates, targets, math.ceil(len(candidates)))


@reward_choices.register(BASELINE)
def like_callers(
    balancer: load_balancer.LoadBalancer,
    entries: list[catalogue.UpstreamEntry],
) -> catalogue.UpstreamEntry | None:
    """Choose as for a caller's request, without leaving room for any."""
    return balancer.choose(entries, set())


@reward_orders.register(BASELINE)
def as_completed(
    waiting: priority.WaitingReward,
) -> tuple[float, float, float]:
    """Keep the order in which the outputs were complete."""
    return 0.0, 0.0, 0.0
