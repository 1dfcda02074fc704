"""Claim a key in the log, execute the request, record the outcome."""

import base64
import collections.abc
import threading
import time
import typing
import uuid

from returns import result

from .. import answers
from .. import metrics as metrics_module
from .. import verdicts
from ..gen import records as schema
from ..log import shared
from ..log import writer as writer_module

from . import fold as fold_module

RETRY_AFTER_S = 2.0
HOLDER_CHECK_INTERVAL_S = 0.5

Outcome = result.Result[answers.Answer, verdicts.Refusal]
Dispatch = collections.abc.Callable[[], Outcome]
IsLost = collections.abc.Callable[[str, int], bool]


class ClaimedRequest(typing.NamedTuple):
    """Describe a non-idempotent request; the deadline is monotonic time."""

    key: str
    body_digest: str
    deadline: float
    key_retention_s: float
    max_stored_answer_bytes: int


class AbandonedClaim(typing.NamedTuple):
    """Identify a claim whose request timed out before its commit."""

    key: str
    claim_id: str
    pending: writer_module.PendingItem


class ClaimExecutor:
    """Execute each key at most once across all instances."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        log: shared.SharedLog,
        metrics: metrics_module.Metrics,
        is_lost: IsLost,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._log = log
        self._fold = log.state.fold(fold_module.ClaimFold)
        self._metrics = metrics
        self._is_lost = is_lost
        self._abandoned: list[AbandonedClaim] = []
        self._abandoned_lock = threading.Lock()

    def run(self, request: ClaimedRequest, dispatch: Dispatch) -> Outcome:
        """Execute a request under its key, or return the first outcome."""
        while True:
            entry = self._fold.get(request.key)
            if entry is not None:
                outcome = self._resolve_existing_claim(request, entry)
                if outcome is not None:
                    return outcome
                continue
            if not self._log.follower.healthy:
                self._metrics.count('claims.refused_log_down')
                return result.Failure(_log_down())
            claim_id = uuid.uuid4().hex
            refusal = self._claim(request, claim_id)
            if refusal is not None:
                return result.Failure(refusal)
            if self._holds_claim(request.key, claim_id):
                return self._dispatch(request, claim_id, dispatch)

    def release_abandoned(self) -> None:
        """Release the claims committed after their request timed out."""
        with self._abandoned_lock:
            decided = [
                claim
                for claim in self._abandoned
                if self._log.is_settled(claim.pending)
            ]
            for claim in decided:
                self._abandoned.remove(claim)
        for claim in decided:
            if self._holds_claim(claim.key, claim.claim_id):
                self._submit_outcome(
                    claim.key, claim.claim_id, verdicts.Verdict.NOT_RUN
                )

    def _holds_claim(self, key: str, claim_id: str) -> bool:
        entry = self._fold.get(key)
        return entry is not None and entry.claim_id == claim_id

    def _claim(
        self, request: ClaimedRequest, claim_id: str
    ) -> verdicts.Refusal | None:
        item: schema.Claim = {
            'type': 'claim',
            'claim_id': claim_id,
            'key': request.key,
            'holder': self._instance,
            'incarnation': self._incarnation,
            'body_digest': request.body_digest,
            'keep_s': request.key_retention_s,
        }
        started = time.monotonic()
        pending = self._log.writer.submit(item)
        if self._log.wait_settled(pending, request.deadline):
            self._metrics.record('claims.claim', time.monotonic() - started)
            return None
        if not self._log.writer.cancel(pending):
            with self._abandoned_lock:
                self._abandoned.append(
                    AbandonedClaim(request.key, claim_id, pending)
                )
        self._metrics.count('claims.given_up')
        return verdicts.deadline_passed(verdicts.Verdict.NOT_RUN)

    def _dispatch(
        self, request: ClaimedRequest, claim_id: str, dispatch: Dispatch
    ) -> Outcome:
        # The process may have been suspended since it read the claim back.
        if time.monotonic() >= request.deadline:
            self._submit_outcome(
                request.key, claim_id, verdicts.Verdict.NOT_RUN
            )
            return result.Failure(
                verdicts.deadline_passed(verdicts.Verdict.NOT_RUN)
            )
        outcome = dispatch()
        self._metrics.count('claims.dispatched')
        if isinstance(outcome, result.Success):
            answer = outcome.unwrap()
            stored = _encode_answer(answer, request.max_stored_answer_bytes)
            self._submit_outcome(
                request.key, claim_id, verdicts.Verdict.RAN, stored
            )
        else:
            self._submit_outcome(
                request.key, claim_id, outcome.failure().verdict
            )
        return outcome

    def _submit_outcome(
        self,
        key: str,
        claim_id: str,
        verdict: verdicts.Verdict,
        answer: schema.StoredAnswer | None = None,
    ) -> None:
        item: schema.Outcome = {
            'type': 'outcome',
            'key': key,
            'claim_id': claim_id,
            'verdict': verdict.value,
        }
        if answer is not None:
            item['answer'] = answer
        self._log.writer.submit(item)

    def _resolve_existing_claim(
        self, request: ClaimedRequest, entry: fold_module.ClaimEntry
    ) -> Outcome | None:
        """Return the existing claim's outcome, or None to claim again."""
        if entry.body_digest != request.body_digest:
            return result.Failure(_key_reused())
        self._metrics.count('claims.repeated_keys')
        if not entry.has_outcome:
            return self._wait_for_outcome(request, entry)
        assert entry.outcome is not None
        return _replay_outcome(entry.outcome)

    def _wait_for_outcome(
        self, request: ClaimedRequest, entry: fold_module.ClaimEntry
    ) -> Outcome | None:
        def claim_changed() -> bool:
            current = self._fold.get(request.key)
            return (
                current is None
                or current.claim_id != entry.claim_id
                or current.has_outcome
            )

        while not claim_changed():
            if self._is_lost(entry.holder, entry.incarnation):
                return result.Failure(_holder_lost())
            now = time.monotonic()
            if now >= request.deadline:
                return result.Failure(
                    verdicts.deadline_passed(verdicts.Verdict.MAY_HAVE_RUN)
                )
            self._log.state.wait_for(
                claim_changed,
                min(request.deadline, now + HOLDER_CHECK_INTERVAL_S),
            )
        return None


