"""Share fakes and fixtures between the tests."""

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
    """Keep records in memory and fail as told."""

    def __init__(self) -> None:
        self.records: list[client.Record] = []
        self.first = 0
        self.lose_answers = 0
        self.hold_back = 0
        self.held: list[typing.Any] = []
        self.down = False
        self.appended = threading.Condition()

    def append(self, value: typing.Any) -> int:
        """Append a record, or fail."""
        if self.down:
            raise client.LogError('down', verdicts.Verdict.NOT_RUN)
        if self.hold_back:
            self.hold_back -= 1
            self.held.append(value)
            raise client.LogError('lost', verdicts.Verdict.MAY_HAVE_RUN)
        offset = self.land(value)
        if self.lose_answers:
            self.lose_answers -= 1
            raise client.LogError('lost', verdicts.Verdict.MAY_HAVE_RUN)
        return offset

    def land(self, value: typing.Any) -> int:
        """Put a record at the end."""
        with self.appended:
            offset = len(self.records)
            self.records.append(client.Record(offset, value))
            self.appended.notify_all()
            return offset

    def land_held(self) -> None:
        """Let the held records land."""
        for value in self.held:
            self.land(value)
        self.held = []

    def read(
        self, offset: int, count: int, wait_s: float = 0.0
    ) -> list[client.Record]:
        """Return records, waiting for one."""
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
        """Return the kept offsets."""
        if self.down:
            raise client.LogError('down', verdicts.Verdict.NOT_RUN)
        return client.Bounds(self.first, len(self.records))


def start_node(log: FakeLog, name: str) -> shared.SharedLog:
    """Start the log parts of one instance."""
    folded = state.State()
    counters = metrics.Metrics()
    log_client = typing.cast(client.LogClient, log)
    reader = follower.Follower(log_client, folded, counters)
    sender = writer.Writer(name, log_client, folded, counters)
    reader.catch_up()
    reader.start()
    sender.start()
    return shared.SharedLog(folded, reader, sender)


def stop_node(node: shared.SharedLog) -> None:
    """Stop the tasks of an instance."""
    node.follower.stop()
    node.writer.stop()


def envelope(
    sender: str, seq: int, *items: typing.Any, time_s: float = 1000.0
) -> dict[str, typing.Any]:
    """Return the value of a record."""
    return {
        'sender': sender,
        'seq': seq,
        'time_s': time_s,
        'items': list(items),
    }


def apply(
    folded: state.State, values: collections.abc.Iterable[typing.Any]
) -> None:
    """Fold some values as the next records."""
    for value in values:
        folded.apply(client.Record(folded.next_offset, value))


def publish_item(
    publish_id: str, base: int, *changes: typing.Any, author: str = 'ayu'
) -> dict[str, typing.Any]:
    """Return a publish of (node, key, value) changes."""
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
    """Return a claim of a key."""
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
    """Return the defaults with some overrides."""
    return {**check.default_tree(), **overrides}


def member(name: str, **changes: typing.Any) -> ttypes.Member:
    """Return a member."""
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
    """Return an upstream nothing is known of."""
    return upstreams.UpstreamState(
        upstreams.Upstream(name, 'd/s', '127.0.0.1', 1, 'kl-bengkel')
    )
