"""Start and stop samplers of the emulated platform as they are ordered."""

import threading
import typing

from . import upstream as upstream_module

Add = typing.Callable[[str, bool], upstream_module.Upstream]
Remove = typing.Callable[[upstream_module.Upstream], None]
# Upstreams that are no longer ordered drain for this time.
DRAIN_S = 2.0


class OrderedUpstreams:
    """The upstreams of one service, by data centre and kind."""

    def __init__(
        self, add: Add, remove: Remove, max_count: int, boot_s: float
    ) -> None:
        self._add = add
        self._remove = remove
        self._max_count = max_count
        self._boot_s = boot_s
        self._lock = threading.Lock()
        self._counts: dict[tuple[str, bool], int] = {}
        self._serving: list[upstream_module.Upstream] = []
        self._is_stopped = False
        # Pools of which no more are to be had.
        self.unavailable: set[tuple[str, bool]] = set()

    def adopt(self, upstream: upstream_module.Upstream) -> None:
        """Count an upstream that is there from the start."""
        with self._lock:
            pool = (upstream.zone, upstream.is_spot)
            self._counts[pool] = self._counts.get(pool, 0) + 1
            self._serving.append(upstream)

    def order(self, zone: str, is_spot: bool, count: int) -> bool:
        """Set how many there should be; return whether they are to be had."""
        pool = (zone, is_spot)
        with self._lock:
            present = self._counts.get(pool, 0)
            others = self._counts.get((zone, not is_spot), 0)
            if count > present and pool in self.unavailable:
                return False
            if count + others > self._max_count:
                return False
            self._counts[pool] = count
            surplus = [u for u in self._serving if _pool(u) == pool][count:]
            self._serving = [u for u in self._serving if u not in surplus]
        for upstream in surplus:
            self._drain(upstream, DRAIN_S)
        for _ in range(count - present):
            self._later(self._boot_s, self._boot, zone, is_spot)
        return True

    def reclaim(self, zone: str, leaves_s: float) -> int:
        """Take away all spot upstreams of a data centre; return how many."""
        pool = (zone, True)
        with self._lock:
            self._counts[pool] = 0
            reclaimed = [u for u in self._serving if _pool(u) == pool]
            self._serving = [u for u in self._serving if u not in reclaimed]
        for upstream in reclaimed:
            self._drain(upstream, leaves_s)
        return len(reclaimed)

    def stop(self) -> None:
        """Start no more upstreams."""
        with self._lock:
            self._is_stopped = True

    def _boot(self, zone: str, is_spot: bool) -> None:
        with self._lock:
            pool = (zone, is_spot)
            present = sum(
                _pool(upstream) == pool for upstream in self._serving
            )
            # It may have been cancelled meanwhile.
            if self._is_stopped or present >= self._counts.get(pool, 0):
                return
            self._serving.append(self._add(zone, is_spot))

    def _drain(
        self, upstream: upstream_module.Upstream, leaves_s: float
    ) -> None:
        upstream.reclaim(leaves_s)
        self._later(leaves_s, self._remove, upstream)

    def _later(
        self,
        seconds: float,
        function: typing.Callable[..., None],
        *arguments: object,
    ) -> None:
        timer = threading.Timer(seconds, function, arguments)
        timer.daemon = True
        timer.start()


def _pool(upstream: upstream_module.Upstream) -> tuple[str, bool]:
    return upstream.zone, upstream.is_spot
