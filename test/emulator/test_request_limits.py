"""Send more requests than upstreams state they take, at all instances."""

import collections
import concurrent.futures
import time
import typing

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import request_limits
from standins.emulator import upstream as upstream_module

from . import base

# All instances know of a limit this long after it was first stated.
CONTACT_S = 3.0
# Share of the stated limit that callers must get in the long run.
MIN_USED_SHARE = 0.6
# A refusal is sent at once.
MAX_REFUSAL_S = 0.5
LOAD_S = 12.0


class Answer(typing.NamedTuple):
    """The response to a lookup."""

    status: int
    # Why it was refused; empty for other answers.
    code: str
    retry_after: str
    sent_at: float
    took_s: float


def _refusal_code(response: clients.Response) -> str:
    is_refusal = response.status == 503 and response.body
    return response.json()['code'] if is_refusal else ''


class Lookups:
    """Callers that send lookups to instances at a steady rate."""

    def __init__(self, addresses: list[str], per_s: float) -> None:
        self.addresses = addresses
        self._interval_s = 1.0 / per_s
        self.answers: list[Answer] = []

    def send_for(self, seconds: float) -> None:
        """Send to the instances in turn, without waiting for answers."""
        ends_at = time.monotonic() + seconds
        number = 0
        with concurrent.futures.ThreadPoolExecutor(64) as executor:
            while time.monotonic() < ends_at:
                address = self.addresses[number % len(self.addresses)]
                executor.submit(self._send, address)
                number += 1
                time.sleep(self._interval_s)

    def _send(self, address: str) -> None:
        sent_at = time.monotonic()
        response = clients.Client().send(
            address,
            'POST',
            f'{deployment_module.LOOKUPS}a',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': f'lookup-{time.monotonic_ns()}',
                'X-Deadline-Ms': '2000',
            },
            b'x',
        )
        self.answers.append(
            Answer(
                response.status,
                _refusal_code(response),
                response.headers.get('Retry-After', ''),
                sent_at,
                time.monotonic() - sent_at,
            )
        )

    def statuses(self) -> collections.Counter[int]:
        """Return how many answers have each status."""
        return collections.Counter(answer.status for answer in self.answers)


class LimitTestCase(base.DeploymentTestCase):
    """Let upstreams state limits, and count what reaches them."""

    INSTANCES = 9
    SAMPLERS = 2
    PLAIN_SERVICES = 2

    def state_limit(
        self, upstreams: list[upstream_module.Upstream], limit: str | None
    ) -> float:
        """Let upstreams state a limit from now on; return the time."""
        for upstream in upstreams:
            upstream.request_limit = limit
        return time.monotonic()

    def assert_kept(
        self,
        upstreams: list[upstream_module.Upstream],
        limit: float,
        since: float,
    ) -> None:
        """No upstream got more than its limit from a time on."""
        found = [
            request_limits.find_excess(
                self.deployment.recorder, upstream.id, limit, since
            )
            for upstream in upstreams
        ]
        self.assertEqual([], [excess for excess in found if excess])

    def assert_refused_at_once(self, answers: list[Answer]) -> None:
        """Refused lookups say when to come back, and did not wait."""
        refused = [answer for answer in answers if answer.status != 200]
        for answer in refused:
            self.assertEqual(503, answer.status)
            self.assertGreater(float(answer.retry_after), 0)
            self.assertLess(answer.took_s, MAX_REFUSAL_S)


