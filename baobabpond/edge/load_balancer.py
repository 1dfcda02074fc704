"""Choose the upstream of an ordinary request. Answers uneven load."""

import threading
import time

from ..ports import catalogue

LATENCY_WEIGHT = 0.15
INITIAL_LATENCY_S = 0.04
# A failed upstream gets no request for this long, doubled each time.
SUSPEND_S = 0.5
MOST_SUSPEND_S = 4.0
# A reported load counts for this long.
REPORT_VALID_S = 1.0


class Peer:
    """Hold what this instance saw of one upstream."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.failures_in_row = 0
        self.suspended_until = 0.0
        self.reported_busy = 0
        self.reported_at = float('-inf')

    def score(self, slots: int, now: float) -> float:
        """Return the expected latency of one more request."""
        busy = self.in_flight
        if now - self.reported_at < REPORT_VALID_S:
            busy = max(busy, self.reported_busy)
        return self.latency_s * (1 + busy / slots) * (1 + self.in_flight)


class Balance:
    """Choose by latency and load, and stay away from failing upstreams."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._peers: dict[tuple[str, int], Peer] = {}

    def choose(
        self, entries: list[catalogue.UpstreamEntry], tried: set[str]
    ) -> catalogue.UpstreamEntry | None:
        """Return the best upstream that was not tried, None if none is."""
        now = time.monotonic()
        fresh = [entry for entry in entries if entry.id not in tried]
        if not fresh:
            return None
        with self._lock:
            peers = {e.incarnation: self._peer(e.incarnation) for e in fresh}
            open_entries = [
                entry
                for entry in fresh
                if peers[entry.incarnation].suspended_until <= now
            ]
            chosen = min(
                open_entries or fresh,
                key=lambda e: peers[e.incarnation].score(e.slots, now),
            )
            peers[chosen.incarnation].in_flight += 1
            return chosen

    def _peer(self, incarnation: tuple[str, int]) -> Peer:
        return self._peers.setdefault(incarnation, Peer())

    def note_end(
        self,
        entry: catalogue.UpstreamEntry,
        latency_s: float | None,
        failed: bool,
        load: tuple[int, int, int] | None,
    ) -> None:
        """Note how a request ended."""
        now = time.monotonic()
        with self._lock:
            peer = self._peer(entry.incarnation)
            peer.in_flight = max(0, peer.in_flight - 1)
            if load is not None:
                peer.reported_busy = load[0] + load[1]
                peer.reported_at = now
            if latency_s is not None:
                peer.latency_s += LATENCY_WEIGHT * (latency_s - peer.latency_s)
            if not failed:
                peer.failures_in_row = 0
                return
            pause_s = SUSPEND_S * 2**peer.failures_in_row
            peer.failures_in_row += 1
            peer.suspended_until = now + min(MOST_SUSPEND_S, pause_s)
