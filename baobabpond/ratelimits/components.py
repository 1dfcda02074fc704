"""Wire up what keeps the limits that upstreams state."""

from .. import metrics as metrics_module
from ..batches import ownership as ownership_module
from ..batches import shard_state as state_module
from ..catalogue import directory as directory_module
from ..members import roster as roster_module
from ..peers import pool as pool_module
from ..ports import log as log_port

from . import issuer as issuer_module
from . import peers
from . import permits as permits_module
from . import sharing as sharing_module
from . import tracker as tracker_module


class LimitComponents:
    """The limits that one instance knows, and the permits it issues."""

    def __init__(
        self,
        instance: str,
        log: log_port.Log,
        directory: directory_module.UpstreamDirectory,
        roster: roster_module.Roster,
        shard_state: state_module.ShardState,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._roster = roster
        self._shard_state = shard_state
        self.tracker = tracker_module.LimitTracker(metrics)
        self._issuer = issuer_module.PermitIssuer(self.tracker)
        self.permits = permits_module.Permits(
            self.tracker,
            self._issuer,
            peers.PeerIssuer(self._find_owner),
            metrics,
        )
        self.permit_handler = peers.PermitHandler(self._issuer, metrics)
        self.sharing = sharing_module.LimitSharing(
            instance,
            roster_module.TOPIC,
            roster_module.PARTITION,
            log,
            self.tracker,
            lambda: {entry.incarnation for entry in directory.entries()},
            metrics,
        )

    def start(self) -> None:
        """Start to share limits."""
        self.sharing.start()

    def set_ownership(self, ownership: ownership_module.Ownership) -> None:
        """Issue permits while this instance owns the shard."""

        def authority() -> issuer_module.Authority | None:
            tenure = ownership.tenure
            if tenure is None:
                return None
            return issuer_module.Authority(
                tenure.epoch, ownership.has_owner_lease
            )

        self._issuer.set_authority(authority)

    def _find_owner(self) -> pool_module.Address | None:
        owner = self._shard_state.owner
        if owner is None or owner.record.released:
            return None
        return self._roster.peer_address_of(owner.record.instance)
