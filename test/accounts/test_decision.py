"""Test which requests are served, and for which account."""

import itertools
import unittest

from baobabpond.accounts import decision
from baobabpond.accounts import lookup
from baobabpond import verdicts

from . import examples

LIMITS = decision.Limits(2.5, 4.5)
LENIENT = decision.Limits(2.5)
PRIVATE = examples.make_route()
PUBLIC = examples.make_route(is_public=True)
UNKNOWN_KEYS = ('', 'kea-key', 'kea-key-1 ', 'KEA-KEY-1', 'x' * 20000, 'é')


class AuthenticateTest(unittest.TestCase):
    """Decide for every combination of key, route and age of the proof."""

    def decide(self, *arguments: object) -> str:
        """Return the account, or the status of the refusal and its code."""
        found = decision.authenticate(*arguments)
        if isinstance(found, verdicts.Refusal):
            self.assertIs(verdicts.Verdict.NOT_RUN, found.verdict)
            self.assertEqual(
                found.status == 503, found.retry_after_s is not None
            )
            return f'{found.status} {found.code}'
        return f'account {found.account!r}'

    def test_table(self) -> None:
        """A refusal for good needs a recent proof, a key one within bounds.

        The columns are ages of the proof: recent, too old to tell that
        something is unknown, too old for keys.
        """
        ages_s = (0.0, 4.0, 4.6)
        unknown = ('401 unknown_key', '503 accounts_stale')
        none = ('401 no_key', '503 accounts_stale', '503 accounts_stale')
        rows = [
            (('kea-key-1', 'kea-key-2'), "account 'kea'"),
            (('tui-key',), "account 'tui'"),
        ]
        for keys, served in rows:
            for key, route in itertools.product(keys, (PRIVATE, PUBLIC, None)):
                expected = (served, served, '503 keys_unconfirmed')
                self.check_row(key, route, ages_s, expected)
        for key, route in itertools.product(
            UNKNOWN_KEYS, (PRIVATE, PUBLIC, None)
        ):
            self.check_row(
                key, route, ages_s, (*unknown, '503 keys_unconfirmed')
            )
        for route in (PRIVATE, None):
            self.check_row(None, route, ages_s, none)
        self.check_row(None, PUBLIC, ages_s, ("account ''",) * 3)

    def check_row(
        self,
        key: str | None,
        route: object,
        ages_s: tuple[float, ...],
        expected: tuple[str, ...],
    ) -> None:
        """Check the decisions on a key at several ages of the proof."""
        for age_s, outcome in zip(ages_s, expected, strict=True):
            with self.subTest(key=key, route=route, age_s=age_s):
                self.assertEqual(
                    outcome,
                    self.decide(key, route, examples.ACCOUNTS, age_s, LIMITS),
                )

    def test_known_keys_of_any_age_without_a_bound(self) -> None:
        """An outage of the log stops no caller unless it is asked for."""
        for age_s in (0.0, 4.6, 3600.0):
            self.assertEqual(
                "account 'kea'",
                self.decide(
                    examples.KEY, PRIVATE, examples.ACCOUNTS, age_s, LENIENT
                ),
            )

    def test_nothing_is_asked_without_accounts(self) -> None:
        """The bound on the age concerns keys, which nobody has."""
        for key, route, age_s in itertools.product(
            (None, 'x'), (PRIVATE, PUBLIC, None), (0.0, 3600.0)
        ):
            self.assertEqual(
                'account None', self.decide(key, route, None, age_s, LIMITS)
            )

    def test_no_account_has_a_key(self) -> None:
        """An empty list of accounts serves public routes only."""
        empty = lookup.index([])
        self.assertEqual(
            '401 unknown_key',
            self.decide(examples.KEY, PUBLIC, empty, 0.0, LIMITS),
        )
        self.assertEqual(
            "account ''", self.decide(None, PUBLIC, empty, 0.0, LIMITS)
        )

    def test_priority_is_that_of_the_account(self) -> None:
        """It is absent for accounts that state none."""
        for key, priority in ((examples.KEY, 3), ('tui-key', None)):
            found = decision.authenticate(
                key, PRIVATE, examples.ACCOUNTS, 0.0, LIMITS
            )
            assert isinstance(found, decision.Authenticated)
            self.assertEqual(priority, found.priority)


class KeyStalenessTest(unittest.TestCase):
    """Derive the age at which keys are refused from the settings."""

    def test_margin(self) -> None:
        """The margin is part of the bound, and short bounds leave some."""
        self.assertEqual(4.5, decision.key_staleness_s(5000, True))
        self.assertEqual(0.75, decision.key_staleness_s(1000, True))
        self.assertIsNone(decision.key_staleness_s(5000, False))


class BatchTest(unittest.TestCase):
    """Tell who may use a batch, and whose its items are."""

    def test_table(self) -> None:
        """Rows are accounts of batches, columns those of callers."""
        callers = (None, '', 'kea', 'tui')
        table = {
            None: (True, False, True, True),
            '': (True, True, True, True),
            'kea': (True, False, True, False),
        }
        for batch, expected in table.items():
            found = tuple(
                decision.may_use_batch(batch, caller) for caller in callers
            )
            self.assertEqual(expected, found, batch)

    def test_items_of_earlier_builds_name_no_account(self) -> None:
        """Their headers might name one otherwise."""
        with_accounts = examples.make_configuration()
        without = examples.make_configuration(None)
        self.assertEqual('', decision.item_account(None, with_accounts))
        self.assertIsNone(decision.item_account(None, without))
        for configuration in (None, with_accounts, without):
            for account in ('', 'kea'):
                self.assertEqual(
                    account, decision.item_account(account, configuration)
                )
