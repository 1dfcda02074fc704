"""Load balancing, admission control and retries of requests."""

from . import balancing as balancing  # noqa: F401  Registers its policies.
from . import limits as limits  # noqa: F401  Registers its policies.
