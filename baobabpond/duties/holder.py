"""Tell whether this instance holds the duties of the deployment."""

import typing

from .. import clock
from ..batches import ownership as ownership_module
from ..ports import control


class Ownership(typing.Protocol):
    """Tell whether this instance owns the shard."""

    @property
    def tenure(self) -> ownership_module.Tenure | None:
        """Return the current tenure, None if this is not the owner."""
        ...

    @property
    def has_owner_lease(self) -> bool:
        """Return whether no other instance can own the shard now."""
        ...


class DutyHolder:
    """Derive the duties from the ownership of the shard.

    The owner's epoch is the fencing token. A new owner makes no calls before
    the lease has passed, so that calls of its predecessor have arrived.
    """

    def __init__(
        self, instance: str, ownership: Ownership, lease_s: float
    ) -> None:
        self._instance = instance
        self._ownership = ownership
        self._lease_s = lease_s

    @property
    def owner(self) -> control.Duty | None:
        """Return the duty of the owner, also while it waits for the lease."""
        tenure = self._ownership.tenure
        if tenure is None or not self._ownership.has_owner_lease:
            return None
        return control.Duty(self._instance, tenure.epoch)

    @property
    def current(self) -> control.Duty | None:
        """Return the duty if this instance may make calls now."""
        tenure = self._ownership.tenure
        if tenure is None:
            return None
        if clock.since_boot_s() - tenure.began_boot_s < self._lease_s:
            return None
        # Last, as the lease may end at any time.
        if not self._ownership.has_owner_lease:
            return None
        return control.Duty(self._instance, tenure.epoch)

    def update_lease(self, lease_s: float) -> None:
        """Set the minimum time between the calls of two holders."""
        self._lease_s = lease_s
