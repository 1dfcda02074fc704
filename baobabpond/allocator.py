"""Keep the memory of large blocks out of the C library's heaps."""

import ctypes

import structlog

# Of mallopt in glibc's malloc.h.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 1_000_000

LOG = structlog.get_logger(__name__)


def map_large_blocks() -> None:
    """Map each large block by itself, so that it is returned when freed.

    By default the library raises its threshold with the first large block
    freed, and each thread's heap keeps what its largest request took.
    """
    library = ctypes.CDLL(None)
    mallopt = getattr(library, 'mallopt', None)
    if mallopt is None or not mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES):
        LOG.warning('the allocator may keep the memory of large bodies')
