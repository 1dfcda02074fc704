"""Pool Thrift connections to other instances."""

import collections
import collections.abc
import threading
import time
import typing

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

CONNECT_TIMEOUT_MS = 1000
MAX_IDLE_CONNECTIONS = 8
# Four fifths of the time after which listeners close idle connections
# (peer_idle_s), so that a call does not meet the end of its connection.
MAX_IDLE_S = 48.0
MS_PER_S = 1000

Address = tuple[str, int]
C = typing.TypeVar('C')
T = typing.TypeVar('T')


class PeerError(Exception):
    """Raised when a call to another instance fails."""


class DeadlineSocket(TSocket.TSocket):
    """A socket that bounds a call as a whole, not each of its reads."""

    def __init__(self, host: str, port: int) -> None:
        super().__init__(host, port)
        self._deadline = float('inf')
        self._called_at = time.monotonic()

    @property
    def is_reusable(self) -> bool:
        """Return whether the other side is likely to take another call."""
        idle_s = time.monotonic() - self._called_at
        return idle_s < MAX_IDLE_S and self.isOpen()

    def start_call(self, timeout_ms: int) -> None:
        """Set the time-out in milliseconds of the call that begins now."""
        self._called_at = time.monotonic()
        self._deadline = self._called_at + timeout_ms / MS_PER_S
        self.setTimeout(timeout_ms)

    def read(self, size: int) -> bytes:
        """Read some bytes; raise TTransportException."""
        remaining_ms = (self._deadline - time.monotonic()) * MS_PER_S
        if remaining_ms < 1:
            raise TTransport.TTransportException(
                TTransport.TTransportException.TIMED_OUT,
                'the call takes too long as a whole',
            )
        if remaining_ms < float('inf'):
            self.setTimeout(remaining_ms)
        return super().read(size)


class Connection(typing.NamedTuple, typing.Generic[C]):
    """An open connection and its Thrift client."""

    socket: DeadlineSocket
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
        invoke: collections.abc.Callable[[C], T],
        propagated: tuple[type[Exception], ...] = (),
    ) -> T:
        """Call an instance and return its result.

        Raises PeerError, or one of the propagated exceptions, which the
        service declares; the connection stays usable after these.
        """
        connection = None
        try:
            connection = self._acquire(address)
            connection.socket.start_call(timeout_ms)
            result = invoke(connection.client)
        except propagated:
            self._release(address, connection)
            raise
        except (Thrift.TException, OSError, EOFError) as error:
            if connection is not None:
                connection.transport.close()
            # Idle connections to an unreachable instance are broken too.
            self.close_idle(address)
            raise PeerError(str(error)) from error
        self._release(address, connection)
        return result

    def close_idle(self, address: Address) -> None:
        """Close the connections to an instance that no call uses."""
        with self._lock:
            connections = self._idle.pop(address, [])
        for connection in connections:
            connection.transport.close()

    def _acquire(self, address: Address) -> Connection[C]:
        while (pooled := self._pop_idle(address)) is not None:
            if pooled.socket.is_reusable:
                return pooled
            pooled.transport.close()
        socket = DeadlineSocket(*address)
        socket.setTimeout(self._connect_timeout_ms)
        transport = TTransport.TFramedTransport(socket)
        transport.open()
        protocol = TCompactProtocol.TCompactProtocol(transport)
        return Connection(socket, transport, self._make_client(protocol))

    def _pop_idle(self, address: Address) -> Connection[C] | None:
        with self._lock:
            idle = self._idle[address]
            return idle.pop() if idle else None

    def _release(self, address: Address, connection: Connection[C]) -> None:
        with self._lock:
            idle = self._idle[address]
            if len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
                return
        connection.transport.close()