def _encode_answer(
    answer: answers.Answer, max_bytes: int
) -> schema.StoredAnswer | None:
    if len(answer.body) > max_bytes:
        return None
    return {
        'status': answer.status,
        'content_type': answer.content_type,
        'body_base64': base64.b64encode(answer.body).decode(),
    }


def _replay_outcome(outcome: schema.Outcome) -> Outcome:
    if outcome['verdict'] == verdicts.Verdict.MAY_HAVE_RUN.value:
        return result.Failure(
            verdicts.uncertain('earlier_attempt', 'an earlier attempt may run')
        )
    stored = outcome.get('answer')
    if stored is None:
        return result.Failure(
            verdicts.Refusal(
                verdicts.Verdict.RAN,
                409,
                'answer_not_kept',
                'the request ran before; its answer was too large to keep',
            )
        )
    return result.Success(
        answers.Answer(
            stored['status'],
            stored['content_type'],
            base64.b64decode(stored['body_base64']),
            replayed=True,
        )
    )


def _log_down() -> verdicts.Refusal:
    return verdicts.unavailable(
        'log_down',
        'no claim can be made while the log is down',
        RETRY_AFTER_S,
    )


def _key_reused() -> verdicts.Refusal:
    return verdicts.bad_request(
        'key_reused',
        'the key was used with another body',
        status=422,
    )


def _holder_lost() -> verdicts.Refusal:
    return verdicts.uncertain(
        'holder_lost', 'the instance that claimed the key was lost'
    )
