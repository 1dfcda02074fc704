"""Handle trainers' requests: submit, read and end batches."""

import base64
import json
import threading
import time
import typing

import structlog

from .. import clock
from .. import metrics as metrics_module
from .. import verdicts
from ..accounts import decision
from ..accounts import gate as gate_module
from ..batches import records
from ..batches import shard_state as state_module
from ..catalogue import current as current_module
from ..ports import callers
from ..ports import catalogue
from ..ports import log as log_port
from ..store import follower as follower_module

from . import batch_limits
from . import client_limits
from . import http_exchange
from . import responses

TOPIC = 'keyed.batches'
# Below the largest result page that callers accept.
MAX_PAGE_BYTES = 900_000
# Of a result in a page, besides its output.
RESULT_OVERHEAD_BYTES = 200
RETRY_AFTER_S = 0.3
# Attempts at an append whose outcome is not final.
APPEND_ATTEMPTS = 3
# Appends are refused if the last contact with the log is older than this.
MAX_LOG_CONTACT_AGE_S = 2.5
APPEND_TIMEOUT_S = 0.8
# Time from a request on in which the copy must be confirmed: two long polls of
# the follower and their responses.
MAX_CONFIRMATION_S = 1.2
MAX_APPEND_BYTES = 1_800_000
FINAL_OUTCOMES = (
    log_port.AppendOutcome.DONE,
    log_port.AppendOutcome.REJECTED,
)

LOG = structlog.get_logger(__name__)


class Shard(typing.NamedTuple):
    """One partition of the batches topic and this instance's copy of it."""

    partition: int
    shard_state: state_module.ShardState
    follower: follower_module.Follower


