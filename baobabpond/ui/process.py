"""Run an instance until a signal tells it to leave."""

import signal
import sys
import typing

NOT_DRAINED_EXIT_CODE = 5
# Short, so that a lookup does not wait behind many streams.
THREAD_SWITCH_S = 0.0005


class Instance(typing.Protocol):
    """Serve until it has left."""

    def start(self) -> None:
        """Start all tasks and serve."""
        ...

    def request_leave(self) -> None:
        """Ask the instance to drain and leave."""
        ...

    def run_until_stopped(self) -> bool:
        """Wait for the request to leave, and drain; tell if all ended."""
        ...


def run(instance: Instance) -> int:
    """Run an instance and return the exit code of its process."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: instance.request_leave())
    sys.setswitchinterval(THREAD_SWITCH_S)
    instance.start()
    return 0 if instance.run_until_stopped() else NOT_DRAINED_EXIT_CODE
