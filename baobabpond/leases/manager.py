"""Acquire and renew one lease, and report while it is valid."""

import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen import records as schema
from ..log import shared
from ..log import writer as writer_module

from . import fold as fold_module

RENEW_AFTER_SHARE = 1 / 3
# Others wait longer than the holder considers the lease valid, so that
# clock drift cannot make two holders overlap.
TAKEOVER_FACTOR = 1.25
COMMIT_TIMEOUT_S = 2.0

LOG = structlog.get_logger(__name__)


class HeldLease(typing.NamedTuple):
    """Describe a held lease: fencing token and monotonic expiry time."""

    fence: int
    expires_at: float


class LeaseManager:
    """Acquire one lease for this process whenever no other holds it."""

    def __init__(
        self,
        name: str,
        holder: str,
        log: shared.SharedLog,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._name = name
        self._holder = holder
        self._log = log
        self._fold = log.state.fold(fold_module.LeaseFold)
        self._metrics = metrics
        self._lock = threading.Lock()
        self._held_lease: HeldLease | None = None
        self._observed_offset: int | None = None
        self._observed_at = 0.0

    @property
    def held_lease(self) -> HeldLease | None:
        """Return the lease, or None if it is not held or has expired."""
        held_lease = self._held_lease
        if held_lease is None or time.monotonic() >= held_lease.expires_at:
            return None
        return held_lease

    def acquire_or_renew(self, lease_s: float) -> HeldLease | None:
        """Acquire the lease if available, renew it if due, and return it."""
        with self._lock:
            held_lease = self.held_lease
            if held_lease is not None and not self._renewal_due(
                held_lease, lease_s
            ):
                return held_lease
            if not self._log.follower.healthy:
                return held_lease
            if held_lease is None and not self._is_available(lease_s):
                return None
            self._append_and_wait(lease_s, released=False)
            return self.held_lease

    def release(self) -> None:
        """Release the lease, so that others need not wait for its expiry."""
        with self._lock:
            if self.held_lease is None:
                return
            self._held_lease = None
            self._submit(released=True)

    def _renewal_due(self, held_lease: HeldLease, lease_s: float) -> bool:
        remaining = held_lease.expires_at - time.monotonic()
        return remaining < lease_s * (1 - RENEW_AFTER_SHARE)

    def _is_available(self, lease_s: float) -> bool:
        entry = self._fold.get(self._name)
        if entry is None or entry.released or entry.holder == self._holder:
            return True
        now = time.monotonic()
        if entry.last_offset != self._observed_offset:
            self._observed_offset = entry.last_offset
            self._observed_at = now
            return False
        return now - self._observed_at >= lease_s * TAKEOVER_FACTOR

    def _append_and_wait(self, lease_s: float, released: bool) -> None:
        # The lease period starts before the append: a later start could let
        # the lease outlast the time after which others take it over.
        started = time.monotonic()
        pending = self._submit(released)
        if not self._log.wait_settled(pending, started + COMMIT_TIMEOUT_S):
            self._log.writer.cancel(pending)
            return
        entry = self._fold.get(self._name)
        if entry is None or entry.holder != self._holder or entry.released:
            self._mark_lost()
            return
        if self._held_lease is None or self._held_lease.fence != entry.fence:
            self._metrics.count('leases.acquired')
            LOG.info('lease acquired', name=self._name, fence=entry.fence)
        self._held_lease = HeldLease(entry.fence, started + lease_s)

    def _mark_lost(self) -> None:
        if self._held_lease is not None:
            self._metrics.count('leases.lost')
            LOG.warning('lease lost', name=self._name)
        self._held_lease = None

    def _submit(self, released: bool) -> writer_module.PendingItem:
        entry = self._fold.get(self._name)
        item: schema.Lease = {
            'type': 'lease',
            'name': self._name,
            'holder': self._holder,
            'previous_offset': fold_module.NO_OFFSET
            if entry is None
            else entry.last_offset,
            'released': released,
        }
        return self._log.writer.submit(item)
