"""Test retries of requests that were in flight where upstreams crashed."""

import concurrent.futures
import pathlib
import time
import typing
import unittest
from unittest import mock

from baobabpond.accounts import decision
from baobabpond.accounts import gate
from baobabpond.catalogue import current as current_module
from baobabpond.catalogue import directory as directory_module
from baobabpond.crashes import detector
from baobabpond.crashes import guard as guard_module
from baobabpond.crashes import registry as registry_module
from baobabpond.crashes import sharing
from baobabpond.crashes import unresolved
from baobabpond.edge import body_memory
from baobabpond.edge import disconnects
from baobabpond.edge import forwarder as forwarder_module
from baobabpond.edge import http_exchange
from baobabpond import metrics
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.ports import platforms
from baobabpond.ratelimits import bucket
from baobabpond.ratelimits import issuer
from baobabpond.ratelimits import permits as permits_module
from baobabpond.ratelimits import tracker
from baobabpond.streams import origins
from baobabpond.upstreams import connections
from baobabpond.upstreams import gateway
from baobabpond.upstreams import load_balancer
from baobabpond import verdicts
from standins.emulator import crashing as crashing_module
from standins.emulator import deployment
from standins.emulator import recorder as recorder_module
from standins.emulator import serving
from standins.emulator import store as store_module
from standins.emulator import upstream as upstream_module
from test.relaying import examples as path_examples

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SERVICE = 'orders'
MODEL = 'peg-sizing'
# In place of the status of a response that was cut.
CUT = 0
# Requests at the first upstream last until it crashes.
SLOW_FACTOR = 50.0
# Elsewhere they take 50 ms.
USUAL_FACTOR = 5.0
INNOCENTS = 5
ROUTE_PRIORITY = 2


def choose_first(
    balancer: load_balancer.LoadBalancer,
    entries: list[catalogue.UpstreamEntry],
    tried: set[str],
    kind: str = '',
) -> catalogue.UpstreamEntry | None:
    """Choose the first untried upstream, whatever its load."""
    return next((entry for entry in entries if entry.id not in tried), None)


