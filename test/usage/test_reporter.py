"""Test which reports the holder of the duty records and sends."""

import time
import unittest

from baobabpond.ports import control
from baobabpond.ports import log as log_port
from baobabpond.usage import records

from . import examples

FIRST = examples.FIRST


class ReporterTestCase(unittest.TestCase):
    """Run three instances, the first of which owns the shard."""

    def setUp(self) -> None:
        """Start the instances in paused time."""
        self.cluster = examples.Cluster('abc')
        self.addCleanup(self.cluster.time.stop)
        self.api = self.cluster.api
        self.log = self.cluster.log
        self.first, self.second, self.third = self.cluster.instances
        self.first.ownership.take(1)

    def lateness(self) -> list[float]:
        """Return how late each call was."""
        return [
            at - (report.window + 1) * examples.WINDOW_S
            for at, (_, report) in zip(
                self.api.called_at, self.api.calls, strict=True
            )
        ]

    def move_shard(self, epoch: int) -> None:
        """Let the second instance own the shard in place of the first."""
        self.first.ownership.lose()
        self.second.ownership.take(epoch)


class ReporterTest(ReporterTestCase):
    """Report windows as the only holder."""

    def test_sum_of_all_instances_is_reported_once(self) -> None:
        """Two accounts at three instances; the next window is empty."""
        for instance in self.cluster.instances:
            instance.recorder.record('kea', time.time())
        self.second.recorder.record('tui', time.time())
        self.cluster.run(14.0)
        self.assertEqual(
            {FIRST: {'kea': 3, 'tui': 1}, FIRST + 1: {}}, self.api.reported
        )
        self.assertEqual(2, len(self.api.calls))
        self.assertLess(max(self.lateness()), 3.5)

    def test_nothing_is_reported_before_any_instance_has_a_window(
        self,
    ) -> None:
        """A deployment that just starts has no first window yet."""
        for instance in self.cluster.instances:
            instance.recorder.drop(FIRST)
        self.cluster.run(14.0)
        self.assertEqual([], self.api.calls)

    def test_count_of_a_withdrawn_request_is_not_reported(self) -> None:
        """Also where the count was on the log before."""
        mark = self.second.recorder.record('kea', time.time())
        self.cluster.run(1.0)
        self.second.recorder.withdraw(mark)
        self.cluster.run(8.0)
        self.assertEqual({}, self.api.reported[FIRST])

    def test_counts_of_an_instance_that_dies_are_reported(self) -> None:
        """It appended them before it was killed."""
        self.third.recorder.record('kea', time.time())
        self.third.step()
        self.cluster.run(8.0, self.third)
        self.assertEqual({'kea': 1}, self.api.reported[FIRST])

    def test_records_of_reported_windows_are_removed(self) -> None:
        """Those of counts, and those of reports once acknowledged."""
        self.third.recorder.record('kea', time.time())
        self.cluster.run(20.0)
        newest = [
            self.log.partitions[number].newest('', number, '').records
            for number in (0, 1)
        ]
        self.assertEqual(
            [[records.CLOSED_KEY], [records.LAST_KEY]],
            [[record.key for record in part] for part in newest],
        )

    def test_late_count_is_logged_and_counted_as_lost(self) -> None:
        """An instance without contact has its count after the report."""
        self.third.recorder.record('kea', time.time())
        self.cluster.run(9.0, self.third)
        self.assertEqual({}, self.api.reported[FIRST])
        self.cluster.run(1.0)
        lost = [
            i.metrics.counter('usage.lost') for i in self.cluster.instances
        ]
        self.assertEqual([0, 0, 1], lost)
        self.assertEqual({}, self.third.recorder.counts())

    def test_api_that_is_away_gets_the_reports_in_order(self) -> None:
        """It is away for 4 s, from the first call on; all are in time."""
        back_at = examples.START_S + 12.0
        self.api.before_call = lambda: self.api.outcomes.extend(
            [control.Outcome.REFUSED] if time.time() < back_at else []
        )
        self.cluster.run(20.0)
        windows = [report.window for _, report in self.api.calls]
        self.assertEqual([FIRST, FIRST + 1, FIRST + 2], windows)
        self.assertLess(max(self.lateness()), examples.DUE_S)

    def test_outage_of_the_api_of_a_minute_loses_nothing(self) -> None:
        """Reports are queued."""
        back_at = examples.START_S + 70.0
        self.api.before_call = lambda: self.api.outcomes.extend(
            [control.Outcome.UNKNOWN] if time.time() < back_at else []
        )
        self.cluster.run(80.0)
        self.assertEqual(
            list(range(FIRST, FIRST + 15)), sorted(self.api.reported)
        )
        self.assertEqual(0, self.first.metrics.counter('usage.given_up'))

    def test_call_without_an_answer_is_repeated_exactly(self) -> None:
        """Counts that come meanwhile change nothing."""
        self.first.recorder.record('kea', time.time())
        self.api.outcomes.append(control.Outcome.UNKNOWN)
        self.cluster.run(7.6)
        self.second.recorder.record('kea', examples.START_S)
        self.cluster.run(2.0)
        reports = [report for _, report in self.api.calls]
        self.assertEqual([control.UsageReport(FIRST, {'kea': 1})] * 2, reports)

    def test_log_that_is_away_delays_reports_only(self) -> None:
        """It is away for 5 s around the end of the window."""
        self.cluster.run(4.0)
        self.log.is_away = True
        self.second.recorder.record('kea', time.time())
        self.cluster.run(5.0)
        self.log.is_away = False
        # Appends its counts later than the others do.
        self.cluster.run(1.0, self.second)
        self.cluster.run(3.0)
        self.assertEqual({'kea': 1}, self.api.reported[FIRST])
        self.assertLess(max(self.lateness()), examples.DUE_S)

    def test_append_without_an_answer_makes_no_second_report(self) -> None:
        """The report is on the log already when it is read again."""
        self.first.recorder.record('kea', time.time())
        self.cluster.run(7.4)
        self.log.before_append = self._lose_answer_of_report
        self.cluster.run(2.0)
        self.assertEqual({'kea': 1}, self.api.reported[FIRST])
        self.assertEqual(1, len(self.api.calls))

    def _lose_answer_of_report(self, partition: int) -> None:
        if partition == 1:
            self.log.unanswered = 1
            self.log.before_append = lambda _: None

    def test_windows_without_any_instance_are_left_out(self) -> None:
        """After an hour only the last minute is reported."""
        self.cluster.run(10.0)
        self.cluster.time.advance(3600.0)
        self.cluster.run(3.0)
        windows = sorted(self.api.reported)
        self.assertEqual(FIRST, windows[0])
        self.assertGreater(windows[1], FIRST + 700)
        self.assertGreaterEqual(len(windows), 12)
        self.assertGreater(self.first.metrics.counter('usage.given_up'), 700)

    def test_windows_are_given_up_once_if_the_append_fails(self) -> None:
        """Guard against counting them again with each attempt."""
        self.cluster.run(10.0)
        self.cluster.time.advance(3600.0)
        outcomes = self.log.partitions[1].outcomes
        outcomes += [log_port.AppendOutcome.REFUSED] * 3
        self.cluster.run(3.0)
        windows = sorted(self.api.reported)
        missing = windows[-1] - windows[0] + 1 - len(windows)
        self.assertGreater(missing, 700)
        self.assertEqual(missing, self.first.metrics.counter('usage.given_up'))

    def test_rejected_report_is_given_up_after_a_minute(self) -> None:
        """It must not hold up the later ones for good."""
        self.api.before_call = lambda: self.api.outcomes.extend(
            [control.Outcome.REJECTED] if not self.api.calls else []
        )
        self.cluster.run(90.0)
        self.assertEqual([], self.api.calls)
        given_up = self.first.metrics.counter('usage.given_up')
        self.assertGreater(given_up, 0)
        self.assertLessEqual(given_up, (90 - 65) / examples.WINDOW_S + 1)


