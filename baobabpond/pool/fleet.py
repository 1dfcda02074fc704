"""Track the upstreams that the owner of a shard schedules on."""

import time
import typing

from ..catalogue import directory as directory_module
from ..ratelimits import bucket as bucket_module
from ..ratelimits import permits as permits_module
from ..upstreams.capacity import estimator as capacity_module

from . import placement
from . import state


# What an item waits for.
WEIGHTS = 'weights'
SOFTWARE = 'software version'
REQUEST_LIMITS = 'request limits'


class Fleet:
    """Track the directory; the scheduler's lock guards all calls."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        permits: permits_module.PermitSource,
        learner: capacity_module.CapacityLearner | None = None,
    ) -> None:
        self._learner = learner or capacity_module.Learner(state.INITIAL_GAP_S)
        self._directory = directory
        self._permits = permits
        self._upstreams: dict[tuple[str, int], state.Upstream] = {}

    def refresh(self) -> list[state.Run]:
        """Apply current entries; return the runs of restarted upstreams."""
        lost: list[state.Run] = []
        present = set()
        for entry in self._directory.entries():
            present.add(entry.incarnation)
            upstream = self._upstreams.get(entry.incarnation)
            if upstream is None:
                self._upstreams[entry.incarnation] = state.Upstream(
                    entry, self._learner.track(entry.service, entry.slots)
                )
            elif upstream.entry is not entry:
                upstream.update_entry(entry)
        for incarnation in set(self._upstreams) - present:
            upstream = self._upstreams.pop(incarnation)
            if any(name == upstream.id for name, _ in present):
                # It restarted under the same id; the old runs are lost.
                lost += upstream.runs
        return lost

    def all(self) -> typing.Iterable[state.Upstream]:
        """Return all upstreams."""
        return self._upstreams.values()

    def capacities(self) -> list[tuple[str, capacity_module.Capacity]]:
        """Return the names of the upstreams and what was learnt of them."""
        return [
            (upstream.id, upstream.capacity)
            for upstream in self._upstreams.values()
        ]

    def schedulable(self, service: str) -> list[state.Upstream]:
        """Return a service's upstreams that are not draining."""
        return [
            upstream
            for upstream in list(self._upstreams.values())
            if upstream.entry.service == service
            and not upstream.entry.draining
        ]

    def has_free_slot(self, now: float) -> bool:
        """Return whether an upstream may have room for a run."""
        return any(
            upstream.suspended_until <= now
            and len(upstream.runs) < _usable_slots(upstream)
            and not upstream.entry.draining
            for upstream in self._upstreams.values()
        )

    def candidates(
        self,
        service: str,
        task: state.Task,
        kv_capacity_tokens: int = 0,
        any_software: bool = False,
    ) -> list[placement.Candidate]:
        """Return the upstreams that can run the item now.

        Those of other software versions can't resume its output, but begin a
        new one.
        """
        now = time.monotonic()
        return [
            placement.Candidate(
                upstream.id,
                upstream.capacity.expected_s(task.model, now),
                len(upstream.runs),
                _usable_slots(upstream),
                _has_cached_prefix(upstream, task),
                _memory_usage(upstream, task, kv_capacity_tokens),
                self._permits.is_limited(upstream.entry),
                upstream.capacity.limit,
                upstream.capacity.present_factor(now),
            )
            for upstream in self.schedulable(service)
            if upstream.suspended_until <= now
            and _can_run(upstream, task)
            and (any_software or _can_resume(upstream, task))
            and self._has_permit(upstream)
        ]

    def take_permit(self, upstream: state.Upstream) -> permits_module.Permit:
        """Return a permit for a run; raise RateLimited."""
        return self._permits.take(upstream.entry, bucket_module.BACKGROUND)

    def is_limited(self, upstream: state.Upstream) -> bool:
        """Return whether an upstream states a limit."""
        return self._permits.is_limited(upstream.entry)

    def limited_services(self) -> set[str]:
        """Return the services all of whose upstreams state limits."""
        limited: dict[str, bool] = {}
        for upstream in self._upstreams.values():
            service = upstream.entry.service
            limited[service] = limited.get(service, True) and self.is_limited(
                upstream
            )
        return {
            service for service, is_limited in limited.items() if is_limited
        }

    def _has_permit(self, upstream: state.Upstream) -> bool:
        return self._permits.has_permit(
            upstream.entry, bucket_module.BACKGROUND
        )

    def has_software(self, service: str, software: str | None) -> bool:
        """Return whether an upstream with a software version accepts runs."""
        return any(
            upstream.entry.software == software
            for upstream in self.schedulable(service)
        )

    def wait_reason(self, service: str, task: state.Task) -> str:
        """Return what an item that cannot start is waiting for."""
        upstreams = self.schedulable(service)
        if not upstreams:
            return 'upstreams'
        eligible = [
            upstream for upstream in upstreams if _can_run(upstream, task)
        ]
        if not eligible:
            return WEIGHTS
        eligible = [
            upstream for upstream in eligible if _can_resume(upstream, task)
        ]
        if not eligible:
            return SOFTWARE
        now = time.monotonic()
        if all(upstream.suspended_until > now for upstream in eligible):
            return 'suspension'
        if not any(map(self._has_permit, eligible)):
            return REQUEST_LIMITS
        return 'slots'

    def find(self, upstream_id: str) -> state.Upstream | None:
        """Return an upstream by its id."""
        for upstream in self._upstreams.values():
            if upstream.id == upstream_id:
                return upstream
        return None


def _can_run(upstream: state.Upstream, task: state.Task) -> bool:
    load = upstream.load
    if load is not None and load.model == task.model:
        return False
    required = task.required_version
    if required:
        return upstream.versions.get(task.model, 0) == required
    return upstream.serves(task.model, task.min_version)


def _can_resume(upstream: state.Upstream, task: state.Task) -> bool:
    return not task.events or upstream.entry.software == task.software


def _usable_slots(upstream: state.Upstream) -> int:
    """Return the usable slots: one from a failure until a run completes."""
    if upstream.consecutive_failures:
        return 1
    return upstream.entry.slots


def _has_cached_prefix(upstream: state.Upstream, task: state.Task) -> bool:
    group = task.item.group
    return bool(group) and any(
        run.task.item.group == group for run in upstream.runs
    )


def _memory_usage(
    upstream: state.Upstream, task: state.Task, capacity_tokens: int
) -> float:
    """Return the share of the KV cache needed by all runs and this item."""
    if capacity_tokens <= 0:
        return 0.0
    needed = task.expected_kv_tokens
    needed += sum(run.task.expected_kv_tokens for run in upstream.runs)
    return needed / capacity_tokens
