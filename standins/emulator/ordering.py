"""Start and stop samplers of the emulated platform as they are ordered."""

import threading
import typing

from . import upstream as upstream_module

Add = typing.Callable[[str, bool], upstream_module.Upstream]
Remove = typing.Callable[[upstream_module.Upstream], None]
# Upstreams that are no longer ordered drain for this time.
DRAIN_S = 2.0


class Pool(typing.NamedTuple):
    """The upstreams of one kind in a data centre."""

    zone: str
    is_spot: bool


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
        self._counts: dict[Pool, int] = {}
        self._serving: list[upstream_module.Upstream] = []
        self._is_stopped = False
        # Pools in which no more upstreams are available.
        self.unavailable: set[Pool] = set()

    def adopt(self, upstream: upstream_module.Upstream) -> None:
        """Count an upstream that has served from the start."""
        with self._lock:
            pool = _pool(upstream)
            self._counts[pool] = self._counts.get(pool, 0) + 1
            self._serving.append(upstream)

    def order(self, zone: str, is_spot: bool, count: int) -> bool:
        """Set how many there should be; return whether they are available."""
        pool = Pool(zone, is_spot)
        with self._lock:
            present = self._counts.get(pool, 0)
            others = self._counts.get(Pool(zone, not is_spot), 0)
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
        pool = Pool(zone, is_spot=True)
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
            pool = Pool(zone, is_spot)
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


def _pool(upstream: upstream_module.Upstream) -> Pool:
    return Pool(upstream.zone, upstream.is_spot)
