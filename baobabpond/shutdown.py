"""Stop an instance on a platform without cutting requests."""

import time

import structlog

from .batches import ownership as ownership_module
from .edge import app as app_module
from .edge import draining
from .edge import relay_handler as relay_handler_module
from .edge import server
from .members import roster as roster_module

# Some callers cache the list of instances for this many times its validity.
VALIDITY_FACTOR = 3
LEAVE_PROPAGATION_S = 0.5
# Left between the end of draining and the end of the grace period.
GRACE_MARGIN_S = 1.0
RELEASE_TIMEOUT_S = 2.0

LOG = structlog.get_logger(__name__)


class GracefulShutdown:
    """Leave the list for callers, give the shard up, drain and stop."""

    def __init__(
        self,
        roster: roster_module.Roster,
        ownership: ownership_module.Ownership,
        caller_app: app_module.CallerApp,
        relay_handler: relay_handler_module.RelayHandler,
        # Those whose requests are waited for.
        request_servers: list[server.Server],
        other_servers: list[server.Server],
    ) -> None:
        self._roster = roster
        self._ownership = ownership
        self._caller_app = caller_app
        self._relay_handler = relay_handler
        self._request_servers = request_servers
        self._other_servers = other_servers

    def run(self, grace_s: float, validity_s: float) -> bool:
        """Stop within the grace period, in seconds.

        The validity is that of the list that callers cache. Returns whether
        all requests completed.
        """
        deadline = time.monotonic() + grace_s - GRACE_MARGIN_S
        self._roster.leave()
        announced_until = min(
            deadline,
            time.monotonic()
            + VALIDITY_FACTOR * validity_s
            + LEAVE_PROPAGATION_S,
        )
        self._caller_app.start_draining(
            draining.Drain(announced_until, deadline)
        )
        self._relay_handler.start_draining()
        self._ownership.release(RELEASE_TIMEOUT_S)
        time.sleep(max(0.0, announced_until - time.monotonic()))
        self._wait_idle(deadline)
        # From now on nothing begins that stopping the servers would cut.
        now = time.monotonic()
        self._caller_app.start_draining(draining.Drain(now, now))
        drained = self._wait_idle(deadline)
        for http_server in (*self._request_servers, *self._other_servers):
            http_server.stop()
        LOG.info('left', drained=drained)
        return drained

    def _wait_idle(self, deadline: float) -> bool:
        """Wait for the requests in flight; return False on timeout."""
        return all(
            request_server.wait_idle(max(0.0, deadline - time.monotonic()))
            for request_server in self._request_servers
        )
