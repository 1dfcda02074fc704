"""Test upstreams that answer with bytes that no upstream means to send."""

import itertools
import typing

from standins.emulator import deployment as deployment_module
from standins.emulator import outputs
from standins.emulator import spoiling
from standins.emulator import streams
from standins.emulator import upstream as upstream_module
from test.emulator import base

SEED = 37
STRONG_SHARE = 0.4
WEAK_SHARE = 0.1
REQUESTS = 30
FINAL_STATUSES = range(200, 600)


class SpoiltAnswersTest(base.DeploymentTestCase):
    """No result and no response is made of them."""

    INSTANCES = 2

    def spoil(
        self,
        upstreams: list[upstream_module.Upstream],
        share: float,
        kinds: typing.Iterable[spoiling.Kind] = spoiling.Kind,
    ) -> list[spoiling.Spoiler]:
        """Spoil answers of upstreams, in all ways unless some are given."""
        spoilers = []
        for number, upstream in enumerate(upstreams):
            upstream.spoiler = spoiling.Spoiler(share, kinds, SEED + number)
            spoilers.append(upstream.spoiler)
        return spoilers

    def check_batch(self, reward_path: str = '') -> None:
        """Check that a batch is completed with what upstreams made."""
        batch = self.new_batch(groups=6, reward_path=reward_path)
        self.submit(batch)
        self.read_and_check(batch)
        states = {result['state'] for result in batch.results.values()}
        self.assertEqual({'completed'}, states)

    def test_items_are_completed_by_upstreams_alone(self) -> None:
        """Neither a weak nor a strong share spoils a text."""
        for share in (WEAK_SHARE, STRONG_SHARE):
            with self.subTest(share):
                spoilers = self.spoil(self.deployment.samplers, share)
                self.check_batch()
                self.assertGreater(sum(each.count for each in spoilers), 0)

    def test_scores_are_signatures_of_upstreams(self) -> None:
        """Reward calls are repeated."""
        spoilers = self.spoil(self.deployment.plain_services, WEAK_SHARE)
        self.check_batch(deployment_module.LOOKUPS)
        self.assertGreater(sum(each.count for each in spoilers), 0)

    def test_plain_responses_are_those_of_upstreams(self) -> None:
        """Whatever is answered with success is the upstream's."""
        self.spoil(self.deployment.plain_services, STRONG_SHARE)
        self.check_plain_responses()

    def test_status_of_none(self) -> None:
        """No status is passed on, or read as another, that no answer has."""
        self.spoil(
            self.deployment.plain_services,
            STRONG_SHARE,
            (
                spoiling.Kind.ZERO_STATUS,
                spoiling.Kind.SIGNED_STATUS,
                spoiling.Kind.UNKNOWN_STATUS,
                spoiling.Kind.INTERIM_STATUS,
                spoiling.Kind.SWITCHED_PROTOCOL,
            ),
        )
        self.check_plain_responses()

    def check_plain_responses(self) -> None:
        """Check that most requests are served, with their own responses."""
        served = 0
        for number in range(REQUESTS):
            request_id = f'plain-{number}'
            response = self.send_request(
                f'{deployment_module.LOOKUPS}{request_id}', request_id
            )
            self.assertIn(response.status, FINAL_STATUSES)
            if response.status != 200:
                continue
            served += 1
            whole = outputs.plain_response(request_id, b'x')
            self.assertEqual(whole, response.body)
        self.assertGreater(served, REQUESTS // 2)

    def test_streams_are_those_of_upstreams(self) -> None:
        """A stream that looks complete is."""
        self.spoil(self.deployment.samplers, STRONG_SHARE)
        addresses = itertools.cycle(self.deployment.addresses())
        complete = 0
        for number in range(REQUESTS):
            client = streams.StreamClient(
                f'stream-{number}',
                deployment_module.HOST,
                deployment_module.MODEL,
            )
            status = client.send(next(addresses), deployment_module.STREAMS)
            self.assertTrue(client.is_gapless)
            for event in client.events:
                expected = outputs.event_data(
                    client.request_id, event.id, outputs.FIRST_SOFTWARE
                )
                self.assertEqual(expected, event.data)
            if status == 200 and client.events:
                complete += client.is_complete
        self.assertGreater(complete, REQUESTS // 2)
