"""Run the HTTP server of an instance."""

import functools
import typing

from cheroot import wsgi
import structlog

from .. import metrics as metrics_module

from . import app as app_module

LISTEN_BACKLOG = 512
SOCKET_TIMEOUT_S = 10
KEEP_ALIVE_CONNECTIONS = 2000
SHUTDOWN_TIMEOUT_S = 1

LOG = structlog.get_logger(__name__)


class Gateway(wsgi.Gateway_10):
    """Allow the application to close a connection after its response."""

    def get_environ(self) -> dict[str, typing.Any]:
        """Return the WSGI environment, extended by CLOSE_CONNECTION_KEY."""
        environ = super().get_environ()
        environ[app_module.CLOSE_CONNECTION_KEY] = functools.partial(
            setattr, self.req, 'close_connection', True
        )
        return environ


class Server(wsgi.Server):
    """Serve a WSGI application; each request in flight uses a thread."""

    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS

    def __init__(
        self,
        address: str,
        port: int,
        app: app_module.App,
        threads: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        super().__init__(
            (address, port),
            app,
            numthreads=threads,
            request_queue_size=LISTEN_BACKLOG,
            timeout=SOCKET_TIMEOUT_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            accepted_queue_size=LISTEN_BACKLOG,
        )
        self.gateway = Gateway
        self._metrics = metrics

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Count errors of connections, among them streams that broke off."""
        self._metrics.count('http.connection_errors')
        LOG.debug('connection error', error=msg)
