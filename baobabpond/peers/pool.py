"""Keep idle connections to other instances for the next call."""

import collections
import collections.abc
import threading
import typing

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

CONNECT_TIMEOUT_MS = 1000
MAX_IDLE_CONNECTIONS = 8

Address = tuple[str, int]
C = typing.TypeVar('C')
T = typing.TypeVar('T')


class PeerError(Exception):
    """Report that another instance did not answer."""


class Connection(typing.NamedTuple, typing.Generic[C]):
    """Hold an open connection and the client that uses it."""

    socket: TSocket.TSocket
    transport: TTransport.TFramedTransport
    client: C


class ClientPool(typing.Generic[C]):
    """Call a service of other instances over pooled connections."""

    def __init__(
        self,
        make_client: collections.abc.Callable[
            [TCompactProtocol.TCompactProtocol], C
        ],
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
    ) -> None:
        self._make_client = make_client
        self._connect_timeout_ms = connect_timeout_ms
        self._lock = threading.Lock()
        self._idle: dict[Address, list[Connection[C]]] = (
            collections.defaultdict(list)
        )

    def call(
        self,
        address: Address,
        timeout_ms: int,
        action: collections.abc.Callable[[C], T],
        passed: tuple[type[Exception], ...] = (),
    ) -> T:
        """Return the answer of an instance.

        Raises PeerError, or what the service declares and is to be passed.
        """
        try:
            connection = self._take(address)
            connection.socket.setTimeout(timeout_ms)
            answer = action(connection.client)
        except passed:
            self._give_back(address, connection)
            raise
        except (Thrift.TException, OSError, EOFError) as error:
            # Idle connections to a lost instance are of no use either.
            self._forget(address)
            raise PeerError(str(error)) from error
        self._give_back(address, connection)
        return answer

    def _take(self, address: Address) -> Connection[C]:
        with self._lock:
            idle = self._idle[address]
            if idle:
                return idle.pop()
        socket = TSocket.TSocket(*address)
        socket.setTimeout(self._connect_timeout_ms)
        transport = TTransport.TFramedTransport(socket)
        transport.open()
        protocol = TCompactProtocol.TCompactProtocol(transport)
        return Connection(socket, transport, self._make_client(protocol))

    def _give_back(self, address: Address, connection: Connection[C]) -> None:
        with self._lock:
            idle = self._idle[address]
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.transport.close()

    def _forget(self, address: Address) -> None:
        with self._lock:
            connections = self._idle.pop(address, [])
        for connection in connections:
            connection.transport.close()
