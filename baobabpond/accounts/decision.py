"""Decide whether a caller's request is served, and for which account."""

import typing

from .. import verdicts
from ..ports import catalogue

from . import lookup

RETRY_AFTER_S = 0.3
# Requests with keys are refused once the staleness of the configuration is
# within this margin of the revocation bound, since clocks may differ in speed.
REVOCATION_MARGIN_S = 0.5
# Largest share of the bound that the margin takes; applies to short bounds.
MAX_MARGIN_SHARE = 0.25
MS_PER_S = 1000


class Limits(typing.NamedTuple):
    """Limit the staleness of the configuration that a decision relies on."""

    # A staler configuration may lack keys that were added.
    unknown_staleness_s: float
    # A staler configuration may hold keys that were removed; None if keys are
    # accepted at any staleness.
    key_staleness_s: float | None = None


class Authenticated(typing.NamedTuple):
    """Name the account that a request is served for."""

    # Empty for a public request without a key, None without accounts.
    account: str | None = None
    # Takes precedence over the route's; None if the account has none.
    priority: int | None = None


def key_staleness_s(revoke_ms: float, is_strict: bool) -> float | None:
    """Return the greatest staleness at which keys are accepted, if any."""
    if not is_strict:
        return None
    bound_s = revoke_ms / MS_PER_S
    return bound_s - min(REVOCATION_MARGIN_S, MAX_MARGIN_SHARE * bound_s)


def authenticate(
    key: str | None,
    route: catalogue.Route | None,
    accounts: catalogue.Accounts | None,
    staleness_s: float,
    limits: Limits,
) -> Authenticated | verdicts.Refusal:
    """Return the account of a request, or why it is refused.

    The staleness must be read after the request was received and before the
    accounts; otherwise a key that was removed in between might be accepted.
    """
    if accounts is None:
        return Authenticated()
    if key is None and route is not None and route.is_public:
        return Authenticated('')
    if key is None:
        return _refuse_unknown(
            'no_key', 'the request has no key', staleness_s, limits
        )
    max_s = limits.key_staleness_s
    if max_s is not None and staleness_s > max_s:
        return verdicts.unavailable(
            'keys_unconfirmed',
            'the key may have been removed since',
            RETRY_AFTER_S,
        )
    account = lookup.find(accounts, key)
    if account is None:
        return _refuse_unknown(
            'unknown_key', 'the key is not known', staleness_s, limits
        )
    return Authenticated(account.name, account.priority)


def _refuse_unknown(
    code: str, message: str, staleness_s: float, limits: Limits
) -> verdicts.Refusal:
    """Refuse with 401 only if the configuration is fresh, else with 503."""
    # Callers do not retry a 401.
    if staleness_s > limits.unknown_staleness_s:
        return verdicts.unavailable(
            'accounts_stale',
            'the key or the route may have been added since',
            RETRY_AFTER_S,
        )
    return verdicts.bad_request(code, message, 401)


def may_use_batch(batch_account: str | None, account: str | None) -> bool:
    """Return whether an account may use a batch."""
    # A batch account of '' is that of a public request. None is that of a
    # record written before there were accounts: any key may use the batch.
    if account is None:
        return True
    if not account:
        return batch_account == ''
    return not batch_account or batch_account == account


def item_account(
    batch_account: str | None, configuration: catalogue.Configuration | None
) -> str | None:
    """Return the account that upstreams are told for an item of a batch."""
    # With '' the headers of an item that was submitted before there were
    # accounts cannot name one.
    if batch_account is not None or configuration is None:
        return batch_account
    return None if configuration.accounts is None else ''
