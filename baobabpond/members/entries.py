"""Select the entry instances for a caller."""

import typing

import xxhash

from ..gen.peer import ttypes

from . import table as table_module

MAX_ENTRIES = 5


class EntryList(typing.NamedTuple):
    """Entry instances in order of preference, and their validity."""

    entries: list[ttypes.Member]
    valid_for_s: float


def entry_list(
    table: table_module.MemberTable,
    leaving: typing.Container[str],
    caller: str,
    data_centre: str,
    valid_for_s: float,
) -> EntryList:
    """Return serving instances of the data centre first.

    Rendezvous hashing spreads callers over them.
    """
    serving = [
        member for member in table.serving() if member.instance not in leaving
    ]
    serving.sort(
        key=lambda member: (
            member.data_centre != data_centre,
            rendezvous_rank(caller, member.instance),
        )
    )
    return EntryList(serving[:MAX_ENTRIES], valid_for_s)


def rendezvous_rank(key: str, name: str) -> int:
    """Return the rank of a name for a key; the lowest is preferred."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}'.encode())
