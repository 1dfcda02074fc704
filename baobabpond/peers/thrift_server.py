"""Serve Thrift calls, with a thread per connection."""

import logging
import threading

from thrift.protocol import TCompactProtocol
from thrift.server import TServer
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

# The library logs each closed connection; counters suffice.
logging.getLogger('thrift').setLevel(logging.CRITICAL)


class ListeningSocket(TSocket.TServerSocket):
    """A server socket that may listen before the server thread starts.

    Calls that arrive in between are then not refused.
    """

    def listen(self) -> None:
        """Listen unless already listening."""
        if self.handle is None:
            super().listen()


def serve(address: str, port: int, processor: Thrift.TProcessor) -> None:
    """Serve a processor in background threads until the process ends."""
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
