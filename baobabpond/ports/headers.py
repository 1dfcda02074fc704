"""Tell headers that concern one connection only from those passed on."""

import typing

# Names in lower case.
HOP_BY_HOP = frozenset(
    name.lower()
    for name in (
        'Connection',
        'Keep-Alive',
        'Proxy-Connection',
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'TE',
        'Trailer',
        'Transfer-Encoding',
        'Upgrade',
        'Content-Length',
    )
)


def connection_options(
    headers: typing.Iterable[tuple[str, str]],
) -> frozenset[str]:
    """Return the names, in lower case, that Connection headers list."""
    return frozenset(
        option.strip().lower()
        for name, value in headers
        if name.lower() == 'connection'
        for option in value.split(',')
    )


def end_to_end(
    headers: typing.Iterable[tuple[str, str]], dropped: typing.Container[str]
) -> list[tuple[str, str]]:
    """Return the headers that no Connection header lists, without some.

    The names to drop are in lower case.
    """
    listed = list(headers)
    options = connection_options(listed)
    return [
        (name, value)
        for name, value in listed
        if name.lower() not in dropped and name.lower() not in options
    ]
