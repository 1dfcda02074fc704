"""Register measurements by name."""

import argparse
import collections.abc
import typing

from baobabpond import registry

Row = dict[str, typing.Any]
Measurement = collections.abc.Callable[
    [argparse.Namespace], collections.abc.Iterator[Row]
]
measurements: registry.Registry[Measurement] = registry.Registry('measurement')


def is_selected(options: argparse.Namespace, baseline: bool) -> bool:
    """Return whether a variant is selected; without options both are."""
    if options.baseline == options.policy:
        return True
    return options.baseline == baseline
