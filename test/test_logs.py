"""Test that logging is rate-limited and never blocks."""

import io
import threading
import unittest

from baobabpond import logs


class BlockedOutput(io.StringIO):
    """Block writes until the event is set."""

    def __init__(self) -> None:
        super().__init__()
        self.unblocked = threading.Event()

    def write(self, text: str) -> int:
        """Wait for the event, then write a line."""
        self.unblocked.wait(5)
        return super().write(text)


class BoundedOutputTest(unittest.TestCase):
    """Log more lines than the output accepts."""

    def test_write_does_not_block(self) -> None:
        """Lines are dropped and counted while the output blocks."""
        output = BlockedOutput()
        bounded = logs.BoundedOutput(output)
        line_count = logs.MAX_QUEUED_LINES + logs.MAX_LINES_PER_S + 10
        for _ in range(line_count):
            bounded.write('{"level": "error"}\n')
        output.unblocked.set()
        bounded.close()
        self.assertLess(output.getvalue().count('error'), line_count)
        self.assertIn('log lines dropped', output.getvalue())

    def test_lines_per_second_are_limited(self) -> None:
        """Lines below warning level are dropped past the rate."""
        output = io.StringIO()
        bounded = logs.BoundedOutput(output)
        for _ in range(2 * logs.MAX_LINES_PER_S + 200):
            bounded.write('{"level": "info"}\n')
        bounded.write('{"level": "warning"}\n')
        bounded.close()
        written = output.getvalue()
        self.assertLessEqual(written.count('info'), 2 * logs.MAX_LINES_PER_S)
        self.assertEqual(1, written.count('warning'))
