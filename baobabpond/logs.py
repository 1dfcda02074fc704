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

# Lines queued for the writer thread.
MAX_QUEUED_LINES = 5000
MAX_LINES_PER_S = 500
CLOSE_TIMEOUT_S = 1.0
EXEMPT_LEVELS = ('"level": "warning"', '"level": "error"')


class BoundedOutput:
    """Write lines in a thread; drop lines instead of blocking the caller.

    At most MAX_LINES_PER_S lines a second are written, so that logging costs
    little under load. Warnings and errors pass regardless of the rate.
    """

    def __init__(self, output: typing.TextIO) -> None:
        self._output = output
        self._lines: queue.Queue[str | None] = queue.Queue(MAX_QUEUED_LINES)
        self._lock = threading.Lock()
        self._current_s = 0
        self._lines_in_second = 0
        self._dropped = 0
        self._thread = threading.Thread(
            target=self._run, name='logs', daemon=True
        )
        self._thread.start()

    def write(self, text: str) -> None:
        """Queue a line; drop it past the rate or if the queue is full."""
        with self._lock:
            now_s = int(time.monotonic())
            if now_s != self._current_s:
                self._current_s = now_s
                self._lines_in_second = 0
            self._lines_in_second += 1
            is_over_rate = self._lines_in_second > MAX_LINES_PER_S
            if is_over_rate and not any(
                level in text for level in EXEMPT_LEVELS
            ):
                self._dropped += 1
                return
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            with self._lock:
                self._dropped += 1

    def flush(self) -> None:
        """Do nothing; the thread flushes once its queue is empty."""

    def close(self) -> None:
        """Write the queued lines and stop the thread."""
        with contextlib.suppress(queue.Full):
            self._lines.put(None, timeout=CLOSE_TIMEOUT_S)
        self._thread.join(CLOSE_TIMEOUT_S)

    def _run(self) -> None:
        while True:
            text = self._lines.get()
            if text is None:
                return
            with self._lock:
                dropped, self._dropped = self._dropped, 0
            if dropped:
                notice = {'event': 'log lines dropped', 'count': dropped}
                text = f'{json.dumps(notice)}\n{text}'
            self._output.write(text)
            if self._lines.empty():
                self._output.flush()


def configure(
    level: str,
    instance: str,
    output: typing.TextIO | BoundedOutput | None = None,
) -> None:
    """Log lines of at least a level as JSON, by default to standard error.

    The level is a level name of the standard library, in any case.
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
