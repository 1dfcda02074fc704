"""Serve callers, trainers and operators over HTTP, and call upstreams."""

from . import completions as completions  # noqa: F401  Registers adapters.
from . import plain as plain  # noqa: F401  Registers adapters.
