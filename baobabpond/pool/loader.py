"""Load announced weight versions onto a shard's upstreams."""

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
from . import load_planner
from . import orders
from . import state

TICK_S = 0.05
# Largest share of a service's upstreams that load at the same time.
MAX_LOADING_SHARE = 0.34
# Versions that samples may be behind while no batch specifies it.
DEFAULT_MAX_STALENESS = 1
# An order is sent within this time of its announcement, or not at all.
INTENT_VALID_S = 0.4
LOG = structlog.get_logger(__name__)


class BatchScheduler(typing.Protocol):
    """Report demand, and have announcements appended to the log."""

    def demand(self) -> collections.Counter[str]:
        """Return the number of unfinished items per model."""
        ...

    def request_append(self) -> None:
        """Request that announcements are appended without delay."""
        ...


class Loader:
    """Plan and execute loads, one order at a time per upstream."""

    def __init__(
        self,
        instance: str,
        lease_s: float,
        checks_fences: bool,
        shard_state: state_module.ShardState,
        fleet: fleet_module.Fleet,
        current: current_module.CurrentConfiguration,
        order_client: orders.OrderClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._lease_s = lease_s
        self._checks_fences = checks_fences
        self._shard_state = shard_state
        self._fleet = fleet
        self._current = current
        self._order_client = order_client
        self._metrics = metrics
        self._lock = threading.Lock()
        self._tenure: ownership.Tenure | None = None
        self._is_exclusive_owner: typing.Callable[[], bool] = lambda: False
        self._intents_lock = threading.Lock()
        self._intents: list[records.Intent] = []

    def set_ownership_check(
        self, is_exclusive_owner: typing.Callable[[], bool]
    ) -> None:
        """Set the check that no other instance can send orders."""
        self._is_exclusive_owner = is_exclusive_owner

    def start(
        self, tenure: ownership.Tenure, scheduler: BatchScheduler
    ) -> None:
        """Start loading weights for a tenure."""
        self._tenure = tenure
        threading.Thread(
            target=self._run,
            args=(tenure, scheduler),
            name='loads',
            daemon=True,
        ).start()

    def stop(self) -> None:
        """Stop sending orders."""
        # Waits for an order that is being sent.
        with self._lock:
            self._tenure = None

    def update_settings(self, lease_s: float, checks_fences: bool) -> None:
        """Set the order lease, and whether upstreams check fences.

        The lease is the minimum time in seconds between orders of two
        instances. Upstreams that check fences refuse an order whose fence is
        lower than one that they have seen.
        """
        self._lease_s = lease_s
        self._checks_fences = checks_fences

    def drain_intents(self) -> list[log_port.Record]:
        """Return and clear the announcements to append to the log."""
        with self._intents_lock:
            intents, self._intents = self._intents, []
        return [records.encode_intent(intent) for intent in intents]

    def _run(
        self, tenure: ownership.Tenure, scheduler: BatchScheduler
    ) -> None:
        while self._tenure is tenure:
            if self._may_order():
                try:
                    self._plan(tenure, scheduler)
                except Exception:
                    LOG.exception('planning weight loads failed')
            time.sleep(TICK_S)

    def _plan(
        self, tenure: ownership.Tenure, scheduler: BatchScheduler
    ) -> None:
        configuration = self._current.configuration
        if configuration is None:
            return
        announced = self._current.versions
        demand = scheduler.demand()
        newest = self._newest_batches()
        for service in configuration.services.values():
            targets = [
                load_planner.Target(
                    model,
                    announced[model],
                    _max_staleness(newest.get(model)),
                    demand[model],
                    len(newest[model].items) if model in newest else 0,
                )
                for model in service.models
                if model in announced
            ]
            upstreams = self._fleet.schedulable(service.name)
            if targets and upstreams:
                self._start_loads(tenure, scheduler, upstreams, targets)

    def _start_loads(
        self,
        tenure: ownership.Tenure,
        scheduler: BatchScheduler,
        upstreams: list[state.Upstream],
        targets: list[load_planner.Target],
    ) -> None:
        now = time.monotonic()
        candidates = [
            load_planner.LoadCandidate(
                upstream.id,
                upstream.versions,
                upstream.load is not None,
                self._accepts_order(upstream, tenure, now),
                len(upstream.runs),
                upstream.entry.slots,
                self._fleet.is_limited(upstream),
            )
            for upstream in upstreams
        ]
        max_loads = max(1, math.floor(len(upstreams) * MAX_LOADING_SHARE))
        by_id = {upstream.id: upstream for upstream in upstreams}
        for planned in load_planner.plan(candidates, targets, max_loads):
            upstream = by_id[planned.upstream]
            upstream.load = state.Load(planned.model, planned.version, now)
            threading.Thread(
                target=self._execute_load,
                args=(tenure, scheduler, upstream, planned),
                name=f'load-{upstream.id}',
                daemon=True,
            ).start()

    def _execute_load(
        self,
        tenure: ownership.Tenure,
        scheduler: BatchScheduler,
        upstream: state.Upstream,
        planned: load_planner.PlannedLoad,
    ) -> None:
        outcome = orders.OrderOutcome.UNKNOWN
        try:
            outcome = self._order_client.execute(
                upstream,
                planned,
                tenure.epoch,
                keeps_runs=not self._has_single_version(upstream),
                may_send=lambda: self._announce(upstream, tenure, scheduler),
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
            took_s=round(now - upstream.load.started_at, 3)
            if upstream.load
            else None,
        )
        if outcome is orders.OrderOutcome.FENCED:
            upstream.refused_fence = tenure.epoch
        if outcome is not orders.OrderOutcome.LOADED:
            upstream.orders_not_before = now + orders.BACKOFF_S
        upstream.load = None

    def _may_order(self) -> bool:
        """Return whether sending orders is safe.

        While the log is unavailable, no instance can prove that it still owns
        the shard. Upstreams that check fences refuse a former owner
        themselves.
        """
        return self._is_exclusive_owner() or self._checks_fences

    def _accepts_order(
        self,
        upstream: state.Upstream,
        tenure: ownership.Tenure,
        now: float,
    ) -> bool:
        """Return whether an order respects another instance's lease."""
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
        upstream: state.Upstream,
        tenure: ownership.Tenure,
        scheduler: BatchScheduler,
    ) -> bool:
        """Announce an order in the log; return whether it may be sent now.

        The next owner reads the announcement, and so knows when the lease of
        this instance's orders expires.
        """
        if not self._is_exclusive_owner():
            LOG.info('order without announcement', upstream=upstream.id)
            return self._checks_fences and self._tenure is tenure
        announced_at = clock.since_boot_s()
        intent = records.Intent(
            upstream.id, self._instance, uuid.uuid4().hex[:8]
        )
        with self._intents_lock:
            self._intents.append(intent)
        scheduler.request_append()
        while clock.since_boot_s() - announced_at < INTENT_VALID_S:
            revision = self._shard_state.revision
            last = self._shard_state.intent(upstream.id)
            if last is not None and last.intent == intent:
                break
            self._shard_state.wait_for_change(revision, TICK_S)
        else:
            LOG.info(
                'order postponed: announcement not in the log in time',
                upstream=upstream.id,
            )
            return False
        return (
            self._tenure is tenure
            and self._is_exclusive_owner()
            and clock.since_boot_s() - announced_at < INTENT_VALID_S
        )

    def _has_single_version(self, upstream: state.Upstream) -> bool:
        configuration = self._current.configuration
        if configuration is None:
            return False
        return any(
            route.single_version
            and any(
                share.service == upstream.entry.service
                for share in route.shares
            )
            for route in configuration.routes
        )

    def _newest_batches(self) -> dict[str, state_module.Batch]:
        """Return the most recently submitted batch of each model."""
        newest: dict[str, state_module.Batch] = {}
        for batch in self._shard_state.all_batches():
            model = batch.head.model
            present = newest.get(model)
            if present is None or batch.submitted > present.submitted:
                newest[model] = batch
        return newest


def _max_staleness(batch: state_module.Batch | None) -> int:
    """Return by how many versions a batch's samples may be behind."""
    if batch is None:
        return DEFAULT_MAX_STALENESS
    return max(0, batch.head.newest_version - batch.head.min_version)
