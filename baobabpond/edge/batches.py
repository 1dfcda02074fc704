"""Accept batches, and let trainers read, end and ask for items."""

import base64
import time
import typing

import structlog

from .. import metrics as metrics_module
from .. import verdicts
from ..batches import book as book_module
from ..batches import records
from ..catalogue import current as current_module
from ..ports import callers
from ..ports import log as log_port
from ..store import follower as follower_module

from . import answers
from . import server

TOPIC = 'keyed.batches'
# Answers of results stay below the largest that callers take.
PAGE_BYTES = 900_000
RESULT_OVERHEAD_BYTES = 200
RETRY_AFTER_S = 0.3
# Tries to settle an append whose answer was lost.
SETTLE_TRIES = 3
# Without contact to the log for this long an append is not begun.
LOST_CONTACT_S = 2.5
APPEND_TIMEOUT_S = 0.8
CALL_BYTES = 1_800_000
SETTLED_OUTCOMES = (log_port.Outcome.DONE, log_port.Outcome.REJECTED)

LOG = structlog.get_logger(__name__)


class Shard(typing.NamedTuple):
    """Hold one partition of batches as this instance sees it."""

    partition: int
    book: book_module.Book
    follower: follower_module.Follower


class BatchHandlers:
    """Serve the calls of trainers."""

    def __init__(
        self,
        protocol: callers.CallerProtocol,
        shard: Shard,
        log: log_port.Log,
        current: current_module.CurrentConfiguration,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._protocol = protocol
        self._shard = shard
        self._log = log
        self._current = current
        self._metrics = metrics

    def submit(
        self,
        exchange: server.Exchange,
        call: callers.Call,
        match: current_module.RouteMatch,
    ) -> None:
        """Accept a batch once the log keeps it."""
        arrived = time.monotonic()
        try:
            submission = self._protocol.submission(
                call.request_id, exchange.read_body()
            )
            _check(submission)
        except callers.BadRequest as error:
            answers.send_refusal(
                exchange,
                verdicts.bad_request('bad_batch', str(error), error.status),
            )
            return
        refusal = self._accept(call, submission, match)
        took_s = time.monotonic() - arrived
        self._metrics.record('batches.accept', took_s)
        LOG.info(
            'batch submitted',
            request=call.request_id,
            route=match.route.name,
            model=submission.model,
            step=submission.step,
            items=len(submission.items),
            outcome=refusal.code if refusal else 'accepted',
            took_s=round(took_s, 3),
            log_contact_age_s=round(self._shard.follower.contact_age_s, 3),
        )
        if refusal is not None:
            answers.send_refusal(exchange, refusal)
        else:
            answers.send_json(exchange, 202, b'{}')

    def read_results(
        self, exchange: server.Exchange, call: callers.Call
    ) -> None:
        """Answer with the results from a position on."""
        batch = self._find(exchange, call)
        if batch is None:
            return
        results = self._shard.book.wait_results(
            batch, call.position, call.wait_s
        )
        page = callers.ResultPage(
            len(batch.items), call.position, _fitting(results)
        )
        if page.results:
            LOG.info(
                'results read',
                batch=call.batch,
                position=call.position,
                count=len(page.results),
                items=len(batch.items),
            )
        answers.send_json(exchange, 200, self._protocol.result_page(page))

    def read_item(self, exchange: server.Exchange, call: callers.Call) -> None:
        """Answer with an item's body."""
        batch = self._find(exchange, call)
        if batch is None:
            return
        item = batch.item(call.item)
        if item is None:
            _not_found(exchange, 'unknown_item')
            return
        exchange.answer(
            200,
            'OK',
            [('Content-Type', 'application/octet-stream')],
            base64.b64decode(item.body),
        )

    def end(self, exchange: server.Exchange, call: callers.Call) -> None:
        """End a batch once the log says so."""
        batch = self._find(exchange, call)
        if batch is None:
            return
        refusal = None
        if not batch.ended:
            refusal = self._keep([records.encode_end(call.batch)])
        LOG.info(
            'batch ended by its trainer',
            batch=call.batch,
            results=len(batch.results),
            items=len(batch.items),
            outcome=refusal.code if refusal else 'ended',
        )
        if refusal is not None:
            answers.send_refusal(exchange, refusal)
        else:
            answers.send_json(exchange, 200, b'{}')

    def _accept(
        self,
        call: callers.Call,
        submission: callers.Submission,
        match: current_module.RouteMatch,
    ) -> verdicts.Refusal | None:
        if self._shard.book.get(submission.id) is not None:
            return None
        newest = self._current.versions.get(submission.model, 1)
        head = records.BatchHead(
            submission.id,
            call.host,
            match.route.name,
            time.time(),
            submission.step,
            submission.model,
            submission.min_version,
            submission.group_count,
            newest,
        )
        return self._keep(records.encode_batch(head, submission.items))

    def _keep(self, new: list[log_port.Record]) -> verdicts.Refusal | None:
        """Append records, settling a lost answer by repeating.

        A repeat is harmless: the records have the same keys and contents.
        """
        if self._shard.follower.contact_age_s > LOST_CONTACT_S:
            return verdicts.unavailable(
                'log_away', 'the log is out of reach', RETRY_AFTER_S
            )
        for records_of_call in _split(new):
            outcome = self._append(records_of_call)
            if outcome is log_port.Outcome.REJECTED:
                return verdicts.bad_request(
                    'too_large', 'an item is larger than the log takes', 413
                )
            if outcome is log_port.Outcome.UNKNOWN:
                return verdicts.uncertain(
                    'log_silent', 'the log has not confirmed the batch'
                )
            if outcome is not log_port.Outcome.DONE:
                # A batch of which parts are missing is none.
                return verdicts.unavailable(
                    'log_refused', 'the log refused the batch', RETRY_AFTER_S
                )
        return None

    def _append(self, new: list[log_port.Record]) -> log_port.Outcome:
        unknown = False
        for _ in range(SETTLE_TRIES):
            answer = self._log.append(
                TOPIC, self._shard.partition, new, timeout_s=APPEND_TIMEOUT_S
            )
            if answer.outcome in SETTLED_OUTCOMES:
                return answer.outcome
            LOG.warning(
                'append of a batch failed',
                outcome=answer.outcome.value,
                detail=answer.detail,
            )
            unknown |= answer.outcome is log_port.Outcome.UNKNOWN
        # An earlier try may still take effect.
        return (
            log_port.Outcome.UNKNOWN if unknown else log_port.Outcome.REFUSED
        )

    def _find(
        self, exchange: server.Exchange, call: callers.Call
    ) -> book_module.Batch | None:
        """Return a batch, or answer that there is none, if that is sure."""
        batch = self._shard.book.get(call.batch)
        if batch is not None:
            return batch
        if self._is_current():
            batch = self._shard.book.get(call.batch)
            if batch is None:
                LOG.info('unknown batch', batch=call.batch)
                _not_found(exchange, 'unknown_batch')
            return batch
        answers.send_refusal(
            exchange,
            verdicts.unavailable(
                'log_away', 'the log is out of reach', RETRY_AFTER_S
            ),
        )
        return None

    def _is_current(self) -> bool:
        follower = self._shard.follower
        if not follower.has_caught_up:
            return False
        try:
            follower.catch_up()
        except log_port.LogError as error:
            LOG.info('the log cannot be read', error=str(error))
            return False
        return True


def _check(submission: callers.Submission) -> None:
    """Raise BadRequest for a batch that no instance could run."""
    if not submission.id or '/' in submission.id:
        raise callers.BadRequest('the batch has no usable id')
    if not submission.items:
        raise callers.BadRequest('the batch has no items')
    if len({item.id for item in submission.items}) < len(submission.items):
        raise callers.BadRequest('two items have one id')
    if any(not item.id or '/' in item.id for item in submission.items):
        raise callers.BadRequest('an item has no usable id')


def _split(new: list[log_port.Record]) -> list[list[log_port.Record]]:
    calls: list[list[log_port.Record]] = [[]]
    size = 0
    for record in new:
        if calls[-1] and size + len(record.value) > CALL_BYTES:
            calls.append([])
            size = 0
        calls[-1].append(record)
        size += len(record.value)
    return calls


def _fitting(results: list[callers.Result]) -> list[callers.Result]:
    size = 0
    for number, result in enumerate(results):
        size += len(result.output) + RESULT_OVERHEAD_BYTES
        if number and size > PAGE_BYTES:
            return results[:number]
    return results


def _not_found(exchange: server.Exchange, code: str) -> None:
    answers.send_refusal(
        exchange, verdicts.bad_request(code, code.replace('_', ' '), 404)
    )
