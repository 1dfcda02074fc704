"""Test the record of contact with the log."""

import time
import unittest

import freezegun

from baobabpond.store import contact as contact_module

MAX_AGE_S = 1.4


class ContactTest(unittest.TestCase):
    """Reads succeed and fail at set times."""

    def setUp(self) -> None:
        """Stop the clock."""
        freezer = freezegun.freeze_time()
        self.clock = freezer.start()
        self.addCleanup(freezer.stop)
        self.contact = contact_module.Contact(MAX_AGE_S)
        self.started_at = time.monotonic()

    def fail_for(self, seconds: float) -> None:
        """Let a read fail after a time."""
        tried_at = time.monotonic()
        self.clock.tick(seconds)
        self.contact.record_failure(tried_at)

    def outage(self) -> tuple[float, float, float]:
        """Return the last outage in seconds since the start."""
        outage = self.contact.last_outage
        assert outage is not None
        return tuple(round(at - self.started_at, 3) for at in outage)

    def test_no_outage_before_the_first_contact(self) -> None:
        """A start is none."""
        self.fail_for(3.0)
        self.contact.record_success()
        self.assertIsNone(self.contact.last_outage)

    def test_outage_lasts_from_one_success_to_the_next(self) -> None:
        """It ends now until a read succeeds."""
        self.contact.record_success()
        self.clock.tick(1.2)
        self.contact.record_success()
        self.fail_for(1.5)
        self.fail_for(1.0)
        self.assertEqual((1.2, 2.7, 3.7), self.outage())
        self.clock.tick(0.3)
        self.assertEqual((1.2, 2.7, 4.0), self.outage())
        self.contact.record_success()
        self.clock.tick(5.0)
        self.assertEqual((1.2, 2.7, 4.0), self.outage())

    def test_answers_now_and_then_do_not_end_an_outage(self) -> None:
        """Only a contact of some length does."""
        self.contact.record_success()
        self.fail_for(1.0)
        self.contact.record_success()
        self.clock.tick(0.5)
        self.contact.record_success()
        self.fail_for(0.5)
        self.contact.record_success()
        self.assertEqual((0.0, 1.5, 2.0), self.outage())
        self.clock.tick(1.1)
        self.contact.record_success()
        self.fail_for(0.4)
        self.contact.record_success()
        self.assertEqual((3.1, 3.1, 3.5), self.outage())

    def test_late_read_without_a_failure_is_no_outage(self) -> None:
        """The process may have stood still."""
        self.contact.record_success()
        self.clock.tick(8.0)
        self.assertTrue(self.contact.is_overdue)
        self.assertTrue(self.contact.record_success())
        self.assertIsNone(self.contact.last_outage)

    def test_late_read_does_not_take_up_an_old_outage(self) -> None:
        """Guard against an outage that seems to have lasted for hours.

        A failure that follows a late read begins an outage of its own.
        """
        self.contact.record_success()
        self.fail_for(1.0)
        self.contact.record_success()
        for _ in range(60):
            self.clock.tick(1.0)
            self.contact.record_success()
        self.clock.tick(8.0)
        self.contact.record_success()
        self.fail_for(0.5)
        self.contact.record_success()
        self.assertEqual((69.0, 69.0, 69.5), self.outage())

    def test_other_calls_may_see_the_end_earlier(self) -> None:
        """Not before the start of the last read that failed."""
        outage = contact_module.Outage(10.0, 14.0, 16.0)
        self.assertEqual(14.5, outage.ending_by(14.5).ended_at)
        for answered_at in (9.0, 13.0, 17.0):
            self.assertEqual(outage, outage.ending_by(answered_at))


if __name__ == '__main__':
    unittest.main()