class ForwarderTestCase(unittest.TestCase):
    """Forward requests to three upstreams in this process."""

    def setUp(self) -> None:
        """Start the upstreams and create a forwarder."""
        platforms.load('users_platform', ROOT / 'platform')
        platform = platforms.platforms.get('users_platform')('127.0.0.1:1')
        self.store = store_module.Store()
        self.addCleanup(self.store.stop)
        self.recorder = recorder_module.Recorder()
        self.crashing = crashing_module.Crashing()
        self.upstreams = [self.start_upstream() for _ in range(3)]
        directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        directory.usable.side_effect = lambda service: list(
            map(self.entry_of, self.upstreams)
        )
        directory.accepts_requests.return_value = True
        directory.is_replaced.return_value = False
        pool = connections.ConnectionPool(metrics.Metrics())
        balancer = load_balancer.LoadBalancer()
        self.registry = registry_module.CrashRegistry()
        guard = guard_module.CrashGuard(
            self.registry,
            mock.create_autospec(sharing.CrashSharing, instance=True),
            detector.CrashDetector(
                directory,
                self.registry,
                pool,
                mock.create_autospec(gateway.Gateway, instance=True),
                metrics.Metrics(),
            ),
            unresolved.UnresolvedAttempts(),
            balancer,
            metrics.Metrics(),
        )
        limits = tracker.LimitTracker(metrics.Metrics())
        permits = permits_module.Permits(
            limits,
            issuer.PermitIssuer(limits),
            mock.create_autospec(permits_module.RemoteIssuer, instance=True),
            metrics.Metrics(),
        )
        self.forwarder = forwarder_module.Forwarder(
            platform.upstreams,
            directory,
            gateway.Gateway(platform.upstreams, directory, limits, permits),
            path_examples.DirectPaths(pool),
            balancer,
            mock.create_autospec(disconnects.DisconnectWatcher, instance=True),
            guard,
            permits,
            mock.create_autospec(origins.StreamOrigins, instance=True),
            body_memory.BodyMemory('responses', 1e9, metrics.Metrics()),
            metrics.Metrics(),
        )

    def start_upstream(self) -> upstream_module.Upstream:
        """Start an upstream at which requests overlap."""
        upstream = upstream_module.Upstream(
            self.store, self.recorder, SERVICE, (MODEL,)
        )
        upstream.slow_factor = USUAL_FACTOR
        upstream.crashing = self.crashing
        self.addCleanup(upstream.stop)
        return upstream

    def entry_of(
        self, upstream: upstream_module.Upstream
    ) -> catalogue.UpstreamEntry:
        """Return the registration of an upstream."""
        return catalogue.UpstreamEntry(
            upstream.id,
            SERVICE,
            serving.ADDRESS,
            upstream.port,
            'a',
            8,
            False,
            upstream.started_at_ms,
            {},
        )

    def forward(
        self,
        request_id: str,
        body: bytes,
        kind: catalogue.RouteKind = catalogue.RouteKind.IDEMPOTENT,
        admission: gate.Admission = gate.WITHOUT_ACCOUNTS,
    ) -> tuple[int, dict[str, str]]:
        """Forward a request; return the status and headers of the answer."""
        exchange = mock.create_autospec(http_exchange.Exchange, instance=True)
        is_stream = kind is catalogue.RouteKind.STREAMING
        exchange.method = 'POST'
        exchange.target = '/orders/a'
        exchange.headers = {'X-Model': MODEL} if is_stream else {}
        exchange.response_started = False
        exchange.status = 200
        exchange.begin_stream.side_effect = lambda *arguments: setattr(
            exchange, 'response_started', True
        )
        exchange.read_body.return_value = body
        call = callers.Call(
            callers.CallKind.REQUEST, request_id, 'host', '/orders/a', 2.0
        )
        match = current_module.RouteMatch(
            self.route(kind),
            catalogue.Configuration(1, (), {}, catalogue.Limits()),
        )
        self.forwarder.forward(exchange, call, match, admission)
        if exchange.abort.called:
            return CUT, {}
        arguments = exchange.send_response.call_args.args
        return arguments[0], dict(arguments[2])

    def route(self, kind: catalogue.RouteKind) -> catalogue.Route:
        """Return a route that allows two attempts."""
        fields: dict[str, typing.Any] = dict.fromkeys(
            catalogue.Route._fields, 0
        )
        fields.update(
            name='orders',
            kind=kind,
            shares=(catalogue.ServiceWeight(SERVICE, 1.0),),
            timeout_s=2.0,
            target_latency_s=0.2,
            max_attempts=2,
            priority=ROUTE_PRIORITY,
            resumable=kind is catalogue.RouteKind.STREAMING,
        )
        return catalogue.Route(**fields)

    def run_counts(self) -> dict[str, int]:
        """Return how many upstreams ran each request."""
        counts: dict[str, int] = {}
        for run in self.recorder.runs:
            counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return counts


class AccountTest(ForwarderTestCase):
    """Forward requests of accounts."""

    def urgency_of(
        self, admission: gate.Admission = gate.WITHOUT_ACCOUNTS
    ) -> bucket.Urgency:
        """Return how urgently a permit is asked for."""
        with mock.patch.object(
            permits_module.Permits,
            'obtain',
            autospec=True,
            side_effect=permits_module.Permits.obtain,
        ) as obtain:
            status, _ = self.forward('r', b'', admission=admission)
        self.assertEqual(200, status)
        return obtain.call_args_list[0].args[2]

    def test_priority_of_the_account_comes_first(self) -> None:
        """The route's counts where the account has none."""
        cases = ((None, ROUTE_PRIORITY), (0, 0), (4, 4))
        for priority, expected in cases:
            admission = gate.Admission(decision.Authenticated('kea', priority))
            self.assertEqual(
                bucket.caller_urgency(expected), self.urgency_of(admission)
            )
        self.assertEqual(
            bucket.caller_urgency(ROUTE_PRIORITY), self.urgency_of()
        )

    def test_key_removed_while_the_body_was_sent(self) -> None:
        """The request is refused as not run, and reaches no upstream."""
        admission = gate.Admission(
            decision.Authenticated('kea'),
            None,
            lambda: verdicts.bad_request('unknown_key', 'unknown', 401),
        )
        status, headers = self.forward('r', b'', admission=admission)
        self.assertEqual(401, status)
        self.assertEqual('Bearer', headers['WWW-Authenticate'])
        self.assertEqual([], self.recorder.arrivals_of('r'))


