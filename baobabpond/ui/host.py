"""Run an instance on a platform.

A separate entry point (python -m baobabpond.ui.host), so that a restart does
not have to wait for the imports of the other commands.
"""

import os
import signal
import sys

if __name__ == '__main__':
    # Until the handler is set, SIGHUP would terminate the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

from .. import allocator  # noqa: E402
from .. import errors  # noqa: E402
from .. import host as host_module  # noqa: E402
from .. import logs  # noqa: E402
from ..settings import check  # noqa: E402
from ..settings import watch  # noqa: E402

from . import process  # noqa: E402

# Environment variable with the path of the settings file.
CONFIG_VARIABLE = 'BAOBABPOND_CONFIG'


def run(config: str | None = None) -> int:
    """Serve until SIGTERM or SIGINT and drain; raise UserError.

    Returns the exit code of the process.
    """
    path = config or os.environ.get(CONFIG_VARIABLE)
    settings = check.load_host(path)
    output = logs.BoundedOutput(sys.stdout)
    logs.configure(settings['log_level'], settings['instance'], output)
    allocator.limit_heaps()
    try:
        instance = host_module.Host(settings)
        settings_file = watch.SettingsFile(str(path), instance.apply_settings)
        signal.signal(signal.SIGHUP, lambda *_: settings_file.request_reload())
        settings_file.start()
        return process.run(instance)
    except OSError as error:
        raise errors.UserError(
            f'cannot listen on {settings["address"]}: {error}', exit_code=3
        ) from error
    finally:
        output.close()


def main() -> None:
    """Run the instance; exit with its code or that of a user error."""
    try:
        sys.exit(run())
    except errors.UserError as error:
        print(f'baobabpond: {error}', file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == '__main__':
    main()
