"""Define workloads: upstreams, trainers' demand and injected faults."""

import typing

from baobabpond import registry


class TrainerSpec(typing.NamedTuple):
    """Describe a trainer and its steps."""

    model: str
    groups: int
    group_size: int
    mean_events: float
    # Share of the groups that must be complete for the step to end.
    required_share: float = 0.9
    train_s: float = 0.5
    step_period_s: float = 4.0
    due_s: float = 7.5
    # The trainer ends an incomplete step after this time.
    step_timeout_s: float = 12.0
    # Weight versions that samples may be behind the newest one.
    max_staleness: int = 1


class Fault(typing.NamedTuple):
    """Describe an injected fault."""

    # One of: slow, dark (streams stall without being closed), crash,
    # log_away (the log is unavailable), owner_lost.
    kind: str
    at_s: float
    duration_s: float
    # Number of affected upstreams, chosen at random.
    count: int = 1
    # Factor by which a slow upstream takes longer for an event.
    slowdown: float = 3.5


class ScoringSpec(typing.NamedTuple):
    """Describe a plain service that scores outputs and serves callers."""

    upstreams: int
    slots: int
    lookups_per_s: float
    # Mean work of a lookup and of a reward call.
    lookup_s: float = 0.026
    reward_s: float = 0.21
    # A lookup is answered in time within this latency.
    lookup_aim_s: float = 0.15


class EdgeSpec(typing.NamedTuple):
    """Describe a plain service and the instances that use it."""

    instances: int = 86
    upstreams: int = 3
    slots: int = 6
    requests_per_s: float = 6.0
    work_s: float = 0.0315
    aim_s: float = 0.191
    deadline_s: float = 2.012
    # Speeds of the upstreams, repeated as often as necessary.
    speeds: tuple[float, ...] = (1.0,)
    # Share of the time in which noise makes an upstream slower.
    noise_share: float = 0.0
    # Duration of one period of noise.
    noise_s: float = 0.6
    noise_factor: float = 2.5
    # Whether upstreams report their load, and how many report a false one.
    reports: bool = False
    false_reports: int = 0


class Capacity(typing.NamedTuple):
    """Describe how samplers differ in speed, and what they report of it."""

    # Speeds of the samplers, repeated as often as necessary.
    speeds: tuple[float, ...] = (1.0,)
    # Share of the time in which noise makes a sampler slower.
    noise_share: float = 0.0
    noise_s: float = 0.6
    noise_factor: float = 2.5
    # Number of samplers that are slower by knee_factor while more than
    # knee_share of their slots are in use.
    kneed: int = 0
    knee_share: float = 0.5
    knee_factor: float = 2.2
    # Whether upstreams report their load, and how many report a false one.
    reports: bool = False
    false_reports: int = 0


class Workload(typing.NamedTuple):
    """Describe the upstreams, the trainers and the faults of one run."""

    upstreams: int
    slots: int
    memory_tokens: int
    trainers: tuple[TrainerSpec, ...]
    faults: tuple[Fault, ...] = ()
    duration_s: float = 40.0
    # Weight loads that can run concurrently without slowing each other.
    uncontended_loads: int = 2
    capacity: Capacity = Capacity()
    # If given, only ordinary requests are simulated.
    edge: EdgeSpec | None = None
    # None if outputs need no scores.
    scoring: ScoringSpec | None = None


workloads: registry.Registry[Workload] = registry.Registry('load')


def _three_models(**changes: typing.Any) -> tuple[TrainerSpec, ...]:
    sizes = {'a': (4, 8, 20.0), 'b': (9, 4, 24.0), 'c': (9, 4, 24.0)}
    return tuple(
        TrainerSpec(model, *size)._replace(**changes)
        for model, size in sizes.items()
    )


