"""Serve thrift calls, a task for each connection."""

import logging
import threading

from thrift.protocol import TCompactProtocol
from thrift.server import TServer
from thrift import Thrift
from thrift.transport import TSocket
from thrift.transport import TTransport

# The library logs each connection that ends; counters tell enough.
logging.getLogger('thrift').setLevel(logging.CRITICAL)


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
