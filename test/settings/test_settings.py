"""Test the settings tree, its validation, publishing and audit trail."""

import unittest

from baobabpond import errors
from baobabpond.log import state
from baobabpond.settings import check
from baobabpond.settings import current
from baobabpond.settings import fold
from baobabpond.settings import publish
from baobabpond.settings import tree
from test import helpers


class TreeTest(unittest.TestCase):
    """Inheritance, overrides and validation."""

    def test_nodes_inherit_and_override(self):
        built = tree.Tree(
            {
                '': {'timeout_s': 1},
                'd': {'timeout_s': 2, 'max_attempts': 5},
                'd/s/w': {'timeout_s': 3},
            }
        )
        self.assertEqual(3, built.effective('d/s/w')['timeout_s'])
        self.assertEqual(5, built.effective('d/s/w')['max_attempts'])
        self.assertEqual(2, built.effective('d/s')['timeout_s'])
        self.assertEqual(1, built.effective('other')['timeout_s'])
        self.assertEqual(['d/s'], built.services())
        self.assertTrue(built.has_service('d/s/unknown-workload'))
        self.assertFalse(built.has_service('d'))

    def test_removed_override_inherits_again(self):
        built = tree.Tree({'d': {'timeout_s': 2}})
        changed = built.apply([{'node': 'd', 'key': 'timeout_s'}])
        default = check.default_tree()['timeout_s']
        self.assertEqual(default, changed.effective('d')['timeout_s'])

    def test_problems_name_path_violation_and_allowed(self):
        cases = (
            ('d', 'no_such_key', 1, 'no_such_key', 'the keys'),
            ('d', 'timeout_s', 'soon', 'd/timeout_s', 'number'),
            ('d', 'max_attempts', 99, 'd/max_attempts', 'from 1 to 10'),
            ('d', 'choice', 'best', 'd/choice', 'two_choices'),
            ('a/b/c/e', 'timeout_s', 1, 'a/b/c/e', 'deployment/service'),
            ('d', 'limit_min', 300, 'd/limit_min', 'at most 256'),
            ('d', 'timeout_s', 5000, 'd/timeout_s', 'to 3600'),
            ('d', 'max_timeout_s', 5, 'd/timeout_s', 'at most 5'),
        )
        for node, key, value, violation, allowed in cases:
            with self.subTest(key=key, value=value):
                found = tree.Tree({node: {key: value}}).problems()
                text = str(found[0])
                self.assertIn(violation, text)
                self.assertIn(allowed, text)

    def test_defaults_have_every_setting_and_are_valid(self):
        schema = check.load_schema('tree')
        self.assertEqual(
            sorted(schema['properties']), sorted(check.default_tree())
        )
        self.assertEqual([], check.problems('tree', check.default_tree()))
        self.assertTrue(check.load_instance(None))


class FoldTest(unittest.TestCase):
    """Decisions on publishes read from the log."""

    def setUp(self):
        self.state = state.State()
        self.fold = self.state.fold(fold.SettingsFold)

    def publish(self, sender, item):
        helpers.apply(self.state, [helpers.envelope(sender, 1, item)])

    def test_stale_publish_is_refused_naming_the_author(self):
        change = ('d/s', 'timeout_s', 3)
        self.publish('x', helpers.publish_item('p1', 0, change))
        self.publish('y', helpers.publish_item('p2', 0, change, author='budi'))
        self.assertEqual(1, self.fold.revision)
        refused = self.fold.entry('p2')
        self.assertFalse(refused.accepted)
        self.assertIn('published by ayu', refused.reason)

    def test_invalid_publish_is_recorded_but_not_applied(self):
        bad = helpers.publish_item('p1', 0, ('d/s', 'timeout_s', -1))
        self.publish('x', bad)
        self.assertEqual(0, self.fold.revision)
        self.assertFalse(self.fold.entry('p1').accepted)
        self.assertEqual({}, self.fold.tree.nodes)

    def test_repeated_publish_is_ignored(self):
        item = helpers.publish_item('p1', 0, ('d/s', 'timeout_s', 3))
        self.publish('x', item)
        self.publish('y', item)
        self.assertEqual(1, len(self.fold.audit))


class CurrentTest(unittest.TestCase):
    """Replacement of the settings in force."""

    def test_older_revision_is_not_applied(self):
        current_settings = current.CurrentSettings()
        newer = current.Settings(3, tree.Tree({'d': {'timeout_s': 3}}))
        older = current.Settings(2, tree.Tree())
        notified = []
        current_settings.subscribe(
            lambda settings: notified.append(settings.revision)
        )
        self.assertTrue(current_settings.update_if_newer(newer, 'peer'))
        self.assertFalse(current_settings.update_if_newer(older, 'log'))
        self.assertFalse(current_settings.update_if_newer(newer, 'log'))
        self.assertEqual(([3], 3), (notified, current_settings.revision))


class PublishTest(unittest.TestCase):
    """Parsing of an operator's file."""

    def test_null_removes_an_override(self):
        changes = publish.parse_changes({'root': {'timeout_s': None}}, 'f')
        self.assertEqual([{'node': '', 'key': 'timeout_s'}], changes)

    def test_malformed_input_raises_user_errors(self):
        for nodes in ([], {'d': 3}):
            with self.assertRaises(errors.UserError):
                publish.parse_changes(nodes, 'f')
        with self.assertRaises(errors.UserError):
            check.parse('{', 'f')


if __name__ == '__main__':
    unittest.main()
