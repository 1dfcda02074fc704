"""Serve the calls of other instances."""

import typing

from .. import metrics as metrics_module
from ..edge import client_limits
from ..gen.peer import Peer
from ..gen.peer import ttypes
from ..members import table as table_module
from ..settings import current as current_module

from . import thrift_server

# Calls of trainers carry whole batches, up to the largest frame that the
# Thrift library sends and receives by default.
FRAME_BYTES = 16_384_000
MEMORY_BYTES = 64_000_000

TrainerHandler = typing.Callable[[ttypes.TrainerCall], ttypes.TrainerReply]


class PeerHandler:
    """Serve the peer service from the state of this instance."""

    def __init__(
        self,
        table: table_module.MemberTable,
        current: current_module.CurrentSettings,
        trainer_handler: TrainerHandler,
    ) -> None:
        self._table = table
        self._current = current
        self._trainer_handler = trainer_handler

    def exchange_members(
        self, members: list[ttypes.Member]
    ) -> list[ttypes.Member]:
        """Merge a member table and return the merged one."""
        for member in members:
            self._table.merge(member)
        return self._table.members()

    def fetch_settings(self) -> ttypes.SettingsBody:
        """Return the settings in force."""
        settings = self._current.settings
        return ttypes.SettingsBody(
            revision=settings.revision, tree_json=settings.tree.to_json()
        )

    def trainer_call(self, call: ttypes.TrainerCall) -> ttypes.TrainerReply:
        """Serve a call of a trainer that this instance owns."""
        return self._trainer_handler(call)


def start(
    address: str,
    port: int,
    handler: PeerHandler,
    metrics: metrics_module.Metrics,
) -> None:
    """Serve calls in background threads until the process ends."""
    limits = client_limits.from_settings({}, client_limits.PEER_SHARE)
    thrift_server.serve(
        address,
        port,
        Peer.Processor(handler),
        metrics,
        limits._replace(
            peer_frame_bytes=FRAME_BYTES, peer_memory_bytes=MEMORY_BYTES
        ),
    )