class ChangeOfHolderTest(ReporterTestCase):
    """Let another instance own the shard in the middle of a report."""

    def test_recorded_report_is_sent_unchanged_after_the_lease(self) -> None:
        """Counts that come after the record are not added."""
        self.first.recorder.record('kea', time.time())
        self.api.outcomes.append(control.Outcome.UNKNOWN)
        self.cluster.run(7.8)
        self.assertEqual(1, len(self.api.calls))
        self.move_shard(2)
        moved_at = time.time()
        self.third.recorder.record('kea', examples.START_S)
        self.cluster.run(5.0, self.first)
        self.assertEqual({'kea': 1}, self.api.reported[FIRST])
        self.assertEqual(['a', 'b'], [d.holder for d, _ in self.api.calls[:2]])
        self.assertGreaterEqual(
            self.api.called_at[1], moved_at + examples.LEASE_S
        )
        self.assertLess(max(self.lateness()), examples.DUE_S)

    def test_former_holder_records_no_second_report(self) -> None:
        """It still believes in its lease, and knows other counts."""
        self.recorded_by: list[str] = []
        self.cluster.run(6.0)
        self.second.ownership.take(2)
        self.third.recorder.record('kea', examples.START_S)
        # The report of the first instance comes between the read and the
        # append of the second one.
        self.cluster.run(1.4)
        self.log.before_append = self._append_by_former_holder
        self.cluster.time.advance(0.4)
        self.second.step()
        self.assertEqual([self.first.name], self.recorded_by)
        self.cluster.run(5.0)
        self.assertIn(FIRST, self.api.reported)
        appended = [
            record.key
            for record in self.log.partitions[1].records
            if record.key == records.encode_report_key(FIRST) and record.value
        ]
        self.assertEqual(1, len(appended))

    def _append_by_former_holder(self, partition: int) -> None:
        if partition == 1:
            self.log.before_append = lambda _: None
            self.first.step()
            self.recorded_by.append(self.first.name)

    def test_nothing_is_sent_while_the_lease_has_not_passed(self) -> None:
        """Holders alternate: A, B, A; calls of a return are late enough."""
        self.cluster.run(7.8)
        self.move_shard(2)
        self.cluster.run(1.0)
        self.second.ownership.lose()
        self.first.ownership.take(3)
        self.cluster.run(2.8)
        self.assertEqual(['a'], [d.holder for d, _ in self.api.calls])
        self.cluster.run(3.0)
        tokens = [duty.token for duty, _ in self.api.calls]
        self.assertEqual(sorted(tokens), tokens)
        self.assertEqual({1, 3}, set(tokens))

    def test_call_is_not_sent_if_the_lease_ends_while_connecting(
        self,
    ) -> None:
        """The lease is checked right before the call is sent."""
        self.cluster.run(7.4)
        self.api.before_call = self.first.ownership.lose
        self.cluster.run(3.0)
        self.assertEqual([], self.api.calls)

    def test_refused_token_is_not_used_again(self) -> None:
        """The platform has seen a higher token; the next tenure calls."""
        self.api.outcomes.append(control.Outcome.FENCED)
        self.cluster.run(12.0)
        self.assertEqual([], self.api.calls)
        self.first.ownership.take(5)
        self.cluster.run(4.0)
        self.assertEqual({5}, {duty.token for duty, _ in self.api.calls})
        self.assertIn(FIRST, self.api.reported)


if __name__ == '__main__':
    unittest.main()
