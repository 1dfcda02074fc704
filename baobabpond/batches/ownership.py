"""Hold a shard by records on its partition, fenced by epoch."""

import random
import threading
import time
import typing
import uuid

import structlog

from .. import clock
from .. import metrics as metrics_module
from ..ports import log as log_port
from ..store import adaptive_timeout
from ..store import follower as follower_module

from . import book as book_module
from . import records

PRODUCER = 'owner'
HEARTBEAT_S = 0.25
# Silence of an owner after which another instance takes its place.
TAKEOVER_S = 1.2
# An owner trusts its place for this long after a confirmed record was sent.
TRUST_S = 0.9
RETRY_S = 0.1
# Leaves time for a second way before the others take over.
APPEND_TIMEOUT_S = 0.4
MOST_APPEND_TIMEOUT_S = 1.6
CHECK_S = 0.1
FENCE_TRIES = 3
# Spreads the claims of several instances.
CLAIM_SPREAD_S = 0.15
# After a release the instance that started last claims first: during a
# rolling restart it is the one that stays.
RELEASE_DELAY_S = 0.3
HALF_DELAY_UPTIME_S = 20.0

# The place is lost, or can't be held.
LOST_OUTCOMES = (
    log_port.Outcome.FENCED,
    log_port.Outcome.OUT_OF_SEQUENCE,
    log_port.Outcome.REJECTED,
)

LOG = structlog.get_logger(__name__)


class Tenure(typing.NamedTuple):
    """Describe one instance's hold on a shard."""

    epoch: int


class Owned(typing.Protocol):
    """Do an owner's work."""

    def begin(self, tenure: Tenure) -> None:
        """Start the work of a tenure."""
        ...

    def cease(self) -> None:
        """End the work; nothing of it may reach an upstream afterwards."""
        ...

    @property
    def has_more(self) -> bool:
        """Tell whether records wait for a further append."""
        ...

    def outbox(self, wait_s: float) -> list[log_port.Record]:
        """Return the records to append, waiting for some."""
        ...


