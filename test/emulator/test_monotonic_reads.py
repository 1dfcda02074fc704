"""Test that results that an instance has sent are never missing later."""

import collections.abc
import contextlib
import random
import threading
import time
import typing

from standins.emulator import clients
from standins.emulator import deployment as deployment_module

from . import base

# Time from the end of an outage until all results must be readable.
MAX_RECOVERY_S = 2.0
# Results that arrive while the stale instance is suspended.
HIDDEN_RESULTS = 3
# Time in which records already on their way reach the other instances.
SETTLE_S = 0.3
STALE_READ_WAIT_MS = 20
SLOW_LINK_S = 0.3
SEED = 2
TROUBLE_PERIOD_S = 3.0
MAX_CHANGE_INTERVAL_S = 0.4
MAX_WAIT_MS = 100
TRUNCATION_SHARE = 0.1
# A batch has a trainer, which mostly reads on, and other readers.
MEAN_STEPS_BACK = (1.0, 2.0, 8.0)
MAX_READ_PAUSE_S = 0.05
BATCHES_TOPIC = 'keyed.batches'

LinkChange = typing.Callable[[deployment_module.Instance], None]


def hold(instance: deployment_module.Instance) -> None:
    """Make the store silent for one instance."""
    instance.store_relay.hold()


def cut(instance: deployment_module.Instance) -> None:
    """Make the store refuse the connections of one instance."""
    instance.store_relay.cut()


def slow_down(instance: deployment_module.Instance) -> None:
    """Make the store slow for one instance."""
    instance.store_relay.restore()
    instance.store_relay.delay_s = SLOW_LINK_S


def restore(instance: deployment_module.Instance) -> None:
    """End the faults of one instance."""
    instance.store_relay.restore()


LINK_CHANGES: tuple[LinkChange, ...] = (hold, cut, slow_down, restore, restore)


def find_problem(
    position: int,
    expected: dict[str, typing.Any] | None,
    response: clients.Response,
) -> str:
    """Return what is wrong with a response; empty if nothing is.

    The expected result was sent at the position before the request; None if
    there was none.
    """
    if response.status == 200:
        results = response.json()['results']
        if expected is None or results[:1] == [expected]:
            return ''
        found = results[0]['id'] if results else 'nothing'
        return f'position {position}: {found} instead of {expected["id"]}'
    if response.status == 503 and 'Retry-After' in response.headers:
        return ''
    return f'position {position}: status {response.status}'


