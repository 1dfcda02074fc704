"""Elect the owner of a shard through its partition, fenced by epoch."""

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

from . import records
from . import shard_state as state_module

PRODUCER = 'owner'
HEARTBEAT_INTERVAL_S = 0.25
# Another instance may claim the shard after this time without a heartbeat.
TAKEOVER_TIMEOUT_S = 1.2
# No other instance can own the shard for this long after the owner sent a
# record that the log confirmed. Below TAKEOVER_TIMEOUT_S.
OWNER_LEASE_S = 0.9
RETRY_DELAY_S = 0.1
# Leaves time to try another route to the log before others take over.
APPEND_TIMEOUT_S = 0.4
MAX_APPEND_TIMEOUT_S = 1.6
POLL_INTERVAL_S = 0.1
FENCE_ATTEMPTS = 3
# Random delay, so that instances do not claim at the same time.
CLAIM_JITTER_S = 0.15
# After a release the most recently started instance claims first: during a
# rolling restart it is the one that will not restart again.
MAX_RELEASE_DELAY_S = 0.3
# Uptime at which the delay is half of the maximum.
HALF_DELAY_UPTIME_S = 20.0

# After these outcomes the owner has lost the shard, or can't append to it.
OWNERSHIP_LOST_OUTCOMES = (
    log_port.AppendOutcome.FENCED,
    log_port.AppendOutcome.OUT_OF_SEQUENCE,
    log_port.AppendOutcome.REJECTED,
)

LOG = structlog.get_logger(__name__)


class Tenure(typing.NamedTuple):
    """One instance's uninterrupted ownership of a shard."""

    # Fencing token, higher than that of all earlier tenures.
    epoch: int
    # When this instance knew of it, on the boot-time clock.
    began_boot_s: float = 0.0


class ShardWorker(typing.Protocol):
    """The work that the owner of a shard does."""

    def start(self, tenure: Tenure) -> None:
        """Start the work of a tenure."""
        ...

    def stop(self) -> None:
        """Stop the work; it must send nothing to upstreams afterwards."""
        ...

    @property
    def has_pending_results(self) -> bool:
        """Return whether results are left for a further append."""
        ...

    def next_records(self, wait_s: float) -> list[log_port.Record]:
        """Return the records to append; wait for some up to a time."""
        ...

    def on_appended(self) -> None:
        """Process that the log has the records returned last."""
        ...


