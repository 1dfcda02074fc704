"""Emulate callers with keys, and compute the usage to be reported."""

import collections
import math
import random
import threading
import time
import typing

from . import clients
from . import deployment as deployment_module
from . import upstream as upstream_module

ACCOUNTS = ('huka', 'kea', 'moa', 'tui')
PAUSE_S = 0.05
# A request that begins within this time of the end of a window may be counted
# in either; an instance takes some time until it sends it.
BOUNDARY_S = 0.1


class Use(typing.NamedTuple):
    """A request with the key of an account."""

    request_id: str
    account: str


class Bounds(typing.NamedTuple):
    """How many requests may have been counted in a window."""

    low: int
    high: int


def tenants() -> list[dict[str, typing.Any]]:
    """Return the accounts as the operator publishes them."""
    return [
        {'name': name, 'keys': [f'key-{name}'], 'priority': 0}
        for name in ACCOUNTS
    ]


class AccountLoad:
    """Send requests of several accounts to all instances."""

    def __init__(
        self, deployment: deployment_module.Deployment, seed: int = 1
    ) -> None:
        self._deployment = deployment
        self._client = clients.Client()
        self._rng = random.Random(seed)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(3)
        ]
        self._number = 0
        # Time of day at the zero of the monotonic clock.
        self._epoch_s = time.time() - time.monotonic()
        self.uses: dict[str, Use] = {}

    def __enter__(self) -> 'AccountLoad':
        """Start to send in threads of its own."""
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop sending, and wait for the last responses."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def send(self, address: str, account: str = ACCOUNTS[0]) -> int:
        """Send one request of a random kind; return its status."""
        with self._lock:
            self._number += 1
            request_id = f'use-{self._number}'
            self.uses[request_id] = Use(request_id, account)
            kind = self._rng.choice(
                (
                    deployment_module.LOOKUPS,
                    deployment_module.ENTRIES,
                    deployment_module.STREAMS,
                )
            )
            fails = self._rng.random() < 0.1
        headers = {
            'Host': deployment_module.HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '2000',
            'Authorization': f'Bearer key-{account}',
        }
        if kind == deployment_module.STREAMS:
            headers['X-Model'] = deployment_module.MODEL
        body = upstream_module.FAILING_BODY if fails else b'x'
        target = f'{kind}{request_id}'
        return self._client.send(address, 'POST', target, headers, body).status

    def bounds(self, window: int) -> dict[str, Bounds]:
        """Return the bounds of the counts of a window, by account."""
        low: collections.Counter[str] = collections.Counter()
        high: collections.Counter[str] = collections.Counter()
        length_s = deployment_module.USAGE_WINDOW_S
        for request_id, began_at in self._first_runs().items():
            use = self.uses.get(request_id)
            if use is None:
                continue
            earliest = self._epoch_s + began_at - BOUNDARY_S
            first = math.floor(earliest / length_s)
            last = math.floor((earliest + 2 * BOUNDARY_S) / length_s)
            low[use.account] += first == last == window
            high[use.account] += window in (first, last)
        return {
            account: Bounds(low[account], high[account])
            for account in ACCOUNTS
        }

    def _first_runs(self) -> dict[str, float]:
        """Return when each request first began to run; monotonic time."""
        first: dict[str, float] = {}
        for run in list(self._deployment.recorder.runs):
            began_at = run.started_at
            first[run.request_id] = min(
                began_at, first.get(run.request_id, began_at)
            )
        return first

    def _run(self) -> None:
        while not self._stopped.wait(PAUSE_S):
            instances = self._deployment.live_instances()
            with self._lock:
                instance = self._rng.choice(instances)
                account = self._rng.choice(ACCOUNTS)
            self.send(instance.address, account)
