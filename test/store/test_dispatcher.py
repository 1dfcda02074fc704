"""Test how several parts share one topic."""

import unittest

from baobabpond.ports import log as log_port
from baobabpond.store import dispatcher as dispatcher_module


class KeyDispatcherTest(unittest.TestCase):
    """Dispatch records of three kinds."""

    def setUp(self) -> None:
        """Create a dispatcher that records what it passes on."""
        self.calls: list[tuple[str, list[str], bool]] = []
        self.dispatcher = dispatcher_module.KeyDispatcher(
            self.listener('others'),
            {'a/': self.listener('a'), 'b/': self.listener('b')},
        )

    def listener(self, name: str) -> object:
        """Return a listener that records its calls."""
        return lambda records, is_snapshot: self.calls.append(
            (name, [record.key for record in records], is_snapshot)
        )

    def apply(self, is_snapshot: bool, *keys: str) -> None:
        """Apply records with some keys."""
        records = [log_port.Record(key, b'x', 0) for key in keys]
        self.dispatcher.apply(records, is_snapshot)

    def test_records_reach_the_listener_of_their_prefix(self) -> None:
        """In their order; the others are not called."""
        self.apply(False, 'a/1', 'x', 'a/2', 'y')
        self.assertEqual(
            [('a', ['a/1', 'a/2'], False), ('others', ['x', 'y'], False)],
            self.calls,
        )

    def test_all_listeners_see_a_snapshot(self) -> None:
        """They learn that a key is gone."""
        self.apply(True, 'b/1')
        self.assertEqual(
            [('a', [], True), ('b', ['b/1'], True), ('others', [], True)],
            self.calls,
        )

    def test_read_without_records_reaches_the_others(self) -> None:
        """It tells them that the topic has been read."""
        self.apply(False)
        self.assertEqual([('others', [], False)], self.calls)
