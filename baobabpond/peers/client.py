"""Call other instances over pooled connections."""

import collections
import collections.abc
import threading
import typing

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

from ..gen.peer import Peer
from ..gen.peer import ttypes

CONNECT_TIMEOUT_MS = 1000
CALL_TIMEOUT_MS = 3000
MAX_IDLE_CONNECTIONS = 8

T = typing.TypeVar('T')


class PeerError(Exception):
    """Report that another instance did not answer."""


class Connection(typing.NamedTuple):
    """Hold an open connection and the client that uses it."""

    socket: TSocket.TSocket
    transport: TTransport.TFramedTransport
    client: Peer.Client


class PeerClients:
    """Keep idle connections to other instances for the next call."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._idle: dict[tuple[str, int], list[Connection]] = (
            collections.defaultdict(list)
        )

    def exchange_members(
        self, host: str, port: int, members: list[ttypes.Member]
    ) -> list[ttypes.Member]:
        """Swap member tables, or raise PeerError."""
        return self._call(
            (host, port),
            CALL_TIMEOUT_MS,
            lambda client: client.exchange_members(members),
        )

    def fetch_settings(self, host: str, port: int) -> ttypes.SettingsBody:
        """Return another instance's settings, or raise PeerError."""
        return self._call(
            (host, port),
            CALL_TIMEOUT_MS,
            lambda client: client.fetch_settings(),
        )

    def trainer_call(
        self, member: ttypes.Member, call: ttypes.TrainerCall
    ) -> ttypes.TrainerReply:
        """Forward a trainer's call to its owner, or raise PeerError."""
        return self._call(
            (member.address, member.peer_port),
            call.timeout_ms,
            lambda client: client.trainer_call(call),
        )

    def _call(
        self,
        address: tuple[str, int],
        timeout_ms: int,
        action: collections.abc.Callable[[Peer.Client], T],
    ) -> T:
        try:
            connection = self._take(address)
            connection.socket.setTimeout(timeout_ms)
            answer = action(connection.client)
        except (Thrift.TException, OSError, EOFError) as error:
            # Idle connections to a lost instance are of no use either.
            self._forget(address)
            raise PeerError(str(error)) from error
        self._give_back(address, connection)
        return answer

    def _take(self, address: tuple[str, int]) -> Connection:
        with self._lock:
            idle = self._idle[address]
            if idle:
                return idle.pop()
        socket = TSocket.TSocket(*address)
        socket.setTimeout(CONNECT_TIMEOUT_MS)
        transport = TTransport.TFramedTransport(socket)
        transport.open()
        protocol = TCompactProtocol.TCompactProtocol(transport)
        return Connection(socket, transport, Peer.Client(protocol))

    def _give_back(
        self, address: tuple[str, int], connection: Connection
    ) -> None:
        with self._lock:
            idle = self._idle[address]
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.transport.close()

    def _forget(self, address: tuple[str, int]) -> None:
        with self._lock:
            connections = self._idle.pop(address, [])
        for connection in connections:
            connection.transport.close()
