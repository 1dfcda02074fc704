"""Record what really reached the emulated upstreams."""

import collections
import threading
import time
import typing


class RunRecord(typing.NamedTuple):
    """One execution of a request at an upstream, as it really happened."""

    request_id: str
    upstream: str
    # Last-Event-Id of the request; 0 if the run starts at the first event.
    after_event: int
    started_at: float
    # Weight version of each event.
    versions: list[int]


class OrderRecord(typing.NamedTuple):
    """A weight order as an upstream received it."""

    received_at: float
    upstream: str
    holder: str
    fencing_token: int
    # Holder in the intent record of this upstream in the log when the
    # order arrived; empty if there was none.
    intent_holder: str


class Arrival(typing.NamedTuple):
    """A request of any kind as it reached an upstream."""

    upstream: str
    arrived_at: float
    path: str
    request_id: str
    # Name of the account; None if none is stated.
    account: str | None = None
    # The request carries credentials of its caller.
    has_credentials: bool = False


class CrashRecord(typing.NamedTuple):
    """The end of an upstream under a request."""

    request_id: str
    upstream: str
    crashed_at: float


class Recorder:
    """Record the runs and weight orders of all upstreams."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self.runs: list[RunRecord] = []
        self.orders: list[OrderRecord] = []
        self.arrivals: list[Arrival] = []
        self.crashes: list[CrashRecord] = []
        # By request id, the signatures of successful responses.
        self.signatures: dict[str, set[str]] = collections.defaultdict(set)
        # By request id, when the last event of its stream was first sent.
        self.completed_at: dict[str, float] = {}

    def record_run(self, run: RunRecord) -> None:
        """Add a run."""
        with self._lock:
            self.runs.append(run)

    def record_arrival(self, arrival: Arrival) -> None:
        """Add a request that has reached an upstream."""
        with self._lock:
            self.arrivals.append(arrival)

    def arrivals_of(self, request_id: str) -> list[Arrival]:
        """Return the arrivals of a request."""
        with self._lock:
            return [
                arrival
                for arrival in self.arrivals
                if arrival.request_id == request_id
            ]

    def arrivals_at(self, upstream: str, since: float) -> list[float]:
        """Return when requests reached an upstream from a moment on."""
        with self._lock:
            return sorted(
                arrival.arrived_at
                for arrival in self.arrivals
                if arrival.upstream == upstream and arrival.arrived_at >= since
            )

    def record_crash(self, crash: CrashRecord) -> None:
        """Add the crash of an upstream."""
        with self._lock:
            self.crashes.append(crash)

    def record_signature(self, request_id: str, signature: str) -> None:
        """Add the signature of a successful response."""
        with self._lock:
            self.signatures[request_id].add(signature)

    def record_completion(self, request_id: str) -> None:
        """Record that the last event of a stream is sent."""
        with self._lock:
            self.completed_at.setdefault(request_id, time.monotonic())

    def record_order(self, order: OrderRecord) -> None:
        """Add an order that an upstream received."""
        with self._lock:
            self.orders.append(order)

    def runs_of(self, request_id: str) -> list[RunRecord]:
        """Return the runs with a request id, in the order of their start."""
        with self._lock:
            return [run for run in self.runs if run.request_id == request_id]

    def runs_at(self, upstream: str) -> list[RunRecord]:
        """Return the runs of an upstream, in the order of their start."""
        with self._lock:
            return [run for run in self.runs if run.upstream == upstream]
