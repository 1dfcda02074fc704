"""Test batches under failures of instances and of the store."""

import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module

from . import base


class FaultFreeBatchTest(base.DeploymentTestCase):
    """Serve batches without injected faults."""

    def test_batch_is_complete_and_identical_on_all_instances(self) -> None:
        """Each item has one result, labelled with its weight versions."""
        batch = self.new_batch()
        self.submit(batch)
        self.assertEqual(202, self.trainer.submit(batch).status)
        self.read_and_check(batch)
        self.assertEqual(200, self.trainer.end(batch).status)
        self.assertEqual(200, self.trainer.end(batch).status)
        self.check_results(batch)

    def test_outputs_too_large_for_the_log_end_their_items(self) -> None:
        """Guard against a shard that is given up for a refused record.

        One item has an event that exceeds a record; of the other, all events
        together do.
        """
        batch = self.new_batch()
        large = [batch.items[2][0], batch.items[9][0]]
        for sampler in self.deployment.samplers:
            sampler.long_events = {large[0]: 700_000, large[1]: 120_000}
        self.submit(batch)
        self.read_and_check(batch)
        failed = [
            result['id']
            for result in batch.results.values()
            if result['state'] != 'completed'
        ]
        self.assertEqual(sorted(large), sorted(failed))
        lines = [
            line
            for instance in self.deployment.instances
            for line in instance.log_entries()
        ]
        # Claims of others at the start conflict with the first one.
        claims = [
            line
            for line in lines
            if line['event'] == 'claimed the shard'
            and line['outcome'] == 'done'
        ]
        self.assertEqual(1, len(claims))
        events = [line['event'] for line in lines]
        self.assertNotIn('the shard was lost', events)

    def test_unknown_batch_is_not_found(self) -> None:
        """Requests for a batch that was never submitted get 404."""
        batch = self.new_batch()
        self.assertEqual(404, self.trainer.read_from(batch, 0).status)
        self.assertEqual(404, self.trainer.end(batch).status)
        self.assertEqual(404, self.trainer.get_item_body(batch, 'x').status)

    def test_item_body_is_returned_unchanged(self) -> None:
        """The body of an item is what the trainer sent."""
        batch = self.new_batch(groups=1, size=2)
        self.submit(batch)
        item = batch.items[0][0]
        self.assertEqual(
            item.encode(), self.trainer.get_item_body(batch, item).body
        )

    def test_malformed_batches_are_rejected(self) -> None:
        """Malformed submissions get 400, not a timeout or a 5xx."""
        bodies = (
            b'',
            b'[]',
            b'{"items": 1}',
            b'{"items": []}',
            b'{"items": [{"id": "a"}]}',
            b'\xff\xfe',
        )
        for number, body in enumerate(bodies):
            with self.subTest(body=body):
                response = self.send_request(
                    deployment_module.ROLLOUTS + 'x', f'b{number}'
                )
                response = self.client.send(
                    self.deployment.addresses()[0],
                    'POST',
                    deployment_module.ROLLOUTS + 'x',
                    {
                        'Host': deployment_module.HOST,
                        'X-Request-Id': f'bad{number}',
                    },
                    body,
                )
                self.assertEqual(400, response.status)

    def test_ended_batch_starts_no_more_runs(self) -> None:
        """Items of an ended batch are sent to no upstream."""
        self.slow_down(8)
        batch = self.new_batch(groups=10, size=8)
        self.submit(batch)
        self.wait_for_results(batch, 1)
        self.assertEqual(200, self.trainer.end(batch).status)
        self.run_for(0.5)
        runs = len(self.deployment.recorder.runs)
        self.run_for(1.0)
        self.assertEqual(runs, len(self.deployment.recorder.runs))