class StaleInstanceTest(base.DeploymentTestCase):
    """Read on at an instance that lacks results which others have sent."""

    def setUp(self) -> None:
        """Start a deployment whose samplers take their time."""
        super().setUp()
        self.slow_down(6)

    def start_batch(self) -> None:
        """Start a batch, and choose an instance that does not own it."""
        self.trainer.addresses = self.deployment.addresses()
        self.batch = self.new_batch(groups=8)
        self.submit(self.batch)
        self.wait_for_results(self.batch, 1)
        owner = self.deployment.owner()
        instances = self.deployment.live_instances()
        self.stale = next(i for i in instances if i is not owner)
        self.trainer.addresses = [
            i.address for i in instances if i is not self.stale
        ]

    def hide_results(self) -> None:
        """Read results elsewhere that the stale instance does not get.

        It is suspended meanwhile, as it would get them through its peers.
        """
        self.stale.store_relay.hold()
        self.stale.pause()
        self.run_for(SETTLE_S)
        self.trainer.read_from(self.batch, 0)
        self.wait_for_results(
            self.batch, len(self.batch.results) + HIDDEN_RESULTS
        )

    def put_out_of_reach(self, fault: LinkChange) -> None:
        """Keep the store from all instances, and resume the stale one."""
        for instance in self.deployment.live_instances():
            fault(instance)
        self.stale.resume()

    @contextlib.contextmanager
    def store_trouble(self) -> collections.abc.Iterator[None]:
        """End faults and suspension at the end, also of a failed test."""
        try:
            yield
        finally:
            for instance in self.deployment.live_instances():
                restore(instance)
            self.stale.resume()

    def read_at_stale(self, position: int) -> clients.Response:
        """Read at the stale instance and check the response."""
        expected = self.batch.results.get(position)
        response = self.trainer.read_from(
            self.batch, position, self.stale.address, STALE_READ_WAIT_MS
        )
        self.assertEqual('', find_problem(position, expected, response))
        return response

    def read_all_over(self) -> set[int]:
        """Read what was read before and at the end; return the statuses."""
        count = len(self.batch.results)
        positions = (0, count // 2, count - 1, count)
        return {self.read_at_stale(position).status for position in positions}

    def check_refusals(self) -> None:
        """Check that the instance refuses to read a result that it lacks."""
        last = len(self.batch.results) - 1
        self.assertEqual(503, self.read_at_stale(last).status)
        self.read_all_over()

    def check_recovery(self) -> None:
        """Check that all results are read in time from now on."""
        last = len(self.batch.results) - 1
        started = time.monotonic()
        while self.read_at_stale(last).status != 200:
            self.assertLess(time.monotonic() - started, MAX_RECOVERY_S)
            time.sleep(0.1)
        self.assertLess(time.monotonic() - started, MAX_RECOVERY_S)
        self.assertEqual({200}, self.read_all_over())
        self.assertEqual([], self.batch.changed_positions)

    def test_read_results_are_never_missing(self) -> None:
        """The instance gets nothing new, also through peers, or gets it late.

        Or it has to load a snapshot.
        """
        troubles = {
            'silent': lambda: self.lose_store(hold),
            'refuses': lambda: self.lose_store(cut),
            'slow': self.slow_store_down,
            'expired': self.expire_records_and_restart,
        }
        for name, trouble in troubles.items():
            with self.subTest(name):
                self.start_batch()
                with self.store_trouble():
                    self.hide_results()
                    trouble()
                self.check_recovery()

    def lose_store(self, fault: LinkChange) -> None:
        """Check reads while the store is out of reach."""
        self.put_out_of_reach(fault)
        self.check_refusals()

    def slow_store_down(self) -> None:
        """Check reads while the store is slow."""
        self.put_out_of_reach(slow_down)
        self.read_all_over()

    def expire_records_and_restart(self) -> None:
        """Check reads while a snapshot is to be loaded, and in a new process.

        The store is silent, then slow.
        """
        self.deployment.store.truncate_history(BATCHES_TOPIC)
        self.lose_store(hold)
        self.stale.kill()
        self.stale = self.deployment.start_instance(self.stale.name)
        self.stale.store_relay.hold()
        self.wait_for_response()
        self.check_refusals()
        for instance in self.deployment.live_instances():
            slow_down(instance)
        self.read_all_over()

    def wait_for_response(self) -> None:
        """Wait until the stale instance listens."""
        address = self.stale.address
        deployment_module.wait_for(
            lambda: (
                self.trainer.read_from(self.batch, 0, address, 0).status != 0
            )
        )
        self.read_at_stale(0)


class Reader(threading.Thread):
    """Read a batch at random positions and instances until stopped."""

    def __init__(
        self,
        trainer: clients.Trainer,
        batch: clients.Batch,
        rng: random.Random,
        mean_steps_back: float,
    ) -> None:
        super().__init__(daemon=True)
        self._trainer = trainer
        self._batch = batch
        self._rng = rng
        # Mean distance of the positions from the end of what was read.
        self._mean_steps_back = mean_steps_back
        self._stopped = threading.Event()
        self.problems: list[str] = []
        self.statuses: list[int] = []

    def stop(self) -> None:
        """Stop and wait for the last response."""
        self._stopped.set()
        self.join()

    def run(self) -> None:
        """Read, and note what is wrong."""
        while not self._stopped.wait(self._rng.uniform(0.0, MAX_READ_PAUSE_S)):
            results = self._batch.results
            steps_back = int(self._rng.expovariate(1 / self._mean_steps_back))
            position = max(0, len(results) - steps_back)
            expected = results.get(position)
            response = self._trainer.read_from(
                self._batch,
                position,
                self._rng.choice(self._trainer.addresses),
                self._rng.randint(0, MAX_WAIT_MS),
            )
            self.statuses.append(response.status)
            problem = find_problem(position, expected, response)
            if problem:
                self.problems.append(problem)


class SeededReadsTest(base.DeploymentTestCase):
    """Read two batches all over while the store has short troubles."""

    def setUp(self) -> None:
        """Submit the batches."""
        super().setUp()
        self.rng = random.Random(SEED)
        self.slow_down(10)
        self.batches = [self.new_batch(step, groups=8) for step in range(2)]
        for batch in self.batches:
            self.submit(batch)

    def start_readers(self) -> list[Reader]:
        """Start the readers of each batch."""
        readers = [
            Reader(
                self.deployment.trainer(),
                batch,
                random.Random(self.rng.random()),
                mean_steps_back,
            )
            for batch in self.batches
            for mean_steps_back in MEAN_STEPS_BACK
        ]
        for reader in readers:
            reader.start()
        return readers

    def cause_troubles(self) -> None:
        """Draw an instance and its link to the store, time and again."""
        ends_at = time.monotonic() + TROUBLE_PERIOD_S
        instances = self.deployment.live_instances()
        while time.monotonic() < ends_at:
            change_link = self.rng.choice(LINK_CHANGES)
            change_link(self.rng.choice(instances))
            if self.rng.random() < TRUNCATION_SHARE:
                self.deployment.store.truncate_history(BATCHES_TOPIC)
            self.run_for(self.rng.uniform(0.0, MAX_CHANGE_INTERVAL_S))
        for instance in instances:
            restore(instance)

    def test_a_read_result_stays_at_its_position(self) -> None:
        """Any instance sends it, or refuses for the time being."""
        readers = self.start_readers()
        self.cause_troubles()
        for reader in readers:
            reader.stop()
        self.assertEqual([], [p for r in readers for p in r.problems])
        for reader in readers:
            self.assertIn(200, reader.statuses)
        for batch in self.batches:
            self.read_and_check(batch)