class LimitedPlainServiceTest(LimitTestCase):
    """Limit all upstreams of the plain service."""

    def test_limit_is_kept_by_all_instances_together(self) -> None:
        """Each instance alone stays far below it."""
        services = self.deployment.plain_services
        stated_at = self.state_limit(services, '1.0')
        lookups = Lookups(self.deployment.addresses(), 18.0)
        lookups.send_for(CONTACT_S + LOAD_S)
        self.assert_kept(services, 1.0, stated_at + CONTACT_S)
        self.assert_refused_at_once(lookups.answers)
        late = [
            answer
            for answer in lookups.answers
            if answer.status == 200 and answer.sent_at > stated_at + CONTACT_S
        ]
        self.assertGreater(len(late), MIN_USED_SHARE * LOAD_S * len(services))

    def test_one_instance_gets_the_whole_limit(self) -> None:
        """Idle instances hold nothing back, whoever owns the shard."""
        services = self.deployment.plain_services
        stated_at = self.state_limit(services, '4.0')
        for address in self.deployment.addresses()[:2]:
            lookups = Lookups([address], 20.0)
            lookups.send_for(CONTACT_S + LOAD_S / 2)
            self.assertGreater(
                lookups.statuses()[200],
                MIN_USED_SHARE * 4.0 * LOAD_S / 2 * len(services),
            )
        self.assert_kept(services, 4.0, stated_at + CONTACT_S)

    def test_limit_is_kept_while_the_owner_is_lost(self) -> None:
        """The next one does not begin with saved-up permits."""
        services = self.deployment.plain_services
        stated_at = self.state_limit(services, '1.0')
        lookups = Lookups(self.deployment.addresses(), 18.0)
        lookups.send_for(CONTACT_S + 2.0)
        owner = self.deployment.owner()
        self.assertIsNotNone(owner)
        owner.kill()
        lookups.addresses = self.deployment.addresses()
        lookups.send_for(LOAD_S / 2)
        self.assert_kept(services, 1.0, stated_at + CONTACT_S)
        late = lookups.answers[-40:]
        self.assertTrue(any(answer.status == 200 for answer in late))

    def test_limit_is_kept_by_an_owner_that_was_paused(self) -> None:
        """It wakes without the permits of the time that it missed."""
        services = self.deployment.plain_services
        stated_at = self.state_limit(services, '1.0')
        lookups = Lookups(self.deployment.addresses(), 18.0)
        lookups.send_for(CONTACT_S + 2.0)
        owner = self.deployment.owner()
        owner.pause()
        lookups.addresses = [
            instance.address
            for instance in self.deployment.live_instances()
            if instance is not owner
        ]
        lookups.send_for(4.0)
        owner.resume()
        lookups.addresses = self.deployment.addresses()
        lookups.send_for(LOAD_S / 2)
        self.assert_kept(services, 1.0, stated_at + CONTACT_S)

    def test_limit_changes_and_ends(self) -> None:
        """A limit of nothing is found to have ended, too."""
        services = self.deployment.plain_services
        lookups = Lookups(self.deployment.addresses(), 18.0)
        for limit in ('6.0', '0', '0.4'):
            stated_at = self.state_limit(services, limit)
            lookups.send_for(CONTACT_S + 4.5)
            self.assert_kept(services, float(limit), stated_at + CONTACT_S)
        self.state_limit(services, None)
        lookups.send_for(6.0)
        last = Lookups(self.deployment.addresses(), 18.0)
        last.send_for(2.0)
        refused = [answer for answer in last.answers if answer.status != 200]
        self.assertEqual([], refused)

    def test_absurd_limits_do_no_harm(self) -> None:
        """Lookups go on as if there were none."""
        services = self.deployment.plain_services
        for limit in ('1e12', '-3', 'nan', 'many', ''):
            self.state_limit(services, limit)
            lookups = Lookups(self.deployment.addresses(), 18.0)
            lookups.send_for(0.5)
            self.assertEqual({200}, set(lookups.statuses()))

    def test_unlimited_upstreams_are_preferred(self) -> None:
        """Nothing is refused while another upstream has room."""
        services = self.deployment.plain_services
        stated_at = self.state_limit(services[:1], '0.5')
        lookups = Lookups(self.deployment.addresses(), 18.0)
        lookups.send_for(CONTACT_S + 5.0)
        self.assert_kept(services[:1], 0.5, stated_at + CONTACT_S)
        refused = [a for a in lookups.answers if a.status != 200]
        self.assertEqual([], refused)


class LimitedSamplersTest(LimitTestCase):
    """Limit all samplers while batches run."""

    def test_runs_and_weight_loads_keep_the_limit(self) -> None:
        """Runs, reports and orders count together; all items complete."""
        samplers = self.deployment.samplers
        stated_at = self.state_limit(samplers, '1.0')
        first = self.new_batch(groups=1, size=4)
        self.submit(first)
        self.read_and_check(first)
        self.run_for(max(0.0, stated_at + CONTACT_S - time.monotonic()))
        batch = self.new_batch(step=1, groups=6, size=4)
        self.submit(batch)
        self.deployment.operator.announce_version(deployment_module.MODEL, 2)
        self.read_and_check(batch)
        self.assert_kept(samplers, 1.0, stated_at + CONTACT_S)

    def test_streams_keep_the_limit(self) -> None:
        """Streams of all instances count with the items of the owner."""
        samplers = self.deployment.samplers
        stated_at = self.state_limit(samplers, '1.0')
        batch = self.new_batch(groups=4, size=4)
        self.submit(batch)
        ends_at = time.monotonic() + CONTACT_S + 8.0
        with concurrent.futures.ThreadPoolExecutor(32) as executor:
            number = 0
            while time.monotonic() < ends_at:
                number += 1
                executor.submit(
                    self.send_request,
                    f'{deployment_module.STREAMS}a',
                    f'stream-{number}',
                    X_Model=deployment_module.MODEL,
                )
                time.sleep(0.1)
        self.assert_kept(samplers, 1.0, stated_at + CONTACT_S)
