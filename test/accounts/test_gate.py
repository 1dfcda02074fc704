"""Test that decisions rely on accounts as new as their proof."""

import typing
import unittest
from unittest import mock

import structlog

from baobabpond.accounts import decision
from baobabpond.accounts import gate as gate_module
from baobabpond.accounts import lookup
from baobabpond.catalogue import current as current_module
from baobabpond import metrics
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond import verdicts

from . import examples

CALL = callers.Call(
    callers.CallKind.REQUEST, 'request-1', 'h', '/a', None, key=examples.KEY
)
BATCH_CALL = CALL._replace(kind=callers.CallKind.READ_RESULTS, batch='b')
# The key of the call was removed.
LATER = examples.make_configuration(
    lookup.index([lookup.create('kea', ['kea-key-2'], None)]), 2
)


class GateTest(unittest.TestCase):
    """Admit requests while the configuration changes."""

    def setUp(self) -> None:
        """Create a gate in front of a configuration with accounts."""
        self.current = current_module.CurrentConfiguration(
            mock.create_autospec(catalogue.CatalogueDecoder, instance=True)
        )
        self.current.apply_if_newer(examples.make_configuration())
        self.read_staleness: typing.Callable[[], float] = lambda: 0.0
        self.is_public: bool | None = False
        self.metrics = metrics.Metrics()
        self.gate = gate_module.Gate(
            self.current,
            lambda: self.read_staleness(),
            lambda call: self.is_public,
            decision.Limits(2.5, 4.5),
            self.metrics,
        )

    def refusal(self, call: callers.Call) -> verdicts.Refusal:
        """Return the refusal of a call that is expected to have one."""
        found = self.gate.admit(call)
        assert isinstance(found, verdicts.Refusal)
        return found

    def admission(self, call: callers.Call) -> gate_module.Admission:
        """Return the admission of a call that is expected to have one."""
        found = self.gate.admit(call)
        assert isinstance(found, gate_module.Admission)
        return found

    def test_suspended_between_proof_and_accounts(self) -> None:
        """A removal that is read in between is not overlooked.

        With the accounts read before the proof, a process that is suspended
        in between would accept the key however long ago it was removed.
        """

        def read_staleness() -> float:
            self.current.apply_if_newer(LATER)
            return 0.1

        self.read_staleness = read_staleness
        for call in (CALL, BATCH_CALL):
            self.assertEqual('unknown_key', self.refusal(call).code)

    def test_key_is_checked_again_after_the_body(self) -> None:
        """A body may be sent long after the head of its request."""
        admission = self.admission(CALL)
        self.assertIsNone(admission.recheck())
        self.current.apply_if_newer(LATER)
        refusal = admission.recheck()
        assert refusal is not None
        self.assertEqual('unknown_key', refusal.code)

    def test_second_check_only_where_it_is_asked_for(self) -> None:
        """Without strict revocation a request runs once it is admitted."""
        self.gate.set_limits(decision.Limits(2.5))
        admission = self.admission(CALL)
        self.current.apply_if_newer(LATER)
        self.assertIsNone(admission.recheck())

    def test_proof_too_old(self) -> None:
        """Keys are refused for now, also those of batch calls."""
        self.read_staleness = lambda: 4.51
        for call in (CALL, BATCH_CALL):
            self.assertEqual(503, self.refusal(call).status)
        self.assertEqual(
            2, self.metrics.counter('accounts.refused.keys_unconfirmed')
        )

    def test_calls_on_batches_without_a_key(self) -> None:
        """Only batches that were submitted without one can be used so."""
        call = BATCH_CALL._replace(key=None)
        self.assertEqual('no_key', self.refusal(call).code)
        self.is_public = None
        self.assertEqual('log_away', self.refusal(call).code)
        self.is_public = True
        self.assertEqual('', self.admission(call).account)

    def test_unknown_route(self) -> None:
        """Only callers with a key learn that there is none."""
        call = CALL._replace(host='elsewhere')
        self.assertIsNone(self.admission(call).match)
        self.assertEqual('no_key', self.refusal(call._replace(key=None)).code)

    def test_without_accounts_nothing_is_refused(self) -> None:
        """Whatever the age of the configuration is."""
        self.current.apply_if_newer(examples.make_configuration(None, 3))
        self.read_staleness = lambda: 3600.0
        for key in (None, 'x'):
            admission = self.admission(CALL._replace(key=key))
            self.assertIsNone(admission.account)
            self.assertIsNotNone(admission.match)

    def test_refusals_are_logged_without_the_key(self) -> None:
        """The line names the account, if there is one, and both ages."""
        self.read_staleness = lambda: 5.0
        with structlog.testing.capture_logs() as lines:
            self.refusal(CALL)
            self.refusal(CALL._replace(key='odd-key'))
            self.refusal(CALL._replace(key=None))
        self.assertEqual(
            ['kea', 'unknown', 'unknown'], [line['account'] for line in lines]
        )
        self.assertEqual(
            (5.0, 4.5), (lines[0]['staleness_s'], lines[0]['max_staleness_s'])
        )
        self.assertNotIn('-key', str(lines))
