"""Read the clock that also counts while the machine is suspended."""

import time


def since_boot_s() -> float:
    """Return the seconds since the machine started, suspensions included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
