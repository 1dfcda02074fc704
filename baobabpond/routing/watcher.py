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

from . import service as service_module
from . import upstreams

LIST_POLL_S = 0.5
MIN_LOAD_WAIT_S = 0.05

LOG = structlog.get_logger(__name__)

PollLoad = collections.abc.Callable[
    [upstreams.Upstream, tree_schema.NodeSettings],
    upstreams.LoadReport | None,
]


class Routers:
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
        self._routers: dict[str, service_module.ServiceRouter] = {}
        self._known: dict[str, list[instance_list.ListedInstance]] = {}
        self._watched: set[upstreams.Upstream] = set()
        self._stopping = threading.Event()
        self._list_reachable = True
        self._refreshed_revision = 0
        self._settings_changed = threading.Event()
        current.subscribe(lambda _settings: self._settings_changed.set())

    @property
    def refreshed_revision(self) -> int:
        """Return the settings revision whose upstreams have been read."""
        return self._refreshed_revision

    def start(self) -> None:
        """Start the task that reads the instance list."""
        threading.Thread(
            target=self._run, name='upstream-list', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask all tasks to end."""
        self._stopping.set()
        self._settings_changed.set()

    def get(self, service: str) -> service_module.ServiceRouter:
        """Return the router of a service."""
        with self._lock:
            router = self._routers.get(service)
            if router is None:
                router = service_module.ServiceRouter(
                    service, self._metrics, self._rng
                )
                self._routers[service] = router
            return router

    def services(self) -> dict[str, service_module.ServiceRouter]:
        """Return all routers by service."""
        with self._lock:
            return dict(self._routers)

    def refresh(self) -> None:
        """Read the upstreams of all services, keeping lists unread anew."""
        settings = self._current.settings
        # The settings may have changed even if the list is down or slow.
        for service, listed in self._known.items():
            self._apply(service, listed)
        failure: instance_list.ListError | None = None
        for service in settings.tree.services():
            try:
                self._known[service] = self._listed.instances(service)
            except instance_list.ListError as error:
                failure = error
                break
            self._apply(service, self._known[service])
        self._note_list(failure)
        if failure is None:
            self._refreshed_revision = settings.revision

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.refresh()
            self._settings_changed.wait(LIST_POLL_S)
            self._settings_changed.clear()

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
        self.get(service).pool.replace(
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
            state = router.pool.get(upstream.instance)
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
