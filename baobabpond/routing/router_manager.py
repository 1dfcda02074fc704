"""Update the routers of all services from discovery and load polls."""

import collections.abc
import random
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen import tree as tree_schema
from ..members import entries
from ..members import instance_list
from ..settings import current as current_module

from . import router as router_module
from . import upstreams

APPLY_INTERVAL_S = 1.0
MIN_POLL_PAUSE_S = 0.05

LOG = structlog.get_logger(__name__)

PollLoad = collections.abc.Callable[
    [upstreams.Upstream, tree_schema.NodeSettings],
    upstreams.LoadReport | None,
]


class RouterManager:
    """Manage a router for each service in the settings tree."""

    def __init__(
        self,
        instance: str,
        current: current_module.CurrentSettings,
        list_client: instance_list.InstanceList,
        poll_load: PollLoad,
        count_instances: collections.abc.Callable[[], int],
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._current = current
        self._list_client = list_client
        self._poll_load = poll_load
        self._count_instances = count_instances
        self._metrics = metrics
        self._rng = rng
        self._lock = threading.Lock()
        self._routers: dict[str, router_module.ServiceRouter] = {}
        self._listed_by_service: dict[
            str, list[instance_list.ListedInstance]
        ] = {}
        self._polled: set[upstreams.Upstream] = set()
        self._stopping = threading.Event()
        self._list_reachable = True
        self._list_watches: dict[str, instance_list.ListWatch] = {}
        self._settings_changed = threading.Event()
        current.subscribe(lambda _settings: self._settings_changed.set())

    @property
    def all_upstreams_known(self) -> bool:
        """Return whether the upstreams of all services have been listed."""
        services = self._current.tree.services()
        return all(service in self._listed_by_service for service in services)

    def start(self) -> None:
        """Start the thread that applies settings and instance list changes."""
        threading.Thread(
            target=self._run, name='upstreams', daemon=True
        ).start()

    def stop(self) -> None:
        """Signal all threads to stop."""
        self._stopping.set()
        self._settings_changed.set()
        for watch in self._list_watches.values():
            watch.stop()

    def get(self, service: str) -> router_module.ServiceRouter:
        """Return the router of a service; create it if missing."""
        with self._lock:
            router = self._routers.get(service)
            if router is None:
                router = router_module.ServiceRouter(
                    service, self._metrics, self._rng
                )
                self._routers[service] = router
            return router

    def services(self) -> dict[str, router_module.ServiceRouter]:
        """Return all routers by service."""
        with self._lock:
            return dict(self._routers)

    def listed_instances(
        self, service: str
    ) -> list[instance_list.ListedInstance]:
        """Return the last listed upstreams of a service."""
        return self._listed_by_service.get(service, [])

    def _run(self) -> None:
        while not self._stopping.is_set():
            for service in self._current.tree.services():
                self._watch_service(service)
            # The settings or the number of instances may have changed.
            for service, listed in list(self._listed_by_service.items()):
                self._update_upstreams(service, listed)
            self._settings_changed.wait(APPLY_INTERVAL_S)
            self._settings_changed.clear()

    def _watch_service(self, service: str) -> None:
        if service in self._list_watches:
            return

        def on_change(listing: instance_list.Listing) -> None:
            self._record_list_state(None)
            self._listed_by_service[service] = listing.instances
            self._update_upstreams(service, listing.instances)

        watch = instance_list.ListWatch(
            self._list_client, service, on_change, self._record_list_state
        )
        self._list_watches[service] = watch
        watch.start()

    def _record_list_state(
        self, failure: instance_list.ListError | None
    ) -> None:
        if failure is not None:
            self._metrics.count('members.list_errors')
        reachable = failure is None
        if reachable == self._list_reachable:
            return
        self._list_reachable = reachable
        if reachable:
            LOG.info('instance list reachable')
        else:
            LOG.warning('instance list unreachable', error=str(failure))

    def _update_upstreams(
        self, service: str, listed: list[instance_list.ListedInstance]
    ) -> None:
        settings = self._current.tree.effective(service)
        leaving = set(settings['leaving_upstreams'])
        leaving.update(item.instance for item in listed if item.leaving)
        subset = self._subset(listed, settings['subset_size'])
        used = [
            upstreams.Upstream(
                item.instance,
                service,
                item.address,
                item.port,
                item.data_centre,
            )
            for item in subset
        ]
        self.get(service).upstream_set.replace(
            used, leaving, self._sharing_instances(len(used), len(listed))
        )
        for upstream in used:
            self._start_polling(upstream)

    def _sharing_instances(self, used: int, listed: int) -> int:
        """Return the average number of instances that use an upstream."""
        return max(1, round(self._count_instances() * used / max(1, listed)))

    def _subset(
        self, listed: list[instance_list.ListedInstance], size: int
    ) -> list[instance_list.ListedInstance]:
        if len(listed) <= size:
            return listed
        return sorted(
            listed,
            key=lambda item: entries.rendezvous_rank(
                self._instance, item.instance
            ),
        )[:size]

    def _start_polling(self, upstream: upstreams.Upstream) -> None:
        if upstream in self._polled:
            return
        self._polled.add(upstream)
        threading.Thread(
            target=self._poll_until_removed,
            args=(upstream,),
            name=f'watch-{upstream.instance}',
            daemon=True,
        ).start()

    def _poll_until_removed(self, upstream: upstreams.Upstream) -> None:
        router = self.get(upstream.service)
        while not self._stopping.is_set():
            state = router.upstream_set.get(upstream.instance)
            if state is None or state.upstream != upstream:
                break
            settings = self._current.tree.effective(upstream.service)
            started = time.monotonic()
            report = self._poll_load(upstream, settings)
            if report is None:
                self._metrics.count('routing.load_poll_errors')
            else:
                state.record_load(report)
            elapsed_s = time.monotonic() - started
            self._stopping.wait(
                max(MIN_POLL_PAUSE_S, settings['load_poll_s'] - elapsed_s)
            )
        self._polled.discard(upstream)


def version_at_least(
    minimum: int,
) -> typing.Callable[[upstreams.UpstreamState], bool]:
    """Return a filter for upstreams with at least a weight version."""

    def has_version(state: upstreams.UpstreamState) -> bool:
        version = state.weight_version
        return version is not None and version >= minimum

    return has_version
