"""Hold the parts by which an instance reads and writes the log."""

import typing

from . import follower as follower_module
from . import state as state_module
from . import writer as writer_module


class SharedLog(typing.NamedTuple):
    """Bundle the state, the task that reads it and the task that writes."""

    state: state_module.State
    follower: follower_module.Follower
    writer: writer_module.Writer

    def is_settled(self, pending: writer_module.PendingItem) -> bool:
        """Tell whether an item has been read back or can never count."""
        return pending.seq is not None and self.state.seen(
            self.writer.sender, pending.seq
        )

    def wait_settled(
        self, pending: writer_module.PendingItem, deadline: float
    ) -> bool:
        """Wait for an item's fate until a monotonic deadline."""
        return self.state.wait_for(lambda: self.is_settled(pending), deadline)
