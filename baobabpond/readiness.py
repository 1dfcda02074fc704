"""Decide when a starting instance is ready for callers."""

import time

from .catalogue import current as current_module
from .store import follower as follower_module

# Readiness waits no longer than this for the batches, which take long to load
# when all instances start at the same time; ordinary requests do not need
# them.
SHARD_LOAD_TIMEOUT_S = 0.3


class Readiness:
    """Observe what a starting instance has read from the log."""

    def __init__(
        self,
        current: current_module.CurrentConfiguration,
        followers: list[follower_module.Follower],
        shard_follower: follower_module.Follower,
    ) -> None:
        self._current = current
        self._followers = followers
        self._shard_follower = shard_follower
        self._loaded_at: float | None = None

    @property
    def is_ready(self) -> bool:
        """Return whether callers may connect."""
        if not self._is_loaded or self._loaded_at is None:
            return False
        waited_s = time.monotonic() - self._loaded_at
        return (
            self._shard_follower.has_caught_up
            or waited_s > SHARD_LOAD_TIMEOUT_S
        )

    @property
    def _is_loaded(self) -> bool:
        """Return whether ordinary requests can be served.

        That is once the configuration, upstreams and members are read.
        """
        is_loaded = self._current.configuration is not None and all(
            follower.has_caught_up for follower in self._followers
        )
        if is_loaded and self._loaded_at is None:
            self._loaded_at = time.monotonic()
        return is_loaded
