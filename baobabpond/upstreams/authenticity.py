"""Tell the responses of upstreams from bytes that only look like one.

A faulty server, or what lies before it, may answer with a status line of its
own, or with the response to another request.
"""

import enum

from ..ports import upstreams as upstream_port

SUCCESS = range(200, 300)


class Authenticity(enum.Enum):
    """Describe what is known of the sender of a response."""

    GENUINE = 'genuine'
    # It names the id of another request.
    FOREIGN = 'foreign'
    # It lacks what the upstreams add to their responses.
    UNMARKED = 'unmarked'


def of_response(
    request_id: str, status: int, head: upstream_port.ResponseHead
) -> Authenticity:
    """Judge the head of a response to a request."""
    if head.request_id not in ('', request_id):
        return Authenticity.FOREIGN
    names_request = status not in SUCCESS or head.request_id == request_id
    if head.is_from_upstream and names_request:
        return Authenticity.GENUINE
    return Authenticity.UNMARKED


def is_reliable(
    request_id: str, status: int, head: upstream_port.ResponseHead
) -> bool:
    """Return whether a response to a request may be acted upon.

    Upstreams mark whatever they have run; only refusals lack the mark.
    """
    found = of_response(request_id, status, head)
    if found is Authenticity.UNMARKED:
        return head.not_run
    return found is Authenticity.GENUINE
