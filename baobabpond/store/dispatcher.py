"""Let several parts keep their records on one topic."""

import collections.abc

from ..ports import log as log_port

from . import follower as follower_module


class KeyDispatcher:
    """Pass the records of a topic to listeners by the prefix of their keys.

    A topic that all instances follow anyway costs no reads of its own.
    """

    def __init__(
        self,
        others: follower_module.Listener,
        by_prefix: collections.abc.Mapping[str, follower_module.Listener],
    ) -> None:
        self._others = others
        self._by_prefix = by_prefix

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Pass on records in offset order; all listeners see a snapshot."""
        remaining = new_records
        for prefix, listener in self._by_prefix.items():
            matching = [r for r in remaining if r.key.startswith(prefix)]
            if matching or is_snapshot:
                listener(matching, is_snapshot)
            if matching:
                remaining = [
                    r for r in remaining if not r.key.startswith(prefix)
                ]
        if remaining or is_snapshot or not new_records:
            self._others(remaining, is_snapshot)
