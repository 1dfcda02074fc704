"""Test that the reference matches the schema."""

import unittest

from tools import reference


class ReferenceTest(unittest.TestCase):
    """Compare the page with what would be written."""

    def test_page_is_up_to_date(self):
        page = reference.PAGE.read_text(encoding='utf-8')
        self.assertEqual(reference.page(), page)


if __name__ == '__main__':
    unittest.main()
