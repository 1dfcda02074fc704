"""Test the calls to the platform's API for duties."""

import time
import unittest

from baobabpond.ports import control
from baobabpond.ports import platforms
from standins.emulator import control as emulated
from test.platform_plugin import test_plugin

DUTY = control.Duty('entry-1', 7)
REPORT = control.UsageReport(353445120, {'huka270': 412, 'ahi': 1})


class CloudApiTest(unittest.TestCase):
    """Call the emulated API."""

    def setUp(self) -> None:
        """Start the emulated API."""
        test_plugin.load_platform()
        self.emulated = emulated.ControlApi()
        self.addCleanup(self.emulated.stop)
        self.api = self.connect(self.emulated.address)

    def connect(self, address: str) -> control.ControlApi:
        """Return the port for an API at an address."""
        factory = platforms.platforms.get('users_platform')
        return factory('127.0.0.1:1').connect_control(address)

    def context(
        self, token: int = 7, may_send: bool = True, timeout_s: float = 1.0
    ) -> control.CallContext:
        """Return the context of a call."""
        return control.CallContext(
            DUTY._replace(token=token), lambda: may_send, timeout_s
        )

    def report(self, **context: object) -> control.Outcome:
        """Send the report and return the outcome."""
        return self.api.report_usage(REPORT, self.context(**context)).outcome

    def test_report_and_its_repeat(self) -> None:
        """The platform gets the names and values that it expects."""
        for _ in range(2):
            self.assertIs(control.Outcome.DONE, self.report())
        call = self.emulated.calls[0]
        self.assertEqual(('/usage', 'entry-1', 7), call[1:4])
        self.assertEqual(
            {'window': 353445120, 'counts': {'huka270': 412, 'ahi': 1}},
            call.fields,
        )
        self.assertEqual({REPORT.window: REPORT.counts}, self.emulated.reports)
        self.assertEqual(set(), self.emulated.contradicted)

    def test_address_may_be_a_url(self) -> None:
        """The settings don't say which form the platform uses."""
        self.api = self.connect(f'http://{self.emulated.address}/')
        self.assertIs(control.Outcome.DONE, self.report())

    def test_lower_token_is_fenced(self) -> None:
        """The platform answers 409."""
        self.report(token=8)
        self.assertIs(control.Outcome.FENCED, self.report())

    def test_refusals_did_nothing(self) -> None:
        """Statuses 429 and 503, and no listener."""
        for outage in ('limited', 'refused'):
            self.emulated.outage = outage
            self.assertIs(control.Outcome.REFUSED, self.report())
        self.emulated.stop()
        self.assertIs(control.Outcome.REFUSED, self.report())

    def test_nothing_is_sent_without_the_duty(self) -> None:
        """The check comes after the connection is there."""
        self.assertIs(control.Outcome.REFUSED, self.report(may_send=False))
        self.assertEqual([], self.emulated.calls)

    def test_lost_and_late_answers_are_unknown(self) -> None:
        """The call may have taken effect, or may do so later."""
        self.emulated.outage = 'reset'
        self.assertIs(control.Outcome.UNKNOWN, self.report())
        self.emulated.outage = None
        self.emulated.delay_s = 0.3
        self.assertIs(control.Outcome.UNKNOWN, self.report(timeout_s=0.1))
        self.emulated.delay_s = 0.0
        self.emulated.lost_share = 1.0
        self.emulated.lost_delay_s = 0.1
        self.assertIs(control.Outcome.UNKNOWN, self.report())
        time.sleep(0.3)
        self.assertIn(REPORT.window, self.emulated.reports)

    def test_order(self) -> None:
        """The platform gets the names and values that it expects."""
        order = control.UpstreamOrder('juru-model', 'slupsk', 3)
        for is_spot in (False, True):
            self.api.order_upstreams(
                order._replace(is_spot=is_spot), self.context()
            )
        expected = {
            'service': 'juru-model',
            'zone': 'slupsk',
            'group-count': 3,
        }
        self.assertEqual(
            [expected, {**expected, 'use-spot': True}],
            [call.fields for call in self.emulated.calls],
        )
        self.assertEqual('/scale', self.emulated.calls[0].path)


if __name__ == '__main__':
    unittest.main()
