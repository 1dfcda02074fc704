"""Provide fakes and fixtures for the tests."""

import collections.abc
import threading
import typing

from baobabpond.claims import fold as _claims  # noqa: F401
from baobabpond.gen.peer import ttypes
from baobabpond.leases import fold as _leases  # noqa: F401
from baobabpond.log import client
from baobabpond.log import follower
from baobabpond.log import shared
from baobabpond.log import state
from baobabpond.log import writer
from baobabpond import metrics
from baobabpond.routing import upstreams
from baobabpond.settings import check
from baobabpond.settings import fold as _settings  # noqa: F401
from baobabpond import verdicts
from baobabpond.weights import fold as _versions  # noqa: F401


class FakeLog:
    """Store records in memory and inject faults.

    lose_answers: number of appends that succeed but raise MAY_HAVE_RUN.
    delayed_appends: number of appends that are delayed and raise MAY_HAVE_RUN.
    """

    def __init__(self) -> None:
        self.records: list[client.Record] = []
        self.first = 0
        self.lose_answers = 0
        self.delayed_appends = 0
        self.delayed_values: list[typing.Any] = []
        self.down = False
        self.appended = threading.Condition()

    def append(self, value: typing.Any) -> int:
        """Append a record and return its offset, or raise LogError."""
        if self.down:
            raise client.LogError('down', verdicts.Verdict.NOT_RUN)
        if self.delayed_appends:
            self.delayed_appends -= 1
            self.delayed_values.append(value)
            raise client.LogError('lost', verdicts.Verdict.MAY_HAVE_RUN)
        offset = self.append_record(value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise client.LogError('lost', verdicts.Verdict.MAY_HAVE_RUN)
        return offset

    def append_record(self, value: typing.Any) -> int:
        """Append a record without injecting a fault."""
        with self.appended:
            offset = len(self.records)
            self.records.append(client.Record(offset, value))
            self.appended.notify_all()
            return offset

    def append_delayed(self) -> None:
        """Append the delayed records."""
        for value in self.delayed_values:
            self.append_record(value)
        self.delayed_values = []

    def read(
        self, offset: int, count: int, wait_s: float = 0.0
    ) -> list[client.Record]:
        """Return records from an offset, waiting at most 20 ms for one."""
        if self.down:
            raise client.LogError('down', verdicts.Verdict.NOT_RUN)
        if offset < self.first:
            raise client.GapError('expired', verdicts.Verdict.NOT_RUN)
        with self.appended:
            self.appended.wait_for(
                lambda: len(self.records) > offset, min(wait_s, 0.02)
            )
            return self.records[offset : offset + count]

    def bounds(self) -> client.Bounds:
        """Return the first and the next offset of the log."""
        if self.down:
            raise client.LogError('down', verdicts.Verdict.NOT_RUN)
        return client.Bounds(self.first, len(self.records))


def start_shared_log(log: FakeLog, name: str) -> shared.SharedLog:
    """Start the follower and the writer of one instance."""
    folded = state.State()
    counters = metrics.Metrics()
    log_client = typing.cast(client.LogClient, log)
    reader = follower.Follower(log_client, folded, counters)
    sender = writer.Writer(name, log_client, folded, counters)
    reader.catch_up()
    reader.start()
    sender.start()
    return shared.SharedLog(folded, reader, sender)


def stop_shared_log(node: shared.SharedLog) -> None:
    """Stop the follower and the writer of an instance."""
    node.follower.stop()
    node.writer.stop()


def envelope(
    sender: str, seq: int, *items: typing.Any, time_s: float = 1000.0
) -> dict[str, typing.Any]:
    """Return a record value with a sender, a sequence number and items."""
    return {
        'sender': sender,
        'seq': seq,
        'time_s': time_s,
        'items': list(items),
    }


def apply(
    folded: state.State, values: collections.abc.Iterable[typing.Any]
) -> None:
    """Apply values to the state as its next records."""
    for value in values:
        folded.apply(client.Record(folded.next_offset, value))


def publish_item(
    publish_id: str, base: int, *changes: typing.Any, author: str = 'ayu'
) -> dict[str, typing.Any]:
    """Return a publish item with (node, key, value) changes."""
    return {
        'type': 'publish',
        'publish_id': publish_id,
        'base_revision': base,
        'author': author,
        'message': 'why',
        'changes': [
            {'node': node, 'key': key, 'value': value}
            for node, key, value in changes
        ],
    }


def claim_item(
    claim_id: str, key: str, holder: str = 'a', keep_s: float = 100.0
) -> dict[str, typing.Any]:
    """Return a claim item for a key."""
    return {
        'type': 'claim',
        'claim_id': claim_id,
        'key': key,
        'holder': holder,
        'incarnation': 1,
        'body_digest': 'd',
        'keep_s': keep_s,
    }


def settings(**overrides: typing.Any) -> typing.Any:
    """Return the default settings with overrides."""
    return {**check.default_tree(), **overrides}


def member(name: str, **changes: typing.Any) -> ttypes.Member:
    """Return an alive member with default fields and changes."""
    fields = {
        'instance': name,
        'incarnation': 0,
        'address': '127.0.0.1',
        'http_port': 1,
        'peer_port': 2,
        'data_centre': 'kl-bengkel',
        'state': ttypes.MemberState.ALIVE,
        'settings_revision': 0,
        'started_us': 1,
    }
    return ttypes.Member(**{**fields, **changes})


def upstream_state(name: str) -> upstreams.UpstreamState:
    """Return the state of an upstream that has not been observed yet."""
    return upstreams.UpstreamState(
        upstreams.Upstream(name, 'd/s', '127.0.0.1', 1, 'kl-bengkel')
    )
