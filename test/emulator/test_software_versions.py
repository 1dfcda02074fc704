"""Let upstreams of two software versions serve the same streams."""

import concurrent.futures
import time

from standins.emulator import deployment as deployment_module
from standins.emulator import outputs
from standins.emulator import streams

from . import base

OLD = outputs.FIRST_SOFTWARE
NEW = 'v2'
TARGET = f'{deployment_module.STREAMS}a'
# Time per event, times the usual one: streams last for seconds.
SLOW_FACTOR = 25.0
STREAMS = 16
# Instances learn of upstreams within this time.
DISCOVERY_S = 1.0
RESUME_S = 8.0
# Of the streams that are resumed, at least this share must go on.
MIN_RESUMED_SHARE = 0.5


class SoftwareVersionTestCase(base.DeploymentTestCase):
    """Start with samplers of the old version only."""

    INSTANCES = 3
    SAMPLERS = 3
    PLAIN_SERVICES = 1

    def add_new_samplers(self, count: int = 3) -> None:
        """Add samplers of the new version, and wait until they are known."""
        for _ in range(count):
            self.deployment.add_sampler(software=NEW)
        self.slow_down(SLOW_FACTOR)
        self.run_for(DISCOVERY_S)

    def remove_old_samplers(self) -> None:
        """Take all samplers of the old version away."""
        for sampler in list(self.deployment.samplers):
            if sampler.software == OLD:
                self.deployment.remove_sampler(sampler)

    def begin_streams(
        self, executor: concurrent.futures.Executor, name: str
    ) -> list[streams.StreamClient]:
        """Begin streams at all instances; return them once events arrive."""
        addresses = self.deployment.addresses()
        clients = self.send_streams(executor, name, addresses, STREAMS)
        deployment_module.wait_for(
            lambda: sum(bool(c.events) for c in clients) > STREAMS // 2
        )
        return clients

    def send_streams(
        self,
        executor: concurrent.futures.Executor,
        name: str,
        addresses: list[str],
        count: int,
    ) -> list[streams.StreamClient]:
        """Send streams to instances in turn, without waiting for events."""
        clients = [
            streams.StreamClient(
                f'{name}-{number}',
                deployment_module.HOST,
                deployment_module.MODEL,
            )
            for number in range(count)
        ]
        for number, client in enumerate(clients):
            executor.submit(
                client.send, addresses[number % len(addresses)], TARGET
            )
        return clients

    def finish(
        self,
        executor: concurrent.futures.Executor,
        clients: list[streams.StreamClient],
    ) -> list[streams.StreamClient]:
        """Resume the broken streams; return those that had events."""
        deployment_module.wait_for(lambda: all(c.statuses for c in clients))
        begun = [
            client
            for client in clients
            if client.events and not client.is_complete
        ]
        addresses = self.deployment.addresses()
        tasks = [
            executor.submit(client.finish, addresses, TARGET, RESUME_S)
            for client in begun
        ]
        concurrent.futures.wait(tasks)
        return begun

    def assert_not_joined(self, clients: list[streams.StreamClient]) -> None:
        """All events of a stream are of one version, without gaps."""
        joined = [c.request_id for c in clients if len(c.software) > 1]
        self.assertEqual([], joined)
        broken = [c.request_id for c in clients if not c.is_gapless]
        self.assertEqual([], broken)

    def assert_most_complete(
        self, clients: list[streams.StreamClient]
    ) -> None:
        """Most of the streams that were resumed went on to their end."""
        self.assertGreater(len(clients), 0)
        complete = sum(client.is_complete for client in clients)
        self.assertGreaterEqual(complete / len(clients), MIN_RESUMED_SHARE)


class OneAnswerTest(SoftwareVersionTestCase):
    """Let samplers break streams off."""

    def test_stream_goes_on_at_its_version_within_one_answer(self) -> None:
        """The instance resumes it elsewhere without the client's help."""
        self.add_new_samplers()
        for sampler in self.deployment.samplers:
            sampler.cut_after_events = 2
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as executor:
            clients = self.begin_streams(executor, 'cut')
            deployment_module.wait_for(
                lambda: all(client.statuses for client in clients)
            )
        self.assertTrue(any(len(client.events) > 2 for client in clients))
        self.assert_not_joined(clients)


