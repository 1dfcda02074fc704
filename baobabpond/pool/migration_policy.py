"""Decide which runs to move. Answers slow, dark and stalled upstreams."""

import typing

FIRST_EVENT_LIMIT_S = 1.0
STALL_LIMIT_S = 0.6
# An upstream whose events come this much slower than usual is left.
SLOW_FACTOR = 1.8
# A move pays off if it saves this much.
LEAST_SAVING_S = 0.4
MOST_MOVES = 3
# Gaps seen before an upstream is called slow.
ENOUGH_GAPS = 10

STALLED = 'stalled'
SLOW = 'slow'


class RunState(typing.NamedTuple):
    """Hold what the move of a run depends on."""

    has_begun: bool
    # Seconds since the last event, or since the start.
    silence_s: float
    gap_s: float
    gaps_seen: int
    remaining_events: float
    moves: int
    # Mean time between events on the best upstream with a free slot, None
    # if there is none.
    best_gap_s: float | None


def decide(running: RunState) -> str:
    """Return why a run shall move, '' if it shall stay."""
    if is_stalled(running):
        return STALLED
    return SLOW if should_move(running) else ''


def is_stalled(running: RunState) -> bool:
    """Tell whether a run is taken for lost."""
    limit_s = STALL_LIMIT_S if running.has_begun else FIRST_EVENT_LIMIT_S
    return running.silence_s > max(limit_s, 4 * running.gap_s)


def should_move(running: RunState) -> bool:
    """Tell whether a run goes on sooner on another upstream."""
    best_gap_s = running.best_gap_s
    if best_gap_s is None or running.moves >= MOST_MOVES:
        return False
    if running.gaps_seen < ENOUGH_GAPS:
        return False
    if running.gap_s < SLOW_FACTOR * best_gap_s:
        return False
    saving_s = running.remaining_events * (running.gap_s - best_gap_s)
    return saving_s > LEAST_SAVING_S
