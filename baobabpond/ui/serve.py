"""Run an instance without a platform."""

import sys

from .. import errors
from .. import instance as instance_module
from .. import logs
from ..settings import check

from . import process


def serve(config: str | None) -> None:
    """Serve until SIGTERM or SIGINT, drain and exit; raise UserError."""
    settings = check.load_instance(config)
    logs.configure(settings['log_level'], settings['instance'])
    try:
        instance = instance_module.Instance(settings)
    except OSError as error:
        raise errors.UserError(
            f'cannot listen on {settings["address"]}: {error}', exit_code=3
        ) from error
    sys.exit(process.run(instance))
