"""Test which requests count as the same one."""

import unittest

from baobabpond.crashes import identity
from baobabpond.ports import upstreams

REQUEST = upstreams.Request(
    'request-1', 'POST', '/entries/7?a=1', 'host', [('A', 'b')], b'body'
)


class DigestTest(unittest.TestCase):
    """Change one field of a request at a time."""

    def test_repeated_request_has_the_same_digest(self) -> None:
        """Neither the id nor the headers of an attempt count."""
        repeated = REQUEST._replace(id='request-2', headers=[])
        self.assertEqual(
            identity.digest_request(REQUEST), identity.digest_request(repeated)
        )

    def test_other_requests_have_other_digests(self) -> None:
        """Host, method, target and body count."""
        others = [
            REQUEST._replace(host='other'),
            REQUEST._replace(method='PUT'),
            REQUEST._replace(target='/entries/7?a=2'),
            REQUEST._replace(body=b'bod'),
            REQUEST._replace(target='/entries/7?a=1b', body=b'ody'),
        ]
        digests = {identity.digest_request(other) for other in others}
        self.assertEqual(len(others), len(digests))
        self.assertNotIn(identity.digest_request(REQUEST), digests)
