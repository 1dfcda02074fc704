"""State how much slower upstreams usually are with more load."""

# Relative slowdown of a full upstream compared with an idle one.
FULL_SLOWDOWN = 0.25


def of(running: float, slots: int) -> float:
    """Return the usual slowdown with a number of concurrent requests."""
    return 1.0 + FULL_SLOWDOWN * running / max(1, slots)