class RestartedSamplerTest(SoftwareVersionTestCase):
    """Restart a sampler with another version under its id."""

    def test_stream_of_a_sampler_with_an_old_registration(self) -> None:
        """What it writes counts, not what is registered."""
        first = self.deployment.samplers[0]
        restarted = self.deployment.restart_sampler(first, NEW)
        restarted_at = time.monotonic()
        self.slow_down(SLOW_FACTOR)
        restarted.cut_after_events = 2
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as executor:
            clients = self.begin_streams(executor, 'restarted')
            deployment_module.wait_for(
                lambda: all(client.statuses for client in clients)
            )
            restarted.is_registration_delayed = False
            self.finish(executor, clients)
        arrivals = self.deployment.recorder.arrivals_at(
            restarted.id, restarted_at
        )
        self.assertGreater(len(arrivals), 0)
        self.assert_not_joined(clients)


class StreamResumptionTest(SoftwareVersionTestCase):
    """Let clients resume broken streams at any instance."""

    def test_resumption_at_another_instance_goes_on_at_its_version(
        self,
    ) -> None:
        """Also if that instance has never seen the stream."""
        self.add_new_samplers()
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as executor:
            clients = self.begin_streams(executor, 'moved')
            self.deployment.instances[0].kill()
            self.deployment.instances[1].kill()
            begun = self.finish(executor, clients)
        self.assert_not_joined(clients)
        self.assert_most_complete(begun)

    def test_resumption_after_the_loss_of_all_instances(self) -> None:
        """What they knew of streams is lost with them."""
        self.add_new_samplers()
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as executor:
            clients = self.begin_streams(executor, 'lost')
            self.deployment.kill_all_instances()
            begun = self.finish(executor, clients)
        self.assert_not_joined(clients)
        self.assert_most_complete(begun)

    def test_resumption_is_refused_once_the_old_version_is_gone(self) -> None:
        """All instances are lost while it leaves; only the new one is seen."""
        self.slow_down(SLOW_FACTOR)
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as executor:
            clients = self.begin_streams(executor, 'gone')
            self.deployment.kill_all_instances()
            self.add_new_samplers()
            self.remove_old_samplers()
            self.run_for(DISCOVERY_S)
            self.deployment.kill_all_instances()
            begun = self.finish(executor, clients)
        self.assertGreater(len(begun), 0)
        self.assert_not_joined(clients)
        for client in begun:
            self.assertEqual({503}, set(client.statuses[1:]))

    def test_stream_that_is_resumed_twice(self) -> None:
        """The first try is named again."""
        self.add_new_samplers()
        with concurrent.futures.ThreadPoolExecutor(STREAMS) as executor:
            clients = self.begin_streams(executor, 'twice')
            self.deployment.kill_all_instances()
            tasks = [
                executor.submit(
                    client.finish, self.deployment.addresses(), TARGET, 2.0
                )
                for client in clients
                if client.events
            ]
            time.sleep(1.0)
            self.deployment.kill_all_instances()
            concurrent.futures.wait(tasks)
            begun = self.finish(executor, clients)
        self.assert_not_joined(clients)
        self.assert_most_complete(begun)


class ItemTest(SoftwareVersionTestCase):
    """Let items of batches meet both versions."""

    def test_items_are_not_joined_from_two_versions(self) -> None:
        """Samplers are replaced while the owner is lost again and again."""
        self.slow_down(SLOW_FACTOR)
        batch = self.new_batch(groups=4, size=4)
        self.submit(batch)
        self.run_for(0.8)
        self.add_new_samplers()
        self.remove_old_samplers()
        owner = self.deployment.owner()
        if owner is not None:
            owner.kill()
        self.run_for(1.0)
        self.deployment.start_instance('entry-late')
        self.deployment.wait_ready()
        self.read_and_check(batch)
