"""Order new weights in waves while holding the service's lease."""

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
from ..leases import keeper as lease_keeper
from ..log import state as state_module
from ..members import instance_list
from ..routing import upstreams
from ..settings import current as current_module

from . import fold as fold_module

CHECK_S = 0.1
RETRY_MEAN_S = 0.2

LOG = structlog.get_logger(__name__)

Listed = collections.abc.Callable[[str], list[instance_list.ListedInstance]]
MakeKeeper = collections.abc.Callable[[str], lease_keeper.LeaseKeeper]


class Ownership(typing.NamedTuple):
    """Hold since when a lease with some fence is held here."""

    fence: int
    since: float


class Verified(typing.NamedTuple):
    """Hold the version that an engine has reported, and when."""

    version: int
    at: float


class ServiceOwner:
    """Drive the engines of one service to its newest version."""

    def __init__(
        self,
        service: str,
        current: current_module.CurrentSettings,
        state: state_module.State,
        keeper: lease_keeper.LeaseKeeper,
        listed: Listed,
        adapter: completions.Completions,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._current = current
        self._versions = state.fold(fold_module.VersionFold)
        self._keeper = keeper
        self._listed = listed
        self._adapter = adapter
        self._metrics = metrics
        self._rng = rng
        self._lock = threading.Lock()
        self._swapping: set[str] = set()
        self._verified: dict[str, Verified] = {}
        self._ownership: Ownership | None = None

    @property
    def held(self) -> lease_keeper.Held | None:
        """Return the lease if it is safe to act on it now."""
        return self._keeper.held

    def release(self) -> None:
        """Give up the lease."""
        self._keeper.release()

    def step(self) -> None:
        """Maintain the lease and start the orders that are due."""
        settings = self._current.tree.effective(self._service)
        held = self._keeper.maintain(settings['lease_s'])
        if held is None:
            self._ownership = None
            return
        if self._ownership is None or self._ownership.fence != held.fence:
            self._ownership = Ownership(held.fence, time.monotonic())
        target = self._versions.get(self._service)
        if target is None or self._must_wait(settings):
            return
        self._start_wave(target, settings)

    def _must_wait(self, settings: tree_schema.NodeSettings) -> bool:
        """Tell whether a former owner's order may still be under way."""
        if settings['checks_fence'] or self._ownership is None:
            return False
        owned_s = time.monotonic() - self._ownership.since
        return owned_s < settings['weight_order_timeout_s']

    def _start_wave(
        self, target: int, settings: tree_schema.NodeSettings
    ) -> None:
        engines = self._list_engines()
        width = math.ceil(len(engines) * settings['weight_wave_share'])
        for engine in engines:
            with self._lock:
                if len(self._swapping) >= width:
                    return
                if engine.instance in self._swapping:
                    continue
                if self._is_verified(engine, target, settings):
                    continue
                self._swapping.add(engine.instance)
            threading.Thread(
                target=self._bring, args=(engine, target), daemon=True
            ).start()

    def _is_verified(
        self,
        engine: upstreams.Upstream,
        target: int,
        settings: tree_schema.NodeSettings,
    ) -> bool:
        """Tell whether an engine need not be asked again yet."""
        verified = self._verified.get(engine.instance)
        if verified is None or verified.version != target:
            return False
        return time.monotonic() - verified.at < settings['load_poll_s']

    def _list_engines(self) -> list[upstreams.Upstream]:
        engines = [
            upstreams.Upstream(
                item.instance,
                self._service,
                item.address,
                item.port,
                item.data_centre,
            )
            for item in self._listed(self._service)
            if not item.leaving
        ]
        # So that a few that cannot be reached do not hold up the others.
        self._rng.shuffle(engines)
        return engines

    def _bring(self, engine: upstreams.Upstream, target: int) -> None:
        try:
            report = self._adapter.poll_load(engine)
            if report is None:
                time.sleep(self._rng.uniform(0, 2 * RETRY_MEAN_S))
                return
            if report.weight_version == target:
                self._note_verified(engine, target)
                return
            if not self._order(engine, target):
                time.sleep(self._rng.uniform(0, 2 * RETRY_MEAN_S))
        finally:
            with self._lock:
                self._swapping.discard(engine.instance)

    def _note_verified(self, engine: upstreams.Upstream, version: int) -> None:
        self._verified[engine.instance] = Verified(version, time.monotonic())

    def _order(self, engine: upstreams.Upstream, target: int) -> bool:
        settings = self._current.tree.effective(self._service)
        # Checked last: the process may have been frozen on the way here.
        held = self._keeper.held
        if held is None:
            return False
        started = time.monotonic()
        self._metrics.count('weights.orders')
        agreed = self._adapter.update_weights(
            engine, target, held.fence, settings['weight_order_timeout_s']
        )
        report = self._adapter.poll_load(engine)
        done = report is not None and report.weight_version == target
        if not done:
            self._metrics.count('weights.failed_orders')
            return False
        self._note_verified(engine, target)
        if agreed:
            self._metrics.record('weights.swap', time.monotonic() - started)
        return True


class WeightOwners:
    """Run an owner for each service of engines."""

    def __init__(
        self,
        current: current_module.CurrentSettings,
        state: state_module.State,
        make_keeper: MakeKeeper,
        listed: Listed,
        adapter: completions.Completions,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._current = current
        self._state = state
        self._make_keeper = make_keeper
        self._listed = listed
        self._adapter = adapter
        self._metrics = metrics
        self._rng = rng
        self._owners: dict[str, ServiceOwner] = {}
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the task that looks for services of engines."""
        threading.Thread(
            target=self._run, name='weight-owners', daemon=True
        ).start()

    def stop(self) -> None:
        """End the tasks and give up all leases."""
        self._stopping.set()
        for owner in list(self._owners.values()):
            owner.release()

    def held(self) -> dict[str, int]:
        """Return the fence of each lease that is held here."""
        found = {}
        for service, owner in self._owners.items():
            held = owner.held
            if held is not None:
                found[service] = held.fence
        return found

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_S):
            for service in self._current.tree.services():
                settings = self._current.tree.effective(service)
                if settings['adapter'] != 'completions':
                    continue
                if service not in self._owners:
                    self._start_owner(service)

    def _start_owner(self, service: str) -> None:
        owner = ServiceOwner(
            service,
            self._current,
            self._state,
            self._make_keeper(f'weights/{service}'),
            self._listed,
            self._adapter,
            self._metrics,
            self._rng,
        )
        self._owners[service] = owner
        threading.Thread(
            target=self._drive,
            args=(owner,),
            name=f'weights-{service}',
            daemon=True,
        ).start()

    def _drive(self, owner: ServiceOwner) -> None:
        while not self._stopping.wait(CHECK_S):
            owner.step()
