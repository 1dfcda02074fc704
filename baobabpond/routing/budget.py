"""Limit retries to a share of first attempts."""

import threading

MAX_BALANCE = 10.0


class RetryBudget:
    """Accrue a fraction of a retry with each first attempt."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._balance = MAX_BALANCE / 2

    def deposit(self, ratio: float) -> None:
        """Credit the balance for a first attempt."""
        with self._lock:
            self._balance = min(self._balance + ratio, MAX_BALANCE)

    def try_withdraw(self) -> bool:
        """Withdraw one retry and return whether the balance allowed it."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