class Ownership:
    """Claim a shard that has no live owner, and send heartbeats."""

    def __init__(
        self,
        instance: str,
        log: log_port.Log,
        topic: str,
        partition: int,
        shard_state: state_module.ShardState,
        follower: follower_module.Follower,
        worker: ShardWorker,
        metrics: metrics_module.Metrics,
        may_own: typing.Callable[[], bool] = lambda: True,
        claim_delay_s: typing.Callable[[], float] = lambda: 0.0,
    ) -> None:
        # Whether the worker can do its work here.
        self._may_own = may_own
        # How long others may claim a vacant shard first.
        self._claim_delay_s = claim_delay_s
        self._instance = instance
        self._log = log
        self._topic = topic
        self._partition = partition
        self._shard_state = shard_state
        self._follower = follower
        self._worker = worker
        self._metrics = metrics
        self._started = time.monotonic()
        self._incarnation = uuid.uuid4().hex[:8]
        self._rng = random.Random()
        self._tenure: Tenure | None = None
        self._sequence = 0
        self._append_timeout = adaptive_timeout.AdaptiveTimeout(
            APPEND_TIMEOUT_S, MAX_APPEND_TIMEOUT_S
        )
        self._lease_started_boot_s = float('-inf')
        self._claims_allowed = threading.Event()
        self._releasing = threading.Event()
        self._released = threading.Event()

    @property
    def tenure(self) -> Tenure | None:
        """Return the current tenure, None if this is not the owner."""
        return self._tenure

    @property
    def has_owner_lease(self) -> bool:
        """Return whether no other instance can own the shard now."""
        age_s = clock.since_boot_s() - self._lease_started_boot_s
        return self._tenure is not None and age_s < OWNER_LEASE_S

    def start(self) -> None:
        """Run in a daemon thread."""
        threading.Thread(target=self._run, name='owner', daemon=True).start()

    def allow_claims(self) -> None:
        """Allow this instance to claim the shard."""
        self._claims_allowed.set()

    def release(self, timeout_s: float) -> None:
        """Release the shard and wait until the log has confirmed it."""
        self._claims_allowed.clear()
        self._releasing.set()
        self._released.wait(timeout_s)

    def _run(self) -> None:
        while not self._releasing.is_set():
            if not self._claims_allowed.wait(POLL_INTERVAL_S):
                continue
            if self._is_vacant() and self._may_own():
                self._claim()
            if self._tenure is not None:
                self._run_tenure_safely()
            else:
                self._shard_state.wait_for_change(
                    self._shard_state.revision, POLL_INTERVAL_S
                )
        self._released.set()

    def _is_vacant(self) -> bool:
        follower = self._follower
        if not follower.has_caught_up or follower.has_missed_records:
            return False
        owner = self._shard_state.owner
        if owner is None:
            return True
        if self._is_from_previous_process(owner.record):
            # The previous process of this instance has exited.
            return True
        delay_s = self._claim_delay_s()
        if owner.record.released:
            return self._silence_s(owner) > self._release_delay_s() + delay_s
        wait_s = TAKEOVER_TIMEOUT_S + self._rng.uniform(0, CLAIM_JITTER_S)
        wait_s += delay_s
        return (
            self._silence_s(owner) > wait_s
            and self._follower.contact_duration_s > wait_s
        )

    def _is_known_silent(
        self, owner: state_module.ObservedOwner | None
    ) -> bool:
        """Return whether the owner is known to have stopped appending."""
        if owner is None or owner.record.released:
            return True
        if self._is_from_previous_process(owner.record):
            return True
        return self._follower.silence_s(owner.read_at) > TAKEOVER_TIMEOUT_S

    def _is_from_previous_process(self, record: records.OwnerRecord) -> bool:
        return (
            record.instance == self._instance
            and record.incarnation != self._incarnation
        )

    def _silence_s(self, owner: state_module.ObservedOwner) -> float:
        return time.monotonic() - owner.read_at

    def _release_delay_s(self) -> float:
        uptime_s = time.monotonic() - self._started
        return (
            MAX_RELEASE_DELAY_S * uptime_s / (uptime_s + HALF_DELAY_UPTIME_S)
        )

    def _claim(self) -> None:
        """Append a claim, conditional on the log's end, then fence.

        Of several instances' claims at one offset only one succeeds.
        """
        former = self._shard_state.owner
        end = self._catch_up()
        if end is None or self._shard_state.owner is not former:
            return
        # An owner that could not reach the log may have reconnected.
        if not self._is_known_silent(former):
            return
        sent_boot_s = clock.since_boot_s()
        owner = records.OwnerRecord(
            self._instance, self._incarnation, end + 1, False
        )
        result = self._log.append(
            self._topic,
            self._partition,
            [records.encode_owner(owner)],
            expected_end=end,
        )
        self._metrics.count(f'ownership.claims.{result.outcome.value}')
        LOG.info(
            'claimed the shard',
            partition=self._partition,
            offset=end,
            outcome=result.outcome.value,
            former=former.record.instance if former else None,
            former_silence_s=self._silence_s(former) if former else None,
        )
        if result.outcome is not log_port.AppendOutcome.DONE:
            time.sleep(self._rng.uniform(0, CLAIM_JITTER_S))
            return
        # Offsets only grow, so epochs are unique.
        if self._fence(result.offset + 1):
            self._start_tenure(result.offset + 1, sent_boot_s)

    def _fence(self, epoch: int) -> bool:
        """Fence the former owner and read all that it appended."""
        for _ in range(FENCE_ATTEMPTS):
            result = self._log.append(
                self._topic,
                self._partition,
                [],
                fence=log_port.Fence(PRODUCER, epoch, 0),
            )
            if result.outcome is log_port.AppendOutcome.DONE:
                return self._catch_up() is not None
            if result.outcome is log_port.AppendOutcome.FENCED:
                break
        LOG.warning(
            'fencing after the claim failed',
            epoch=epoch,
            outcome=result.outcome.value,
            detail=result.detail,
        )
        return False

    def _catch_up(self) -> int | None:
        try:
            return self._follower.catch_up()
        except log_port.LogError as error:
            LOG.info('claim postponed: log read failed', error=str(error))
            time.sleep(RETRY_DELAY_S)
            return None

    def _start_tenure(self, epoch: int, sent_boot_s: float) -> None:
        self._lease_started_boot_s = sent_boot_s
        # The empty append that fenced the former owner used sequence 0.
        self._sequence = 1
        self._tenure = Tenure(epoch, clock.since_boot_s())
        self._worker.start(self._tenure)

    def _run_tenure_safely(self) -> None:
        try:
            self._run_tenure()
        except Exception:
            # Without heartbeats another instance takes over; the work here
            # must stop.
            LOG.exception('owner thread failed; its tenure ends')
            self._worker.stop()
            self._tenure = None

    def _run_tenure(self) -> None:
        """Append the worker's records and heartbeats until the shard is lost.

        Only one append is in flight at a time, so a retry with the same
        sequence number is idempotent.
        """
        pending: list[log_port.Record] = []
        is_last = False
        releasing = False
        while True:
            releasing = releasing or self._must_release()
            if releasing:
                self._worker.stop()
            if not pending:
                is_last = releasing and not self._worker.has_pending_results
                pending = self._next_records(is_last, releasing)
            outcome = self._append(pending)
            if outcome is log_port.AppendOutcome.DONE:
                pending = []
                self._worker.on_appended()
                if is_last:
                    break
            elif outcome in OWNERSHIP_LOST_OUTCOMES:
                self._worker.stop()
                break
            else:
                time.sleep(RETRY_DELAY_S)
        LOG.info(
            'the shard is given up' if releasing else 'the shard was lost',
            partition=self._partition,
            epoch=self._tenure.epoch if self._tenure else None,
        )
        self._tenure = None

    def _must_release(self) -> bool:
        """Return whether the shard has to be given up."""
        if self._releasing.is_set():
            return True
        if self._may_own():
            return False
        LOG.warning(
            'the shard is given up to an instance that can own it better',
            partition=self._partition,
        )
        return True

    def _next_records(
        self, is_last: bool, releasing: bool
    ) -> list[log_port.Record]:
        wait_s = 0.0 if releasing else HEARTBEAT_INTERVAL_S
        new = self._worker.next_records(wait_s)
        tenure = typing.cast(Tenure, self._tenure)
        owner = records.OwnerRecord(
            self._instance, self._incarnation, tenure.epoch, is_last
        )
        return [*new, records.encode_owner(owner)]

    def _append(
        self, pending: list[log_port.Record]
    ) -> log_port.AppendOutcome:
        tenure = typing.cast(Tenure, self._tenure)
        sent_boot_s = clock.since_boot_s()
        started = time.monotonic()
        result = self._log.append(
            self._topic,
            self._partition,
            pending,
            fence=log_port.Fence(PRODUCER, tenure.epoch, self._sequence),
            timeout_s=self._append_timeout.timeout_s,
        )
        took_s = time.monotonic() - started
        self._metrics.record('ownership.append', took_s)
        if result.outcome is log_port.AppendOutcome.UNKNOWN:
            self._append_timeout.record_timeout()
        if result.outcome is log_port.AppendOutcome.DONE:
            self._append_timeout.record_latency(took_s)
            self._sequence += 1
            self._lease_started_boot_s = sent_boot_s
        else:
            self._metrics.count(f'ownership.append.{result.outcome.value}')
            LOG.warning(
                'append of the owner failed',
                outcome=result.outcome.value,
                detail=result.detail,
                records=len(pending),
            )
        return result.outcome
