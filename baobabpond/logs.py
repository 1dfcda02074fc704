"""Configure structured logging for a process."""

import contextlib
import json
import logging
import queue
import sys
import threading
import time
import typing

import structlog

# Lines that wait to be written.
MOST_WAITING = 5000
MOST_LINES_PER_S = 500
CLOSE_TIMEOUT_S = 1.0
ALWAYS_KEPT = ('"level": "warning"', '"level": "error"')


class BoundedOutput:
    """Write lines in a task of its own; drop lines rather than wait.

    At most a number of lines a second goes out, so that logging costs little
    under load. Warnings and errors are not counted.
    """

    def __init__(self, output: typing.TextIO) -> None:
        self._output = output
        self._lines: queue.Queue[str | None] = queue.Queue(MOST_WAITING)
        self._lock = threading.Lock()
        self._second = 0
        self._in_second = 0
        self._dropped = 0
        self._task = threading.Thread(
            target=self._run, name='logs', daemon=True
        )
        self._task.start()

    def write(self, text: str) -> None:
        """Take a line, or drop it."""
        with self._lock:
            second = int(time.monotonic())
            if second != self._second:
                self._second = second
                self._in_second = 0
            self._in_second += 1
            is_many = self._in_second > MOST_LINES_PER_S
            if is_many and not any(mark in text for mark in ALWAYS_KEPT):
                self._dropped += 1
                return
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self) -> None:
        """Do nothing; the task writes what it has."""

    def close(self) -> None:
        """Write what waits and end."""
        with contextlib.suppress(queue.Full):
            self._lines.put(None, timeout=CLOSE_TIMEOUT_S)
        self._task.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            if text is None:
                return
            with self._lock:
                dropped, self._dropped = self._dropped, 0
            if dropped:
                note = {'event': 'log lines dropped', 'count': dropped}
                text = f'{json.dumps(note)}\n{text}'
            self._output.write(text)
            if self._lines.empty():
                self._output.flush()


def configure(
    level: str,
    instance: str,
    output: typing.TextIO | BoundedOutput | None = None,
) -> None:
    """Write lines of at least a level as JSON, to standard error if not told.

    A level is one of the names of the standard library's levels.
    """

    def add_instance(
        _logger: object, _method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        return {'instance': instance, **event}

    structlog.configure(
        processors=[
            add_instance,
            structlog.processors.add_log_level,
            structlog.processors.format_exc_info,
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=structlog.WriteLoggerFactory(
            typing.cast(typing.TextIO, output or sys.stderr)
        ),
        cache_logger_on_first_use=True,
    )
