"""Test what the head of a response tells of its sender."""

import unittest

from baobabpond.ports import upstreams
from baobabpond.upstreams import authenticity

GENUINE = authenticity.Authenticity.GENUINE
FOREIGN = authenticity.Authenticity.FOREIGN
UNMARKED = authenticity.Authenticity.UNMARKED
HEAD = upstreams.ResponseHead(False, False, 'r', None, 0, 'signature')


class AuthenticityTest(unittest.TestCase):
    """Judge responses to the request with the id r."""

    def test_heads(self) -> None:
        """A success has the mark and names its request."""
        cases = (
            (200, HEAD, GENUINE, True),
            (200, HEAD._replace(signature=''), UNMARKED, False),
            (200, HEAD._replace(request_id=''), UNMARKED, False),
            (200, HEAD._replace(request_id='other'), FOREIGN, False),
            (500, HEAD, GENUINE, True),
            (500, HEAD._replace(request_id=''), GENUINE, True),
            (500, HEAD._replace(signature=''), UNMARKED, False),
            (422, HEAD._replace(signature=''), UNMARKED, False),
            (503, HEAD._replace(signature='', not_run=True), UNMARKED, True),
            (
                503,
                HEAD._replace(request_id='other', not_run=True),
                FOREIGN,
                False,
            ),
        )
        for status, head, found, is_reliable in cases:
            with self.subTest(status=status, head=head):
                self.assertEqual(
                    found, authenticity.of_response('r', status, head)
                )
                self.assertEqual(
                    is_reliable, authenticity.is_reliable('r', status, head)
                )

    def test_request_without_an_id(self) -> None:
        """The mark is needed all the same."""
        head = HEAD._replace(request_id='')
        self.assertEqual(GENUINE, authenticity.of_response('', 200, head))
        head = head._replace(signature='')
        self.assertEqual(UNMARKED, authenticity.of_response('', 200, head))


if __name__ == '__main__':
    unittest.main()
