"""Bound the batches that trainers submit, before and after decoding."""

import typing

from .. import decoding
from ..ports import callers

from . import client_limits

# What is held while JSON is decoded, besides the body: its text, and the
# texts of its values.
TEXT_COPIES = 2
# A single character outside ASCII makes a text of four bytes a character,
# and escapes are checked on a copy that is encoded again.
WIDE_COPIES = 10
# Of a value with what the plugin makes of it. Bodies of 10 MB took 35 to 94
# bytes for each of their separators, besides twice the body (Python 3.11).
VALUE_BYTES = 100
# Each value but the first follows one of these. Those within texts count too,
# as finding the texts takes longer than the margin is worth.
SEPARATORS = (b',', b':', b'[', b'{')
MAX_ID_LENGTH = decoding.MAX_TEXT_LENGTH
# Of the path and all headers of an item, in characters. Four times what
# requests may have.
MAX_HEAD_LENGTH = 65_536


class BatchLimitExceeded(callers.BadRequest):
    """Raised for a batch that is never accepted."""

    def __init__(self, limit: str, message: str, status: int) -> None:
        super().__init__(message, status)
        self.limit = limit


def decoding_bytes(body: bytes, limits: client_limits.ClientLimits) -> int:
    """Return the memory that decoding takes, besides the body.

    Raises BatchLimitExceeded if no instance is to hold it.
    """
    values = sum(body.count(separator) for separator in SEPARATORS)
    if values > limits.batch_values:
        raise BatchLimitExceeded(
            'batch_values',
            f'the batch has more than {limits.batch_values} values',
            413,
        )
    is_wide = not body.isascii() or rb'\u' in body
    copies = WIDE_COPIES if is_wide else TEXT_COPIES
    size = len(body) * copies + values * VALUE_BYTES
    if size > limits.batch_memory_bytes:
        raise BatchLimitExceeded(
            'batch_memory', 'the batch takes too much memory', 413
        )
    return size


def validate(
    submission: callers.Submission, limits: client_limits.ClientLimits
) -> None:
    """Raise BatchLimitExceeded for too many items or too long texts."""
    if len(submission.items) > limits.batch_items:
        raise BatchLimitExceeded(
            'batch_items',
            f'the batch has more than {limits.batch_items} items',
            413,
        )
    if any(len(text) > MAX_ID_LENGTH for text in _names(submission)):
        raise BatchLimitExceeded(
            'batch_text', f'an id is longer than {MAX_ID_LENGTH}', 400
        )
    if any(_head_length(item) > MAX_HEAD_LENGTH for item in submission.items):
        raise BatchLimitExceeded(
            'batch_text',
            f'the head of an item is longer than {MAX_HEAD_LENGTH}',
            400,
        )


def _names(submission: callers.Submission) -> typing.Iterator[str]:
    yield submission.id
    yield submission.model
    for item in submission.items:
        yield item.id
        yield item.group
        if item.reward_call is not None:
            yield item.reward_call.id
            yield item.reward_call.host


def _head_length(item: callers.Item) -> int:
    length = len(item.target) + sum(
        len(name) + len(value) for name, value in item.headers
    )
    if item.reward_call is not None:
        length += len(item.reward_call.target)
    return length
