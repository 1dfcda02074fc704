"""Read the boot-time clock, which keeps running during suspension."""

import time


def since_boot_s() -> float:
    """Return the seconds since boot, including time spent suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
