"""Decide which runs to migrate off slow or unresponsive upstreams."""

import typing

FIRST_EVENT_LIMIT_S = 1.0
STALL_LIMIT_S = 0.6
# Runs leave an upstream that is slower than the best one by this factor.
SLOW_FACTOR = 1.8
# Minimum time saved for a migration to be worth its cost.
MIN_SAVING_S = 0.4
MAX_MIGRATIONS = 3
# Minimum samples before an upstream counts as slow.
MIN_GAP_SAMPLES = 10

STALLED = 'stalled'
SLOW = 'slow'


class RunState(typing.NamedTuple):
    """Describe the state of a run that its migration depends on."""

    has_begun: bool
    # Seconds since the last event, or since the start if there is none.
    silence_s: float
    gap_s: float
    gap_samples: int
    remaining_events: float
    migrations: int
    # Mean time between events on the best upstream with a free slot, None
    # if there is none.
    best_gap_s: float | None


def decide(run_state: RunState) -> str:
    """Return the reason to migrate a run, '' to leave it."""
    if is_stalled(run_state):
        return STALLED
    return SLOW if should_migrate(run_state) else ''


def is_stalled(run_state: RunState) -> bool:
    """Return whether a run counts as stalled."""
    limit_s = STALL_LIMIT_S if run_state.has_begun else FIRST_EVENT_LIMIT_S
    return run_state.silence_s > max(limit_s, 4 * run_state.gap_s)


def should_migrate(run_state: RunState) -> bool:
    """Return whether a run would finish sooner on another upstream."""
    best_gap_s = run_state.best_gap_s
    if best_gap_s is None or run_state.migrations >= MAX_MIGRATIONS:
        return False
    if run_state.gap_samples < MIN_GAP_SAMPLES:
        return False
    if run_state.gap_s < SLOW_FACTOR * best_gap_s:
        return False
    saving_s = run_state.remaining_events * (run_state.gap_s - best_gap_s)
    return saving_s > MIN_SAVING_S
