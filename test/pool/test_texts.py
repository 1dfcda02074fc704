"""Test which events an item goes on from."""

import unittest

from baobabpond.batches import shard_state as state_module
from baobabpond.pool import texts as texts_module
from test.pool import examples


class FakeShardState:
    """Hold the texts that the log kept."""

    def __init__(self) -> None:
        self.kept: list[state_module.PartialOutput] = []

    def partial_outputs(self, item: str) -> list[state_module.PartialOutput]:
        """Return the texts of an item."""
        return list(self.kept)


class TextsTest(unittest.TestCase):
    """Go on from what earlier runs made."""

    def setUp(self) -> None:
        """Make an item that allows version 2 and newer."""
        self.shard_state = FakeShardState()
        self.texts = texts_module.Texts(self.shard_state)
        self.texts.begin(7)
        self.work = examples.work(min_version=2)

    def versions(self) -> list[int]:
        """Return the versions of the events that the item has."""
        return [version for _, version in self.work.events]

    def test_longest_usable_text_is_taken(self) -> None:
        """Texts of versions that the batch doesn't allow are left."""
        self.shard_state.kept = [
            state_module.PartialOutput('1.1', [('a', 1), ('b', 1), ('c', 2)]),
            state_module.PartialOutput('1.2', [('a', 2)]),
            state_module.PartialOutput('1.3', [('a', 2), ('b', 3)]),
        ]
        self.texts.resume(self.work)
        self.assertEqual([2, 3], self.versions())
        self.assertEqual('1.3', self.work.text)
        self.assertEqual(2, self.work.kept_events)

    def test_without_a_text_a_new_one_begins(self) -> None:
        """New texts have names that no earlier tenure gave."""
        self.texts.resume(self.work)
        first = self.work.text
        self.texts.restart(self.work)
        self.assertTrue(first.startswith('7.'))
        self.assertNotEqual(first, self.work.text)

    def test_events_of_an_ended_batch_serve_the_next(self) -> None:
        """An item that comes again goes on where it was."""
        self.work.events = [('a', 2), ('b', 2)]
        self.texts.keep(self.work)
        again = examples.work(min_version=2)
        self.texts.resume(again)
        self.assertEqual(2, len(again.events))
        self.assertEqual(0, again.kept_events)

    def test_route_that_turns_single_version_drops_mixed_events(
        self,
    ) -> None:
        """Events of two versions never end up in one text of such a route."""
        self.work.events = [('a', 2), ('b', 3)]
        self.texts.require_single_version(self.work)
        self.assertEqual([], self.versions())
        self.work.events = [('a', 3), ('b', 3)]
        self.texts.require_single_version(self.work)
        self.assertEqual([3, 3], self.versions())
        self.assertEqual(3, self.work.required_version)


if __name__ == '__main__':
    unittest.main()
