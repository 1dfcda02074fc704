"""Test the two ways to the log."""

import contextlib
import unittest

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
    """Append and read through a peer."""

    def setUp(self) -> None:
        """Make a log, its direct way, and a peer that relays."""
        self.direct = fakes.FakeLog()
        self.log = relay.FailoverLog(self.direct, metrics.Metrics())
        self.far = fakes.FakeLog()
        peer = relay.FailoverLog(self.far, metrics.Metrics())
        port = serving.free_port()
        thrift_server.serve(
            serving.ADDRESS,
            port,
            LogRelay.Processor(
                handler.RelayHandler(self.far, peer, metrics.Metrics())
            ),
        )
        self.log.set_peer_source(lambda: [(serving.ADDRESS, port)])
        self.record = log_port.Record('k', b'v')

    def append(self, **options: object) -> log_port.Outcome:
        """Append a record."""
        return self.log.append('t', 0, [self.record], **options).outcome

    def test_refused_append_goes_through_a_peer(self) -> None:
        """What the log refused here may be kept by way of a peer."""
        self.direct.outcomes.append(log_port.Outcome.REFUSED)
        self.assertIs(log_port.Outcome.DONE, self.append())
        self.assertEqual(1, self.far.end)

    def test_unknown_conditional_append_is_not_repeated(self) -> None:
        """A repeat could not tell its own success from a conflict."""
        self.direct.outcomes.append(log_port.Outcome.UNKNOWN)
        outcome = self.append(expected_end=0)
        self.assertIs(log_port.Outcome.UNKNOWN, outcome)
        self.assertEqual(0, self.far.end)

    def test_unknown_append_stays_unknown_when_relays_refuse(self) -> None:
        """A refusal by the second way says nothing of the first."""
        self.direct.outcomes.append(log_port.Outcome.UNKNOWN)
        self.far.outcomes.append(log_port.Outcome.REFUSED)
        self.assertIs(log_port.Outcome.UNKNOWN, self.append())

    def test_fence_travels(self) -> None:
        """Producer, epoch and sequence reach the log unchanged."""
        self.direct.outcomes.append(log_port.Outcome.REFUSED)
        fence = log_port.Fence('owner', 7, 3)
        self.append(fence=fence)
        self.assertEqual(fence, self.far.appends[0][1])

    def test_reads_go_through_a_peer(self) -> None:
        """Pages, newest records and gaps come as they would directly."""
        self.direct.read_error = log_port.LogError('cut')
        self.far.add('a', b'1')
        self.assertEqual(1, self.log.read('t', 0, 0, 0.0).end)
        page = self.log.newest('t', 0, '')
        self.assertEqual([('a', b'1', 0)], [tuple(r) for r in page.records])
        self.far.first = 1
        with self.assertRaises(log_port.OffsetExpired):
            self.log.read('t', 0, 0, 0.0)

    def read_direct(self) -> None:
        """Read, and pass over a failure of both ways."""
        with contextlib.suppress(log_port.LogError):
            self.log.read('t', 0, 0, 1.0)

    def test_log_that_is_back_is_noticed_soon(self) -> None:
        """While the direct way is lost it is tried without waiting."""
        with freezegun.freeze_time() as clock:
            self.direct.read_error = log_port.LogError('down')
            self.far.read_error = log_port.LogError('down')
            self.read_direct()
            self.direct.read_error = None
            clock.tick(relay.FIRST_DIRECT_RETRY_S + 0.01)
            self.read_direct()
            self.assertEqual([1.0, 0.0], self.direct.waits)
            self.assertTrue(self.log.is_direct)

    def test_slow_log_is_given_time_to_answer_reads(self) -> None:
        """Reads that time out are given more; quick answers less."""

        def hang() -> None:
            clock.tick(self.direct.timeouts[-1])

        with freezegun.freeze_time() as clock:
            self.direct.before_read = hang
            self.direct.read_error = log_port.LogError('timeout')
            self.far.read_error = log_port.LogError('down')
            for _ in range(5):
                with contextlib.suppress(log_port.LogError):
                    self.log.read('t', 0, 0, 0.0)
                clock.tick(1.0)
            self.assertEqual(relay.READ_TIMEOUT_S, self.direct.timeouts[0])
            self.assertEqual(
                relay.MOST_READ_TIMEOUT_S, self.direct.timeouts[-1]
            )
            self.direct.read_error = None
            self.direct.before_read = lambda: clock.tick(0.01)
            for _ in range(2):
                self.log.read('t', 0, 0, 0.0)
            self.assertEqual(relay.READ_TIMEOUT_S, self.direct.timeouts[-1])

    def test_slow_log_is_reached_again_by_waiting_reads(self) -> None:
        """While the way is lost reads don't wait, but get more time too."""

        def answer_slowly() -> None:
            clock.tick(min(1.2, self.direct.timeouts[-1] + 0.001))
            slow = self.direct.timeouts[-1] < 1.2
            self.direct.read_error = (
                log_port.LogError('timeout') if slow else None
            )

        with freezegun.freeze_time() as clock:
            self.direct.before_read = answer_slowly
            self.far.read_error = log_port.LogError('down')
            self.direct.outcomes.append(log_port.Outcome.REFUSED)
            self.far.outcomes.append(log_port.Outcome.REFUSED)
            self.append()
            for _ in range(3):
                clock.tick(1.0)
                with contextlib.suppress(log_port.LogError):
                    self.log.read('t', 0, 0, 1.0)
            self.assertTrue(self.log.is_direct)

    def test_call_that_hung_does_not_hide_a_later_success(self) -> None:
        """A failure counts only against what was known when it began."""

        def succeed_meanwhile() -> None:
            self.direct.before_read = lambda: None
            clock.tick(0.5)
            self.append()
            clock.tick(0.5)
            self.direct.read_error = log_port.LogError('hung')

        with freezegun.freeze_time() as clock:
            self.direct.before_read = succeed_meanwhile
            self.read_direct()
        self.assertTrue(self.log.is_direct)

    def test_peer_without_a_way_says_so(self) -> None:
        """Two instances without a way do not call in circles."""
        self.direct.read_error = log_port.LogError('cut')
        self.far.read_error = log_port.LogError('cut too')
        with self.assertRaises(log_port.LogError):
            self.log.read('t', 0, 0, 0.0)
