"""Simulate ordinary requests from instances that each see few of them."""

import collections
import random
import time
import typing

from baobabpond.ports import catalogue
from baobabpond.ports import upstreams
from baobabpond.upstreams import load_balancer

from . import clock
from . import load as load_module

SERVICE = 'plain'
KIND = 'lookup'
# Slowness that an upstream reports falsely.
FALSE_SLOWNESS = 0.4


class Balancer(typing.Protocol):
    """Choose upstreams for the requests of one instance."""

    def choose(
        self,
        entries: list[catalogue.UpstreamEntry],
        tried: set[str],
        kind: str = '',
    ) -> catalogue.UpstreamEntry | None:
        """Return the upstream for the next request."""
        ...

    def record_outcome(
        self,
        entry: catalogue.UpstreamEntry,
        latency_s: float | None,
        failed: bool | None,
        load: upstreams.ReportedLoad | None,
        kind: str = '',
    ) -> None:
        """Record the end of a request."""
        ...


class AverageBalancer:
    """Choose by a moving average of latencies, as in the first version."""

    def __init__(self, rng: random.Random) -> None:
        self._latency_s: dict[str, float] = collections.defaultdict(
            lambda: load_balancer.INITIAL_LATENCY_S
        )
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._busy: dict[str, tuple[int, float]] = {}

    def choose(
        self,
        entries: list[catalogue.UpstreamEntry],
        tried: set[str],
        kind: str = '',
    ) -> catalogue.UpstreamEntry | None:
        """Return the upstream with the lowest expected latency."""
        chosen = min(entries, key=self._score)
        self._in_flight[chosen.id] += 1
        return chosen

    def record_outcome(
        self,
        entry: catalogue.UpstreamEntry,
        latency_s: float | None,
        failed: bool | None,
        load: upstreams.ReportedLoad | None,
        kind: str = '',
    ) -> None:
        """Add the latency to the average."""
        self._in_flight[entry.id] -= 1
        if load is not None:
            self._busy[entry.id] = load.busy, time.monotonic()
        if latency_s is not None:
            self._latency_s[entry.id] += 0.15 * (
                latency_s - self._latency_s[entry.id]
            )

    def _score(self, entry: catalogue.UpstreamEntry) -> float:
        busy, reported_at = self._busy.get(entry.id, (0, 0.0))
        if time.monotonic() - reported_at >= 1.0:
            busy = 0
        in_flight = self._in_flight[entry.id]
        load_factor = 1 + max(busy, in_flight) / entry.slots
        return self._latency_s[entry.id] * load_factor * (1 + in_flight)


class PlainUpstream:
    """Work on as many requests as there are slots; queue the others."""

    def __init__(
        self,
        number: int,
        spec: load_module.EdgeSpec,
        rng: random.Random,
        scheduler: clock.Scheduler,
    ) -> None:
        self.entry = catalogue.UpstreamEntry(
            f'p{number}', SERVICE, 'h', 80, 'a', spec.slots, False, 1, {}
        )
        self._spec = spec
        self._scheduler = scheduler
        self._rng = rng
        self._is_false = number < spec.false_reports
        self._speed = spec.speeds[number % len(spec.speeds)]
        self._noise = 1.0
        self._running = 0
        self._waiting: collections.deque[clock.Action] = collections.deque()
        self.requests = 0
        if spec.noise_share:
            scheduler.call_later(self._draw_quiet_s(), self._begin_noise)

    @property
    def load(self) -> upstreams.ReportedLoad | None:
        """Return the load as the upstream reports it."""
        if not self._spec.reports:
            return None
        if self._is_false:
            return upstreams.ReportedLoad(
                0, 0, self.entry.slots, FALSE_SLOWNESS
            )
        return upstreams.ReportedLoad(
            self._running,
            len(self._waiting),
            self.entry.slots,
            self._noise / self._speed,
        )

    def submit(self, on_done: clock.Action) -> None:
        """Work on a request as soon as there is a slot."""
        self.requests += 1
        self._waiting.append(on_done)
        self._start_next()

    def _start_next(self) -> None:
        if not self._waiting or self._running >= self.entry.slots:
            return
        on_done = self._waiting.popleft()
        self._running += 1

        def finish() -> None:
            self._running -= 1
            on_done()
            self._start_next()

        work_s = self._spec.work_s * self._rng.uniform(0.7, 1.3)
        self._scheduler.call_later(work_s * self._noise / self._speed, finish)

    def _draw_quiet_s(self) -> float:
        quiet_s = self._spec.noise_s * (1 / self._spec.noise_share - 1)
        return self._rng.expovariate(1 / quiet_s)

    def _begin_noise(self) -> None:
        self._noise = self._spec.noise_factor

        def end() -> None:
            self._noise = 1.0
            self._scheduler.call_later(self._draw_quiet_s(), self._begin_noise)

        self._scheduler.call_later(self._spec.noise_s, end)


class EdgeOutcome(typing.NamedTuple):
    """Describe the latencies of the requests."""

    requests: int
    # Shares of the requests within the aim and within the deadline.
    in_aim: float
    in_deadline: float
    mean_s: float
    # Share of the requests of each upstream.
    shares: tuple[float, ...]


def simulate(
    spec: load_module.EdgeSpec,
    make_balancer: typing.Callable[[random.Random], Balancer],
    seed: int,
    duration_s: float,
    advance_clock: clock.AdvanceClock,
) -> EdgeOutcome:
    """Send requests from random instances; the outcome is deterministic."""
    scheduler = clock.Scheduler(advance_clock)
    rng = random.Random(f'edge-{seed}')
    plain = {
        f'p{number}': PlainUpstream(
            number, spec, random.Random(f'plain-{number}-{seed}'), scheduler
        )
        for number in range(spec.upstreams)
    }
    entries = [upstream.entry for upstream in plain.values()]
    balancers = [
        make_balancer(random.Random(f'{number}-{seed}'))
        for number in range(spec.instances)
    ]
    latencies_s: list[float] = []

    def send() -> None:
        scheduler.call_later(rng.expovariate(spec.requests_per_s), send)
        balancer = rng.choice(balancers)
        entry = balancer.choose(entries, set(), KIND)
        if entry is None:
            return
        sent_at = time.monotonic()

        def finish() -> None:
            latency_s = time.monotonic() - sent_at
            latencies_s.append(latency_s)
            balancer.record_outcome(
                entry, latency_s, False, plain[entry.id].load, KIND
            )

        plain[entry.id].submit(finish)

    scheduler.call_later(0.0, send)
    scheduler.run(duration_s)
    return _evaluate(
        spec, latencies_s, [upstream.requests for upstream in plain.values()]
    )


def _evaluate(
    spec: load_module.EdgeSpec, latencies_s: list[float], requests: list[int]
) -> EdgeOutcome:
    """Return the outcome from latencies and requests by upstream."""
    total = max(1, len(latencies_s))
    return EdgeOutcome(
        total,
        sum(took_s <= spec.aim_s for took_s in latencies_s) / total,
        sum(took_s <= spec.deadline_s for took_s in latencies_s) / total,
        sum(latencies_s) / total,
        tuple(count / total for count in requests),
    )
