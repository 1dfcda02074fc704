"""Decide which runs to move. Answers slow, dark and stalled upstreams."""

import typing

FIRST_EVENT_LIMIT_S = 1.0
STALL_LIMIT_S = 0.6
# An upstream whose events come this much slower than usual is left.
SLOW_FACTOR = 1.8
# A move pays off if it saves this much.
MIN_SAVING_S = 0.4
MAX_MIGRATIONS = 3
# Gaps seen before an upstream is called slow.
MIN_GAP_SAMPLES = 10

STALLED = 'stalled'
SLOW = 'slow'


class RunState(typing.NamedTuple):
    """Hold what the move of a run depends on."""

    has_begun: bool
    # Seconds since the last event, or since the start.
    silence_s: float
    gap_s: float
    gap_samples: int
    remaining_events: float
    migrations: int
    # Mean time between events on the best upstream with a free slot, None
    # if there is none.
    best_gap_s: float | None


def decide(run_state: RunState) -> str:
    """Return why a run shall move, '' if it shall stay."""
    if is_stalled(run_state):
        return STALLED
    return SLOW if should_migrate(run_state) else ''


def is_stalled(run_state: RunState) -> bool:
    """Tell whether a run is taken for lost."""
    limit_s = STALL_LIMIT_S if run_state.has_begun else FIRST_EVENT_LIMIT_S
    return run_state.silence_s > max(limit_s, 4 * run_state.gap_s)


def should_migrate(run_state: RunState) -> bool:
    """Tell whether a run goes on sooner on another upstream."""
    best_gap_s = run_state.best_gap_s
    if best_gap_s is None or run_state.migrations >= MAX_MIGRATIONS:
        return False
    if run_state.gap_samples < MIN_GAP_SAMPLES:
        return False
    if run_state.gap_s < SLOW_FACTOR * best_gap_s:
        return False
    saving_s = run_state.remaining_events * (run_state.gap_s - best_gap_s)
    return saving_s > MIN_SAVING_S