class CrashTest(ForwarderTestCase):
    """Forward requests that end their upstreams."""

    def forward_together(self) -> dict[str, int]:
        """Send a crashing request amid innocent ones; return statuses."""
        bodies = {f'good-{n}': f'{n}'.encode() for n in range(INNOCENTS)}
        with concurrent.futures.ThreadPoolExecutor(INNOCENTS) as executor:
            results = {
                request_id: executor.submit(self.forward, request_id, body)
                for request_id, body in bodies.items()
            }
            deployment.wait_for(lambda: len(self.recorder.runs) == INNOCENTS)
            status, _ = self.forward('poison', upstream_module.CRASHING_BODY)
            statuses = {name: r.result()[0] for name, r in results.items()}
        return {**statuses, 'poison': status}

    def test_innocents_of_one_crash_are_answered(self) -> None:
        """They are retried apart from the request that crashes upstreams."""
        # All of them meet at the first upstream, and again if they may.
        self.upstreams[0].slow_factor = SLOW_FACTOR
        with mock.patch.object(
            load_balancer.LoadBalancer,
            'choose',
            autospec=True,
            side_effect=choose_first,
        ):
            statuses = self.forward_together()
        self.assertEqual(502, statuses.pop('poison'))
        self.assertEqual({200}, set(statuses.values()), statuses)
        self.assertEqual(2, len(self.recorder.crashes))
        for name, count in self.run_counts().items():
            self.assertEqual(2, count, name)

    def test_poison_is_refused_without_a_run(self) -> None:
        """The third crash is the last, under any request id."""
        statuses = self.repeat_poison(catalogue.RouteKind.IDEMPOTENT)
        self.assertEqual([502, 502, 503, 503, 503, 503], statuses)
        self.assertEqual(3, len(self.recorder.crashes))

    def test_server_errors_do_not_clear_poison(self) -> None:
        """Only success shows that an upstream can run it."""
        self.crashing.failing_pattern = (False, True)
        self.repeat_poison(catalogue.RouteKind.IDEMPOTENT)
        self.repeat_poison(catalogue.RouteKind.NON_IDEMPOTENT)
        self.assertLessEqual(
            len(self.recorder.crashes), registry_module.MAX_CRASHES
        )

    def test_poison_among_streams_is_refused(self) -> None:
        """Its stream was resumed at the second upstream."""
        statuses = self.repeat_poison(catalogue.RouteKind.STREAMING)
        self.assertEqual([CUT, CUT, 503, 503, 503, 503], statuses)
        self.assertEqual(3, len(self.recorder.crashes))

    def repeat_poison(self, kind: catalogue.RouteKind) -> list[int]:
        """Send a crashing request under new ids; return the statuses."""
        statuses = []
        for number in range(6):
            status, headers = self.forward(
                f'poison-{number}', upstream_module.CRASHING_BODY, kind
            )
            statuses.append(status)
            if status == 503:
                self.assertIn('Retry-After', headers)
            self.upstreams = [
                self.start_upstream()
                if upstream.fault == 'reset'
                else upstream
                for upstream in self.upstreams
            ]
        return statuses

    def test_non_idempotent_request_is_sent_once(self) -> None:
        """A crash under it is remembered, but it is not retried."""
        status, _ = self.forward(
            'entry-1',
            upstream_module.CRASHING_BODY,
            catalogue.RouteKind.NON_IDEMPOTENT,
        )
        self.assertEqual(502, status)
        self.assertEqual({'entry-1': 1}, self.run_counts())

    def test_lost_answer_is_no_crash(self) -> None:
        """The upstream lives on, and the request is retried at once."""
        self.upstreams[0].fault = 'answer_lost'
        started = time.monotonic()
        for number in range(4):
            status, _ = self.forward(f'good-{number}', b'same')
            self.assertEqual(200, status)
        self.assertLess(time.monotonic() - started, 2.0)
        self.assertEqual([], self.recorder.crashes)
        self.assertFalse(
            self.registry.has_ended(
                self.entry_of(self.upstreams[0]).incarnation
            )
        )
