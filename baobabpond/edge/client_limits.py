"""Define what clients may make an instance hold, and report excesses."""

import resource
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen import host as host_schema

# Descriptors that connections of clients leave for files and the store.
RESERVED_DESCRIPTORS = 200
# Share of the other descriptors for connections of callers; the rest is for
# the other listeners, upstreams and peers.
CALLER_SHARE = 0.5
# Connections of other listeners relative to those of callers: the listener for
# requests of other instances, each one for operators, and the one for calls of
# peers.
RELAY_SHARE = 0.25
OPERATOR_SHARE = 0.1
PEER_SHARE = 0.25
MIN_CONNECTIONS = 32
# At most this many, also without a limit of descriptors.
MAX_CONNECTIONS = 20_000
# A limit that is exceeded again is not logged again within this time.
LOG_INTERVAL_S = 5.0

# What becomes of a client that exceeds a limit: the status of the response,
# or its connection is closed.
OUTCOMES = {
    'batch_decoding': '503',
    'batch_items': '413',
    'batch_memory': '413',
    'batch_text': '400',
    'batch_values': '413',
    'chunk_framing': '400',
    'chunk_line': '400',
    'connections': 'closed',
    'descriptors': 'closed',
    'head_memory': 'closed',
    'head_time': '408',
    'header_bytes': '414 or 431',
    'header_lines': '431',
    'long_polls': '503',
    'name_length': '400',
    'peer_connections': 'closed',
    'peer_container': 'closed',
    'peer_frame_bytes': 'closed',
    'peer_frame_time': 'closed',
    'peer_idle': 'closed',
    'peer_memory': 'closed',
    'peer_message': 'closed',
    'peer_reader': 'closed',
    'queued_requests': '503',
    'slow_body': '408',
    'slow_body_slots': '503',
    'slow_reader': 'closed',
    'slow_reader_slots': 'closed',
    'small_chunk_slots': '503',
    'trailers': '400',
}

LOG = structlog.get_logger(__name__)


class ClientLimits(typing.NamedTuple):
    """Bound what the clients of one listener make an instance hold."""

    # Connections that are open at a time.
    connections: int = 4000
    # That serve callers; other listeners have a fixed number.
    threads: int = 48
    # Connections with a whole request head that wait for a thread.
    queued_requests: int = 256
    # Of all request heads that are not whole.
    head_memory_bytes: int = 4_000_000
    # Lines of a request head.
    header_lines: int = 4096
    # Of the line that precedes each chunk, with its extension.
    chunk_line_bytes: int = 4096
    # Of the lines that frame the chunks of a body, besides a quarter of the
    # bytes in the chunks.
    chunk_framing_bytes: int = 65_536
    # Of all trailer lines of a body.
    trailer_bytes: int = 16_384
    # A thread waits for a client for this long in total, and longer only
    # while the client keeps up the rate.
    slow_client_grace_s: float = 6.0
    min_client_bytes_per_s: float = 500.0
    # Share of the threads that may wait for slow clients at a time.
    slow_client_share: float = 0.5
    # Share of the memory for bodies of requests that one address may hold
    # while others ask for some.
    address_body_share: float = 0.75
    # A body that holds memory and arrives more slowly makes room for others.
    held_body_bytes_per_s: float = 100_000.0
    # Of each connection, in each direction, in the system, which doubles it.
    # It counts towards the memory of the process: 40 MB for all requests that
    # wait for a thread or are served.
    socket_buffer_bytes: int = 65_536
    # Of one Thrift frame of another instance. Pages and appends have 2 MB.
    peer_frame_bytes: int = 8_000_000
    # Of all frames that are received or served, with what is decoded of them.
    peer_memory_bytes: int = 32_000_000
    # Elements of one list, set or map in a frame.
    peer_container_items: int = 65_536
    # From the first byte of a frame to its last, in each direction.
    peer_frame_s: float = 10.0
    # Without a frame. Peers reuse connections for four fifths of the default.
    peer_idle_s: float = 60.0
    # Items of a batch.
    batch_items: int = 16_384
    # Separators in the JSON of a batch: 30 for each of its items at most.
    batch_values: int = 500_000
    # For decoding a batch, besides its body. One of 33,554,432 bytes with as
    # many values as are allowed takes 117 MB.
    batch_memory_bytes: int = 120_000_000
    # Share of the threads that may read results of batches at a time.
    long_poll_share: float = 0.5


DEFAULTS = ClientLimits()


def from_settings(
    settings: host_schema.HostSettings, share: float = 1.0
) -> ClientLimits:
    """Return the limits of a listener, with a share of the connections."""
    given = settings.get('client_limits', {})
    connections = given.get('connections', caller_connections())
    return DEFAULTS._replace(
        **{
            **given,
            'connections': max(MIN_CONNECTIONS, int(connections * share)),
        }
    )


def caller_connections() -> int:
    """Return how many connections of callers the descriptors allow."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    allowed = int((descriptors - RESERVED_DESCRIPTORS) * CALLER_SHARE)
    return min(allowed, MAX_CONNECTIONS)


class Excesses:
    """Count what exceeds a limit, and log it now and then."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._logged_at: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def report(self, limit: str, address: str) -> None:
        """Count an excess; log it unless one was logged a moment ago."""
        self._metrics.count(f'edge.clients.{limit}')
        now = time.monotonic()
        with self._lock:
            logged_at = self._logged_at.get(limit, float('-inf'))
            count = self._unlogged.get(limit, 0) + 1
            is_due = now - logged_at >= LOG_INTERVAL_S
            self._unlogged[limit] = 0 if is_due else count
            if is_due:
                self._logged_at[limit] = now
        if is_due:
            LOG.warning(
                'a client exceeds a limit',
                limit=limit,
                address=address,
                outcome=OUTCOMES[limit],
                count=count,
            )