class InstanceLossTest(base.DeploymentTestCase):
    """Kill, suspend or restart instances while a batch runs."""

    def test_batch_completes_after_owner_is_killed(self) -> None:
        """Another instance takes over the shard and finishes the batch."""
        self.slow_down(6)
        batch = self.new_batch(groups=8)
        self.submit(batch)
        self.wait_for_results(batch, 3)
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.trainer.addresses = self.deployment.addresses()
        self.read_and_check(batch)

    def test_accepted_batch_survives_kill_of_all_instances(self) -> None:
        """An acknowledged batch is finished by new instances."""
        self.slow_down(4)
        batch = self.new_batch(groups=6)
        self.submit(batch)
        for instance in self.deployment.live_instances():
            instance.kill()
        for number in range(2):
            self.deployment.start_instance(f'entry-{number + 1}')
        self.deployment.wait_ready()
        self.read_and_check(batch)

    def test_runs_resume_from_logged_events(self) -> None:
        """A new owner resumes runs after the last event in the log."""
        self.slow_down(15)
        batch = self.new_batch(groups=3)
        self.submit(batch)
        self.run_for(1.5)
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.read_and_check(batch)
        resumed = [
            run for run in self.deployment.recorder.runs if run.after_event > 0
        ]
        self.assertTrue(resumed)

    def test_resumed_former_owner_changes_nothing(self) -> None:
        """An owner that was replaced while suspended changes no result."""
        self.slow_down(8)
        batch = self.new_batch(groups=8)
        self.submit(batch)
        self.wait_for_results(batch, 2)
        owner = self.deployment.owner()
        assert owner is not None
        owner.pause()
        others = [
            i for i in self.deployment.live_instances() if i is not owner
        ]
        self.trainer.addresses = [i.address for i in others]
        self.run_for(2.5)
        self.assertIsNot(owner, self.deployment.owner())
        owner.resume()
        self.read_and_check(batch)

    def test_rolling_restart_loses_nothing(self) -> None:
        """Instances restart in turn, exit with status 0 and lose nothing."""
        self.slow_down(5)
        batches = [self.new_batch(step, groups=3) for step in range(3)]
        for number, instance in enumerate(
            list(self.deployment.live_instances())
        ):
            self.submit(batches[number])
            instance.terminate()
            deployment_module.wait_for(
                lambda i=instance: i.process.poll() is not None, 12
            )
            self.assertEqual(0, instance.process.returncode)
            self.deployment.start_instance(instance.name)
            self.deployment.wait_ready()
            self.trainer.addresses = self.deployment.addresses()
        for batch in batches:
            self.read_and_check(batch)


class StoreFaultTest(base.DeploymentTestCase):
    """Run batches while the store is faulty."""

    def test_owner_without_store_connection_keeps_ownership(self) -> None:
        """Its log calls are relayed by another instance."""
        self.slow_down(6)
        batch = self.new_batch(groups=6)
        self.submit(batch)
        self.wait_for_results(batch, 1)
        owner = self.deployment.owner()
        assert owner is not None and owner.store_relay is not None
        owner.store_relay.cut()
        self.read_and_check(batch)
        self.assertIs(owner, self.deployment.owner())
        response = self.trainer.read_from(batch, 0, owner.address)
        self.assertEqual(200, response.status)
        relayed = self.deployment.metrics(owner)['counters']
        self.assertGreater(relayed['log.relayed_appends.done'], 0)

    def check_outage(self, kind: str) -> None:
        """Check that no accepted batch is lost in an outage."""
        self.slow_down(4)
        batch = self.new_batch(groups=6)
        self.submit(batch)
        self.wait_for_results(batch, 1)
        self.deployment.store.faults.outage = kind
        self.run_for(2.5)
        refused = self.new_batch(1)
        started_at = time.monotonic()
        response = self.trainer.submit(refused, max_attempts=1)
        self.assertIn(response.status, (502, 503, 504))
        self.assertLess(time.monotonic() - started_at, 4.5)
        if response.status == 503:
            self.assertIn('Retry-After', response.headers)
        self.deployment.store.faults.outage = None
        self.read_and_check(batch)
        self.submit(refused)
        self.read_and_check(refused)

    def test_store_outage_with_503(self) -> None:
        """The store responds with 503 for at least 2.5 s."""
        self.check_outage('busy')

    def test_store_outage_without_responses(self) -> None:
        """The store sends no responses for at least 2.5 s."""
        self.check_outage('silent')

    def test_store_outage_with_closed_connections(self) -> None:
        """The store closes connections unanswered for at least 2.5 s."""
        self.check_outage('reset')

    def test_store_responses_are_lost(self) -> None:
        """Appends are applied, at once or later, without a response."""
        for late_s in (0.0, 1.0):
            with self.subTest(late_s=late_s):
                self.deployment.store.faults.unanswered_delay_s = late_s
                self.deployment.store.faults.unanswered_share = 0.3
                batch = self.new_batch(groups=5)
                self.submit(batch)
                self.read_and_check(batch)
                self.deployment.store.faults.unanswered_share = 0.0

    def test_batch_survives_truncated_history(self) -> None:
        """Batches outlive the log records of their submission."""
        self.slow_down(4)
        batch = self.new_batch(groups=6)
        self.submit(batch)
        self.wait_for_results(batch, 2)
        self.deployment.store.truncate_history('keyed.batches')
        self.read_and_check(batch)
        new_instance = self.deployment.start_instance('entry-9')
        self.deployment.wait_ready()
        self.wait_for_same_results(batch, new_instance)
        self.assertEqual(
            [], clients.find_wrong_results(batch, self.deployment.recorder)
        )