class Ownership:
    """Claim a shard when it has no owner, and keep it by heartbeats."""

    def __init__(
        self,
        instance: str,
        log: log_port.Log,
        topic: str,
        partition: int,
        book: book_module.Book,
        follower: follower_module.Follower,
        owned: Owned,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._log = log
        self._topic = topic
        self._partition = partition
        self._book = book
        self._follower = follower
        self._owned = owned
        self._metrics = metrics
        self._started = time.monotonic()
        self._incarnation = uuid.uuid4().hex[:8]
        self._rng = random.Random()
        self._tenure: Tenure | None = None
        self._sequence = 0
        self._patience = adaptive_timeout.AdaptiveTimeout(
            APPEND_TIMEOUT_S, MOST_APPEND_TIMEOUT_S
        )
        self._confirmed_boot_s = float('-inf')
        self._may_claim = threading.Event()
        self._releasing = threading.Event()
        self._released = threading.Event()

    @property
    def tenure(self) -> Tenure | None:
        """Return the present hold on the shard, None if another has it."""
        return self._tenure

    @property
    def is_trusted(self) -> bool:
        """Tell whether no other instance can own the shard now."""
        age_s = clock.boot_s() - self._confirmed_boot_s
        return self._tenure is not None and age_s < TRUST_S

    def start(self) -> None:
        """Claim and hold in a task of its own."""
        threading.Thread(target=self._run, name='owner', daemon=True).start()

    def allow_claims(self) -> None:
        """Let the instance take the shard."""
        self._may_claim.set()

    def release(self, timeout_s: float) -> None:
        """Give the shard up and wait until the log says so."""
        self._may_claim.clear()
        self._releasing.set()
        self._released.wait(timeout_s)

    def _run(self) -> None:
        while not self._releasing.is_set():
            if not self._may_claim.wait(CHECK_S):
                continue
            if self._is_vacant():
                self._claim()
            if self._tenure is not None:
                self._hold_safely()
            else:
                self._book.wait_change(self._book.revision, CHECK_S)
        self._released.set()

    def _is_vacant(self) -> bool:
        if not self._follower.has_caught_up:
            return False
        owner = self._book.owner
        if owner is None:
            return True
        if self._was_own(owner.record):
            # The former process of this instance is dead.
            return True
        if owner.record.released:
            return self._silence_s(owner) > self._release_delay_s()
        wait_s = TAKEOVER_S + self._rng.uniform(0, CLAIM_SPREAD_S)
        return (
            self._silence_s(owner) > wait_s
            and self._follower.contact_duration_s > wait_s
        )

    def _is_silent(self, owner: book_module.OwnerView | None) -> bool:
        """Tell whether the log is known to hold nothing new of an owner."""
        if owner is None or owner.record.released:
            return True
        if self._was_own(owner.record):
            return True
        return self._follower.silence_s(owner.seen_at) > TAKEOVER_S

    def _was_own(self, record: records.OwnerRecord) -> bool:
        return (
            record.instance == self._instance
            and record.incarnation != self._incarnation
        )

    def _silence_s(self, owner: book_module.OwnerView) -> float:
        return time.monotonic() - owner.seen_at

    def _release_delay_s(self) -> float:
        uptime_s = time.monotonic() - self._started
        return RELEASE_DELAY_S * uptime_s / (uptime_s + HALF_DELAY_UPTIME_S)

    def _claim(self) -> None:
        """Append a claim that only one instance can win, then fence."""
        before = self._book.owner
        end = self._catch_up()
        if end is None or self._book.owner is not before:
            return
        # An owner that could not reach the log may be back with it.
        if not self._is_silent(before):
            return
        sent_boot_s = clock.boot_s()
        owner = records.OwnerRecord(
            self._instance, self._incarnation, end + 1, False
        )
        answer = self._log.append(
            self._topic,
            self._partition,
            [records.encode_owner(owner)],
            expected_end=end,
        )
        self._metrics.count(f'ownership.claims.{answer.outcome.value}')
        LOG.info(
            'claimed the shard',
            partition=self._partition,
            offset=end,
            outcome=answer.outcome.value,
            former=before.record.instance if before else None,
            former_silence_s=self._silence_s(before) if before else None,
        )
        if answer.outcome is not log_port.Outcome.DONE:
            time.sleep(self._rng.uniform(0, CLAIM_SPREAD_S))
            return
        # Offsets only grow, so no epoch is used twice.
        if self._fence(answer.offset + 1):
            self._begin(answer.offset + 1, sent_boot_s)

    def _fence(self, epoch: int) -> bool:
        """Shut the former owner out and read all that it appended."""
        for _ in range(FENCE_TRIES):
            answer = self._log.append(
                self._topic,
                self._partition,
                [],
                fence=log_port.Fence(PRODUCER, epoch, 0),
            )
            if answer.outcome is log_port.Outcome.DONE:
                return self._catch_up() is not None
            if answer.outcome is log_port.Outcome.FENCED:
                break
        LOG.warning(
            'the claim came to nothing',
            epoch=epoch,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        return False

    def _catch_up(self) -> int | None:
        try:
            return self._follower.catch_up()
        except log_port.LogError as error:
            LOG.info('claim put off: the log cannot be read', error=str(error))
            time.sleep(RETRY_S)
            return None

    def _begin(self, epoch: int, sent_boot_s: float) -> None:
        self._confirmed_boot_s = sent_boot_s
        # The empty append that fenced the former owner had the first one.
        self._sequence = 1
        self._tenure = Tenure(epoch)
        self._owned.begin(self._tenure)

    def _hold_safely(self) -> None:
        try:
            self._hold()
        except Exception:
            # Without heartbeats another instance takes over; this one must
            # not go on.
            LOG.exception('the shard could not be held')
            self._owned.cease()
            self._tenure = None

    def _hold(self) -> None:
        """Append what the work gives and heartbeats, until the place is lost.

        One append is in flight at a time, so the sequence settles a lost
        answer.
        """
        pending: list[log_port.Record] = []
        is_last = False
        while True:
            releasing = self._releasing.is_set()
            if releasing:
                self._owned.cease()
            if not pending:
                is_last = releasing and not self._owned.has_more
                pending = self._next_records(is_last)
            outcome = self._append(pending)
            if outcome is log_port.Outcome.DONE:
                pending = []
                if is_last:
                    break
            elif outcome in LOST_OUTCOMES:
                self._owned.cease()
                break
            else:
                time.sleep(RETRY_S)
        LOG.info(
            'the shard is given up' if releasing else 'the shard was lost',
            partition=self._partition,
            epoch=self._tenure.epoch if self._tenure else None,
        )
        self._tenure = None

    def _next_records(self, is_last: bool) -> list[log_port.Record]:
        wait_s = 0.0 if self._releasing.is_set() else HEARTBEAT_S
        new = self._owned.outbox(wait_s)
        tenure = typing.cast(Tenure, self._tenure)
        owner = records.OwnerRecord(
            self._instance, self._incarnation, tenure.epoch, is_last
        )
        return [*new, records.encode_owner(owner)]

    def _append(self, pending: list[log_port.Record]) -> log_port.Outcome:
        tenure = typing.cast(Tenure, self._tenure)
        sent_boot_s = clock.boot_s()
        started = time.monotonic()
        answer = self._log.append(
            self._topic,
            self._partition,
            pending,
            fence=log_port.Fence(PRODUCER, tenure.epoch, self._sequence),
            timeout_s=self._patience.timeout_s,
        )
        took_s = time.monotonic() - started
        self._metrics.record('ownership.append', took_s)
        if answer.outcome is log_port.Outcome.UNKNOWN:
            self._patience.record_timeout()
        if answer.outcome is log_port.Outcome.DONE:
            self._patience.record_latency(took_s)
            self._sequence += 1
            self._confirmed_boot_s = sent_boot_s
        else:
            self._metrics.count(f'ownership.append.{answer.outcome.value}')
            LOG.warning(
                'append of the owner failed',
                outcome=answer.outcome.value,
                detail=answer.detail,
                records=len(pending),
            )
        return answer.outcome
