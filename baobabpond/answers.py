"""Hold an upstream's whole answer."""

import typing


class Answer(typing.NamedTuple):
    """Carry a whole answer that can be handed to its caller."""

    status: int
    content_type: str
    body: bytes
    replayed: bool = False
    weight_versions: tuple[int, ...] = ()
