"""Dispatch the command line and show errors as one line."""

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
        """Run an entry instance until it is told to leave (SIGTERM).

        Args:
            config: path of the instance's settings, JSON with comments.
        """
        serve.serve(config)

    def host(self, config: str | None = None) -> None:
        """Run an instance on a platform until it is told to leave (SIGTERM).

        Args:
            config: path of its settings; BAOBABPOND_CONFIG names the default.
        """
        sys.exit(host.run(config))

    def entries(
        self,
        instance: str,
        caller: str = 'operator',
        data_centre: str | None = None,
    ) -> None:
        """Print the entry instances that a caller should use.

        Args:
            instance: URL of any instance.
            caller: name of the caller.
            data_centre: data centre of the caller.
        """
        entries.show(instance, caller, data_centre)

    def steps(self, *logs: str, plot: str | None = None) -> None:
        """Print where the time of batches went.

        Args:
            logs: files with the log lines of all instances.
            plot: path of a drawing to write, as SVG.
        """
        reports.print_timelines(logs, plot)

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def main() -> None:
    """Run the command line and exit."""
    try:
        fire.Fire(Commands(), name='baobabpond')
    except errors.UserError as error:
        print(f'baobabpond: {error}', file=sys.stderr)
        sys.exit(error.exit_code)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)
