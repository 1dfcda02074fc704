"""Number the windows of time in which requests are counted."""

import math
import typing


class Windows(typing.NamedTuple):
    """Windows of one length; window 0 begins at the start of 1970."""

    length_s: float

    def at(self, unix_s: float) -> int:
        """Return the number of the window that contains a time."""
        return math.floor(unix_s / self.length_s)

    def end_s(self, window: int) -> float:
        """Return when a window ends, in seconds since the start of 1970."""
        return (window + 1) * self.length_s
