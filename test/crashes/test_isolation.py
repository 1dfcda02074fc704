"""Test that suspects run apart from one another."""

import concurrent.futures
import unittest

from baobabpond.crashes import isolation as isolation_module
from baobabpond.ports import catalogue

from . import examples

LONG_S = 5.0
SHORT_S = 0.1


def first(
    entries: list[catalogue.UpstreamEntry],
) -> catalogue.UpstreamEntry | None:
    """Choose the first upstream."""
    return entries[0] if entries else None


class IsolationTest(unittest.TestCase):
    """Reserve two upstreams."""

    def setUp(self) -> None:
        """Create two upstreams and no reservation."""
        self.entries = [examples.entry('i-1'), examples.entry('i-2')]
        self.isolation = isolation_module.Isolation()

    def reserve(
        self, digest: str, timeout_s: float = SHORT_S
    ) -> catalogue.UpstreamEntry | None:
        """Reserve the first free upstream."""
        return self.isolation.reserve(
            digest, lambda: self.entries, first, timeout_s
        )

    def test_suspects_get_different_upstreams(self) -> None:
        """The third one waits in vain."""
        self.assertEqual(self.entries[0], self.reserve('a'))
        self.assertEqual(self.entries[1], self.reserve('b'))
        self.assertIsNone(self.reserve('c'))

    def test_one_run_of_each_suspect(self) -> None:
        """Another upstream is free, but the request runs already."""
        self.reserve('a')
        self.assertIsNone(self.reserve('a'))

    def test_waiting_suspect_gets_a_released_upstream(self) -> None:
        """It waits for no longer than needed."""
        reserved = self.reserve('a')
        self.reserve('b')
        with concurrent.futures.ThreadPoolExecutor() as executor:
            waiting = executor.submit(self.reserve, 'c', LONG_S)
            self.isolation.release(reserved)
            self.assertEqual(reserved, waiting.result(LONG_S))

    def test_no_wait_without_upstreams(self) -> None:
        """There is nothing to wait for."""
        self.entries = []
        self.assertIsNone(self.reserve('a', LONG_S))

    def test_number_of_waiting_requests_is_bounded(self) -> None:
        """They occupy the threads that serve callers."""
        self.reserve('a')
        self.reserve('b')
        count = isolation_module.MAX_WAITING + 4
        with concurrent.futures.ThreadPoolExecutor(count) as executor:
            waiting = [
                executor.submit(self.reserve, f'w{n}', LONG_S)
                for n in range(count)
            ]
            done, rest = concurrent.futures.wait(waiting, 2 * SHORT_S)
            self.entries = []
        self.assertEqual(4, len(done))
        self.assertEqual(isolation_module.MAX_WAITING, len(rest))
