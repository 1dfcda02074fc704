"""Describe what is asked of the upstreams, and what goes wrong."""

import typing

from baobabpond import registry


class Trainer(typing.NamedTuple):
    """Describe one trainer and its steps."""

    model: str
    groups: int
    group_size: int
    mean_events: float
    # Share of the groups that the trainer waits for.
    wanted_share: float = 0.9
    train_s: float = 0.5
    every_s: float = 4.0
    due_s: float = 7.5
    # The trainer ends a step that is not whole by then.
    give_up_s: float = 12.0
    # Versions that samples may be behind the newest one.
    lag: int = 1


class Fault(typing.NamedTuple):
    """Describe what goes wrong, from when and for how long."""

    # One of: slow, dark, crash, log_away, owner_lost.
    kind: str
    at_s: float
    for_s: float
    # Upstreams that it hits.
    count: int = 1
    # How many times as long an event takes.
    factor: float = 3.5


class Load(typing.NamedTuple):
    """Describe a day: the upstreams, the trainers and the faults."""

    upstreams: int
    slots: int
    memory_tokens: int
    trainers: tuple[Trainer, ...]
    faults: tuple[Fault, ...] = ()
    length_s: float = 40.0
    # Loads that run at once before each takes longer.
    free_loads: int = 2


loads: registry.Registry[Load] = registry.Registry('load')


def _three_models(**changes: typing.Any) -> tuple[Trainer, ...]:
    sizes = {'a': (4, 8, 20.0), 'b': (9, 4, 24.0), 'c': (9, 4, 24.0)}
    return tuple(
        Trainer(model, *size)._replace(**changes)
        for model, size in sizes.items()
    )


QUIET = Load(7, 12, 38_000, _three_models())
ONE_MODEL = Load(6, 12, 83_000, (Trainer('a', 15, 8, 9.0, train_s=1.0),))
LOG_AWAY = (Fault('log_away', 8.0, 4.0), Fault('log_away', 20.0, 6.0))
SLOW = tuple(Fault('slow', at_s, 8.0, count=2) for at_s in (4.0, 16.0, 28.0))
DARK = tuple(Fault('dark', at_s, 5.0) for at_s in (3.0, 12.0, 20.0, 31.0))
CRASHES = tuple(Fault('crash', at_s, 4.0) for at_s in (5.0, 15.0, 25.0))

loads.register('quiet')(QUIET)
loads.register('one_model')(ONE_MODEL)
loads.register('slow')(QUIET._replace(faults=SLOW))
loads.register('dark')(QUIET._replace(faults=DARK))
loads.register('log_away')(QUIET._replace(faults=LOG_AWAY))
loads.register('owner_lost')(
    QUIET._replace(
        faults=tuple(
            Fault('owner_lost', at_s, 1.4) for at_s in (6.0, 14.0, 23.0)
        )
    )
)
loads.register('storm')(QUIET._replace(faults=(*SLOW, *CRASHES, *LOG_AWAY)))
loads.register('no_lag')(QUIET._replace(trainers=_three_models(lag=0)))
loads.register('little_memory')(QUIET._replace(memory_tokens=9_000))
loads.register('crowded')(QUIET._replace(upstreams=4))
