"""Hold the upstreams that a shard's owner uses."""

import time
import typing

from ..catalogue import directory as directory_module

from . import placement
from . import work as work_module


class Fleet:
    """Follow the directory; the pool's lock guards all calls."""

    def __init__(self, directory: directory_module.UpstreamDirectory) -> None:
        self._directory = directory
        self._upstreams: dict[tuple[str, int], work_module.Upstream] = {}

    def refresh(self) -> list[work_module.Run]:
        """Take the entries in force; return the runs of lost upstreams."""
        lost: list[work_module.Run] = []
        present = set()
        for entry in self._directory.entries():
            present.add(entry.incarnation)
            upstream = self._upstreams.get(entry.incarnation)
            if upstream is None:
                self._upstreams[entry.incarnation] = work_module.Upstream(
                    entry
                )
            elif upstream.entry is not entry:
                upstream.note_entry(entry)
        for incarnation in set(self._upstreams) - present:
            upstream = self._upstreams.pop(incarnation)
            if any(name == upstream.id for name, _ in present):
                # The same id started again; the old one's runs are gone.
                lost += upstream.runs
        return lost

    def all(self) -> typing.Iterable[work_module.Upstream]:
        """Return all upstreams."""
        return self._upstreams.values()

    def of(self, service: str) -> list[work_module.Upstream]:
        """Return a service's upstreams that may get new work."""
        return [
            upstream
            for upstream in list(self._upstreams.values())
            if upstream.entry.service == service
            and not upstream.entry.draining
        ]

    def choices(
        self, service: str, work: work_module.Work, memory_tokens: int = 0
    ) -> list[placement.Choice]:
        """Return where an item may run now."""
        now = time.monotonic()
        return [
            placement.Choice(
                upstream.id,
                upstream.gap_s,
                len(upstream.runs),
                _slots(upstream),
                _holds_prompt(upstream, work),
                _memory(upstream, work, memory_tokens),
            )
            for upstream in self.of(service)
            if upstream.suspended_until <= now and _may_run(upstream, work)
        ]

    def obstacle(self, service: str, work: work_module.Work) -> str:
        """Return what an item without an upstream waits for."""
        upstreams = self.of(service)
        if not upstreams:
            return 'upstreams'
        able = [one for one in upstreams if _may_run(one, work)]
        if not able:
            return 'weights'
        now = time.monotonic()
        if all(one.suspended_until > now for one in able):
            return 'suspension'
        return 'slots'

    def find(self, upstream_id: str) -> work_module.Upstream | None:
        """Return an upstream by its id."""
        for upstream in self._upstreams.values():
            if upstream.id == upstream_id:
                return upstream
        return None


def _may_run(upstream: work_module.Upstream, work: work_module.Work) -> bool:
    load = upstream.load
    if load is not None and load.model == work.model:
        return False
    required = work.required_version
    if required:
        return upstream.versions.get(work.model, 0) == required
    return upstream.serves(work.model, work.min_version)


def _slots(upstream: work_module.Upstream) -> int:
    """Return the usable slots; one after a failure, until a run ends."""
    if upstream.failures_in_row:
        return 1
    return upstream.entry.slots


def _holds_prompt(
    upstream: work_module.Upstream, work: work_module.Work
) -> bool:
    group = work.item.group
    return bool(group) and any(
        run.work.item.group == group for run in upstream.runs
    )


def _memory(
    upstream: work_module.Upstream, work: work_module.Work, tokens: int
) -> float:
    """Return the share of memory that the runs and one item will need."""
    if tokens <= 0:
        return 0.0
    needed = work.memory_tokens
    needed += sum(run.work.memory_tokens for run in upstream.runs)
    return needed / tokens
