"""Group the components by which an instance reads and writes the log."""

import typing

from . import follower as follower_module
from . import state as state_module
from . import writer as writer_module


class SharedLog(typing.NamedTuple):
    """The shared state with its log reader and log writer."""

    state: state_module.State
    follower: follower_module.Follower
    writer: writer_module.Writer

    def is_settled(self, pending: writer_module.PendingItem) -> bool:
        """Return whether an item was read back or can never take effect."""
        return pending.seq is not None and self.state.is_seq_settled(
            self.writer.sender, pending.seq
        )

    def wait_settled(
        self, pending: writer_module.PendingItem, deadline: float
    ) -> bool:
        """Wait until an item is settled; return False at the deadline.

        The deadline is a monotonic time.
        """
        return self.state.wait_for(lambda: self.is_settled(pending), deadline)
