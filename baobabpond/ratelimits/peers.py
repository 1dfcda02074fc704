"""Ask the owner of the shard for permits, and answer others that ask."""

import collections.abc

import structlog

from .. import metrics as metrics_module
from ..gen.peer import LogRelay
from ..gen.peer import ttypes
from ..peers import pool as pool_module

from . import bucket as bucket_module
from . import issuer as issuer_module
from . import tracker as tracker_module

CONNECT_TIMEOUT_MS = 200
# A caller waits for the decision.
CALL_TIMEOUT_MS = 300

LOG = structlog.get_logger(__name__)

# Returns the address of the owner of the shard, None if there is none.
FindOwner = collections.abc.Callable[[], pool_module.Address | None]


class PeerIssuer:
    """Ask the instance that owns the shard."""

    def __init__(self, find_owner: FindOwner) -> None:
        self._find_owner = find_owner
        self._pool: pool_module.ClientPool[LogRelay.Client] = (
            pool_module.ClientPool(LogRelay.Client, CONNECT_TIMEOUT_MS)
        )

    def ask(
        self,
        incarnation: tracker_module.Incarnation,
        limit: float,
        urgency: bucket_module.Urgency,
    ) -> bucket_module.Decision | None:
        """Return its decision, None if it is unknown or does not respond."""
        owner = self._find_owner()
        if owner is None:
            return None
        upstream, born = incarnation
        call = ttypes.PermitCall(
            upstream, born, limit, urgency.max_wait_s, urgency.spare
        )
        try:
            decision = self._pool.call(
                owner,
                CALL_TIMEOUT_MS,
                lambda client: client.obtain_permit(call),
                (ttypes.NotIssuer,),
            )
        except (ttypes.NotIssuer, pool_module.PeerError) as error:
            LOG.info(
                'no permit from the owner',
                upstream=upstream,
                owner=owner[0],
                error=str(error),
            )
            return None
        return bucket_module.Decision(decision.is_granted, decision.delay_s)


class PermitHandler:
    """Decide on the requests of other instances."""

    def __init__(
        self,
        issuer: issuer_module.PermitIssuer,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._issuer = issuer
        self._metrics = metrics

    def obtain_permit(self, call: ttypes.PermitCall) -> ttypes.PermitDecision:
        """Decide on a request; raise NotIssuer."""
        decision = self._issuer.issue(
            (call.upstream, call.born),
            call.limit,
            bucket_module.Urgency(call.max_wait_s, call.spare),
        )
        if decision is None:
            raise ttypes.NotIssuer('this instance does not own the shard')
        outcome = 'granted' if decision.is_granted else 'refused'
        self._metrics.count(f'ratelimits.{outcome}_for_peers')
        return ttypes.PermitDecision(decision.is_granted, decision.delay_s)
