"""Test reward calls on the emulated platform."""

import threading
import time

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import outputs
from test.emulator import base

# The larger of the attempts of the batch's route and the reward call's.
MAX_FAILURES = 3


class RewardTest(base.DeploymentTestCase):
    """Score the outputs of items through the plain service."""

    def scored_batch(self, groups: int = 4, size: int = 4) -> clients.Batch:
        """Return a batch whose items have reward calls."""
        return self.new_batch(
            groups=groups, size=size, reward_path=deployment_module.LOOKUPS
        )

    def set_fault(self, fault: str | None) -> None:
        """Set the fault of all plain services."""
        for service in self.deployment.plain_services:
            service.fault = fault

    def slow_down_rewards(self, factor: float) -> None:
        """Multiply the time of a plain request."""
        for service in self.deployment.plain_services:
            service.slow_factor = factor

    def reward_runs(self, batch: clients.Batch) -> int:
        """Return how many reward calls of a batch have run."""
        recorder = self.deployment.recorder
        return sum(
            len(recorder.runs_of(clients.reward_id(item)))
            for item, _ in batch.items
        )

    def completed_outputs(self, batch: clients.Batch) -> list[str]:
        """Return the items whose last event a sampler has sent."""
        completed = dict(self.deployment.recorder.completed_at)
        return [item for item, _ in batch.items if item in completed]

    def test_results_have_the_signature_of_their_reward_call(self) -> None:
        """Each call is sent once if nothing fails."""
        batch = self.scored_batch()
        self.submit(batch)
        self.read_and_check(batch)
        self.assertTrue(all('score' in r for r in batch.results.values()))
        self.assertEqual(len(batch.items), self.reward_runs(batch))

    def test_reward_call_that_always_fails(self) -> None:
        """Its item is listed as terminated after the allowed attempts."""
        batch = self.scored_batch()
        failing = batch.items[1][0]
        batch.failing_rewards.add(failing)
        self.submit(batch)
        self.read_and_check(batch)
        terminated = [
            result['id']
            for result in batch.results.values()
            if result['state'] == 'terminated'
        ]
        self.assertEqual([failing], terminated)
        runs = self.deployment.recorder.runs_of(clients.reward_id(failing))
        self.assertEqual(MAX_FAILURES, len(runs))

    def test_failures_count_across_a_change_of_owner(self) -> None:
        """The next owner sends no more calls than are left."""
        batch = self.scored_batch(groups=1, size=1)
        failing = batch.items[0][0]
        batch.failing_rewards.add(failing)
        self.slow_down_rewards(45)
        self.submit(batch)
        recorder = self.deployment.recorder
        call = clients.reward_id(failing)
        deployment_module.wait_for(
            lambda: (
                f'failures/{batch.id}/{failing}'
                in self.deployment.store.newest_values('keyed.batches')
            )
        )
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.read_and_check(batch)
        # The one that the owner was waiting for may be sent again.
        self.assertLessEqual(len(recorder.runs_of(call)), MAX_FAILURES + 1)

    def test_owner_lost_between_output_and_score(self) -> None:
        """The next owner asks for scores; it generates nothing again."""
        self.slow_down_rewards(100)
        batch = self.scored_batch()
        self.submit(batch)
        deployment_module.wait_for(
            lambda: len(self.completed_outputs(batch)) == len(batch.items)
        )
        # Complete outputs are on the log before their calls are sent.
        deployment_module.wait_for(lambda: self.reward_runs(batch) >= 10)
        recorder = self.deployment.recorder
        called = [
            item
            for item, _ in batch.items
            if recorder.runs_of(clients.reward_id(item))
        ]
        runs_before = {item: len(recorder.runs_of(item)) for item in called}
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.read_and_check(batch)
        runs_after = {item: len(recorder.runs_of(item)) for item in called}
        self.assertEqual(runs_before, runs_after)

    def test_service_that_sheds_load_and_returns(self) -> None:
        """Refused calls back off, and all items are scored in the end."""
        self.set_fault('full')
        batch = self.scored_batch()
        self.submit(batch)
        self.run_for(2.0)
        self.assertEqual({}, batch.results)
        self.set_fault(None)
        self.read_and_check(batch)
        metrics = [
            self.deployment.metrics(instance)['counters']
            for instance in self.deployment.live_instances()
        ]
        refused = sum(m.get('pool.rewards.not_run', 0) for m in metrics)
        self.assertLess(refused, 20 * len(batch.items))

    def check_asked_again(self, fault: str) -> None:
        """Check that a fault counts as no failure of the reward call."""
        self.deployment.plain_services[0].fault = fault
        batch = self.scored_batch()
        self.submit(batch)
        self.read_and_check(batch)
        states = {result['state'] for result in batch.results.values()}
        self.assertEqual({'completed'}, states)
        interrupted = sum(
            self.deployment.metrics(instance)['counters'].get(
                'pool.rewards.broken', 0
            )
            for instance in self.deployment.live_instances()
        )
        self.assertGreater(interrupted, 0)

    def test_lost_responses_are_asked_for_again(self) -> None:
        """The service has run the call; its signature is not known."""
        self.check_asked_again('answer_lost')

    def test_unsigned_responses_are_asked_for_again(self) -> None:
        """Wrong bytes are no score."""
        self.check_asked_again('unsigned')

    def test_cut_responses_are_asked_for_again(self) -> None:
        """The call may have run."""
        self.check_asked_again('reset')

    def test_batch_that_ends_stops_its_reward_calls(self) -> None:
        """No further call reaches the service."""
        self.slow_down_rewards(100)
        batch = self.scored_batch(groups=8, size=8)
        self.submit(batch)
        deployment_module.wait_for(lambda: self.reward_runs(batch) >= 8)
        self.assertEqual(200, self.trainer.end(batch).status)
        self.run_for(0.5)
        runs = self.reward_runs(batch)
        self.assertLess(runs, len(batch.items))
        self.run_for(1.5)
        self.assertEqual(runs, self.reward_runs(batch))

    def test_lookups_are_served_beside_a_burst_of_reward_calls(self) -> None:
        """Reward calls leave slots of the service to callers."""
        self.slow_down_rewards(40)
        batch = self.scored_batch(groups=12, size=8)
        self.submit(batch)
        deployment_module.wait_for(lambda: self.reward_runs(batch) >= 8)
        statuses = []
        while self.reward_runs(batch) < len(batch.items):
            request_id = f'lookup-{len(statuses)}'
            response = self.send_request(
                f'{deployment_module.LOOKUPS}{request_id}', request_id
            )
            statuses.append(response.status)
        self.assertGreater(len(statuses), 3)
        self.assertEqual({200}, set(statuses))
        self.read_and_check(batch)

    def test_item_that_is_submitted_again_with_another_call(self) -> None:
        """Its output is reused; its score is not."""
        first = self.scored_batch(groups=1, size=2)
        self.submit(first)
        self.read_and_check(first)
        self.trainer.end(first)
        second = self.scored_batch(groups=1, size=2)
        second.items = first.items
        second.reward_path = f'{deployment_module.LOOKUPS}again/'
        recorder = self.deployment.recorder
        runs_before = {i: len(recorder.runs_of(i)) for i, _ in first.items}
        self.submit(second)
        self.read_and_check(second)
        runs_after = {i: len(recorder.runs_of(i)) for i, _ in first.items}
        self.assertEqual(runs_before, runs_after)
        self.assertEqual(2 * len(first.items), self.reward_runs(first))


class RewardLoadTest(base.DeploymentTestCase):
    """Keep the aim of lookups while groups complete at once."""

    def test_lookups_stay_fast_while_rollouts_run(self) -> None:
        """All lookups are answered while three batches are scored."""
        self.slow_down(2)
        batches = [
            self.new_batch(
                step=step,
                groups=6,
                size=8,
                reward_path=deployment_module.LOOKUPS,
            )
            for step in range(3)
        ]
        for service in self.deployment.plain_services:
            service.slow_factor = 10
        readers = [
            threading.Thread(target=self.submit, args=(batch,))
            for batch in batches
        ]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        started = time.monotonic()
        failed = 0
        for number in range(40):
            request_id = f'counter-{number}'
            response = self.send_request(
                f'{deployment_module.LOOKUPS}{request_id}', request_id
            )
            expected = outputs.plain_response(request_id, b'x')
            failed += response.status != 200 or response.body != expected
        self.assertEqual(0, failed)
        self.assertLess(time.monotonic() - started, 40 * 1.0)
        for batch in batches:
            self.read_and_check(batch)
