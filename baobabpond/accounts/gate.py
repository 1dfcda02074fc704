"""Authenticate the requests that an instance receives."""

import typing

import structlog

from .. import metrics as metrics_module
from .. import verdicts
from ..catalogue import current as current_module
from ..ports import callers
from ..ports import catalogue

from . import decision
from . import lookup

UNKNOWN = 'unknown'

# Returns whether the batch of a call was submitted without a key; None if that
# can't be determined now.
PublicBatchCheck = typing.Callable[[callers.Call], bool | None]

LOG = structlog.get_logger(__name__)


class Admission(typing.NamedTuple):
    """Hold what is known of a request before its body is read."""

    authenticated: decision.Authenticated = decision.Authenticated()
    # None if no route matches, or the request concerns a batch.
    match: current_module.RouteMatch | None = None
    # Authenticates again once the body has been received, which may be long
    # after the head; returns the refusal, if any.
    recheck: typing.Callable[[], verdicts.Refusal | None] = lambda: None

    @property
    def account(self) -> str | None:
        """Return the name of the account, empty or None without one."""
        return self.authenticated.account


WITHOUT_ACCOUNTS = Admission()


class Gate:
    """Match requests with routes and accounts of one configuration."""

    def __init__(
        self,
        current: current_module.CurrentConfiguration,
        staleness_s: typing.Callable[[], float],
        is_public_batch: PublicBatchCheck,
        limits: decision.Limits,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._current = current
        self._staleness_s = staleness_s
        self._is_public_batch = is_public_batch
        self._metrics = metrics
        self.set_limits(limits)

    def set_limits(self, limits: decision.Limits) -> None:
        """Set how old the configuration may be."""
        self._limits = limits
        if limits.key_staleness_s is not None:
            self._metrics.gauge(
                'accounts.max_staleness_s', limits.key_staleness_s
            )

    def admit(self, call: callers.Call) -> Admission | verdicts.Refusal:
        """Authenticate a request whose head has been received."""
        # Read before the accounts, so that these are at least as new as the
        # staleness says. The process may be suspended between any two lines.
        staleness_s = self._staleness_s()
        match = None
        if call.kind is callers.CallKind.REQUEST:
            match = self._current.match(call.host, call.path)
        configuration = (
            self._current.configuration
            if match is None
            else match.configuration
        )
        accounts = configuration and configuration.accounts
        if accounts is None:
            return Admission(match=match)
        found = decision.authenticate(
            call.key,
            None if match is None else match.route,
            accounts,
            staleness_s,
            self._limits,
        )
        if call.key is None and call.kind is not callers.CallKind.REQUEST:
            found = self._admit_to_batch(call, found)
        self._metrics.record('accounts.staleness', staleness_s)
        if isinstance(found, verdicts.Refusal):
            self._report_refusal(call, accounts, staleness_s, found)
            return found
        return Admission(found, match, lambda: self._recheck(call))

    def _report_refusal(
        self,
        call: callers.Call,
        accounts: catalogue.Accounts,
        staleness_s: float,
        refusal: verdicts.Refusal,
    ) -> None:
        """Count and log a refusal, with the name of the account if known."""
        account = call.key and lookup.find(accounts, call.key)
        self._metrics.count(f'accounts.refused.{refusal.code}')
        LOG.info(
            'request not authenticated',
            request=call.request_id,
            batch=call.batch,
            path=call.path,
            account=account.name if account else UNKNOWN,
            staleness_s=round(staleness_s, 3),
            max_staleness_s=self._limits.key_staleness_s,
            outcome=refusal.code,
        )

    def _admit_to_batch(
        self,
        call: callers.Call,
        found: decision.Authenticated | verdicts.Refusal,
    ) -> decision.Authenticated | verdicts.Refusal:
        """Admit a call without a key if its batch was submitted so."""
        is_public = self._is_public_batch(call)
        if is_public is None:
            return verdicts.unavailable(
                'log_away', 'the log is out of reach', decision.RETRY_AFTER_S
            )
        return decision.Authenticated('') if is_public else found

    def _recheck(self, call: callers.Call) -> verdicts.Refusal | None:
        """Refuse a request if its key was removed while its body arrived."""
        if call.key is None or self._limits.key_staleness_s is None:
            return None
        found = self.admit(call)
        return found if isinstance(found, verdicts.Refusal) else None
