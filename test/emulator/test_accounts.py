"""Test client accounts with real instances."""

import itertools
import json
import socket
import threading
import time
import typing

from baobabpond.batches import records
from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import links

from . import base

KEA = 'SECRET-kea-1'
# The second key of the same account.
KEA_2 = 'SECRET-kea-2'
TUI = 'SECRET-tui-1'
REMOVED = 'SECRET-kea-0'
UNKNOWN = 'SECRET-none'
SECRET = 'SECRET'
# Time in which a change of the configuration takes effect.
APPLY_S = 3.0
REVOKE_MS = 2000
# A read of the configuration takes no longer.
READ_S = 1.0
# Requests that wait at a suspended instance.
PARALLEL = 12
ROUTES = (
    deployment_module.LOOKUPS,
    deployment_module.ENTRIES,
    deployment_module.STREAMS,
)


def make_tenants(*kea_keys: str) -> list[dict[str, typing.Any]]:
    """Return two accounts, one of them with given keys."""
    return [
        {'name': 'kea', 'keys': list(kea_keys), 'priority': 1},
        {'name': 'tui', 'keys': [TUI], 'priority': 2},
    ]


class AccountsTestCase(base.DeploymentTestCase):
    """Run a deployment with two accounts."""

    INSTANCES = 2

    def setUp(self) -> None:
        """Count requests, so that each has an id of its own."""
        self.numbers = itertools.count()
        super().setUp()
        self.trainer.key = KEA

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Add the accounts to the configuration."""
        deployment.tenants = make_tenants(KEA, KEA_2, REMOVED)

    def tearDown(self) -> None:
        """Check that no instance has logged a part of a key."""
        for instance in self.deployment.instances:
            text = instance.log_path.read_text(encoding='utf-8')
            self.assertNotIn(SECRET, text)

    def silence_store(self) -> None:
        """Keep the store from answering, until the test ends at most."""
        faults = self.deployment.store.faults
        faults.outage = 'silent'
        self.addCleanup(setattr, faults, 'outage', None)

    def publish(self, tenants: list[dict[str, typing.Any]] | None) -> float:
        """Publish accounts; return when the store acknowledged them."""
        self.deployment.tenants = tenants
        self.deployment.publish()
        return time.monotonic()

    def ask(
        self,
        target: str,
        key: str | None,
        address: str | None = None,
        timeout_s: float = 5.0,
        **headers: str,
    ) -> tuple[clients.Response, str]:
        """Send a request with a key; return the response and its id."""
        request_id = f'q{next(self.numbers)}'
        sent = {
            'Host': deployment_module.HOST,
            'X-Request-Id': request_id,
            **headers,
        }
        if deployment_module.STREAMS in target:
            sent['X-Model'] = deployment_module.MODEL
        if key is not None:
            sent['Authorization'] = f'Bearer {key}'
        response = self.client.send(
            address or self.deployment.addresses()[0],
            'POST',
            f'{target}a',
            sent,
            b'x',
            timeout_s,
        )
        return response, request_id

    def status(
        self, target: str, key: str | None, address: str | None = None
    ) -> int:
        """Send a request with a key and return the status."""
        return self.ask(target, key, address)[0].status

    def wait_status(
        self, status: int, key: str | None, address: str | None = None
    ) -> None:
        """Wait until lookups with a key have a status."""
        deployment_module.wait_for(
            lambda: (
                self.status(deployment_module.LOOKUPS, key, address) == status
            ),
            APPLY_S,
        )

    def check_account(self, request_id: str, account: str | None) -> None:
        """Check what upstreams were told, and that they got no key."""
        arrivals = self.deployment.recorder.arrivals_of(request_id)
        self.assertTrue(arrivals, request_id)
        for arrival in arrivals:
            self.assertEqual(account, arrival.account, arrival)
            self.assertFalse(arrival.has_credentials, arrival)

    def check_refused(self, request_id: str) -> None:
        """Check that a request has reached no upstream."""
        self.assertEqual([], self.deployment.recorder.arrivals_of(request_id))


class AccountsTest(AccountsTestCase):
    """Send requests with good, unknown, removed and no keys."""

    def test_requests(self) -> None:
        """Each kind of route, public and not, with each kind of key."""
        self.publish(make_tenants(KEA, KEA_2))
        for instance in self.deployment.live_instances():
            self.wait_status(401, REMOVED, instance.address)
        accounts = {KEA: 'kea', KEA_2: 'kea', TUI: 'tui'}
        for address, route, is_public, key in itertools.product(
            self.deployment.addresses(),
            ROUTES,
            (False, True),
            (*accounts, UNKNOWN, REMOVED, '', None),
        ):
            target = deployment_module.PUBLIC + route if is_public else route
            with self.subTest(target=target, key=key):
                response, request_id = self.ask(
                    target, key, address, **{'X-Tenant': 'moa'}
                )
                if key in accounts:
                    self.assertEqual(200, response.status)
                    self.check_account(request_id, accounts[key])
                elif key is None and is_public:
                    self.assertEqual(200, response.status)
                    self.check_account(request_id, None)
                else:
                    self.assertEqual(401, response.status)
                    self.assertEqual(
                        'Bearer', response.headers['WWW-Authenticate']
                    )
                    self.check_refused(request_id)

    def test_unknown_route(self) -> None:
        """Callers without a known key do not learn which routes exist."""
        for key, status in ((KEA, 404), (UNKNOWN, 401), (None, 401)):
            self.assertEqual(status, self.status('/nowhere/', key))

    def test_changes_take_effect_everywhere(self) -> None:
        """Added keys are accepted and removed keys are not, within 3 s."""
        published_at = self.publish(make_tenants(UNKNOWN))
        for instance in self.deployment.live_instances():
            self.wait_status(200, UNKNOWN, instance.address)
            self.wait_status(401, KEA, instance.address)
        self.assertLess(time.monotonic() - published_at, APPLY_S)

    def test_refusal_comes_before_the_body(self) -> None:
        """A caller without a key can't make an instance hold its body."""
        host, port = self.deployment.addresses()[0].split(':')
        with socket.create_connection((host, int(port)), timeout=2.0) as sent:
            sent.sendall(
                f'POST {deployment_module.LOOKUPS}a HTTP/1.1\r\n'
                f'Host: {deployment_module.HOST}\r\n'
                f'X-Request-Id: early\r\nAuthorization: Bearer {UNKNOWN}\r\n'
                'Content-Length: 30000000\r\n\r\n'.encode()
            )
            self.assertTrue(sent.recv(100).startswith(b'HTTP/1.1 401 '))

    def test_batches(self) -> None:
        """Any key of the account may use a batch, others do not find it."""
        batch = self.new_batch(
            groups=2, size=2, reward_path=deployment_module.LOOKUPS
        )
        self.trainer.key = UNKNOWN
        self.assertEqual(401, self.trainer.submit(batch, 1).status)
        self.trainer.key = ''
        self.assertEqual(401, self.trainer.submit(batch, 1).status)
        self.trainer.key = KEA
        self.submit(batch)
        self.read_and_check(batch)
        item = batch.items[0][0]
        for key, status in (
            (KEA_2, 200),
            (REMOVED, 200),
            (TUI, 404),
            (UNKNOWN, 401),
            ('', 401),
        ):
            self.trainer.key = key
            with self.subTest(key=key):
                calls = (
                    self.trainer.read_from(batch, 0),
                    self.trainer.get_item_body(batch, item),
                )
                for response in calls:
                    self.assertEqual(status, response.status)
                if status != 200:
                    self.assertEqual(status, self.trainer.end(batch).status)
        self.trainer.key = TUI
        unknown = self.trainer.read_from(self.new_batch(), 0)
        self.assertEqual(unknown.body, self.trainer.read_from(batch, 0).body)
        self.assertEqual(404, self.trainer.submit(batch, 1).status)
        self.trainer.key = KEA_2
        self.assertEqual(200, self.trainer.end(batch).status)
        for name, _ in batch.items:
            self.check_account(name, 'kea')
            self.check_account(clients.reward_id(name), 'kea')

    def test_same_item_in_batches_of_two_accounts(self) -> None:
        """Neither gets the output that the other one has paid for."""
        batch, other = (self.new_batch(groups=1, size=2) for _ in 'ab')
        other.items = batch.items
        self.submit(batch)
        self.read_and_check(batch)
        self.trainer.key = TUI
        self.submit(other)
        self.read_and_check(other)
        for name, _ in batch.items:
            self.assertEqual(
                {'kea', 'tui'},
                {
                    arrival.account
                    for arrival in self.deployment.recorder.arrivals_of(name)
                },
            )

    def test_headers_of_items(self) -> None:
        """Items neither name an account nor bring keys onto the log."""
        batch = self.new_batch(groups=1, size=1)
        submission = json.loads(batch.submission(deployment_module.ROLLOUTS))
        submission['items'][0]['headers'].update(
            {'X-Tenant': 'tui', 'Authorization': f'Bearer {KEA}'}
        )
        response = self.client.send(
            self.deployment.addresses()[0],
            'POST',
            f'{deployment_module.ROLLOUTS}{batch.id}',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': batch.id,
                'Authorization': f'Bearer {KEA}',
            },
            json.dumps(submission).encode(),
        )
        self.assertEqual(202, response.status)
        stored = self.deployment.store.newest_values('keyed.batches')
        part = records.decode_batch(stored[records.batch_key(batch.id, 0)])
        self.assertEqual('kea', part.head.account)
        self.assertNotIn(SECRET, str(part))
        self.read_and_check(batch)
        self.check_account(batch.items[0][0], 'kea')

    def test_batch_of_a_public_route(self) -> None:
        """It needs no key at all, as its submission did not."""
        batch = self.new_batch(groups=1, size=1)
        trainer = clients.Trainer(
            self.deployment.addresses(),
            deployment_module.HOST,
            deployment_module.PUBLIC + deployment_module.ROLLOUTS,
        )
        self.assertEqual(202, trainer.submit(batch).status)
        self.assertTrue(trainer.read_all(batch, base.READ_TIMEOUT_S))
        self.check_account(batch.items[0][0], None)
        self.assertEqual(200, trainer.end(batch).status)
        self.assertEqual(401, trainer.read_from(self.new_batch(), 0).status)

    def test_batch_continues_without_its_key(self) -> None:
        """It ends with all results when its account has gone altogether."""
        self.slow_down(4)
        batch = self.new_batch()
        self.submit(batch)
        self.publish([*make_tenants()[1:], {'name': 'kea', 'keys': [KEA_2]}])
        self.wait_status(401, KEA)
        self.trainer.key = KEA_2
        self.read_and_check(batch)

    def test_stream_is_resumed_with_a_key(self) -> None:
        """A resumption is authenticated like the stream itself."""
        headers = {'Last-Event-Id': '1', 'Resumes': 'q0'}
        for key, status in ((UNKNOWN, 401), (None, 401)):
            response, request_id = self.ask(
                deployment_module.STREAMS, key, **headers
            )
            self.assertEqual(status, response.status)
            self.check_refused(request_id)
        _, first = self.ask(deployment_module.STREAMS, KEA)
        response, request_id = self.ask(
            deployment_module.STREAMS,
            KEA_2,
            **{'Last-Event-Id': '1', 'Resumes': first},
        )
        self.assertEqual(200, response.status)
        self.check_account(request_id, 'kea')


