"""Decide whether a caller's request is served, and for which account."""

import typing

from .. import verdicts
from ..ports import catalogue

from . import lookup

RETRY_AFTER_S = 0.3
# Part of the revocation bound that is left between the age of the proof at
# which requests with keys are refused and the bound itself.
REVOCATION_MARGIN_S = 0.5
# Of bounds that are shorter than a few times the margin.
MAX_MARGIN_SHARE = 0.25
MS_PER_S = 1000


class Limits(typing.NamedTuple):
    """Limit the age of the configuration that a decision relies on."""

    # One that was confirmed longer ago may lack keys that are in force.
    unknown_staleness_s: float
    # One that was confirmed longer ago may hold keys that were removed; None
    # if keys of any age are accepted.
    key_staleness_s: float | None = None


class Authenticated(typing.NamedTuple):
    """Name the account that a request is served for."""

    # Empty for a public request without a key, None without accounts.
    account: str | None = None
    # Takes precedence over the route's; None if the account has none.
    priority: int | None = None


def key_staleness_s(revoke_ms: float, is_strict: bool) -> float | None:
    """Return the age of the proof up to which keys are accepted.

    None if removed keys need not be refused within a bound.
    """
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

    The route is None if none matches. The age of the proof must have been
    determined before the accounts were, and after the request was received;
    else a key that was removed in between might be accepted.
    """
    if accounts is None:
        return Authenticated()
    if key is None:
        if route is not None and route.is_public:
            return Authenticated('')
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
    """Refuse for good only by a configuration that was confirmed lately.

    Callers do not retry a 401.
    """
    if staleness_s > limits.unknown_staleness_s:
        return verdicts.unavailable(
            'accounts_stale',
            'the key or the route may have been added since',
            RETRY_AFTER_S,
        )
    return verdicts.bad_request(code, message, 401)


def may_use_batch(batch_account: str | None, account: str | None) -> bool:
    """Return whether an account may use a batch.

    Batches without an account are those of public requests, and of records
    that precede the accounts; the latter need a key, but any one.
    """
    if account is None:
        return True
    if not account:
        return batch_account == ''
    return not batch_account or batch_account == account


def item_account(
    batch_account: str | None, configuration: catalogue.Configuration | None
) -> str | None:
    """Return the account that upstreams are told for an item of a batch.

    Items of records that precede the accounts must not name one themselves.
    """
    if batch_account is not None or configuration is None:
        return batch_account
    return None if configuration.accounts is None else ''
