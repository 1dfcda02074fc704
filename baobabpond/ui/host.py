"""Run an instance on a platform.

A daemon of its own (python -m baobabpond.ui.host), so that a restarted
instance is back without loading the rest of the command line.
"""

import os
import signal
import sys

if __name__ == '__main__':
    # The signal would end a process that is still importing.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .. import errors  # noqa: E402
from .. import host as host_module  # noqa: E402
from .. import logs  # noqa: E402
from ..settings import check  # noqa: E402
from ..settings import watch  # noqa: E402

from . import process  # noqa: E402

# Environment variable that holds the path of the settings.
CONFIG_VARIABLE = 'BAOBABPOND_CONFIG'


def run(config: str | None = None) -> int:
    """Serve until told to leave; return the exit code or raise UserError."""
    path = config or os.environ.get(CONFIG_VARIABLE)
    settings = check.load_host(path)
    output = logs.BoundedOutput(sys.stdout)
    logs.configure(settings['log_level'], settings['instance'], output)
    try:
        instance = host_module.Host(settings)
        watched = watch.SettingsFile(str(path), instance.apply_settings)
        signal.signal(signal.SIGHUP, lambda *_: watched.request_reload())
        watched.start()
        return process.run(instance)
    except OSError as error:
        raise errors.UserError(
            f'cannot listen on {settings["address"]}: {error}', exit_code=3
        ) from error
    finally:
        output.close()


def main() -> None:
    """Run the daemon and exit."""
    try:
        sys.exit(run())
    except errors.UserError as error:
        print(f'baobabpond: {error}', file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == '__main__':
    main()
