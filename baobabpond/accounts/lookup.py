"""Find client accounts by the digests of their keys."""

import hashlib
import typing

from .. import decoding
from ..ports import catalogue

BEARER = 'bearer'


def digest_key(key: str) -> bytes:
    """Return the digest under which an account is found."""
    return hashlib.sha256(key.encode(errors='surrogatepass')).digest()


def parse_bearer(credentials: str | None) -> str | None:
    """Return the key in an Authorization header, None if it has none.

    Credentials of another scheme are no key.
    """
    scheme, _, key = (credentials or '').strip().partition(' ')
    return key.strip() if scheme.lower() == BEARER else None


def create(
    name: typing.Any, keys: typing.Any, priority: typing.Any
) -> catalogue.Account:
    """Return the account that fields of a configuration describe.

    Raises MalformedData, never with a key. The name stands in a header.
    """
    if priority is not None:
        priority = decoding.integer(priority, -decoding.MAX_INTEGER)
    return catalogue.Account(
        decoding.name(name),
        tuple(
            digest_key(decoding.name(key))
            for key in decoding.sequence(keys or [])
        ),
        priority,
    )


def index(accounts: typing.Iterable[catalogue.Account]) -> catalogue.Accounts:
    """Index accounts by key; the first of two that hold a key keeps it."""
    listed = tuple(accounts)
    by_digest: dict[bytes, catalogue.Account] = {}
    for account in listed:
        for digest in account.key_digests:
            by_digest.setdefault(digest, account)
    return catalogue.Accounts(listed, by_digest)


def find(accounts: catalogue.Accounts, key: str) -> catalogue.Account | None:
    """Return the account that holds a key, None if there is none."""
    return accounts.by_digest.get(digest_key(key))
