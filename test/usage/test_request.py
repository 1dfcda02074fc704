"""Test when a request counts, and in which window."""

import time
import unittest
from unittest import mock

from baobabpond import metrics as metrics_module
from baobabpond.usage import recorder as recorder_module
from baobabpond.usage import request as request_module
from baobabpond.usage import time_of_day as time_module
from baobabpond.usage import windows as windows_module

from . import examples

FIRST = examples.FIRST


class RequestUsageTestCase(unittest.TestCase):
    """Follow requests at the begin of a window."""

    def setUp(self) -> None:
        """Count in paused time."""
        self.time = examples.PausedTime()
        self.addCleanup(self.time.stop)
        self.recorder = recorder_module.UsageRecorder(
            windows_module.Windows(examples.WINDOW_S), metrics_module.Metrics()
        )
        self.counter = request_module.AccountCounter(
            self.recorder, time_module.TimeOfDay()
        )

    def counted(self) -> dict[int, int]:
        """Return the requests of the account by window."""
        return {
            window: counts.counts['kea']
            for window, counts in self.recorder.counts().items()
            if counts.counts
        }

    def follow(
        self, is_stream: bool, is_resumed: bool = False
    ) -> request_module.RequestUsage:
        """Follow a request of the account."""
        return self.counter.follow('kea', is_stream, is_resumed)


class PlainUsageTest(RequestUsageTestCase):
    """Follow plain requests."""

    def test_request_counts_when_it_is_sent(self) -> None:
        """Before an answer comes, so that the count outlives the instance."""
        self.follow(False).begin_attempt()
        self.assertEqual({FIRST: 1}, self.counted())

    def test_request_that_has_not_run_does_not_count(self) -> None:
        """All upstreams refuse it."""
        usage = self.follow(False)
        for _ in range(3):
            usage.begin_attempt()
            usage.record_not_run()
        usage.end()
        self.assertEqual({}, self.counted())

    def test_request_counts_in_the_window_of_its_first_run(self) -> None:
        """A refusal before, and another run and a refusal after it."""
        usage = self.follow(False)
        usage.begin_attempt()
        usage.record_not_run()
        self.time.advance(examples.WINDOW_S)
        usage.begin_attempt()
        self.time.advance(examples.WINDOW_S)
        usage.begin_attempt()
        usage.record_answer()
        usage.begin_attempt()
        usage.record_not_run()
        usage.end()
        self.assertEqual({FIRST + 1: 1}, self.counted())


class StreamUsageTest(RequestUsageTestCase):
    """Follow streams."""

    def test_stream_counts_in_the_window_of_its_first_event(self) -> None:
        """Also if it goes on at another upstream later."""
        usage = self.follow(True)
        usage.begin_attempt()
        self.assertEqual({}, self.counted())
        self.time.advance(examples.WINDOW_S)
        usage.record_event()
        self.time.advance(examples.WINDOW_S)
        usage.begin_attempt()
        usage.record_event()
        usage.end()
        self.assertEqual({FIRST + 1: 1}, self.counted())

    def test_stream_that_fails_at_the_upstream_counts(self) -> None:
        """The response has no events, and does not state 'not run'."""
        usage = self.follow(True)
        usage.begin_attempt()
        self.time.advance(examples.WINDOW_S)
        usage.record_answer()
        usage.end()
        self.assertEqual({FIRST: 1}, self.counted())

    def test_stream_without_an_answer_counts_from_its_first_run(self) -> None:
        """The connection broke, and the next upstream refused."""
        usage = self.follow(True)
        usage.begin_attempt()
        self.time.advance(examples.WINDOW_S)
        usage.begin_attempt()
        usage.record_not_run()
        usage.end()
        self.assertEqual({FIRST: 1}, self.counted())

    def test_stream_that_has_not_run_does_not_count(self) -> None:
        """The upstream refused it, or could not be reached."""
        usage = self.follow(True)
        usage.begin_attempt()
        usage.record_not_run()
        usage.end()
        self.assertEqual({}, self.counted())

    def test_resumed_stream_has_counted_before(self) -> None:
        """Its first event was generated for an earlier request."""
        usage = self.follow(True, is_resumed=True)
        usage.begin_attempt()
        usage.record_event()
        usage.end()
        self.assertEqual({}, self.counted())


