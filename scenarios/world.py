"""Share a cluster, its traffic and data between the steps of a scenario."""

import concurrent.futures
import threading
import time
import typing

from standins import cluster as cluster_module
from standins import router as router_module
from standins import trainer as trainer_module

DATA_CENTRES = ['kl-bengkel', 'ipoh-kilang', 'jb-gudang']
LOOKUP_SERVICE = 'pasak-lestari/order-lookup'
CHECKLIST_SERVICE = 'valparaiso/field-records'
MODEL_SERVICE = 'pasak-lestari/peg-sizing'
TRAINER_WORKLOAD = f'{MODEL_SERVICE}/rollout'
SETTINGS_TREE: dict[str, dict[str, typing.Any]] = {
    'root': {'entry_validity_s': 2, 'lease_s': 2},
    LOOKUP_SERVICE: {'path': '/orders', 'idempotent': True, 'timeout_s': 5},
    CHECKLIST_SERVICE: {
        'path': '/orders',
        'idempotent': False,
        'timeout_s': 10,
    },
    MODEL_SERVICE: {
        'adapter': 'completions',
        'path': '/v1/completions',
        'idempotent': True,
        'timeout_s': 60,
        'weight_order_timeout_s': 3,
    },
    TRAINER_WORKLOAD: {'priority': 'high'},
}
REQUEST_TIMEOUT_S = 10.0


class World:
    """Run one scenario's cluster and the requests sent to it."""

    def __init__(self, seed: int) -> None:
        self.cluster = cluster_module.Cluster(seed)
        self.executor = concurrent.futures.ThreadPoolExecutor(64)
        self.outcomes: dict[str, router_module.Outcome] = {}
        self.pending: list[
            tuple[str, concurrent.futures.Future[router_module.Outcome]]
        ] = []
        self.traffic: Traffic | None = None
        self.trainer: trainer_module.Trainer | None = None
        self.background: list[concurrent.futures.Future[typing.Any]] = []
        self.overrides: dict[str, typing.Any] = {}
        self.step_data: dict[str, typing.Any] = {}

    def close(self) -> None:
        """Stop the traffic and all processes."""
        if self.traffic is not None:
            self.traffic.stop()
        self.cluster.close()
        self.executor.shutdown(wait=False, cancel_futures=True)

    def start(
        self,
        instances: int,
        engine_arguments: tuple[str, ...] = (),
        **overrides: typing.Any,
    ) -> None:
        """Start the platform, the upstreams and the instances."""
        cluster = self.cluster
        self.overrides = overrides
        cluster.start_platform()
        for service, kind, count, arguments in (
            (LOOKUP_SERVICE, 'plain_service', 2, ()),
            (CHECKLIST_SERVICE, 'plain_service', 2, ()),
            (MODEL_SERVICE, 'engine', 3, engine_arguments),
        ):
            cluster.start_upstreams(
                cluster_module.Upstreams(service, kind, count, arguments),
                DATA_CENTRES,
            )
        published = cluster.publish(SETTINGS_TREE)
        assert published.returncode == 0, published.stderr
        for index in range(instances):
            self.start_instance(f'entry-{index + 1}')
        cluster.wait_ready()
        self.wait_members(instances)

    def start_instance(self, name: str) -> None:
        """Start an instance in one of the data centres."""
        index = int(name.split('-')[1]) - 1
        self.cluster.start_instance(
            name,
            DATA_CENTRES[index % len(DATA_CENTRES)],
            **self.overrides,
        )

    def wait_members(self, count: int) -> None:
        """Wait until every instance lists `count` members as alive."""
        for name in self.cluster.instances:
            self.cluster.wait(
                lambda name=name: len(self.alive_members(name)) == count,
                f'{name} sees {count} members',
            )

    def alive_members(self, name: str) -> list[str]:
        """Return the members that an instance lists as alive."""
        status = self.cluster.call(name, 'GET', '/v1/status')
        return [
            member['instance']
            for member in status['members']
            if member['state'] == 'alive'
        ]

    def live_instances(self) -> list[str]:
        """Return the instances that run and are not frozen by SIGSTOP."""
        return [
            name
            for name, process in self.cluster.instances.items()
            if process.alive and name not in self.step_data.get('frozen', ())
        ]

    def router(self, name: str = 'router') -> router_module.Router:
        """Return a router that discovers entries from the live instances."""
        seeds = [self.cluster.instances[n].url for n in self.live_instances()]
        return router_module.Router(
            name, seeds, DATA_CENTRES[0], self.cluster.seed
        )

    def entry(self, name: str) -> router_module.Entry:
        """Return an instance as a router's entry."""
        return router_module.Entry(name, self.cluster.instances[name].url)

    def send_in_background(
        self, order: str, key: str | None, entry: str, timeout_s: float
    ) -> None:
        """Send a checklist entry, or a lookup if there is no key."""
        path = LOOKUP_SERVICE if key is None else CHECKLIST_SERVICE
        future = self.executor.submit(
            self.router('scenario').send,
            path,
            {'order': order},
            timeout_s,
            key,
            self.entry(entry),
        )
        self.pending.append((order, future))

    def collect_outcomes(self) -> list[router_module.Outcome]:
        """Wait for all pending requests and return their outcomes."""
        outcomes = []
        for order, future in self.pending:
            outcome = future.result(timeout=60)
            self.outcomes[order] = outcome
            outcomes.append(outcome)
        self.pending = []
        return outcomes

    def execution_count(self, order: str) -> int:
        """Return how often the live upstreams started a checklist entry."""
        total = 0
        for name in ('field-records-0', 'field-records-1'):
            if not self.cluster.processes[name].alive:
                continue
            shown = self.cluster.call(name, 'GET', '/executions')
            total += shown['started'].get(order, 0)
        return total

    def new_trainer(self) -> trainer_module.Trainer:
        """Create a trainer with the URLs of all instances."""
        self.trainer = trainer_module.Trainer(
            TRAINER_WORKLOAD,
            [process.url for process in self.cluster.instances.values()],
            self.cluster.seed,
        )
        return self.trainer

    def trainer_owner(self) -> str:
        """Wait until an instance has committed samples and return its name."""
        owner = ''

        def has_owner() -> bool:
            nonlocal owner
            for name in self.live_instances():
                committed = self.cluster.counter(
                    name, 'rollout.samples_committed'
                )
                if committed > 0:
                    owner = name
            return bool(owner)

        self.cluster.wait(has_owner, 'an instance owns the trainer')
        return owner