class BatchHandlers:
    """Handle the requests of trainers."""

    def __init__(
        self,
        protocol: callers.CallerProtocol,
        shard: Shard,
        log: log_port.Log,
        current: current_module.CurrentConfiguration,
        metrics: metrics_module.Metrics,
        any_contact_age_s: typing.Callable[[], float] | None = None,
        limits: client_limits.ClientLimits = client_limits.DEFAULTS,
    ) -> None:
        self._limits = limits
        self._long_polls = threading.BoundedSemaphore(
            max(1, int(limits.threads * limits.long_poll_share))
        )
        self._excesses = client_limits.Excesses(metrics)
        # Seconds since any partition was read; the shard's alone by default.
        self._any_contact_age_s = any_contact_age_s or (
            lambda: shard.follower.contact_age_s
        )
        self._protocol = protocol
        self._shard = shard
        self._log = log
        self._current = current
        self._metrics = metrics

    @property
    def _contact_age_s(self) -> float:
        """Return the seconds since the log was last known to be reachable."""
        # A copy that is still being loaded does not tell. Batches are accepted
        # meanwhile: one that is known already is written with equal records.
        follower = self._shard.follower
        if follower.has_caught_up:
            return follower.contact_age_s
        return self._any_contact_age_s()

    def submit(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        match: current_module.RouteMatch,
        admission: gate_module.Admission = gate_module.WITHOUT_ACCOUNTS,
    ) -> None:
        """Accept a batch; respond once its records are on the log."""
        received_at = time.monotonic()
        try:
            submission = self._decode(exchange, call)
        except callers.BadRequest as error:
            responses.send_refusal(
                exchange,
                verdicts.bad_request('bad_batch', str(error), error.status),
            )
            return
        refusal = admission.recheck()
        if refusal is None:
            refusal = self._accept(call, submission, match, admission.account)
        self._report_submission(
            call,
            submission,
            match.route.name,
            admission.account,
            refusal,
            time.monotonic() - received_at,
        )
        if refusal is not None:
            responses.send_refusal(exchange, refusal)
        else:
            responses.send_json(exchange, 202, b'{}')

    def _report_submission(
        self,
        call: callers.Call,
        submission: callers.Submission,
        route: str,
        account: str | None,
        refusal: verdicts.Refusal | None,
        took_s: float,
    ) -> None:
        """Measure and log the submission of a batch."""
        self._metrics.record('batches.accept', took_s)
        LOG.info(
            'batch submitted',
            request=call.request_id,
            route=route,
            account=account,
            model=submission.model,
            step=submission.step,
            items=len(submission.items),
            outcome=refusal.code if refusal else 'accepted',
            took_s=round(took_s, 3),
            log_contact_age_s=round(self._shard.follower.contact_age_s, 3),
        )

    def _decode(
        self, exchange: http_exchange.Exchange, call: callers.Call
    ) -> callers.Submission:
        """Return the batch of a request; raise BadRequest."""
        try:
            body = exchange.read_body()
            size = batch_limits.decoding_bytes(body, self._limits)
            try:
                exchange.hold(size)
            except http_exchange.BodyMemoryFull:
                self._excesses.report('batch_decoding', exchange.address)
                raise
            submission = self._protocol.submission(call.request_id, body)
            batch_limits.validate(submission, self._limits)
        except batch_limits.BatchLimitExceeded as error:
            self._excesses.report(error.limit, exchange.address)
            raise
        _validate(submission)
        return submission

    def read_results(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        admission: gate_module.Admission = gate_module.WITHOUT_ACCOUNTS,
    ) -> None:
        """Send the results from a position on, waiting for the first one."""
        asked_boot_s = clock.since_boot_s()
        batch = self._find_or_refuse(exchange, call, admission.account)
        if batch is None:
            return
        if not self._long_polls.acquire(blocking=False):
            self._excesses.report('long_polls', exchange.address)
            responses.send_refusal(exchange, _too_many_long_polls())
            return
        try:
            results, is_complete = self._wait_results(
                call, batch, asked_boot_s
            )
        finally:
            self._long_polls.release()
        if not is_complete:
            self._refuse_stale_read(exchange, batch, call.position)
            return
        page = callers.ResultPage(
            len(batch.items), call.position, _first_page(results)
        )
        self._record_read(batch, page)
        responses.send_json(exchange, 200, self._protocol.result_page(page))

    def _wait_results(
        self,
        call: callers.Call,
        batch: state_module.Batch,
        asked_boot_s: float,
    ) -> tuple[list[callers.Result], bool]:
        """Return the results from a position on, and whether none lacks."""
        state = self._shard.shard_state
        results = state.wait_results(batch, call.position, call.wait_s)
        if not results and not batch.has_all_results:
            # Another instance may have sent results that this copy lacks.
            is_complete = self._is_copy_complete(asked_boot_s)
            results = state.wait_results(batch, call.position, 0.0)
            return results, bool(results) or is_complete
        return results, True

    def is_public(self, call: callers.Call) -> bool | None:
        """Return whether a batch is public; None if the copy may lack it."""
        batch = self._shard.shard_state.get(call.batch)
        if batch is None and self._has_public_submissions:
            if not self._is_copy_complete(clock.since_boot_s()):
                return None
            batch = self._shard.shard_state.get(call.batch)
        return batch is not None and batch.head.account == ''

    @property
    def _has_public_submissions(self) -> bool:
        configuration = self._current.configuration
        return configuration is not None and any(
            route.is_public and route.kind is catalogue.RouteKind.ROLLOUT
            for route in configuration.routes
        )

    def _is_copy_complete(self, asked_boot_s: float) -> bool:
        """Wait until the copy has all that the log had at a time."""
        follower = self._shard.follower
        remaining_s = asked_boot_s + MAX_CONFIRMATION_S - clock.since_boot_s()
        if not follower.is_in_contact:
            # Waiting is pointless while the log is known to be out of reach.
            remaining_s = 0.0
        return follower.wait_complete(asked_boot_s, max(0.0, remaining_s))

    def _refuse_stale_read(
        self,
        exchange: http_exchange.Exchange,
        batch: state_module.Batch,
        position: int,
    ) -> None:
        self._metrics.count('batches.stale_reads_refused')
        LOG.info(
            'results not sent: the copy of the log may be stale',
            batch=batch.head.id,
            position=position,
            known=len(batch.results),
            staleness_s=round(self._shard.follower.staleness_s, 3),
        )
        responses.send_refusal(exchange, _log_unreachable())

    def _record_read(
        self, batch: state_module.Batch, page: callers.ResultPage
    ) -> None:
        staleness_s = self._shard.follower.staleness_s
        self._metrics.record('batches.read_staleness', staleness_s)
        LOG.info(
            'results read',
            batch=batch.head.id,
            position=page.position,
            count=len(page.results),
            known=len(batch.results),
            items=len(batch.items),
            staleness_s=round(staleness_s, 3),
        )

    def read_item(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        admission: gate_module.Admission = gate_module.WITHOUT_ACCOUNTS,
    ) -> None:
        """Send the body of an item as it was submitted."""
        batch = self._find_or_refuse(exchange, call, admission.account)
        if batch is None:
            return
        item = batch.item(call.item)
        if item is None:
            _not_found(exchange, 'unknown_item')
            return
        exchange.send_response(
            200,
            'OK',
            [('Content-Type', 'application/octet-stream')],
            base64.b64decode(item.body),
        )

    def end(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        admission: gate_module.Admission = gate_module.WITHOUT_ACCOUNTS,
    ) -> None:
        """End a batch; respond once the end record is on the log."""
        batch = self._find_or_refuse(exchange, call, admission.account)
        if batch is None:
            return
        refusal = None
        if not batch.ended:
            refusal = self._append_all([records.encode_end(call.batch)])
        LOG.info(
            'batch ended by its trainer',
            batch=call.batch,
            results=len(batch.results),
            items=len(batch.items),
            outcome=refusal.code if refusal else 'ended',
        )
        if refusal is not None:
            responses.send_refusal(exchange, refusal)
        else:
            responses.send_json(exchange, 200, b'{}')

    def _accept(
        self,
        call: callers.Call,
        submission: callers.Submission,
        match: current_module.RouteMatch,
        account: str | None,
    ) -> verdicts.Refusal | None:
        known = self._shard.shard_state.get(submission.id)
        if known is not None:
            if decision.may_use_batch(known.head.account, account):
                return None
            _report_foreign_batch(submission.id, known.head.account, account)
            return _unknown('unknown_batch')
        if account is not None and not self._shard.follower.has_caught_up:
            # The id may be that of another account's batch.
            return _log_unreachable()
        head = self._make_head(call, submission, match.route.name, account)
        items = submission.items
        if account is not None:
            items = tuple(self._without_credentials(item) for item in items)
        return self._append_all(records.encode_batch(head, items))

    def _make_head(
        self,
        call: callers.Call,
        submission: callers.Submission,
        route: str,
        account: str | None,
    ) -> records.BatchHead:
        return records.BatchHead(
            submission.id,
            call.host,
            route,
            time.time(),
            submission.step,
            submission.model,
            submission.min_version,
            submission.group_count,
            self._current.versions.get(submission.model, 1),
            account,
        )

    def _without_credentials(self, item: callers.Item) -> callers.Item:
        """Return an item without the headers that may contain keys."""
        # Neither the log nor the owner of the shard needs a key.
        dropped = self._protocol.credential_headers
        return item._replace(
            headers=tuple(
                (name, value)
                for name, value in item.headers
                if name.lower() not in dropped
            )
        )

    def _append_all(
        self, new: list[log_port.Record]
    ) -> verdicts.Refusal | None:
        """Append records, retrying if the outcome of an append is unknown."""
        # A retry is idempotent: the records have the same keys and contents.
        if self._contact_age_s > MAX_LOG_CONTACT_AGE_S:
            return _log_unreachable()
        for chunk in _split_appends(new):
            outcome = self._append_with_retries(chunk)
            if outcome is log_port.AppendOutcome.REJECTED:
                return verdicts.bad_request(
                    'too_large',
                    'an item is larger than the log takes',
                    413,
                )
            if outcome is log_port.AppendOutcome.UNKNOWN:
                return verdicts.uncertain(
                    'log_silent', 'the log has not confirmed the batch'
                )
            if outcome is not log_port.AppendOutcome.DONE:
                # An incomplete batch is never run: it needs all of its parts.
                return verdicts.unavailable(
                    'log_refused', 'the log refused the batch', RETRY_AFTER_S
                )
        return None

    def _append_with_retries(
        self, new: list[log_port.Record]
    ) -> log_port.AppendOutcome:
        unknown = False
        for _ in range(APPEND_ATTEMPTS):
            result = self._log.append(
                TOPIC, self._shard.partition, new, timeout_s=APPEND_TIMEOUT_S
            )
            if result.outcome in FINAL_OUTCOMES:
                return result.outcome
            LOG.warning(
                'append to the batches topic failed',
                outcome=result.outcome.value,
                detail=result.detail,
            )
            unknown |= result.outcome is log_port.AppendOutcome.UNKNOWN
        # An attempt with unknown outcome may still take effect.
        return (
            log_port.AppendOutcome.UNKNOWN
            if unknown
            else log_port.AppendOutcome.REFUSED
        )

    def _find_or_refuse(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        account: str | None,
    ) -> state_module.Batch | None:
        """Return a batch of an account, or send a refusal and return None."""
        found = self._find(call.batch, account)
        if isinstance(found, verdicts.Refusal):
            responses.send_refusal(exchange, found)
            return None
        return found

    def _find(
        self, batch_id: str, account: str | None
    ) -> state_module.Batch | verdicts.Refusal:
        """Return a batch of an account, or why it can't be used."""
        if self._shard.follower.has_missed_records:
            # Later results would have other positions here than elsewhere.
            LOG.error('batches not served: records are missing here')
            return verdicts.unavailable(
                'copy_incomplete',
                'this instance lacks records; use another one',
                RETRY_AFTER_S,
            )
        batch = self._shard.shard_state.get(batch_id)
        if batch is None:
            # Only a copy that is complete shows that a batch is unknown.
            if not self._is_copy_complete(clock.since_boot_s()):
                return _log_unreachable()
            batch = self._shard.shard_state.get(batch_id)
        if batch is None:
            LOG.info('unknown batch', batch=batch_id)
        elif decision.may_use_batch(batch.head.account, account):
            return batch
        else:
            _report_foreign_batch(batch_id, batch.head.account, account)
        return _unknown('unknown_batch')


