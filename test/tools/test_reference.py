"""Test that the settings reference matches the schemas."""

import unittest

from tools import reference


class ReferenceTest(unittest.TestCase):
    """Compare the committed page with a freshly rendered one."""

    def test_page_is_up_to_date(self):
        page = reference.PAGE_PATH.read_text(encoding='utf-8')
        self.assertEqual(reference.render(), page)


if __name__ == '__main__':
    unittest.main()
