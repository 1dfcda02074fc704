"""Define the commands and print user errors as one line."""

import sys

import fire

from .. import __version__
from .. import errors

from . import entries
from . import host
from . import reports
from . import serve
from . import settings

INTERRUPTED_EXIT_CODE = 130


class Commands:
    """Coordinate rollouts between callers and upstreams."""

    def __init__(self) -> None:
        self.settings = settings.SettingsCommands()

    def serve(self, config: str | None = None) -> None:
        """Run an instance without a platform; SIGTERM drains and stops it.

        Args:
            config: path of the settings file (JSON5); default: the built-in
                settings.
        """
        serve.serve(config)

    def host(self, config: str | None = None) -> None:
        """Run an instance on a platform; SIGTERM drains and stops it.

        Args:
            config: path of the settings file (JSON5); default: the value of
                BAOBABPOND_CONFIG.
        """
        sys.exit(host.run(config))

    def entries(
        self,
        instance: str,
        caller: str = 'operator',
        data_centre: str | None = None,
    ) -> None:
        """Print the instances that a caller should use.

        Args:
            instance: URL of any instance.
            caller: name of the caller.
            data_centre: data centre of the caller.
        """
        entries.print_entries(instance, caller, data_centre)

    def steps(self, *logs: str, plot: str | None = None) -> None:
        """Print the mean time of batch items by phase.

        Args:
            logs: log files of all instances.
            plot: path of a plot to write, as SVG.
        """
        reports.print_timelines(logs, plot)

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def main() -> None:
    """Run a command; exit with its code or that of a user error."""
    try:
        fire.Fire(Commands(), name='baobabpond')
    except errors.UserError as error:
        print(f'baobabpond: {error}', file=sys.stderr)
        sys.exit(error.exit_code)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)