def _validate(submission: callers.Submission) -> None:
    """Raise BadRequest for a batch without items or with invalid ids."""
    if not submission.id or '/' in submission.id:
        raise callers.BadRequest('the batch has no usable id')
    if not submission.items:
        raise callers.BadRequest('the batch has no items')
    if len({item.id for item in submission.items}) < len(submission.items):
        raise callers.BadRequest('two items have one id')
    if any(not item.id or '/' in item.id for item in submission.items):
        raise callers.BadRequest('an item has no usable id')


def _split_appends(new: list[log_port.Record]) -> list[list[log_port.Record]]:
    appends: list[list[log_port.Record]] = [[]]
    size = 0
    for record in new:
        if appends[-1] and size + len(record.value) > MAX_APPEND_BYTES:
            appends.append([])
            size = 0
        appends[-1].append(record)
        size += len(record.value)
    return appends


def _first_page(results: list[callers.Result]) -> list[callers.Result]:
    size = 0
    for number, result in enumerate(results):
        size += len(json.dumps(result.output)) + RESULT_OVERHEAD_BYTES
        if number and size > MAX_PAGE_BYTES:
            return results[:number]
    return results


def _log_unreachable() -> verdicts.Refusal:
    return verdicts.unavailable(
        'log_away', 'the log is out of reach', RETRY_AFTER_S
    )


def _too_many_long_polls() -> verdicts.Refusal:
    return verdicts.unavailable(
        'long_polls', 'too many reads wait for results', RETRY_AFTER_S
    )


def _not_found(exchange: http_exchange.Exchange, code: str) -> None:
    responses.send_refusal(exchange, _unknown(code))


def _unknown(code: str) -> verdicts.Refusal:
    return verdicts.bad_request(code, code.replace('_', ' '), 404)


def _report_foreign_batch(
    batch: str, owner: str | None, account: str | None
) -> None:
    LOG.info(
        'batch of another account',
        batch=batch,
        submitted_by=owner,
        account=account,
        outcome='unknown_batch',
    )
