"""Hold a cluster, its traffic and what has been seen of it."""

import concurrent.futures
import threading
import time
import typing

from standins import cluster as cluster_module
from standins import router as router_module
from standins import trainer as trainer_module

DATA_CENTRES = ['kl-bengkel', 'ipoh-kilang', 'jb-gudang']
LOOKUPS = 'pasak-lestari/order-lookup'
ENTRIES = 'valparaiso/field-records'
MODEL = 'pasak-lestari/peg-sizing'
TRAINER = f'{MODEL}/rollout'
TREE: dict[str, dict[str, typing.Any]] = {
    'root': {'entry_validity_s': 2, 'lease_s': 2},
    LOOKUPS: {'path': '/orders', 'idempotent': True, 'timeout_s': 5},
    ENTRIES: {'path': '/orders', 'idempotent': False, 'timeout_s': 10},
    MODEL: {
        'adapter': 'completions',
        'path': '/v1/completions',
        'idempotent': True,
        'timeout_s': 60,
        'weight_order_timeout_s': 3,
    },
    TRAINER: {'priority': 'high'},
}
REQUEST_TIMEOUT_S = 10.0


class World:
    """Run one scenario's cluster."""

    def __init__(self, seed: int) -> None:
        self.cluster = cluster_module.Cluster(seed)
        self.pool = concurrent.futures.ThreadPoolExecutor(64)
        self.outcomes: dict[str, router_module.Outcome] = {}
        self.pending: list[
            tuple[str, concurrent.futures.Future[router_module.Outcome]]
        ] = []
        self.traffic: Traffic | None = None
        self.trainer: trainer_module.Trainer | None = None
        self.background: list[concurrent.futures.Future[typing.Any]] = []
        self.overrides: dict[str, typing.Any] = {}
        self.notes: dict[str, typing.Any] = {}

    def close(self) -> None:
        """End everything."""
        if self.traffic is not None:
            self.traffic.stop()
        self.cluster.close()
        self.pool.shutdown(wait=False, cancel_futures=True)

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
            (LOOKUPS, 'plain_service', 2, ()),
            (ENTRIES, 'plain_service', 2, ()),
            (MODEL, 'engine', 3, engine_arguments),
        ):
            cluster.start_upstreams(
                cluster_module.Upstreams(service, kind, count, arguments),
                DATA_CENTRES,
            )
        published = cluster.publish(TREE)
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
        """Wait until every instance sees the others alive."""
        for name in self.cluster.instances:
            self.cluster.wait(
                lambda name=name: len(self.alive_at(name)) == count,
                f'{name} sees {count} members',
            )

    def alive_at(self, name: str) -> list[str]:
        """Return the instances that one instance holds alive."""
        status = self.cluster.call(name, 'GET', '/v1/status')
        return [
            member['instance']
            for member in status['members']
            if member['state'] == 'alive'
        ]

    def live(self) -> list[str]:
        """Return the names of the instances whose processes run."""
        return [
            name
            for name, process in self.cluster.instances.items()
            if process.alive and name not in self.notes.get('frozen', ())
        ]

    def router(self, name: str = 'router') -> router_module.Router:
        """Return a router that starts from the live instances."""
        seeds = [self.cluster.instances[n].url for n in self.live()]
        return router_module.Router(
            name, seeds, DATA_CENTRES[0], self.cluster.seed
        )

    def entry(self, name: str) -> router_module.Entry:
        """Return the address of one instance."""
        return router_module.Entry(name, self.cluster.instances[name].url)

    def send_in_background(
        self, order: str, key: str | None, entry: str, timeout_s: float
    ) -> None:
        """Send a checklist entry or a lookup to one instance."""
        path = LOOKUPS if key is None else ENTRIES
        future = self.pool.submit(
            self.router('scenario').send,
            path,
            {'order': order},
            timeout_s,
            key,
            self.entry(entry),
        )
        self.pending.append((order, future))

    def collect(self) -> list[router_module.Outcome]:
        """Wait for all pending requests and return how they ended."""
        ended = []
        for order, future in self.pending:
            outcome = future.result(timeout=60)
            self.outcomes[order] = outcome
            ended.append(outcome)
        self.pending = []
        return ended

    def executions(self, order: str) -> int:
        """Return how often a checklist entry was begun at the upstreams."""
        total = 0
        for name in ('field-records-0', 'field-records-1'):
            if not self.cluster.processes[name].alive:
                continue
            shown = self.cluster.call(name, 'GET', '/executions')
            total += shown['started'].get(order, 0)
        return total

    def new_trainer(self) -> trainer_module.Trainer:
        """Return a trainer that knows all instances."""
        self.trainer = trainer_module.Trainer(
            TRAINER,
            [process.url for process in self.cluster.instances.values()],
            self.cluster.seed,
        )
        return self.trainer

    def trainer_owner(self) -> str:
        """Return the instance that has generated samples."""
        found = ''

        def has_owner() -> bool:
            nonlocal found
            for name in self.live():
                committed = self.cluster.counter(
                    name, 'rollout.samples_committed'
                )
                if committed > 0:
                    found = name
            return bool(found)

        self.cluster.wait(has_owner, 'an instance owns the trainer')
        return found


class Traffic:
    """Send requests of three kinds until told to stop."""

    def __init__(self, world: World, threads_per_kind: int = 4) -> None:
        self._world = world
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._router = world.router('traffic')
        self.ended: dict[str, list[router_module.Outcome]] = {
            'lookup': [],
            'checklist': [],
            'stream': [],
        }
        self.keys: list[str] = []
        self._threads = [
            threading.Thread(target=self._run, args=(kind, index), daemon=True)
            for kind in self.ended
            for index in range(threads_per_kind)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop and wait for what is in flight."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(timeout=30)

    def count(self) -> int:
        """Return how many requests have ended."""
        with self._lock:
            return sum(map(len, self.ended.values()))

    def _run(self, kind: str, index: int) -> None:
        number = 0
        while not self._stopping.is_set():
            order = f'{kind}-{index}-{number}'
            number += 1
            outcome = self._send(kind, order)
            with self._lock:
                self.ended[kind].append(outcome)
                if kind == 'checklist':
                    self.keys.append(order)
            time.sleep(0.01)

    def _send(self, kind: str, order: str) -> router_module.Outcome:
        if kind == 'stream':
            body = {'prompt': order, 'max_tokens': 40, 'stream': True}
            return self._router.send(MODEL, body, REQUEST_TIMEOUT_S)
        if kind == 'checklist':
            return self._router.send(
                ENTRIES, {'order': order}, REQUEST_TIMEOUT_S, order
            )
        return self._router.send(LOOKUPS, {'order': order}, REQUEST_TIMEOUT_S)
