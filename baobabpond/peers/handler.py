"""Serve all calls of other instances on a platform."""

from ..gen.peer import LogRelay
from ..ratelimits import peers as permit_peers
from ..reachability import peers as reach_peers
from ..store import handler as relay_handler


class PeerHandler(LogRelay.Iface):
    """Pass each call to the part of the product that serves it."""

    def __init__(
        self,
        relay: relay_handler.RelayHandler,
        permits: permit_peers.PermitHandler,
        reach: reach_peers.ReachHandler,
    ) -> None:
        self.append = relay.append
        self.read = relay.read
        self.newest = relay.newest
        self.snapshot = relay.snapshot
        self.obtain_permit = permits.obtain_permit
        self.find_reached = reach.find_reached
