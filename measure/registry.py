"""Collect the measurements by name."""

import argparse
import collections.abc
import typing

from baobabpond import registry

Row = dict[str, typing.Any]
Measurement = collections.abc.Callable[
    [argparse.Namespace], collections.abc.Iterator[Row]
]
measurements: registry.Registry[Measurement] = registry.Registry('measurement')


def wanted(options: argparse.Namespace, baseline: bool) -> bool:
    """Tell whether a variant was asked for; both are if none is named."""
    if options.baseline == options.policy:
        return True
    return options.baseline == baseline
