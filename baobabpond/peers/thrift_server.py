"""Serve Thrift calls, with a thread per connection."""

import contextlib
import logging
import socket
import threading
import time

import structlog
from thrift import Thrift
from thrift.transport import TSocket

from .. import metrics as metrics_module
from ..edge import client_limits

from . import connections
from . import frames

# Pause after a failed accept, which usually means that no descriptor is left.
PAUSE_S = 0.05

# The library logs each closed connection; counters suffice.
logging.getLogger('thrift').setLevel(logging.CRITICAL)
LOG = structlog.get_logger(__name__)


class ThriftServer:
    """Accept connections and serve their calls, within limits."""

    def __init__(
        self,
        listener: socket.socket,
        processor: Thrift.TProcessor,
        metrics: metrics_module.Metrics,
        limits: client_limits.ClientLimits,
    ) -> None:
        self._listener = listener
        self._processor = processor
        self._limits = limits
        self._excesses = client_limits.Excesses(metrics)
        self._table = connections.ConnectionTable(limits, self._excesses)

    def run(self) -> None:
        """Accept connections until the process ends."""
        while True:
            try:
                sock, address = self._listener.accept()
            except OSError:
                # No descriptor is left, or the connection is gone already.
                self._excesses.report('descriptors', '')
                self._table.evict_one()
                time.sleep(PAUSE_S)
                continue
            self._start(connections.Connection(sock, address[0]))

    def _start(self, connection: connections.Connection) -> None:
        """Serve a connection in a thread of its own, or close it."""
        if not self._table.try_add(connection):
            connection.socket.close()
            return
        try:
            threading.Thread(
                target=self._serve,
                args=(connection,),
                name='peer-connection',
                daemon=True,
            ).start()
        except RuntimeError as error:
            LOG.error('no thread for a peer connection', error=str(error))
            self._close(connection)

    def _serve(self, connection: connections.Connection) -> None:
        transport = frames.FrameTransport(
            connection, self._table, self._limits, self._excesses
        )
        try:
            while True:
                transport.receive()
                # A new one for each message: the last one may have ended in
                # the middle of a field.
                protocol = frames.BoundedProtocol(transport)
                self._processor.process(protocol, protocol)
        except connections.ConnectionClosed:
            pass
        except Exception:
            # The library raises errors of any type for what it can't decode.
            transport.report('peer_message')
        finally:
            self._close(connection)

    def _close(self, connection: connections.Connection) -> None:
        self._table.remove(connection)
        with contextlib.suppress(OSError):
            connection.socket.close()


def serve(
    address: str,
    port: int,
    processor: Thrift.TProcessor,
    metrics: metrics_module.Metrics | None = None,
    limits: client_limits.ClientLimits = client_limits.DEFAULTS,
) -> None:
    """Serve a processor in background threads until the process ends."""
    listener = TSocket.TServerSocket(host=address, port=port)
    # Calls that arrive before the thread runs are then not refused.
    listener.listen()
    server = ThriftServer(
        listener.handle,
        processor,
        metrics or metrics_module.Metrics(),
        limits,
    )
    threading.Thread(
        target=server.run, name='peer-server', daemon=True
    ).start()
