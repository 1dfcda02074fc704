"""Bring a shard's upstreams to the announced weights."""

import collections
import math
import threading
import time
import typing
import uuid

import structlog

from .. import clock
from .. import metrics as metrics_module
from ..batches import ownership
from ..batches import records
from ..batches import shard_state as state_module
from ..catalogue import current as current_module
from ..ports import log as log_port

from . import fleet as fleet_module
from . import orders
from . import weights
from . import work as work_module

TICK_S = 0.05
# Upstreams of a service that load at once, as a share of all.
CONCURRENT_SHARE = 0.34
# Versions that samples may be behind where no batch has told.
DEFAULT_LAG = 1
# An order is sent this soon after its announcement, or not at all.
INTENT_VALID_S = 0.4
LOG = structlog.get_logger(__name__)


class Owner(typing.Protocol):
    """Tell the demand, and have announcements kept."""

    def demand(self) -> collections.Counter[str]:
        """Return the unfinished items of each model."""
        ...

    def wake(self) -> None:
        """Let announcements be kept soon."""
        ...


class Loader:
    """Plan loads and carry them out, one order at a time per upstream."""

    def __init__(
        self,
        instance: str,
        lease_s: float,
        checks_fences: bool,
        shard_state: state_module.ShardState,
        fleet: fleet_module.Fleet,
        current: current_module.CurrentConfiguration,
        desk: orders.OrderDesk,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._lease_s = lease_s
        self._checks_fences = checks_fences
        self._shard_state = shard_state
        self._fleet = fleet
        self._current = current
        self._desk = desk
        self._metrics = metrics
        self._lock = threading.Lock()
        self._tenure: ownership.Tenure | None = None
        self._is_trusted: typing.Callable[[], bool] = lambda: False
        self._intents_lock = threading.Lock()
        self._intents: list[records.Intent] = []

    def trust(self, is_trusted: typing.Callable[[], bool]) -> None:
        """Set what tells that no other instance gives orders."""
        self._is_trusted = is_trusted

    def begin(self, tenure: ownership.Tenure, owner: Owner) -> None:
        """Start to load weights."""
        self._tenure = tenure
        threading.Thread(
            target=self._run, args=(tenure, owner), name='loads', daemon=True
        ).start()

    def cease(self) -> None:
        """Send no more orders."""
        # An order that is being sent ends first.
        with self._lock:
            self._tenure = None

    def take_rules(self, lease_s: float, checks_fences: bool) -> None:
        """Take the least time between orders of two holders, in seconds.

        And whether upstreams refuse a lower fence than they have seen.
        """
        self._lease_s = lease_s
        self._checks_fences = checks_fences

    def take_intents(self) -> list[log_port.Record]:
        """Return the announcements that the log shall keep."""
        with self._intents_lock:
            intents, self._intents = self._intents, []
        return [records.encode_intent(intent) for intent in intents]

    def _run(self, tenure: ownership.Tenure, owner: Owner) -> None:
        while self._tenure is tenure:
            if self._may_order():
                try:
                    self._plan(tenure, owner)
                except Exception:
                    LOG.exception('weights could not be planned')
            time.sleep(TICK_S)

    def _plan(self, tenure: ownership.Tenure, owner: Owner) -> None:
        configuration = self._current.configuration
        if configuration is None:
            return
        announced = self._current.versions
        demand = owner.demand()
        newest = self._newest_batches()
        for service in configuration.services.values():
            targets = [
                weights.Target(
                    model,
                    announced[model],
                    _lag(newest.get(model)),
                    demand[model],
                    len(newest[model].items) if model in newest else 0,
                )
                for model in service.models
                if model in announced
            ]
            upstreams = self._fleet.of(service.name)
            if targets and upstreams:
                self._order(tenure, owner, upstreams, targets)

    def _order(
        self,
        tenure: ownership.Tenure,
        owner: Owner,
        upstreams: list[work_module.Upstream],
        targets: list[weights.Target],
    ) -> None:
        now = time.monotonic()
        holders = [
            weights.Holder(
                upstream.id,
                upstream.versions,
                upstream.load is not None,
                self._is_due(upstream, tenure, now),
                len(upstream.runs),
                upstream.entry.slots,
            )
            for upstream in upstreams
        ]
        most = max(1, math.floor(len(upstreams) * CONCURRENT_SHARE))
        by_id = {upstream.id: upstream for upstream in upstreams}
        for planned in weights.plan(holders, targets, most):
            upstream = by_id[planned.upstream]
            upstream.load = work_module.Load(
                planned.model, planned.version, now
            )
            threading.Thread(
                target=self._carry_out,
                args=(tenure, owner, upstream, planned),
                name=f'load-{upstream.id}',
                daemon=True,
            ).start()

    def _carry_out(
        self,
        tenure: ownership.Tenure,
        owner: Owner,
        upstream: work_module.Upstream,
        planned: weights.PlannedLoad,
    ) -> None:
        outcome = orders.OrderOutcome.UNKNOWN
        try:
            outcome = self._desk.carry_out(
                upstream,
                planned,
                tenure.epoch,
                keeps_runs=not self._has_single_version(upstream),
                may_send=lambda: self._announce(upstream, tenure, owner),
            )
        except Exception:
            LOG.exception('order failed unexpectedly', upstream=upstream.id)
        now = time.monotonic()
        self._metrics.count(f'orders.outcome.{outcome.value}')
        LOG.info(
            'order ended',
            upstream=upstream.id,
            model=planned.model,
            version=planned.version,
            outcome=outcome.value,
            took_s=round(now - upstream.load.since, 3)
            if upstream.load
            else None,
        )
        if outcome is orders.OrderOutcome.FENCED:
            upstream.refused_fence = tenure.epoch
        if outcome is not orders.OrderOutcome.LOADED:
            upstream.orders_not_before = now + orders.BACK_OFF_S
        upstream.load = None

    def _may_order(self) -> bool:
        """Tell whether orders can do no harm.

        While the log is away nobody can prove that it still owns the shard.
        Upstreams that check fences refuse a former owner themselves.
        """
        return self._is_trusted() or self._checks_fences

    def _is_due(
        self,
        upstream: work_module.Upstream,
        tenure: ownership.Tenure,
        now: float,
    ) -> bool:
        """Tell whether an order would keep the lease of another holder."""
        if upstream.orders_not_before > now:
            return False
        if upstream.refused_fence >= tenure.epoch:
            return False
        last = self._shard_state.intent(upstream.id)
        if last is None or last.intent.instance == self._instance:
            return True
        return now - last.read_at > self._lease_s + INTENT_VALID_S

    def _announce(
        self,
        upstream: work_module.Upstream,
        tenure: ownership.Tenure,
        owner: Owner,
    ) -> bool:
        """Announce an order; tell whether it may be sent now.

        The next owner reads the announcement, and so knows when the lease of
        this one's orders ends.
        """
        if not self._is_trusted():
            LOG.info('order without announcement', upstream=upstream.id)
            return self._checks_fences and self._tenure is tenure
        announced = clock.boot_s()
        intent = records.Intent(
            upstream.id, self._instance, uuid.uuid4().hex[:8]
        )
        with self._intents_lock:
            self._intents.append(intent)
        owner.wake()
        while clock.boot_s() - announced < INTENT_VALID_S:
            revision = self._shard_state.revision
            last = self._shard_state.intent(upstream.id)
            if last is not None and last.intent == intent:
                break
            self._shard_state.wait_for_change(revision, TICK_S)
        else:
            LOG.info('order put off: not announced', upstream=upstream.id)
            return False
        return (
            self._tenure is tenure
            and self._is_trusted()
            and clock.boot_s() - announced < INTENT_VALID_S
        )

    def _has_single_version(self, upstream: work_module.Upstream) -> bool:
        configuration = self._current.configuration
        if configuration is None:
            return False
        return any(
            route.single_version
            and any(s.service == upstream.entry.service for s in route.shares)
            for route in configuration.routes
        )

    def _newest_batches(self) -> dict[str, state_module.Batch]:
        """Return the batch of each model that was submitted last."""
        newest: dict[str, state_module.Batch] = {}
        for batch in self._shard_state.all_batches():
            model = batch.head.model
            present = newest.get(model)
            if present is None or batch.submitted > present.submitted:
                newest[model] = batch
        return newest


def _lag(batch: state_module.Batch | None) -> int:
    """Return the versions that a batch's samples may be behind."""
    if batch is None:
        return DEFAULT_LAG
    return max(0, batch.head.newest_version - batch.head.min_version)
