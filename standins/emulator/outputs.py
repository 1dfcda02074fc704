"""Define what emulated upstreams respond, so that it can be checked."""

import random
import string
import zlib

# Software version of upstreams that are not told another.
FIRST_SOFTWARE = 'v1'
MAX_EVENTS = 24
MIN_EVENTS = 4


def event_count(request_id: str) -> int:
    """Return how many events the stream of a request id has."""
    spread = MAX_EVENTS - MIN_EVENTS
    return MIN_EVENTS + zlib.crc32(request_id.encode()) % spread


def event_data(
    request_id: str, number: int, software: str = FIRST_SOFTWARE
) -> str:
    """Return the data field of an event that a software version writes."""
    return f'{request_id}:{number}:{software}'


def full_output(request_id: str, software: str = FIRST_SOFTWARE) -> str:
    """Return the data of all events of a request, joined by newlines."""
    numbers = range(1, event_count(request_id) + 1)
    return '\n'.join(
        event_data(request_id, number, software) for number in numbers
    )


def software_of(data: str) -> str:
    """Return the software version that wrote an event."""
    return data.rsplit(':', 1)[-1]


def is_whole_output(request_id: str, output: str) -> bool:
    """Return whether an output is complete and of one software version."""
    return output == full_output(request_id, software_of(output))


def random_text(length: int) -> str:
    """Return text that compression makes little smaller."""
    letters = string.ascii_letters + string.digits
    return ''.join(random.Random(length).choices(letters, k=length))


def plain_response(request_id: str, body: bytes) -> bytes:
    """Return the response body of a plain service."""
    return f'{request_id}/{len(body)}/{zlib.crc32(body)}'.encode()
