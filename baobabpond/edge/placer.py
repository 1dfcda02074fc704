"""Choose the upstream of an attempt, and obtain a permit if it needs one.

Upstreams without a limit come first, as long as they have room.
"""

import typing

from ..catalogue import directory as directory_module
from ..crashes import guard as guard_module
from ..ports import catalogue
from ..ratelimits import bucket as bucket_module
from ..ratelimits import permits as permits_module
from ..upstreams import load_balancer as load_balancer_module

# Upstreams that one attempt asks for a permit, each of which takes a call.
MAX_ASKED = 4


class PlacementRequest(typing.NamedTuple):
    """What the choice of an upstream depends on."""

    digest: str
    service: str
    # Upstreams that earlier attempts have used.
    tried: set[str]
    remaining_s: float
    urgency: bucket_module.Urgency
    # Software version that the upstream must have; None for any.
    software: str | None = None
    # Requests of different kinds take different times.
    kind: str = ''


class Placed(typing.NamedTuple):
    """An upstream that has been chosen, and the permit to use it."""

    placement: guard_module.Placement
    permit: permits_module.Permit


class Placer:
    """Choose among the upstreams that a service has now."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        guard: guard_module.CrashGuard,
        load_balancer: load_balancer_module.LoadBalancer,
        permits: permits_module.Permits,
    ) -> None:
        self._directory = directory
        self._guard = guard
        self._load_balancer = load_balancer
        self._permits = permits

    def place(self, request: PlacementRequest) -> Placed | None:
        """Choose an upstream; None if there is none.

        The placement must be released. Raises RateLimited if only limits
        prevent it, with the shortest delay.
        """
        refusals: dict[str, permits_module.RateLimited] = {}
        while len(refusals) < MAX_ASKED:
            placement = self._guard.choose(
                request.digest,
                lambda: self._eligible(request, refusals),
                request.tried,
                request.remaining_s,
                request.kind,
            )
            if placement is None:
                break
            try:
                permit = self._permits.obtain(placement.entry, request.urgency)
            except permits_module.RateLimited as error:
                refusals[placement.entry.id] = error
                self._give_back(placement)
            else:
                return Placed(placement, permit)
        self._raise_refusal(request, refusals)
        return None

    def _eligible(
        self,
        request: PlacementRequest,
        refusals: dict[str, permits_module.RateLimited],
    ) -> list[catalogue.UpstreamEntry]:
        entries = [
            entry
            for entry in self._usable(request)
            if entry.id not in refusals
            and not self._permits.refused_s(entry, request.urgency)
        ]
        roomy = [
            entry
            for entry in entries
            if entry.id not in request.tried
            and self._load_balancer.has_free_slot(entry)
        ]
        unlimited = [
            entry for entry in roomy if not self._permits.is_limited(entry)
        ]
        return unlimited or roomy or entries

    def _usable(
        self, request: PlacementRequest
    ) -> list[catalogue.UpstreamEntry]:
        return [
            entry
            for entry in self._directory.usable(request.service)
            if request.software in (None, entry.software)
        ]

    def _give_back(self, placement: guard_module.Placement) -> None:
        self._load_balancer.record_outcome(placement.entry, None, None, None)
        self._guard.release(placement)

    def _raise_refusal(
        self,
        request: PlacementRequest,
        refusals: dict[str, permits_module.RateLimited],
    ) -> None:
        """Raise the refusal with the shortest delay, if there is any."""
        known = list(refusals.values())
        for entry in self._usable(request):
            retry_s = self._permits.refused_s(entry, request.urgency)
            if retry_s > 0 and entry.id not in request.tried:
                known.append(self._permits.refusal(entry, retry_s))
        if known:
            raise min(known, key=lambda refusal: refusal.retry_s)
