"""Resume streams at an instance that was out of step during a release."""

import concurrent.futures
import time

from standins.emulator import deployment as deployment_module
from standins.emulator import streams
from test.emulator import test_software_versions as versions

OUT_OF_STEP_S = 2.0
# Streams outlast that time.
LONG_FACTOR = 80.0


class OutOfStepTest(versions.SoftwareVersionTestCase):
    """One instance stands still or is cut off while a version joins."""

    SAMPLERS = 2

    def setUp(self) -> None:
        """Choose the instance that falls out of step."""
        super().setUp()
        *self.others, self.late = self.deployment.instances
        self.addCleanup(self.late.resume)

    def begin_at_others(
        self, executor: concurrent.futures.Executor, name: str
    ) -> list[streams.StreamClient]:
        """Begin streams at the other instances."""
        addresses = [instance.address for instance in self.others]
        clients = self.send_streams(
            executor, name, addresses, versions.STREAMS
        )
        deployment_module.wait_for(
            lambda: all(client.events or client.statuses for client in clients)
        )
        return clients

    def let_old_samplers_lapse(self) -> None:
        """Take their registrations away; what they serve goes on."""
        for sampler in self.deployment.samplers:
            if sampler.software == versions.OLD:
                sampler.lapse()

    def lose_others(self) -> None:
        """Break the streams of the other instances."""
        for instance in self.others:
            instance.resume()
            instance.kill()

    def test_resumption_at_an_instance_that_stood_still(self) -> None:
        """It has not seen the new version, and still knows the old one."""
        self.late.pause()
        self.add_new_samplers()
        self.slow_down(LONG_FACTOR)
        with concurrent.futures.ThreadPoolExecutor(
            versions.STREAMS
        ) as executor:
            clients = self.begin_at_others(executor, 'still')
            self.let_old_samplers_lapse()
            self.run_for(OUT_OF_STEP_S)
            self.lose_others()
            self.late.resume()
            begun = self.finish(executor, clients)
        self.assertGreater(len(begun), 0)
        self.assert_not_joined(clients)

    def test_resumption_at_an_instance_that_was_cut_off(self) -> None:
        """It reads the log through others, or not at all."""
        store_relay = self.late.store_relay
        assert store_relay is not None
        store_relay.hold()
        self.add_new_samplers()
        with concurrent.futures.ThreadPoolExecutor(
            versions.STREAMS
        ) as executor:
            clients = self.begin_at_others(executor, 'cut')
            self.run_for(OUT_OF_STEP_S)
            self.lose_others()
            threads = [
                executor.submit(
                    client.finish, [self.late.address], versions.TARGET, 3.0
                )
                for client in clients
                if client.events
            ]
            time.sleep(1.5)
            store_relay.restore()
            concurrent.futures.wait(threads)
        self.assert_not_joined(clients)

    def test_stream_begun_out_of_step_is_not_taken_for_the_default(
        self,
    ) -> None:
        """Its instance saw no old version, and could not reach the log."""
        self.add_new_samplers(1)
        self.let_old_samplers_lapse()
        self.run_for(versions.DISCOVERY_S)
        beginning, waiting = self.others
        self.late.pause()
        waiting.pause()
        assert beginning.store_relay is not None
        beginning.store_relay.hold()
        self.run_for(OUT_OF_STEP_S)
        self.others = [beginning]
        with concurrent.futures.ThreadPoolExecutor(
            versions.STREAMS
        ) as executor:
            clients = self.begin_at_others(executor, 'alone')
            self.deployment.add_sampler(software=versions.OLD)
            self.lose_others()
            waiting.resume()
            waiting.kill()
            self.late.resume()
            self.run_for(versions.DISCOVERY_S)
            self.finish(executor, clients)
        self.assert_not_joined(clients)


class LimitedSamplerTest(versions.SoftwareVersionTestCase):
    """Restart a sampler that states a limit of requests."""

    SAMPLERS = 2

    def learn_limits(self, executor: concurrent.futures.Executor) -> None:
        """Let all instances learn the limits from responses."""
        self.send_streams(
            executor,
            'warm',
            self.deployment.addresses(),
            versions.STREAMS // 2,
        )
        self.run_for(versions.DISCOVERY_S)

    def test_restarted_sampler_with_an_old_registration(self) -> None:
        """What it writes counts, not what is registered."""
        for sampler in self.deployment.samplers:
            sampler.request_limit = '200'
        first = self.deployment.samplers[0]
        self.slow_down(versions.SLOW_FACTOR)
        with concurrent.futures.ThreadPoolExecutor(
            2 * versions.STREAMS
        ) as executor:
            self.learn_limits(executor)
            clients = self.begin_streams(executor, 'limited')
            restarted = self.deployment.restart_sampler(first, versions.NEW)
            restarted.request_limit = '200'
            self.slow_down(versions.SLOW_FACTOR)
            self.run_for(versions.DISCOVERY_S)
            begun = self.finish(executor, clients)
        self.assertGreater(len(begun), 0)
        self.assert_not_joined(clients)
