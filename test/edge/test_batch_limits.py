"""Test the bounds of batches."""

import json
import typing
import unittest

from baobabpond.edge import batch_limits
from baobabpond.edge import client_limits
from baobabpond.ports import callers

LIMITS = client_limits.DEFAULTS
MAX_BODY_BYTES = 33_554_432


def item(**fields: typing.Any) -> callers.Item:
    """Return an item with some of its fields."""
    return callers.Item('i', '/', (), '', 1, 'g', 1)._replace(**fields)


def submission(*items: callers.Item, **fields: str) -> callers.Submission:
    """Return a batch."""
    batch = callers.Submission('b', 0, 'm', 0, 1, items)
    return batch._replace(**fields)


class DecodingTest(unittest.TestCase):
    """Estimate the memory of a body before it is decoded."""

    def check_refused(self, limit: str, body: bytes) -> None:
        """Check that a body is refused for good."""
        with self.assertRaises(batch_limits.BatchLimitExceeded) as caught:
            batch_limits.decoding_bytes(body, LIMITS)
        self.assertEqual(
            (413, limit), (caught.exception.status, caught.exception.limit)
        )

    def test_batches_that_no_default_refuses(self) -> None:
        """Guards against bounds that ordinary trainers meet."""
        headers = {f'header-{number}': 'v' for number in range(8)}
        for count, size in ((1024, 30_000), (16, 2_000_000), (16_384, 1)):
            fields = {
                'id': 'i',
                'path': '/',
                'headers': headers,
                'body': 'A' * size,
            }
            text = json.dumps({'items': [fields] * count})
            body = text.encode()
            self.assertLessEqual(len(body), MAX_BODY_BYTES)
            batch_limits.decoding_bytes(body, LIMITS)
            batch_limits.validate(submission(*[item()] * count), LIMITS)

    def test_largest_body_with_all_values(self) -> None:
        """Guards against defaults that contradict each other."""
        body = b'[' * LIMITS.batch_values
        batch_limits.decoding_bytes(body.ljust(MAX_BODY_BYTES), LIMITS)

    def test_many_values(self) -> None:
        """Guards against JSON that takes a multiple of its bytes."""
        for value in (b'{},', b'[],', b'1,', b'[', b'{"":'):
            self.check_refused('batch_values', value * 500_001)

    def test_wide_texts(self) -> None:
        """Guards against texts of four bytes a character."""
        for wide in ('\U0001f333'.encode(), rb'\ud83c\udf33'):
            self.check_refused('batch_memory', wide + b'a' * 20_000_000)


class SubmissionTest(unittest.TestCase):
    """Look at a batch that is decoded."""

    def test_long_texts(self) -> None:
        """Guards against ids and heads that fill tables and logs."""
        long = 'i' * (batch_limits.MAX_ID_LENGTH + 1)
        head = 'h' * (batch_limits.MAX_HEAD_LENGTH + 1)
        call = callers.RewardCall('r', 'host', '/', '')
        for batch in (
            submission(item(), id=long),
            submission(item(), model=long),
            submission(item(id=long)),
            submission(item(group=long)),
            submission(item(target=head)),
            submission(item(headers=(('h', head),))),
            submission(item(reward_call=call._replace(id=long))),
            submission(item(reward_call=call._replace(host=long))),
            submission(item(reward_call=call._replace(target=head))),
        ):
            with self.assertRaises(batch_limits.BatchLimitExceeded) as caught:
                batch_limits.validate(batch, LIMITS)
            self.assertEqual(400, caught.exception.status)

    def test_many_items(self) -> None:
        """Guards against items that are held for each of few bytes."""
        batch = submission(*[item()] * (LIMITS.batch_items + 1))
        with self.assertRaises(batch_limits.BatchLimitExceeded) as caught:
            batch_limits.validate(batch, LIMITS)
        self.assertEqual(413, caught.exception.status)
