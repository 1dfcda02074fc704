"""Define refusals and whether the refused request may have run."""

import enum
import typing


class Verdict(enum.Enum):
    """State whether an upstream executed a request, as far as is known."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN = 'ran'


class Refusal(typing.NamedTuple):
    """Describe the error response to a request that is not retried."""

    verdict: Verdict
    status: int
    code: str
    message: str
    retry_after_s: float | None = None


def bad_request(code: str, message: str, status: int = 400) -> Refusal:
    """Return the refusal of an invalid request."""
    return Refusal(Verdict.NOT_RUN, status, code, message)


def unavailable(code: str, message: str, retry_after_s: float) -> Refusal:
    """Return the refusal of a request that did not run and may be retried."""
    return Refusal(Verdict.NOT_RUN, 503, code, message, retry_after_s)


def uncertain(code: str, message: str) -> Refusal:
    """Return the refusal of a request that may have run."""
    return Refusal(Verdict.MAY_HAVE_RUN, 502, code, message)


def deadline_passed(verdict: Verdict) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    return Refusal(verdict, 504, 'deadline_passed', 'the deadline has passed')
