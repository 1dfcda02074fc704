"""Run a case: its exit code tells whether the rule was broken."""

import collections.abc
import os
import pathlib
import signal
import traceback
import typing

from . import record as record_module

HELD = 0
BROKEN = 1
NOT_RUN = 2
# The processes are ended within the two minutes that a script may take.
LIMIT_S = 108

# Returns whether the rule was broken; the flag is unset without the trouble.
Play = collections.abc.Callable[[record_module.Record, bool], bool]


class NotRun(Exception):
    """Raised when the case could not be played."""


def run(folder: str, play: Play) -> int:
    """Play a case; return the exit code of its script."""
    record = record_module.Record(pathlib.Path(folder).resolve().parent)
    has_trouble = os.environ.get('TROUBLE') != '0'
    signal.signal(signal.SIGALRM, _give_up)
    signal.signal(signal.SIGTERM, _give_up)
    signal.alarm(LIMIT_S)
    code = NOT_RUN
    try:
        code = BROKEN if play(record, has_trouble) else HELD
    except Exception:
        record.say('the case could not run', error=traceback.format_exc())
    record.say('exit', code=code, trouble=has_trouble)
    record.close()
    return code


def _give_up(*_: typing.Any) -> None:
    raise NotRun('out of time')
