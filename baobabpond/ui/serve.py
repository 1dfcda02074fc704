"""Run an entry instance."""

import os
import signal
import sys

from .. import errors
from .. import host as host_module
from .. import instance as instance_module
from .. import logs
from ..settings import check
from ..settings import watch

NOT_DRAINED_EXIT_CODE = 5
# Environment variable that holds the path of the settings.
CONFIG_VARIABLE = 'BAOBABPOND_CONFIG'
# Short, so that a lookup does not wait behind many streams.
THREAD_SWITCH_S = 0.0005


def host(config: str | None) -> None:
    """Serve on a platform until told to leave, or raise UserError."""
    path = config or os.environ.get(CONFIG_VARIABLE)
    settings = check.load_host(path)
    output = logs.BoundedOutput(sys.stdout)
    logs.configure(settings['log_level'], settings['instance'], output)
    try:
        instance = host_module.Host(settings)
        watched = watch.SettingsFile(str(path), instance.take_settings)
        signal.signal(signal.SIGHUP, lambda *_: watched.ask())
        watched.start()
        _run(instance)
    except OSError as error:
        raise errors.UserError(
            f'cannot listen on {settings["address"]}: {error}', exit_code=3
        ) from error
    finally:
        output.close()


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
    _run(instance)


def _run(instance: instance_module.Instance | host_module.Host) -> None:
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: instance.request_leave())
    sys.setswitchinterval(THREAD_SWITCH_S)
    instance.start()
    if not instance.run_until_left():
        sys.exit(NOT_DRAINED_EXIT_CODE)
