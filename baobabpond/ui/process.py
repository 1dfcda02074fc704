"""Run an instance until SIGTERM or SIGINT."""

import collections.abc
import concurrent.futures
import signal
import sys
import typing

NOT_DRAINED_EXIT_CODE = 5
# A tenth of Python's default, so that short requests such as lookups do not
# wait long for the interpreter lock while many threads stream.
THREAD_SWITCH_INTERVAL_S = 0.0005
# Signal handlers run in the main thread only, which does not wake up for a
# signal that the kernel delivered to another thread.
SIGNAL_CHECK_INTERVAL_S = 0.2


class Instance(typing.Protocol):
    """Serve until requested to leave."""

    def start(self) -> None:
        """Start all threads and servers."""
        ...

    def request_leave(self) -> None:
        """Request the instance to drain and leave."""
        ...

    def run_until_stopped(self) -> bool:
        """Wait for the request to leave, drain and stop.

        Returns whether all requests completed in time.
        """
        ...


def run(instance: Instance) -> int:
    """Run an instance until a signal; return the exit code of the process."""
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda *_: instance.request_leave())
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
    instance.start()
    drained = _run_beside_signals(instance.run_until_stopped)
    return 0 if drained else NOT_DRAINED_EXIT_CODE


def _run_beside_signals(function: collections.abc.Callable[[], bool]) -> bool:
    """Run a function in a thread, while the main thread handles signals.

    The handlers may take locks that the function holds for a moment; in one
    thread that could deadlock.
    """
    with concurrent.futures.ThreadPoolExecutor(1, 'run') as executor:
        future = executor.submit(function)
        while True:
            done, _ = concurrent.futures.wait(
                [future], SIGNAL_CHECK_INTERVAL_S
            )
            if done:
                return future.result()