class WithoutAccountTest(RequestUsageTestCase):
    """Follow requests that count for nobody."""

    def test_requests_without_an_account_do_not_count(self) -> None:
        """The route is public, or the deployment has no accounts."""
        for account in (None, ''):
            for is_stream in (False, True):
                usage = self.counter.follow(account, is_stream, False)
                usage.begin_attempt()
                usage.record_event()
                usage.end()
        self.assertEqual({}, self.recorder.counts())


class TimeOfDayTest(unittest.TestCase):
    """Compare the time of day with that of other instances."""

    def setUp(self) -> None:
        """Hear from other instances in paused time."""
        self.time = examples.PausedTime()
        self.addCleanup(self.time.stop)
        self.time_of_day = time_module.TimeOfDay()

    def hear(self, *ahead_s: float, max_delay_s: float = 0.5) -> None:
        """Read a record of each of some instances with their clocks."""
        for number, seconds in enumerate(ahead_s):
            self.time_of_day.record(
                f'i{number}', time.time() + seconds, max_delay_s
            )

    def now_with_step(self, seconds: float) -> float:
        """Return the time of day while the clock of this instance is off."""
        with mock.patch.object(
            time,
            'time',
            autospec=True,
            return_value=examples.START_S + seconds,
        ):
            return self.time_of_day.now_unix_s()

    def test_own_clock_is_used_while_it_agrees(self) -> None:
        """Records take some time; one instance of four is off."""
        self.hear(-0.1, -0.4, 2.0, -0.2)
        self.assertEqual(0.0, self.time_of_day.difference_s)
        self.assertEqual(examples.START_S, self.time_of_day.now_unix_s())

    def test_clock_that_was_stepped_is_corrected(self) -> None:
        """In either direction, at once, also if another one is off."""
        self.hear(0.0, 0.0, 2.0, 0.0)
        for seconds in (2.0, -2.0):
            self.assertAlmostEqual(
                examples.START_S, self.now_with_step(seconds)
            )

    def test_time_that_records_take_is_allowed_for(self) -> None:
        """This instance's own records take as long as those of others."""
        self.hear(-0.3, -0.3, -0.3)
        for delay_s in (0.5, 0.3, 9.0, -9.0):
            self.time_of_day.record_own(time.time() - delay_s)
        self.assertAlmostEqual(examples.START_S, self.now_with_step(2.0))

    def test_records_that_were_read_late_prove_nothing(self) -> None:
        """All of them, after an outage of the log or a pause."""
        self.hear(-5.0, -5.0, -5.0, max_delay_s=6.0)
        self.assertEqual(0.0, self.time_of_day.difference_s)

    def test_one_other_clock_proves_nothing(self) -> None:
        """Nobody knows which of two is off."""
        self.hear(2.0)
        self.assertEqual(0.0, self.time_of_day.difference_s)

    def test_record_that_was_delayed_does_not_count(self) -> None:
        """The most prompt of the last records of an instance does."""
        self.hear(0.0, 0.0, 0.0)
        self.hear(-5.0, -5.0, -5.0, max_delay_s=6.0)
        self.assertAlmostEqual(examples.START_S, self.now_with_step(2.0))

    def test_instances_that_are_silent_are_left_out(self) -> None:
        """A former process says nothing about the clocks of today."""
        self.hear(2.0, 2.0, 2.0)
        self.time.advance(time_module.MAX_SAMPLE_AGE_S + 1.0)
        self.assertEqual(0.0, self.time_of_day.difference_s)


if __name__ == '__main__':
    unittest.main()
