"""Test what trainers are told from a copy of the log that may be stale."""

import threading
import time
import unittest
from unittest import mock

from baobabpond.accounts import decision
from baobabpond.accounts import gate as gate_module
from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.catalogue import current as current_module
from baobabpond.edge import batch_handlers
from baobabpond.edge import client_limits
from baobabpond.edge import http_exchange
from baobabpond import metrics
from baobabpond.ports import callers
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module

from ..batches import test_shard_state as examples
from ..platform_plugin import test_plugin
from ..store import fakes

# Callers give up this long after the time that they allow.
CALLER_PATIENCE_S = 1.5
MAX_PAGE_BYTES = 1_000_000
ITEMS = tuple(f'item-{number}' for number in range(8))


class ResultsTest(unittest.TestCase):
    """Read the results of a batch of eight, of which three are known here."""

    def setUp(self) -> None:
        """Create handlers whose copy holds the first three results."""
        self.log = fakes.FakeLog()
        self.shard_state = state_module.ShardState()
        self.follower = follower_module.Follower(
            self.log,
            batch_handlers.TOPIC,
            0,
            self.shard_state.apply,
            metrics.Metrics(),
            read_wait_s=0.05,
        )
        self.protocol = mock.create_autospec(
            callers.CallerProtocol, instance=True
        )
        self.protocol.result_page.return_value = b'page'
        self.handlers = batch_handlers.BatchHandlers(
            self.protocol,
            batch_handlers.Shard(0, self.shard_state, self.follower),
            self.log,
            mock.create_autospec(
                current_module.CurrentConfiguration, instance=True
            ),
            metrics.Metrics(),
        )
        for record in examples.make_batch('b', *ITEMS):
            self.log.add(record.key, record.value)
        self.add_results(0, 3)
        self.follower.catch_up()

    def add_results(self, first: int, end: int) -> None:
        """Append the results of some items to the log."""
        for number in range(first, end):
            record = examples.make_result('b', ITEMS[number], f'1.{number}')
            self.log.add(record.key, record.value)

    def start_follower(self) -> None:
        """Read along in the background until the test ends."""
        self.log.before_read = lambda: time.sleep(0.02)
        self.follower.start()
        self.addCleanup(self.follower.stop)

    def cut_off_log(self) -> None:
        """Make reads of the log fail, and wait until the follower notices."""
        self.log.read_error = log_port.LogError('out of reach')
        self.start_follower()
        time.sleep(0.5)

    def fail_to_apply(self) -> None:
        """Let the listener fail on the results that are on the log."""
        with (
            mock.patch.object(
                records,
                'decode_results',
                autospec=True,
                side_effect=MemoryError,
            ),
            self.assertRaises(MemoryError),
        ):
            self.follower.catch_up()

    def read(
        self, position: int, wait_s: float = 0.0, batch: str = 'b'
    ) -> mock.Mock:
        """Read from a position and return the exchange."""
        exchange = mock.create_autospec(http_exchange.Exchange, instance=True)
        call = callers.Call(
            callers.CallKind.READ_RESULTS,
            'read-1',
            'host',
            '/',
            None,
            batch=batch,
            position=position,
            wait_s=wait_s,
        )
        self.handlers.read_results(exchange, call)
        return exchange

    def assert_page(self, exchange: mock.Mock, *items: str) -> None:
        """Check that a page with the results of some items was sent."""
        self.assertEqual(200, exchange.send_response.call_args.args[0])
        page = self.protocol.result_page.call_args.args[0]
        self.assertEqual(list(items), [result.id for result in page.results])

    def assert_refused(self, exchange: mock.Mock) -> None:
        """Check that a temporary refusal with a delay was sent."""
        status, _, headers, _, _ = exchange.send_response.call_args.args
        self.assertEqual(503, status)
        self.assertIn('Retry-After', dict(headers))

    def assert_right_or_refused(self, position: int) -> None:
        """Check that a read gets the results from a position, or a 503."""
        exchange = self.read(position)
        if exchange.send_response.call_args.args[0] == 200:
            self.assert_page(exchange, *ITEMS[position:])
        else:
            self.assert_refused(exchange)

    def test_stale_copy_never_reports_that_a_read_result_is_missing(
        self,
    ) -> None:
        """Another instance may have sent results that this one lacks."""
        self.add_results(3, 8)
        self.cut_off_log()
        for position in (3, 6):
            with self.subTest(position=position):
                self.assert_refused(self.read(position))

    def test_results_are_read_on_before_an_empty_page_is_sent(self) -> None:
        """A copy that is behind first reads the log to its end."""
        self.add_results(3, 8)
        self.start_follower()
        self.assert_page(self.read(6), *ITEMS[6:])

    def test_results_lost_from_sight_by_expiry_are_loaded_again(self) -> None:
        """A snapshot is loaded before an empty page is sent."""
        self.add_results(3, 8)
        self.log.first = self.log.end
        self.start_follower()
        self.assert_page(self.read(6), *ITEMS[6:])

    def test_complete_copy_reports_that_there_is_nothing_yet(self) -> None:
        """Nothing is refused while the log is in reach."""
        self.start_follower()
        self.assert_page(self.read(3))

    def test_known_results_are_sent_while_the_log_is_away(self) -> None:
        """Results never change, so that a stale copy may send them."""
        self.cut_off_log()
        self.assert_page(self.read(1), *ITEMS[1:3])

    def test_end_of_a_whole_batch_needs_no_log(self) -> None:
        """After the last result nothing can follow."""
        self.add_results(3, 8)
        self.follower.catch_up()
        self.cut_off_log()
        self.assert_page(self.read(8))

    def test_ended_batch_may_still_get_results(self) -> None:
        """The end of a batch does not make a stale copy complete."""
        end = records.encode_end('b')
        self.log.add(end.key, end.value)
        self.follower.catch_up()
        self.add_results(3, 4)
        self.cut_off_log()
        self.assert_refused(self.read(3))

    def test_records_that_were_not_applied_are_not_reported_as_missing(
        self,
    ) -> None:
        """A listener failed once on results; the copy lacks them since."""
        self.add_results(3, 8)
        self.fail_to_apply()
        self.start_follower()
        self.assert_right_or_refused(6)

    def test_reload_does_not_hide_that_records_were_not_applied(
        self,
    ) -> None:
        """Results that come late stand at other positions than elsewhere."""
        self.add_results(3, 5)
        self.fail_to_apply()
        self.add_results(5, 6)
        self.follower.catch_up()
        self.add_results(6, 8)
        self.log.first = self.log.end
        self.start_follower()
        time.sleep(0.5)
        self.assertEqual(2, len(self.log.loads))
        self.assert_right_or_refused(3)

    def test_unknown_batch_is_answered_while_a_snapshot_is_loaded(
        self,
    ) -> None:
        """A slow load must not hold the threads that serve callers."""
        is_loading = threading.Event()
        may_load = threading.Event()

        def load_slowly() -> None:
            is_loading.set()
            may_load.wait(10)

        self.addCleanup(may_load.set)
        self.log.before_page = load_slowly
        self.add_results(3, 8)
        self.log.first = self.log.end
        self.start_follower()
        self.assertTrue(is_loading.wait(5))
        exchanges: list[mock.Mock] = []
        reader = threading.Thread(
            target=lambda: exchanges.append(self.read(0, batch='other')),
            daemon=True,
        )
        reader.start()
        reader.join(CALLER_PATIENCE_S)
        self.assertFalse(reader.is_alive(), 'the caller got no answer')
        self.assert_refused(exchanges[0])

    def test_unknown_batch_is_answered_while_a_read_is_slow(self) -> None:
        """A silent connection to the log must not outlast the caller."""
        self.log.before_read = lambda: time.sleep(3)
        started = time.monotonic()
        self.read(0, batch='other')
        self.assertLess(time.monotonic() - started, CALLER_PATIENCE_S)

    def test_empty_page_is_sent_after_a_pause_of_the_follower(self) -> None:
        """The log is in reach, though it was not read for a moment."""
        time.sleep(0.5)
        self.start_follower()
        self.assert_page(self.read(3))

    def test_empty_page_is_sent_from_a_silent_log_in_reach(self) -> None:
        """Long polls without records, which take their time, are enough."""
        wait_s = 0.5
        self.follower = follower_module.Follower(
            self.log,
            batch_handlers.TOPIC,
            0,
            self.shard_state.apply,
            metrics.Metrics(),
            read_wait_s=wait_s,
        )
        self.handlers = batch_handlers.BatchHandlers(
            self.protocol,
            batch_handlers.Shard(0, self.shard_state, self.follower),
            self.log,
            mock.create_autospec(
                current_module.CurrentConfiguration, instance=True
            ),
            metrics.Metrics(),
        )
        is_polling = threading.Event()

        def poll() -> None:
            is_polling.set()
            time.sleep(wait_s + 0.004)

        self.log.before_read = poll
        self.follower.catch_up()
        is_polling.clear()
        self.follower.start()
        self.addCleanup(self.follower.stop)
        self.assertTrue(is_polling.wait(5))
        self.assert_page(self.read(3))

    def test_number_of_waiting_reads_is_bounded(self) -> None:
        """Guards against long polls that take all threads of callers."""
        slots = int(
            client_limits.DEFAULTS.threads
            * client_limits.DEFAULTS.long_poll_share
        )
        is_over = threading.Event()
        self.addCleanup(is_over.set)
        with mock.patch.object(
            self.shard_state,
            'wait_results',
            autospec=True,
            side_effect=lambda *_: is_over.wait(20) and [],
        ) as waiting:
            threads = [
                threading.Thread(target=self.read, args=(0, 1.0))
                for _ in range(slots)
            ]
            for thread in threads:
                thread.start()
            while waiting.call_count < slots:
                time.sleep(0.01)
            self.assert_refused(self.read(0, 1.0))
            is_over.set()
            for thread in threads:
                thread.join()
        self.assertEqual(200, self.read(0).send_response.call_args.args[0])

    def submit_before_load(
        self, contact_age_s: float, account: str | None = None
    ) -> int:
        """Submit a batch while the copy is loaded; return the status."""
        follower = follower_module.Follower(
            self.log,
            batch_handlers.TOPIC,
            0,
            self.shard_state.apply,
            metrics.Metrics(),
        )
        current = mock.create_autospec(
            current_module.CurrentConfiguration, instance=True
        )
        current.versions = {}
        self.protocol.credential_headers = frozenset()
        self.protocol.submission.return_value = callers.Submission(
            'new', 0, 'm', 0, 1, (callers.Item('i', '/', (), '', 1, 'g', 1),)
        )
        handlers = batch_handlers.BatchHandlers(
            self.protocol,
            batch_handlers.Shard(0, self.shard_state, follower),
            self.log,
            current,
            metrics.Metrics(),
            lambda: contact_age_s,
        )
        match = mock.Mock()
        match.route.name = 'steps'
        exchange = mock.create_autospec(http_exchange.Exchange, instance=True)
        exchange.read_body.return_value = b''
        handlers.submit(
            exchange,
            callers.Call(callers.CallKind.REQUEST, 'new', 'host', '/', None),
            match,
            gate_module.Admission(decision.Authenticated(account)),
        )
        return exchange.send_response.call_args.args[0]

    def test_batches_are_accepted_while_the_copy_is_loaded(self) -> None:
        """After all instances have ended, loads take seconds.

        Trainers waited for them, though the log took appends.
        """
        self.assertEqual(202, self.submit_before_load(0.0))

    def test_no_batch_is_accepted_while_the_log_is_away(self) -> None:
        """The refusal comes at once, not after the appends' time-outs."""
        appends = len(self.log.appends)
        self.assertEqual(503, self.submit_before_load(float('inf')))
        self.assertEqual(appends, len(self.log.appends))

    def test_copy_is_needed_to_keep_accounts_apart(self) -> None:
        """The id may be that of a batch of another account."""
        self.assertEqual(503, self.submit_before_load(0.0, 'workshop'))

    def test_encoded_page_keeps_within_its_size(self) -> None:
        """Line feeds and other escaped characters count as encoded."""
        self.protocol.result_page.side_effect = (
            test_plugin.load_platform().callers.result_page
        )
        for item in ITEMS[3:]:
            result = callers.Result(item, True, '\n' * 170_000, (1,))
            record = records.encode_results(
                records.Results('b', [result]), f'2.{item}'
            )
            self.log.add(record.key, record.value)
        self.follower.catch_up()
        self.assert_page_size(self.read(3))

    def assert_page_size(self, exchange: mock.Mock) -> None:
        """Check that the body of a page keeps within its limit."""
        body = exchange.send_response.call_args.args[3]
        self.assertLessEqual(len(body), MAX_PAGE_BYTES)
