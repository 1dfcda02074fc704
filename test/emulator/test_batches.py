"""Test batches under the loss of instances and of the store."""

import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module

from . import base


class CalmBatchTest(base.DeploymentTestCase):
    """Serve batches with nothing wrong."""

    def test_batch_is_whole_and_same_everywhere(self) -> None:
        """All items come once, labelled with the versions that made them."""
        batch = self.batch()
        self.submit(batch)
        self.assertEqual(202, self.trainer.submit(batch).status)
        self.finish(batch)
        self.assertEqual(200, self.trainer.end(batch).status)
        self.assertEqual(200, self.trainer.end(batch).status)
        self.check(batch)

    def test_what_is_unknown_is_not_found(self) -> None:
        """A batch that nobody submitted is answered 404."""
        batch = self.batch()
        self.assertEqual(404, self.trainer.read(batch, 0).status)
        self.assertEqual(404, self.trainer.end(batch).status)
        self.assertEqual(404, self.trainer.item_body(batch, 'x').status)

    def test_item_body_is_given_back(self) -> None:
        """The body of an item is what the trainer sent."""
        batch = self.batch(groups=1, size=2)
        self.submit(batch)
        item = batch.items[0][0]
        self.assertEqual(
            item.encode(), self.trainer.item_body(batch, item).body
        )

    def test_bad_batches_are_refused(self) -> None:
        """Wrong submissions get 400, not a hang or a 5xx."""
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
                reply = self.order(
                    deployment_module.ROLLOUTS + 'x', f'b{number}'
                )
                reply = self.client.send(
                    self.deployment.addresses()[0],
                    'POST',
                    deployment_module.ROLLOUTS + 'x',
                    {
                        'Host': deployment_module.HOST,
                        'X-Request-Id': f'bad{number}',
                    },
                    body,
                )
                self.assertEqual(400, reply.status)

    def test_ended_batch_runs_no_more(self) -> None:
        """Items of an ended batch reach no upstream afterwards."""
        self.slow_down(8)
        batch = self.batch(groups=10, size=8)
        self.submit(batch)
        self.wait_some(batch, 1)
        self.assertEqual(200, self.trainer.end(batch).status)
        self.pause_s(0.5)
        runs = len(self.deployment.ledger.runs)
        self.pause_s(1.0)
        self.assertEqual(runs, len(self.deployment.ledger.runs))


class LostInstanceTest(base.DeploymentTestCase):
    """Lose instances while a batch runs."""

    def test_owner_is_killed(self) -> None:
        """Another instance takes the batch over and finishes it."""
        self.slow_down(6)
        batch = self.batch(groups=8)
        self.submit(batch)
        self.wait_some(batch, 3)
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.trainer.addresses = self.deployment.addresses()
        self.finish(batch)

    def test_all_are_killed_right_after_acceptance(self) -> None:
        """What was acknowledged is there after the loss of all."""
        self.slow_down(4)
        batch = self.batch(groups=6)
        self.submit(batch)
        for instance in self.deployment.live():
            instance.kill()
        for number in range(2):
            self.deployment.start_instance(f'entry-{number + 1}')
        self.deployment.wait_ready()
        self.finish(batch)

    def test_runs_go_on_from_what_was_kept(self) -> None:
        """A new owner resumes at the events that the log keeps."""
        self.slow_down(15)
        batch = self.batch(groups=3)
        self.submit(batch)
        self.pause_s(1.5)
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.finish(batch)
        resumed = [run for run in self.deployment.ledger.runs if run.after > 0]
        self.assertTrue(resumed)

    def test_frozen_owner_wakes(self) -> None:
        """An owner that was replaced while it was frozen changes nothing."""
        self.slow_down(8)
        batch = self.batch(groups=8)
        self.submit(batch)
        self.wait_some(batch, 2)
        owner = self.deployment.owner()
        assert owner is not None
        owner.pause()
        others = [i for i in self.deployment.live() if i is not owner]
        self.trainer.addresses = [i.address for i in others]
        self.pause_s(2.5)
        self.assertIsNot(owner, self.deployment.owner())
        owner.resume()
        self.finish(batch)

    def test_rolling_restart_cuts_nothing(self) -> None:
        """Each instance leaves in turn, with status 0, and nothing is lost."""
        self.slow_down(5)
        batches = [self.batch(step, groups=3) for step in range(3)]
        for number, instance in enumerate(list(self.deployment.live())):
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
            self.finish(batch)


class StoreTest(base.DeploymentTestCase):
    """Run batches while the store misbehaves."""

    def test_owner_cut_from_the_store_stays(self) -> None:
        """Its log calls go through another instance."""
        self.slow_down(6)
        batch = self.batch(groups=6)
        self.submit(batch)
        self.wait_some(batch, 1)
        owner = self.deployment.owner()
        assert owner is not None and owner.link is not None
        owner.link.cut()
        self.finish(batch)
        self.assertIs(owner, self.deployment.owner())
        reply = self.trainer.read(batch, 0, owner.address)
        self.assertEqual(200, reply.status)
        relayed = self.deployment.metrics(owner)['counters']
        self.assertGreater(relayed['log.relayed_appends.done'], 0)

    def check_outage(self, kind: str) -> None:
        """Check that an outage of the store loses nothing."""
        self.slow_down(4)
        batch = self.batch(groups=6)
        self.submit(batch)
        self.wait_some(batch, 1)
        self.deployment.store.faults.down = kind
        self.pause_s(2.5)
        refused = self.batch(1)
        asked = time.monotonic()
        reply = self.trainer.submit(refused, tries=1)
        self.assertIn(reply.status, (502, 503, 504))
        self.assertLess(time.monotonic() - asked, 4.5)
        if reply.status == 503:
            self.assertIn('Retry-After', reply.headers)
        self.deployment.store.faults.down = None
        self.finish(batch)
        self.submit(refused)
        self.finish(refused)

    def test_store_is_busy(self) -> None:
        """The store answers 503 for a while."""
        self.check_outage('busy')

    def test_store_is_silent(self) -> None:
        """The store gives no answers for a while."""
        self.check_outage('silent')

    def test_store_resets(self) -> None:
        """The store resets each connection for a while."""
        self.check_outage('reset')

    def test_answers_of_the_store_are_lost(self) -> None:
        """Appends take effect, now or late, and are not answered."""
        for late_s in (0.0, 1.0):
            with self.subTest(late_s=late_s):
                self.deployment.store.faults.late_s = late_s
                self.deployment.store.faults.lost_share = 0.3
                batch = self.batch(groups=5)
                self.submit(batch)
                self.finish(batch)
                self.deployment.store.faults.lost_share = 0.0

    def test_history_is_forgotten(self) -> None:
        """Batches outlast the records that told of them."""
        self.slow_down(4)
        batch = self.batch(groups=6)
        self.submit(batch)
        self.wait_some(batch, 2)
        self.deployment.store.forget_history('keyed.batches')
        self.finish(batch)
        newcomer = self.deployment.start_instance('entry-9')
        self.deployment.wait_ready()
        self.wait_same(batch, newcomer)
        self.assertEqual(
            [], clients.wrong_results(batch, self.deployment.ledger)
        )