class IntroductionTest(AccountsTestCase):
    """Add accounts to a deployment that had none."""

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Start without accounts."""

    def test_without_accounts_headers_pass(self) -> None:
        """Deployments without accounts are served as ever."""
        response, request_id = self.ask(
            deployment_module.LOOKUPS, KEA, **{'X-Tenant': 'moa'}
        )
        self.assertEqual(200, response.status)
        (arrival,) = self.deployment.recorder.arrivals_of(request_id)
        self.assertEqual(
            ('moa', True), (arrival.account, arrival.has_credentials)
        )
        self.assertEqual(404, self.status('/nowhere/', None))

    def test_earlier_batches(self) -> None:
        """Any account may use a batch whose record names none."""
        self.slow_down(4)
        batch = self.new_batch()
        self.trainer.key = ''
        self.submit(batch)
        self.publish(make_tenants(KEA))
        for instance in self.deployment.live_instances():
            self.wait_status(401, None, instance.address)
        self.assertEqual(401, self.trainer.read_from(batch, 0).status)
        self.trainer.key = KEA
        self.read_and_check(batch)


class RelayedTest(AccountsTestCase):
    """Send to an instance that is cut off from the upstreams."""

    HAS_LINKS = True

    def test_account_is_stated_by_the_instance_that_was_asked(self) -> None:
        """The instance that passes a request on sees the name, but no key."""
        cut_instance = self.deployment.instances[0]
        assert cut_instance.links is not None
        cut_instance.links.cut(links.Cut.REFUSED)
        deployment_module.wait_for(
            lambda: self.status(deployment_module.LOOKUPS, KEA) == 200
        )
        for target, key, account in (
            (deployment_module.LOOKUPS, KEA, 'kea'),
            (deployment_module.LOOKUPS, TUI, 'tui'),
            (
                deployment_module.PUBLIC + deployment_module.LOOKUPS,
                None,
                None,
            ),
        ):
            response, request_id = self.ask(target, key, **{'X-Tenant': 'moa'})
            self.assertEqual(200, response.status)
            self.check_account(request_id, account)
        self.assertEqual(401, self.status(deployment_module.LOOKUPS, UNKNOWN))
        relayed = [
            entry
            for entry in self.deployment.instances[1].log_entries()
            if entry.get('event') == 'request of another instance passed on'
        ]
        self.assertTrue(relayed)


class RevocationTest(AccountsTestCase):
    """Remove a key while instances do not notice."""

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Bound the time in which removed keys are accepted."""
        super().prepare(deployment)
        deployment.more_settings = {
            'revoke_ms': REVOKE_MS,
            'strict_revoke': True,
        }

    def remove(self) -> float:
        """Remove a key; return when it must not be accepted any more."""
        return self.publish(make_tenants(KEA)) + REVOKE_MS / 1000

    def wait_until(self, at: float) -> None:
        """Wait until a monotonic time has passed."""
        time.sleep(max(0.0, at - time.monotonic()))

    def known_addresses(
        self, instance: deployment_module.Instance
    ) -> list[str]:
        """Return the addresses that an instance lists for callers."""
        response = self.client.send(
            instance.entries_address, 'GET', '/api/resolve', {}
        )
        return response.json().get('addresses', [])

    def check_no_run(self, key: str, count: int = 20) -> None:
        """Check that no request with a removed key runs from now on."""
        for number in range(count):
            address = self.deployment.addresses()[number % self.INSTANCES]
            response, request_id = self.ask(
                deployment_module.LOOKUPS, key, address
            )
            self.assertIn(response.status, (401, 503))
            if response.status == 503:
                self.assertIn('Retry-After', response.headers)
            self.check_refused(request_id)

    def test_suspended_instance(self) -> None:
        """Requests that wait for a suspended process do not run later.

        The process continues at any line with accounts from before.
        """
        suspended = self.deployment.instances[0]
        suspended.pause()
        self.addCleanup(suspended.resume)
        # By then the read in flight is answered, without the removal.
        time.sleep(READ_S)
        self.wait_until(self.remove() + 0.1)
        answers: list[tuple[clients.Response, str]] = []
        threads = [
            threading.Thread(
                target=lambda: answers.append(
                    self.ask(
                        deployment_module.LOOKUPS, REMOVED, suspended.address
                    )
                )
            )
            for _ in range(PARALLEL)
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        suspended.resume()
        for thread in threads:
            thread.join()
        self.assertEqual(PARALLEL, len(answers))
        for response, request_id in answers:
            self.assertIn(response.status, (401, 503))
            self.check_refused(request_id)
        self.wait_status(200, KEA, suspended.address)
        self.check_no_run(REMOVED)

    def test_store_is_away(self) -> None:
        """Keys are refused for now, and served when there is a proof."""
        end = self.remove()
        self.silence_store()
        self.wait_until(end)
        self.check_no_run(REMOVED)
        # Until then, a request without a key is refused for good.
        self.wait_until(end + APPLY_S - REVOKE_MS / 1000)
        for key in (KEA, TUI, UNKNOWN, None):
            response, request_id = self.ask(deployment_module.LOOKUPS, key)
            self.assertEqual(503, response.status)
            self.check_refused(request_id)
        target = deployment_module.PUBLIC + deployment_module.LOOKUPS
        self.assertEqual(200, self.status(target, None))
        self.assertEqual(503, self.status(target, KEA))
        self.deployment.store.faults.outage = None
        self.wait_status(200, KEA)
        self.check_no_run(REMOVED)

    def test_other_instances_confirm_the_configuration(self) -> None:
        """An instance that only they connect with the store serves on."""
        isolated = self.deployment.instances[0]
        assert isolated.store_relay is not None
        # An instance that knows no others can ask none.
        deployment_module.wait_for(
            lambda: len(self.known_addresses(isolated)) == self.INSTANCES
        )
        isolated.store_relay.cut()
        self.wait_status(200, REMOVED, isolated.address)
        self.wait_until(self.remove())
        self.check_no_run(REMOVED)
        served = [
            self.status(deployment_module.LOOKUPS, KEA, isolated.address)
            for _ in range(30)
            if not time.sleep(0.1)
        ]
        self.assertEqual([200] * 30, served)

    def test_quiet_configuration_is_served(self) -> None:
        """Nothing changes for longer than the bound."""
        statuses = [
            self.status(deployment_module.LOOKUPS, KEA)
            for _ in range(40)
            if not time.sleep(0.1)
        ]
        self.assertEqual([200] * 40, statuses)


class LenientTest(AccountsTestCase):
    """Lose the store where revocation is not strict."""

    INSTANCES = 1

    def test_known_keys_are_served_on(self) -> None:
        """Availability comes first unless operators ask for the bound."""
        self.silence_store()
        time.sleep(APPLY_S)
        self.assertEqual(200, self.status(deployment_module.LOOKUPS, KEA))
        for key in (UNKNOWN, None):
            response, request_id = self.ask(deployment_module.LOOKUPS, key)
            self.assertEqual(503, response.status)
            self.assertIn('Retry-After', response.headers)
            self.check_refused(request_id)
