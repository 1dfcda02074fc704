"""Allow retries as a share of first attempts."""

import threading

MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Save up a share of a retry with each first attempt."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._saved = MAX_SAVED_RETRIES / 2

    def deposit(self, ratio: float) -> None:
        """Count a first attempt."""
        with self._lock:
            self._saved = min(self._saved + ratio, MAX_SAVED_RETRIES)

    def withdraw(self) -> bool:
        """Take one retry; tell whether there was one."""
        with self._lock:
            if self._saved < 1.0:
                return False
            self._saved -= 1.0
            return True
