"""Read the requests of callers and write the responses to them."""

import contextlib
import socket

from cheroot import server as cheroot_server

from . import body_memory as body_memory_module
from . import chunked
from . import client_io
from . import pace as pace_module

# A body waits this long, with its thread, for the memory to decode it.
HOLD_TIMEOUT_S = 0.5

Headers = list[tuple[str, str]]


class BodyError(Exception):
    """The request body is invalid; carries the response status."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class BodyMemoryFull(BodyError):
    """There is no memory for the body now, or for the rest of it."""

    def __init__(self, size: int) -> None:
        super().__init__('too many large bodies at once', 503)
        # Of the body, or of its next chunk, in bytes.
        self.size = size


class TooManySlowBodies(BodyMemoryFull):
    """Too many threads wait for bodies that arrive slowly."""


class Exchange:
    """An HTTP request and the means to write its response."""

    def __init__(
        self,
        request: cheroot_server.HTTPRequest,
        body_memory: body_memory_module.Reservation | None = None,
    ) -> None:
        self._request = request
        self._body_memory = body_memory
        self._is_body_read = not request.has_body
        self.response_started = False
        self.status = 0

    @property
    def method(self) -> str:
        """Return the request method."""
        return self._request.method.decode('latin-1')

    @property
    def target(self) -> str:
        """Return the request target: path and query, not decoded."""
        return self._request.uri.decode('latin-1')

    @property
    def headers(self) -> dict[str, str]:
        """Return the request headers, names in title case."""
        return {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in self._request.inheaders.items()
        }

    @property
    def address(self) -> str:
        """Return the address of the caller's connection."""
        return self._request.conn.remote_addr

    @property
    def socket(self) -> socket.socket:
        """Return the socket of the caller's connection."""
        return self._request.conn.socket

    def read_body(self) -> bytes:
        """Read the whole body; raise BodyError if it is invalid.

        The connection ends after a response that is sent before that. Raises
        BodyMemoryFull if it cannot be held.
        """
        headers = self._request.inheaders
        if b'Content-Length' in headers and b'Transfer-Encoding' in headers:
            # Both together allow request smuggling.
            raise self._bad_body(BodyError('two lengths are given', 400))
        reader = self._request.conn.rfile
        try:
            with self._waiting_for(reader):
                if self._request.chunked_read:
                    body = self._read_chunks(reader)
                else:
                    body = self._read_bytes(
                        reader, int(headers.get(b'Content-Length', 0))
                    )
        except pace_module.TooManySlowClients as error:
            raise self._bad_body(TooManySlowBodies(0)) from error
        finally:
            reader.end_body()
        self._is_body_read = True
        if self._body_memory is not None:
            self._body_memory.shrink(len(body))
        return body

    def hold(self, size: int) -> None:
        """Reserve memory for what is made of the body, until the response.

        Raises BodyMemoryFull.
        """
        memory = self._body_memory
        if memory is not None and not memory.try_hold(size, HOLD_TIMEOUT_S):
            raise BodyMemoryFull(size)

    def _waiting_for(
        self, reader: client_io.ClientReader
    ) -> contextlib.AbstractContextManager[None]:
        if self._body_memory is None:
            return contextlib.nullcontext()
        return self._body_memory.waiting(reader.pace)

    def _read_chunks(self, reader: client_io.ClientReader) -> bytes:
        server = self._request.server
        connection = self._request.conn
        try:
            return chunked.ChunkedBody(
                reader,
                server.client_limits,
                server.max_request_body_size,
                self._reserve,
                connection.begin_small_chunks,
            ).read()
        except chunked.LimitExceeded as error:
            connection.report(error.limit)
            raise self._bad_body(BodyError(str(error), 400)) from error
        except chunked.BodyTooLarge as error:
            raise self._bad_body(BodyError(str(error), 413)) from error
        except ValueError as error:
            raise self._bad_body(BodyError(str(error), 400)) from error
        finally:
            server.small_chunk_bodies.leave(reader.pace)

    def _read_bytes(self, reader: client_io.ClientReader, size: int) -> bytes:
        self._reserve(size)
        body = bytearray()
        reader.read_into(body, size)
        if len(body) < size:
            raise self._bad_body(BodyError('the body is cut', 400))
        # Otherwise the library would read it again before the response.
        self._request.rfile.remaining = 0
        return bytes(body)

    def _reserve(self, size: int) -> None:
        memory = self._body_memory
        if memory is not None and not memory.try_add(size):
            raise self._bad_body(BodyMemoryFull(size))

    def _bad_body(self, error: 'BodyError') -> 'BodyError':
        # The start of the next request on the connection is unknown.
        self._request.close_connection = True
        return error

    def send_response(
        self,
        status: int,
        reason: str,
        headers: Headers,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Send a complete response."""
        self._start(status, reason, headers, close)
        self._request.outheaders.append(
            (b'Content-Length', str(len(body)).encode())
        )
        self._request.ensure_headers_sent()
        if body and self._request.method != b'HEAD':
            self._request.write(body)

    def begin_stream(
        self, status: int, reason: str, headers: Headers, close: bool = False
    ) -> None:
        """Send the headers of a response of unknown length."""
        self._start(status, reason, headers, close)
        self._request.ensure_headers_sent()

    def write(self, data: bytes) -> None:
        """Send a part of a stream; raise OSError if the caller is gone."""
        self._request.write(data)

    def close_after_response(self) -> None:
        """Close the connection after the response."""
        self._request.close_connection = True

    def abort(self) -> None:
        """Close the connection so that the response shows as incomplete."""
        self.response_started = True
        self._request.sent_headers = True
        self._request.close_connection = True
        # Otherwise cheroot would write the final chunk, as if complete.
        self._request.chunked_write = False

    def _start(
        self, status: int, reason: str, headers: Headers, close: bool
    ) -> None:
        self.response_started = True
        self.status = status
        if close:
            self._request.close_connection = True
        if not self._is_body_read:
            # What is left of the body would be taken for the next request.
            self._request.close_connection = True
            self._request.conn.lingers = True
        self._request.status = f'{status} {reason}'.encode('latin-1')
        self._request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        ]
