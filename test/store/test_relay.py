"""Test direct and relayed log calls."""

import contextlib
import unittest
from unittest import mock

import freezegun

from baobabpond.gen.peer import LogRelay
from baobabpond import metrics
from baobabpond.peers import thrift_server
from baobabpond.ports import log as log_port
from baobabpond.store import handler
from baobabpond.store import relay
from standins.emulator import serving

from . import fakes


class RelayTest(unittest.TestCase):
    """Fail over to a peer that relays."""

    def setUp(self) -> None:
        """Create a log client, and a peer that relays to another log."""
        self.direct = fakes.FakeLog()
        self.log = relay.FailoverLog(self.direct, metrics.Metrics())
        self.peer_log = fakes.FakeLog()
        peer = relay.FailoverLog(self.peer_log, metrics.Metrics())
        port = serving.free_port()
        self.redacted_topic = ''
        thrift_server.serve(
            serving.ADDRESS,
            port,
            LogRelay.Processor(
                handler.RelayHandler(
                    self.peer_log,
                    peer,
                    metrics.Metrics(),
                    [],
                    self.redact,
                )
            ),
        )
        self.log.set_peer_source(lambda: [(serving.ADDRESS, port)])
        self.record = log_port.Record('k', b'v')

    def redact(
        self, topic: str, records: list[log_port.Record]
    ) -> list[log_port.Record]:
        """Replace the values of one topic."""
        if topic != self.redacted_topic:
            return records
        return [record._replace(value=b'redacted') for record in records]

    def append(self, **options: object) -> log_port.AppendOutcome:
        """Append a record."""
        return self.log.append('t', 0, [self.record], **options).outcome

    def test_refused_append_is_relayed(self) -> None:
        """An append that was refused directly is sent through a peer."""
        self.direct.outcomes.append(log_port.AppendOutcome.REFUSED)
        self.assertIs(log_port.AppendOutcome.DONE, self.append())
        self.assertEqual(1, self.peer_log.end)

    def test_unknown_conditional_append_is_not_retried(self) -> None:
        """A retry could not tell its own first success from a conflict."""
        self.direct.outcomes.append(log_port.AppendOutcome.UNKNOWN)
        outcome = self.append(expected_end=0)
        self.assertIs(log_port.AppendOutcome.UNKNOWN, outcome)
        self.assertEqual(0, self.peer_log.end)

    def test_unknown_append_stays_unknown_when_relays_refuse(self) -> None:
        """A refusal by the relay does not settle the direct append."""
        self.direct.outcomes.append(log_port.AppendOutcome.UNKNOWN)
        self.peer_log.outcomes.append(log_port.AppendOutcome.REFUSED)
        self.assertIs(log_port.AppendOutcome.UNKNOWN, self.append())

    def test_relayed_append_keeps_its_fence(self) -> None:
        """Producer, epoch and sequence reach the log unchanged."""
        self.direct.outcomes.append(log_port.AppendOutcome.REFUSED)
        fence = log_port.Fence('owner', 7, 3)
        self.append(fence=fence)
        self.assertEqual(fence, self.peer_log.appends[0][1])

    def test_reads_are_relayed(self) -> None:
        """Pages, newest records and expired offsets equal direct ones."""
        self.direct.read_error = log_port.LogError('cut')
        self.peer_log.add('a', b'1')
        self.assertEqual(1, self.log.read('t', 0, 0, 0.0).end)
        with mock.patch.object(relay, 'LOAD_RELAY_DELAY_S', 0.0):
            page = self.log.newest('t', 0, '')
        self.assertEqual(
            [('a', b'1', 0)], [tuple(record) for record in page.records]
        )
        self.peer_log.first = 1
        with self.assertRaises(log_port.OffsetExpired):
            self.log.read('t', 0, 0, 0.0)

    def test_relayed_records_are_redacted(self) -> None:
        """Keys of accounts would otherwise stand in messages of peers."""
        self.redacted_topic = 't'
        self.direct.read_error = log_port.LogError('cut')
        self.peer_log.add('a', b'1')
        with mock.patch.object(relay, 'LOAD_RELAY_DELAY_S', 0.0):
            pages = (
                self.log.read('t', 0, 0, 0.0),
                self.log.newest('t', 0, ''),
            )
        for page in pages:
            self.assertEqual(
                [('a', b'redacted', 0)],
                [tuple(record) for record in page.records],
            )

    def test_snapshots_are_not_relayed_while_the_log_answers(self) -> None:
        """A log that is slow for all is not asked more often for it."""
        self.direct.read_error = log_port.LogError('timed out')
        self.peer_log.add('a', b'1')
        with self.assertRaises(log_port.LogError):
            self.log.newest('t', 0, '')
        self.assertEqual([], self.peer_log.loads)

    def read_ignoring_errors(self) -> None:
        """Read, ignoring a failure of both paths."""
        with contextlib.suppress(log_port.LogError):
            self.log.read('t', 0, 0, 1.0)

    def test_recovered_log_is_noticed_without_a_long_poll(self) -> None:
        """While the log is unreachable, direct reads do not long-poll."""
        with freezegun.freeze_time() as clock:
            self.direct.read_error = log_port.LogError('down')
            self.peer_log.read_error = log_port.LogError('down')
            self.read_ignoring_errors()
            self.direct.read_error = None
            clock.tick(relay.INITIAL_DIRECT_RETRY_S + 0.01)
            self.read_ignoring_errors()
            self.assertEqual([1.0, 0.0], self.direct.waits)
            self.assertTrue(self.log.is_direct)

    def test_read_timeout_adapts_to_latency(self) -> None:
        """Time-outs raise it to its maximum; fast responses lower it again."""

        def hang() -> None:
            clock.tick(self.direct.timeouts[-1])

        with freezegun.freeze_time() as clock:
            self.direct.before_read = hang
            self.direct.read_error = log_port.LogError('timeout')
            self.peer_log.read_error = log_port.LogError('down')
            for _ in range(5):
                with contextlib.suppress(log_port.LogError):
                    self.log.read('t', 0, 0, 0.0)
                clock.tick(1.0)
            self.assertEqual(relay.READ_TIMEOUT_S, self.direct.timeouts[0])
            self.assertEqual(
                relay.MAX_READ_TIMEOUT_S, self.direct.timeouts[-1]
            )
            self.direct.read_error = None
            self.direct.before_read = lambda: clock.tick(0.01)
            for _ in range(2):
                self.log.read('t', 0, 0, 0.0)
            self.assertEqual(relay.READ_TIMEOUT_S, self.direct.timeouts[-1])

    def test_read_timeout_grows_while_the_log_is_unreachable(self) -> None:
        """Reads that do not wait for records raise the time-out too."""

        def respond_slowly() -> None:
            clock.tick(min(1.2, self.direct.timeouts[-1] + 0.001))
            slow = self.direct.timeouts[-1] < 1.2
            self.direct.read_error = (
                log_port.LogError('timeout') if slow else None
            )

        with freezegun.freeze_time() as clock:
            self.direct.before_read = respond_slowly
            self.peer_log.read_error = log_port.LogError('down')
            self.direct.outcomes.append(log_port.AppendOutcome.REFUSED)
            self.peer_log.outcomes.append(log_port.AppendOutcome.REFUSED)
            self.append()
            for _ in range(3):
                clock.tick(1.0)
                with contextlib.suppress(log_port.LogError):
                    self.log.read('t', 0, 0, 1.0)
            self.assertTrue(self.log.is_direct)

    def test_late_failure_does_not_override_a_newer_success(self) -> None:
        """A failure is ignored if another call succeeded after its start."""

        def succeed_meanwhile() -> None:
            self.direct.before_read = lambda: None
            clock.tick(0.5)
            self.append()
            clock.tick(0.5)
            self.direct.read_error = log_port.LogError('hung')

        with freezegun.freeze_time() as clock:
            self.direct.before_read = succeed_meanwhile
            self.read_ignoring_errors()
        self.assertTrue(self.log.is_direct)

    def test_peer_that_cannot_reach_the_log_does_not_relay(self) -> None:
        """Two instances that cannot reach the log do not relay in a loop."""
        self.direct.read_error = log_port.LogError('cut')
        self.peer_log.read_error = log_port.LogError('cut too')
        with self.assertRaises(log_port.LogError):
            self.log.read('t', 0, 0, 0.0)
