"""Call the peer service of other instances."""

from ..gen.peer import Peer
from ..gen.peer import ttypes

from . import pool

CALL_TIMEOUT_MS = 3000
PeerError = pool.PeerError


class PeerClients:
    """Typed calls to the peer service over pooled connections."""

    def __init__(self) -> None:
        self._pool: pool.ClientPool[Peer.Client] = pool.ClientPool(Peer.Client)

    def exchange_members(
        self, host: str, port: int, members: list[ttypes.Member]
    ) -> list[ttypes.Member]:
        """Send a member table and return the other one.

        Raises PeerError.
        """
        return self._pool.call(
            (host, port),
            CALL_TIMEOUT_MS,
            lambda client: client.exchange_members(members),
        )

    def fetch_settings(self, host: str, port: int) -> ttypes.SettingsBody:
        """Return another instance's settings.

        Raises PeerError.
        """
        return self._pool.call(
            (host, port),
            CALL_TIMEOUT_MS,
            lambda client: client.fetch_settings(),
        )

    def trainer_call(
        self, member: ttypes.Member, call: ttypes.TrainerCall
    ) -> ttypes.TrainerReply:
        """Forward a trainer's call to its owner.

        Raises PeerError.
        """
        return self._pool.call(
            (member.address, member.peer_port),
            call.timeout_ms,
            lambda client: client.trainer_call(call),
        )
