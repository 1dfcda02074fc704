"""Load and register the platforms implemented by plugins."""

import importlib
import pathlib
import sys
import typing

from .. import errors
from .. import registry

from . import callers
from . import catalogue
from . import control
from . import log
from . import upstreams


class Platform(typing.NamedTuple):
    """Hold a platform's implementation of each port."""

    log: log.Log
    catalogue_decoder: catalogue.CatalogueDecoder
    upstreams: upstreams.UpstreamProtocol
    callers: callers.CallerProtocol
    # Takes the address of the API, which not all deployments have.
    connect_control: typing.Callable[[str], control.ControlApi]


Factory = typing.Callable[[str], Platform]
platforms: registry.Registry[Factory] = registry.Registry('platform')


def load(plugin: str, folder: pathlib.Path) -> None:
    """Import a plugin, which registers its platform; raise UserError."""
    # Appended, so that a plugin cannot shadow modules of the runtime.
    sys.path.append(str(folder))
    try:
        importlib.import_module(plugin)
    except ImportError as error:
        raise errors.UserError(
            f'cannot load plugin {plugin!r}: {error}'
        ) from error
