"""Decide which runs to migrate off slow or unresponsive upstreams."""

import typing

FIRST_EVENT_LIMIT_S = 1.0
# A run is stalled after this time beyond the usual time between events.
STALL_LIMIT_S = 0.6
# A silence is noise up to this multiple of the usual time between events.
NOISE_FACTOR = 4
# Runs leave an upstream that is slower than the best one by this factor;
# estimates that differ by less may be equal.
SLOW_FACTOR = 1.4
# Time saved beyond the cost for a migration to be worth the risk.
MIN_SAVING_S = 0.4
# The remaining time exceeds its estimate by up to this factor.
ESTIMATE_MARGIN = 1.5
MAX_MIGRATIONS = 3
# At most this share of the runs leaves a slow upstream within a second: it is
# slow but works, and others must not be crowded.
MAX_DEPARTED_SHARE = 0.5
# An upstream counts as slow only after this time of observation, more than
# twice as long as noise lasts.
MIN_OBSERVED_S = 1.5
# Reading a prompt again takes 2 to 10 ms for 1,000 tokens on an idle upstream.
# The loss of the prefix that the group shares costs as much again.
REREAD_S_PER_TOKEN = 2 * 0.010 / 1000
# Time for a new connection and the wait for the first event.
RESTART_S = 0.05

STALLED = 'stalled'
SLOW = 'slow'


class RunState(typing.NamedTuple):
    """Describe the state of a run that its migration depends on."""

    has_begun: bool
    # Seconds since the last event, or since the start if there is none.
    silence_s: float
    # Usual time between events there.
    gap_s: float
    # Time over which it was observed lately.
    observed_s: float
    remaining_events: float
    migrations: int
    # Usual time between events on the best upstream with a free slot, None
    # if there is none.
    best_gap_s: float | None
    # Prompt and output, which another upstream reads again.
    tokens: int = 0
    # Time until the item is due.
    due_in_s: float = 0.0
    # Items wait for a slot.
    has_waiting_items: bool = False
    # Runs on the upstream, and those that it lost within DEPARTURE_WINDOW_S
    # because it is slow.
    running: int = 1
    departed: int = 0


def decide(run_state: RunState) -> str:
    """Return the reason to migrate a run, '' to leave it."""
    if is_stalled(run_state):
        return STALLED
    return SLOW if should_migrate(run_state) else ''


def is_stalled(run_state: RunState) -> bool:
    """Return whether a run counts as stalled."""
    limit_s = FIRST_EVENT_LIMIT_S
    if run_state.has_begun:
        limit_s = STALL_LIMIT_S + run_state.gap_s
    return run_state.silence_s > max(limit_s, NOISE_FACTOR * run_state.gap_s)


def should_migrate(run_state: RunState) -> bool:
    """Return whether a migration saves more time than it costs."""
    best_gap_s = run_state.best_gap_s
    if best_gap_s is None or run_state.migrations >= MAX_MIGRATIONS:
        return False
    if run_state.has_waiting_items and _is_in_time(run_state):
        # The free slot is worth more to an item that waits.
        return False
    if not _may_leave(run_state):
        return False
    if run_state.observed_s < MIN_OBSERVED_S:
        return False
    if run_state.gap_s < SLOW_FACTOR * best_gap_s:
        return False
    saving_s = run_state.remaining_events * (run_state.gap_s - best_gap_s)
    return saving_s - cost_s(run_state) > MIN_SAVING_S


def cost_s(run_state: RunState) -> float:
    """Return the time that a migration costs."""
    return RESTART_S + REREAD_S_PER_TOKEN * run_state.tokens


def _may_leave(run_state: RunState) -> bool:
    """Return whether few enough runs have left the upstream lately."""
    runs = run_state.departed + run_state.running
    return run_state.departed < max(1.0, MAX_DEPARTED_SHARE * runs)


def _is_in_time(run_state: RunState) -> bool:
    """Return whether the item will be complete in time where it is."""
    remaining_s = run_state.remaining_events * run_state.gap_s
    return ESTIMATE_MARGIN * remaining_s < run_state.due_in_s