class Traffic:
    """Send lookups, checklist entries and streams until stopped."""

    def __init__(self, world: World, threads_per_kind: int = 4) -> None:
        self._world = world
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._router = world.router('traffic')
        self.outcomes: dict[str, list[router_module.Outcome]] = {
            'lookup': [],
            'checklist': [],
            'stream': [],
        }
        self.keys: list[str] = []
        self._threads = [
            threading.Thread(target=self._run, args=(kind, index), daemon=True)
            for kind in self.outcomes
            for index in range(threads_per_kind)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the requests in flight."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(timeout=30)

    def count(self) -> int:
        """Return the number of completed requests."""
        with self._lock:
            return sum(map(len, self.outcomes.values()))

    def _run(self, kind: str, index: int) -> None:
        number = 0
        while not self._stopping.is_set():
            order = f'{kind}-{index}-{number}'
            number += 1
            outcome = self._send(kind, order)
            with self._lock:
                self.outcomes[kind].append(outcome)
                if kind == 'checklist':
                    self.keys.append(order)
            time.sleep(0.01)

    def _send(self, kind: str, order: str) -> router_module.Outcome:
        if kind == 'stream':
            body = {'prompt': order, 'max_tokens': 40, 'stream': True}
            return self._router.send(MODEL_SERVICE, body, REQUEST_TIMEOUT_S)
        if kind == 'checklist':
            return self._router.send(
                CHECKLIST_SERVICE, {'order': order}, REQUEST_TIMEOUT_S, order
            )
        return self._router.send(
            LOOKUP_SERVICE, {'order': order}, REQUEST_TIMEOUT_S
        )
