"""Test that logging is bounded and never waits."""

import io
import threading
import unittest

from baobabpond import logs


class StuckOutput(io.StringIO):
    """Take nothing until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.gate = threading.Event()

    def write(self, text: str) -> int:
        """Wait, then take a line."""
        self.gate.wait(5)
        return super().write(text)


class BoundedOutputTest(unittest.TestCase):
    """Write more than goes out."""

    def test_writer_never_waits(self) -> None:
        """Lines beyond the bound are dropped and counted."""
        output = StuckOutput()
        bounded = logs.BoundedOutput(output)
        many = logs.MOST_WAITING + logs.MOST_LINES_PER_S + 10
        for _ in range(many):
            bounded.write('{"level": "error"}\n')
        output.gate.set()
        bounded.close()
        self.assertLess(output.getvalue().count('error'), many)
        self.assertIn('log lines dropped', output.getvalue())

    def test_lines_of_a_second_are_bounded(self) -> None:
        """Ordinary lines are dropped past the rate, warnings are not."""
        output = io.StringIO()
        bounded = logs.BoundedOutput(output)
        for _ in range(2 * logs.MOST_LINES_PER_S + 200):
            bounded.write('{"level": "info"}\n')
        bounded.write('{"level": "warning"}\n')
        bounded.close()
        written = output.getvalue()
        self.assertLessEqual(written.count('info'), 2 * logs.MOST_LINES_PER_S)
        self.assertEqual(1, written.count('warning'))
