"""Recognise a request that is sent again under another id."""

import hashlib

from ..ports import upstreams as upstream_port

DIGEST_BYTES = 12
LENGTH_BYTES = 8


def digest_request(request: upstream_port.Request) -> str:
    """Return a digest of what an upstream acts upon, without the id."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (request.host, request.method, request.target):
        _add_field(hasher, field.encode())
    _add_field(hasher, request.body)
    return hasher.hexdigest()


def _add_field(hasher: 'hashlib.blake2b', field: bytes) -> None:
    # The length keeps adjacent fields apart.
    hasher.update(len(field).to_bytes(LENGTH_BYTES))
    hasher.update(field)
