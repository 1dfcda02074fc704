"""Find client accounts by the digests of their keys."""

import hashlib
import json
import re
import typing

from .. import decoding
from ..ports import catalogue

BEARER = 'bearer'
# In place of a key in a configuration: the digest of the key.
DIGEST = re.compile(r'sha256:([0-9a-f]{64})')


def digest_key(key: str) -> bytes:
    """Return the digest under which an account is found."""
    return hashlib.sha256(key.encode(errors='surrogatepass')).digest()


def parse_bearer(credentials: str | None) -> str | None:
    """Return the Bearer key in an Authorization header, if it has one."""
    scheme, _, key = (credentials or '').strip().partition(' ')
    return key.strip() if scheme.lower() == BEARER else None


def create(
    name: typing.Any, keys: typing.Any, priority: typing.Any
) -> catalogue.Account:
    """Return the account that fields of a configuration describe.

    Raises MalformedData, whose message never contains a key.
    """
    if priority is not None:
        priority = decoding.integer(priority, -decoding.MAX_INTEGER)
    return catalogue.Account(
        # Upstreams receive the name in a header.
        decoding.name(name),
        tuple(
            _parse_or_digest(decoding.name(key))
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


@decoding.decoder('configuration')
def redact(value: bytes, accounts_field: str, keys_field: str) -> bytes:
    """Replace the keys of accounts in JSON by their digests.

    Raises MalformedData, whose message never contains a key.
    """
    fields = decoding.load_json(value)
    for account in decoding.sequence(fields.get(accounts_field) or []):
        account[keys_field] = [
            f'sha256:{_parse_or_digest(decoding.name(key)).hex()}'
            for key in decoding.sequence(account.get(keys_field) or [])
        ]
    return json.dumps(fields).encode()


def _parse_or_digest(key: str) -> bytes:
    """Return the digest of a key, which may be given as its digest."""
    match = DIGEST.fullmatch(key)
    return bytes.fromhex(match[1]) if match else digest_key(key)
