"""Choose upstreams, and limit, retry and refuse requests."""

from . import choice as choice  # noqa: F401  Registers the choices.
from . import limits as limits  # noqa: F401  Registers the limits.
