"""Decide when an output is restarted since its software version is short.

An output may only go on at the software version that began it. While upstreams
are replaced, ever fewer have that version.
"""

import typing

# Beyond this, running the events again elsewhere is faster than waiting.
MAX_WAIT_S = 0.5

VERSION_GONE = 'software version gone'
VERSION_BUSY = 'software version busy'


class WaitingOutput(typing.NamedTuple):
    """Describe an output that no upstream with its version can take now."""

    # Seconds since it last ran.
    waited_s: float
    # An upstream with its version accepts runs.
    is_version_in_service: bool
    # An upstream with another version can take it now.
    has_other_room: bool


def restart_reason(waiting: WaitingOutput) -> str:
    """Return why the output is restarted, '' if it waits."""
    if not waiting.is_version_in_service:
        return VERSION_GONE
    if waiting.has_other_room and waiting.waited_s > MAX_WAIT_S:
        return VERSION_BUSY
    return ''
