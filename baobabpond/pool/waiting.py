"""Keep the order of waiting items between passes.

A pass starts at most as many items as there are free slots, so that it must
not look at all that wait: the scheduler's lock would be held in proportion to
them, and events of runs could not be taken meanwhile.
"""

import collections
import collections.abc
import heapq
import time
import typing

from . import queue
from . import state

# Maximum share of the time that is spent on putting items into order.
MAX_ORDER_SHARE = 0.1
# Maximum pause between two orderings: an item that has just begun to wait is
# not in the order yet.
MAX_ORDER_AGE_S = 0.5


class Requirements(typing.NamedTuple):
    """Describe the upstreams at which an item can start.

    Items with the same requirements can start at the same upstreams. The group
    and the tokens of an item influence the choice among them only.
    """

    service: str
    model: str
    min_version: int
    required_version: int
    # Software version that wrote the events so far; None without events.
    software: str | None


def requirements(service: str, task: state.Task) -> Requirements:
    """Return the requirements of an item that runs at a service."""
    return Requirements(
        service,
        task.model,
        task.min_version,
        task.required_version,
        task.software if task.events else None,
    )


class Snapshot(typing.NamedTuple):
    """The items at one time, and what their order depends on."""

    tasks: list[state.Task]
    estimator: state.EventEstimator
    # Services whose upstreams all state limits.
    limited_services: set[str]


# Items by requirements, each with its position in the order of all items.
Queues = dict[
    collections.abc.Hashable, collections.deque[tuple[int, state.Task]]
]


class Order(typing.NamedTuple):
    """Waiting items in order of priority, by requirements."""

    queues: Queues
    # Items past the time at which they are given up.
    overdue: list[state.Task]
    # Seconds that it took to find the order.
    took_s: float


# Returns the service that runs an item, None without a route.
FindService = collections.abc.Callable[[state.Task], str | None]
# Starts an item; returns False if no item with the same requirements can start
# now.
Start = collections.abc.Callable[[state.Task], bool]


def rank(snapshot: Snapshot, find_service: FindService) -> Order:
    """Put waiting items into order; needs no lock.

    Items that have changed meanwhile are checked again before they start.
    """
    now = time.monotonic()
    services: dict[state.Task, str | None] = {}

    def service_of(task: state.Task) -> str | None:
        if task not in services:
            services[task] = find_service(task)
        return services[task]

    ordered = queue.ordered(
        snapshot.tasks,
        snapshot.estimator,
        now,
        is_limited=lambda task: (
            bool(snapshot.limited_services)
            and service_of(task) in snapshot.limited_services
        ),
    )

    def needs_of(task: state.Task) -> Requirements | None:
        service = service_of(task)
        return None if service is None else requirements(service, task)

    return part(ordered, needs_of, now)


def part(
    ordered: collections.abc.Iterable[state.Task],
    needs_of: collections.abc.Callable[
        [state.Task], collections.abc.Hashable | None
    ],
    since: float,
) -> Order:
    """Group ordered items by requirements; leave out those without any.

    The ordering began at the monotonic time since.
    """
    queues: Queues = {}
    overdue = []
    for position, task in enumerate(ordered):
        if task.give_up_at <= since:
            overdue.append(task)
        needs = needs_of(task)
        if needs is not None:
            queues.setdefault(needs, collections.deque()).append(
                (position, task)
            )
    return Order(queues, overdue, time.monotonic() - since)


class WaitingItems:
    """Hold the order that was found last; the scheduler's lock guards it."""

    def __init__(self) -> None:
        self._queues: Queues = {}
        self._next_order_at = 0.0
        # Where the review of all items goes on.
        self._reviewed: collections.deque[state.Task] = collections.deque()

    @property
    def is_order_due(self) -> bool:
        """Return whether the items should be put into order again."""
        return time.monotonic() >= self._next_order_at

    def clear(self) -> None:
        """Forget all items."""
        self._queues = {}
        self._reviewed.clear()
        self._next_order_at = 0.0

    def set_order(self, order: Order) -> None:
        """Replace the order."""
        self._queues = order.queues
        pause_s = order.took_s * (1.0 / MAX_ORDER_SHARE - 1.0)
        self._next_order_at = time.monotonic() + min(pause_s, MAX_ORDER_AGE_S)

    def start_in_order(
        self,
        is_waiting: collections.abc.Callable[[state.Task], bool],
        start: Start,
    ) -> None:
        """Start items by priority until nothing more fits.

        Ends once an item of each kind of requirements could not start.
        """
        heads = [
            (tasks[0][0], needs)
            for needs, tasks in self._queues.items()
            if tasks
        ]
        heapq.heapify(heads)
        while heads:
            _, needs = heapq.heappop(heads)
            tasks = self._queues[needs]
            task = tasks[0][1]
            if is_waiting(task) and not start(task):
                continue
            tasks.popleft()
            if tasks:
                heapq.heappush(heads, (tasks[0][0], needs))
            else:
                del self._queues[needs]

    def next_to_review(
        self,
        tasks: collections.abc.Collection[state.Task],
        count: int,
    ) -> list[state.Task]:
        """Return some items, and in further calls all the others in turn."""
        if not self._reviewed:
            self._reviewed.extend(tasks)
        return [
            self._reviewed.popleft()
            for _ in range(min(count, len(self._reviewed)))
        ]
