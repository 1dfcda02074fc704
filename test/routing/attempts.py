"""Build outcomes of attempts for the tests of routing."""

from returns import result

from baobabpond import answers
from baobabpond import verdicts


def refuse(verdict, code='upstream_error'):
    """Return a failed attempt."""
    return result.Failure(verdicts.Refusal(verdict, 503, code, ''))


def answer():
    """Return a successful attempt."""
    return result.Success(answers.Answer(200, '', b''))
