"""Keep the list of upstreams and their load up to date."""

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

APPLY_S = 1.0
MIN_LOAD_WAIT_S = 0.05

LOG = structlog.get_logger(__name__)

PollLoad = collections.abc.Callable[
    [upstreams.Upstream, tree_schema.NodeSettings],
    upstreams.LoadReport | None,
]


class RouterManager:
    """Hold a router for each service in the tree."""

    def __init__(
        self,
        instance: str,
        current: current_module.CurrentSettings,
        listed: instance_list.InstanceList,
        poll_load: PollLoad,
        count_instances: collections.abc.Callable[[], int],
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._current = current
        self._listed = listed
        self._poll_load = poll_load
        self._count_instances = count_instances
        self._metrics = metrics
        self._rng = rng
        self._lock = threading.Lock()
        self._routers: dict[str, router_module.ServiceRouter] = {}
        self._known: dict[str, list[instance_list.ListedInstance]] = {}
        self._watched: set[upstreams.Upstream] = set()
        self._stopping = threading.Event()
        self._list_reachable = True
        self._list_watches: dict[str, instance_list.ListWatch] = {}
        self._settings_changed = threading.Event()
        current.subscribe(lambda _settings: self._settings_changed.set())

    @property
    def all_upstreams_known(self) -> bool:
        """Tell whether the upstreams of all services have been read."""
        services = self._current.tree.services()
        return all(service in self._known for service in services)

    def start(self) -> None:
        """Start the task that follows the settings and the list."""
        threading.Thread(
            target=self._run, name='upstreams', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask all tasks to end."""
        self._stopping.set()
        self._settings_changed.set()
        for watch in self._list_watches.values():
            watch.stop()

    def get(self, service: str) -> router_module.ServiceRouter:
        """Return the router of a service."""
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
        """Return all listed upstreams of a service, as last known."""
        return self._known.get(service, [])

    def _run(self) -> None:
        while not self._stopping.is_set():
            for service in self._current.tree.services():
                self._watch_service(service)
            # The settings or the number of instances may have changed.
            for service, listed in list(self._known.items()):
                self._apply(service, listed)
            self._settings_changed.wait(APPLY_S)
            self._settings_changed.clear()

    def _watch_service(self, service: str) -> None:
        if service in self._list_watches:
            return

        def on_change(listing: instance_list.Listing) -> None:
            self._note_list(None)
            self._known[service] = listing.instances
            self._apply(service, listing.instances)

        watch = instance_list.ListWatch(
            self._listed, service, on_change, self._note_list
        )
        self._list_watches[service] = watch
        watch.start()

    def _note_list(self, failure: instance_list.ListError | None) -> None:
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

    def _apply(
        self, service: str, listed: list[instance_list.ListedInstance]
    ) -> None:
        settings = self._current.tree.effective(service)
        leaving = set(settings['leaving_upstreams'])
        leaving.update(item.instance for item in listed if item.leaving)
        subset = self._subset(listed, settings['subset_size'])
        found = [
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
            found, leaving, self._sharers(len(found), len(listed))
        )
        for upstream in found:
            self._watch(upstream)

    def _sharers(self, used: int, listed: int) -> int:
        """Return how many instances use each upstream, on average."""
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

    def _watch(self, upstream: upstreams.Upstream) -> None:
        if upstream in self._watched:
            return
        self._watched.add(upstream)
        threading.Thread(
            target=self._poll,
            args=(upstream,),
            name=f'watch-{upstream.instance}',
            daemon=True,
        ).start()

    def _poll(self, upstream: upstreams.Upstream) -> None:
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
                state.report(report)
            elapsed_s = time.monotonic() - started
            self._stopping.wait(
                max(MIN_LOAD_WAIT_S, settings['load_poll_s'] - elapsed_s)
            )
        self._watched.discard(upstream)


def version_at_least(
    minimum: int,
) -> typing.Callable[[upstreams.UpstreamState], bool]:
    """Return a filter for upstreams that report a weight version."""

    def accept(state: upstreams.UpstreamState) -> bool:
        version = state.weight_version
        return version is not None and version >= minimum

    return accept
