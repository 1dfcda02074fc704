"""Run an entry instance."""

import signal
import sys

from .. import errors
from .. import instance as instance_module
from .. import logs
from ..settings import check

NOT_DRAINED_EXIT_CODE = 5
# Short, so that a lookup does not wait behind many streams.
THREAD_SWITCH_S = 0.0005


def serve(config: str | None) -> None:
    """Serve until told to leave, or raise UserError."""
    settings = check.load_instance(config)
    logs.configure(settings['log_level'], settings['instance'])
    try:
        instance = instance_module.Instance(settings)
    except OSError as error:
        raise errors.UserError(
            f'cannot listen on {settings["address"]}: {error}', exit_code=3
        ) from error
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: instance.request_leave())
    sys.setswitchinterval(THREAD_SWITCH_S)
    instance.start()
    if not instance.run_until_left():
        sys.exit(NOT_DRAINED_EXIT_CODE)