QUIET = Workload(7, 12, 38_000, _three_models())
ONE_MODEL = Workload(
    6, 12, 83_000, (TrainerSpec('a', 15, 8, 9.0, train_s=1.0),)
)
LOG_AWAY = (Fault('log_away', 8.0, 4.0), Fault('log_away', 20.0, 6.0))
SLOW = tuple(Fault('slow', at_s, 8.0, count=2) for at_s in (4.0, 16.0, 28.0))
DARK = tuple(Fault('dark', at_s, 5.0) for at_s in (3.0, 12.0, 20.0, 31.0))
CRASHES = tuple(Fault('crash', at_s, 4.0) for at_s in (5.0, 15.0, 25.0))

workloads.register('quiet')(QUIET)
workloads.register('one_model')(ONE_MODEL)
workloads.register('slow')(QUIET._replace(faults=SLOW))
workloads.register('dark')(QUIET._replace(faults=DARK))
workloads.register('log_away')(QUIET._replace(faults=LOG_AWAY))
workloads.register('owner_lost')(
    QUIET._replace(
        faults=tuple(
            Fault('owner_lost', at_s, 1.4) for at_s in (6.0, 14.0, 23.0)
        )
    )
)
workloads.register('storm')(
    QUIET._replace(faults=(*SLOW, *CRASHES, *LOG_AWAY))
)
workloads.register('no_lag')(
    QUIET._replace(trainers=_three_models(max_staleness=0))
)
workloads.register('little_memory')(QUIET._replace(memory_tokens=9_000))
workloads.register('crowded')(QUIET._replace(upstreams=4))
# Outputs that complete while the log is away are all scored at its return.
workloads.register('reward_burst')(
    QUIET._replace(
        faults=LOG_AWAY,
        scoring=ScoringSpec(upstreams=3, slots=6, lookups_per_s=25.0),
    )
)

# Samplers of uneven speed, with noise. One in four is slow. All may run all
# items, so that capacity alone limits the steps.
UNEVEN = Workload(
    12,
    8,
    83_000,
    (
        TrainerSpec('a', 26, 8, 16.0, max_staleness=99),
        TrainerSpec('b', 7, 16, 16.0, max_staleness=99),
    ),
    capacity=Capacity((0.55, 1.2, 1.2, 1.2), noise_share=0.15),
    duration_s=24.0,
)
EVEN = UNEVEN._replace(capacity=Capacity(noise_share=0.15))
workloads.register('uneven')(UNEVEN)
workloads.register('even')(EVEN)
workloads.register('even_reported')(
    EVEN._replace(capacity=EVEN.capacity._replace(reports=True))
)
workloads.register('uneven_reported')(
    UNEVEN._replace(capacity=UNEVEN.capacity._replace(reports=True))
)
# Slow samplers claim to be fast and idle.
workloads.register('false_reports')(
    UNEVEN._replace(
        capacity=UNEVEN.capacity._replace(reports=True, false_reports=9)
    )
)
# Some samplers slow down at half of their slots.
workloads.register('knee')(
    EVEN._replace(capacity=Capacity(noise_share=0.15, kneed=4))
)
# Others become slow and fast again.
workloads.register('speed_changes')(
    EVEN._replace(
        faults=tuple(
            Fault('slow', at_s, 8.0, count=3, slowdown=2.2)
            for at_s in (6.0, 16.0, 26.0)
        )
    )
)

# Ordinary requests: the usual load, and one near the capacity.
EDGE = EdgeSpec(speeds=(0.55, 1.2, 1.2), noise_share=0.15, reports=True)
BUSY_EDGE = EDGE._replace(requests_per_s=330.0, instances=20)
_NO_ITEMS = Workload(0, 0, 0, (), duration_s=60.0)
workloads.register('edge')(_NO_ITEMS._replace(edge=EDGE))
workloads.register('edge_busy')(
    _NO_ITEMS._replace(edge=BUSY_EDGE, duration_s=20.0)
)
workloads.register('edge_false')(
    _NO_ITEMS._replace(
        edge=BUSY_EDGE._replace(false_reports=1), duration_s=20.0
    )
)
workloads.register('edge_even')(
    _NO_ITEMS._replace(edge=BUSY_EDGE._replace(speeds=(1.0,)), duration_s=20.0)
)
