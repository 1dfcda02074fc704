"""Define a complete answer of an upstream."""

import typing


class Answer(typing.NamedTuple):
    """Hold a complete answer, ready to be returned to its caller."""

    status: int
    content_type: str
    body: bytes
    replayed: bool = False
    weight_versions: tuple[int, ...] = ()
