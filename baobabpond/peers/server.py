"""Answer the calls of other instances, a task for each connection."""

import logging
import threading
import typing

from thrift.protocol import TCompactProtocol
from thrift.server import TServer
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

from ..gen.peer import Peer
from ..gen.peer import ttypes
from ..members import table as table_module
from ..settings import current as current_module

# The library logs each connection that ends; counters tell enough.
logging.getLogger('thrift').setLevel(logging.CRITICAL)

TrainerHandler = typing.Callable[[ttypes.TrainerCall], ttypes.TrainerReply]


class PeerHandler:
    """Answer calls from what this instance knows."""

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
        """Take in a member table and return this one."""
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
        """Serve a trainer that this instance owns."""
        return self._trainer_handler(call)


def start(address: str, port: int, handler: PeerHandler) -> None:
    """Serve calls in tasks of their own until the process ends."""
    serve(address, port, Peer.Processor(handler))


class ListeningSocket(TSocket.TServerSocket):
    """Listen once, from before the server's task starts."""

    def listen(self) -> None:
        """Listen unless it does already."""
        if self.handle is None:
            super().listen()


def serve(address: str, port: int, processor: Thrift.TProcessor) -> None:
    """Serve a processor in tasks of its own until the process ends."""
    listener = ListeningSocket(host=address, port=port)
    listener.listen()
    server = TServer.TThreadedServer(
        processor,
        listener,
        TTransport.TFramedTransportFactory(),
        TCompactProtocol.TCompactProtocolFactory(),
        daemon=True,
    )
    threading.Thread(
        target=server.serve, name='peer-server', daemon=True
    ).start()
