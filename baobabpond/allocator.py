"""Keep the C library's heaps small."""

import ctypes

import structlog

# Of mallopt in glibc's malloc.h.
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
LARGE_BLOCK_BYTES = 1_000_000
# Enough, as the interpreter's lock lets one thread at a time allocate.
MAX_HEAPS = 2

LOG = structlog.get_logger(__name__)


def limit_heaps() -> None:
    """Limit what the heaps keep of the memory that was freed.

    By default most threads have a heap of their own, and each keeps what the
    pieces of its largest body took. Large blocks are mapped by themselves, so
    that they are returned when freed; by default the library raises its
    threshold for them with the first one freed.
    """
    library = ctypes.CDLL(None)
    mallopt = getattr(library, 'mallopt', None)
    if mallopt is None or not (
        mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES)
        and mallopt(M_ARENA_MAX, MAX_HEAPS)
    ):
        LOG.warning('the allocator may keep the memory of bodies')
