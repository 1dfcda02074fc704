"""Roll out new weights in waves while holding the service's lease."""

import collections.abc
import math
import random
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen import tree as tree_schema
from ..http import completions
from ..leases import manager as lease_manager
from ..log import state as state_module
from ..members import instance_list
from ..routing import upstreams
from ..settings import current as current_module

from . import fold as fold_module

CHECK_INTERVAL_S = 0.1
MEAN_RETRY_DELAY_S = 0.2

LOG = structlog.get_logger(__name__)

ListInstances = collections.abc.Callable[
    [str], list[instance_list.ListedInstance]
]
MakeLeaseManager = collections.abc.Callable[[str], lease_manager.LeaseManager]


class LeaseTenure(typing.NamedTuple):
    """Identify a tenure of the lease and its monotonic start time."""

    fence: int
    started_at: float


class VerifiedVersion(typing.NamedTuple):
    """Store the version that an engine reported and the monotonic time."""

    version: int
    verified_at: float


class ServiceUpdater:
    """Update the engines of one service to its newest weight version."""

    def __init__(
        self,
        service: str,
        current: current_module.CurrentSettings,
        state: state_module.State,
        manager: lease_manager.LeaseManager,
        list_instances: ListInstances,
        adapter: completions.Completions,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._current = current
        self._versions = state.fold(fold_module.VersionFold)
        self._lease_manager = manager
        self._list_instances = list_instances
        self._adapter = adapter
        self._metrics = metrics
        self._rng = rng
        self._lock = threading.Lock()
        self._updating: set[str] = set()
        self._verified_versions: dict[str, VerifiedVersion] = {}
        self._tenure: LeaseTenure | None = None

    @property
    def held_lease(self) -> lease_manager.HeldLease | None:
        """Return the lease, or None if it is not held or has expired."""
        return self._lease_manager.held_lease

    def release(self) -> None:
        """Release the lease."""
        self._lease_manager.release()

    def reconcile(self) -> None:
        """Acquire or renew the lease and start the updates that are due."""
        settings = self._current.tree.effective(self._service)
        held_lease = self._lease_manager.acquire_or_renew(settings['lease_s'])
        if held_lease is None:
            self._tenure = None
            return
        if self._tenure is None or self._tenure.fence != held_lease.fence:
            self._tenure = LeaseTenure(held_lease.fence, time.monotonic())
        target = self._versions.get(self._service)
        if target is None or self._previous_order_may_be_in_flight(settings):
            return
        self._start_wave(target, settings)

    def _previous_order_may_be_in_flight(
        self, settings: tree_schema.NodeSettings
    ) -> bool:
        """Return whether an order of the previous holder may be in flight.

        Engines that check fencing tokens reject such an order, so there is
        no need to wait for its time-out.
        """
        if settings['checks_fence'] or self._tenure is None:
            return False
        tenure_s = time.monotonic() - self._tenure.started_at
        return tenure_s < settings['weight_order_timeout_s']

    def _start_wave(
        self, target: int, settings: tree_schema.NodeSettings
    ) -> None:
        engines = self._list_engines()
        max_updating = math.ceil(len(engines) * settings['weight_wave_share'])
        for engine in engines:
            with self._lock:
                if len(self._updating) >= max_updating:
                    return
                if engine.instance in self._updating:
                    continue
                if self._is_verified(engine, target, settings):
                    continue
                self._updating.add(engine.instance)
            threading.Thread(
                target=self._update_engine, args=(engine, target), daemon=True
            ).start()

    def _is_verified(
        self,
        engine: upstreams.Upstream,
        target: int,
        settings: tree_schema.NodeSettings,
    ) -> bool:
        """Return whether the engine recently reported the target version."""
        verified = self._verified_versions.get(engine.instance)
        if verified is None or verified.version != target:
            return False
        return (
            time.monotonic() - verified.verified_at < settings['load_poll_s']
        )

    def _list_engines(self) -> list[upstreams.Upstream]:
        engines = [
            upstreams.Upstream(
                item.instance,
                self._service,
                item.address,
                item.port,
                item.data_centre,
            )
            for item in self._list_instances(self._service)
            if not item.leaving
        ]
        # Otherwise a few unreachable engines at the head of the list would
        # occupy the wave and delay the others.
        self._rng.shuffle(engines)
        return engines

    def _update_engine(self, engine: upstreams.Upstream, target: int) -> None:
        try:
            report = self._adapter.poll_load(engine)
            if report is None:
                time.sleep(self._rng.uniform(0, 2 * MEAN_RETRY_DELAY_S))
                return
            if report.weight_version == target:
                self._record_verified(engine, target)
                return
            if not self._order_update(engine, target):
                time.sleep(self._rng.uniform(0, 2 * MEAN_RETRY_DELAY_S))
        finally:
            with self._lock:
                self._updating.discard(engine.instance)

    def _record_verified(
        self, engine: upstreams.Upstream, version: int
    ) -> None:
        self._verified_versions[engine.instance] = VerifiedVersion(
            version, time.monotonic()
        )

    def _order_update(self, engine: upstreams.Upstream, target: int) -> bool:
        settings = self._current.tree.effective(self._service)
        # Checked just before the order: the process may have been suspended
        # since the wave was started.
        held_lease = self._lease_manager.held_lease
        if held_lease is None:
            return False
        started = time.monotonic()
        self._metrics.count('weights.orders')
        accepted = self._adapter.update_weights(
            engine,
            target,
            held_lease.fence,
            settings['weight_order_timeout_s'],
        )
        report = self._adapter.poll_load(engine)
        updated = report is not None and report.weight_version == target
        if not updated:
            self._metrics.count('weights.failed_orders')
            return False
        self._record_verified(engine, target)
        if accepted:
            self._metrics.record('weights.swap', time.monotonic() - started)
        return True


class WeightUpdaters:
    """Run an updater for each service of model engines."""

    def __init__(
        self,
        current: current_module.CurrentSettings,
        state: state_module.State,
        make_lease_manager: MakeLeaseManager,
        list_instances: ListInstances,
        adapter: completions.Completions,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._current = current
        self._state = state
        self._make_lease_manager = make_lease_manager
        self._list_instances = list_instances
        self._adapter = adapter
        self._metrics = metrics
        self._rng = rng
        self._updaters: dict[str, ServiceUpdater] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that discovers services of model engines."""
        threading.Thread(
            target=self._run, name='weight-updaters', daemon=True
        ).start()

    def stop(self) -> None:
        """Stop the threads and release all leases."""
        self._stopping.set()
        for updater in list(self._updaters.values()):
            updater.release()

    def held_fences(self) -> dict[str, int]:
        """Return the fencing tokens of the leases held here, by service."""
        fences = {}
        for service, updater in self._updaters.items():
            held_lease = updater.held_lease
            if held_lease is not None:
                fences[service] = held_lease.fence
        return fences

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            for service in self._current.tree.services():
                settings = self._current.tree.effective(service)
                if settings['adapter'] != 'completions':
                    continue
                if service not in self._updaters:
                    self._start_updater(service)

    def _start_updater(self, service: str) -> None:
        updater = ServiceUpdater(
            service,
            self._current,
            self._state,
            self._make_lease_manager(f'weights/{service}'),
            self._list_instances,
            self._adapter,
            self._metrics,
            self._rng,
        )
        self._updaters[service] = updater
        threading.Thread(
            target=self._run_updater,
            args=(updater,),
            name=f'weights-{service}',
            daemon=True,
        ).start()

    def _run_updater(self, updater: ServiceUpdater) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            updater.reconcile()
