"""Emulate the platform's store: topics, idempotent producers, faults."""

import base64
import collections
import functools
import random
import struct
import threading
import time
import typing

from baobabpond.edge import http_exchange
from baobabpond.edge import server

from . import serving

LENGTH_PREFIX = struct.Struct('>I')
# End and start offset of the partition, sent ahead of the records.
READ_HEADER = struct.Struct('>QQ')
# Responses kept per producer; a repeated append gets the kept one.
# Key and value.
MAX_RECORD_BYTES = 262_144
MAX_REMEMBERED_APPENDS = 5
PAGE_ITEMS = 500
# Each long-polling read occupies a thread.
THREADS = 96
# Instances only read these; their appends get 403.
UPSTREAMS_TOPIC = 'keyed.servers'
OPERATOR_TOPICS = ('keyed.op', UPSTREAMS_TOPIC)

# Rewrites the registration of an upstream for one instance.
Rewrite = typing.Callable[[bytes], bytes]


class Faults:
    """Faults that the store currently injects."""

    def __init__(self) -> None:
        # None, or one of 'busy' (503), 'silent' (no response) and 'reset'
        # (connections are closed).
        self.outage: str | None = None
        # The only topic with the outage; all topics if empty.
        self.outage_topic = ''
        # Whether the outage keeps upstreams from the store as well, so that
        # their registrations expire; else it is one of the instances only.
        self.excludes_upstreams = False
        # Delay before each call is handled.
        self.delay_s = 0.0
        # Share of the appends that are applied without a response.
        self.unanswered_share = 0.0
        # Delay until appends without a response are applied.
        self.unanswered_delay_s = 0.0


class ProducerState:
    """State of one idempotent producer in a partition."""

    def __init__(self) -> None:
        self.epoch = -1
        self.next_sequence: int | None = None
        self.recent_responses: collections.OrderedDict[
            tuple[int, int], dict
        ] = collections.OrderedDict()


class Partition:
    """Records of one partition, and the newest record of each key."""

    def __init__(self) -> None:
        self.start_offset = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, ProducerState] = collections.defaultdict(
            ProducerState
        )

    @property
    def end_offset(self) -> int:
        """Return the offset after the last record."""
        return self.start_offset + len(self.records)

    def append(self, body: bytes) -> None:
        """Append a record; an empty value removes its key's newest record."""
        size = body[0]
        key = body[1 : 1 + size].decode()
        value = body[1 + size :]
        if value:
            self.newest[key] = (self.end_offset, value)
        else:
            self.newest.pop(key, None)
        self.records.append(body)

    def truncate(self) -> None:
        """Delete all records; the newest of each key stays available."""
        self.start_offset = self.end_offset
        self.records.clear()


class Store:
    """Serve the append, read and newest calls of the store."""

    def __init__(self, seed: int = 1) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._changed = threading.Condition()
        self._partitions: dict[tuple[str, int], Partition] = (
            collections.defaultdict(Partition)
        )
        self._rng = random.Random(seed)
        self.server = self.serve_view(lambda value: value)

    @property
    def address(self) -> str:
        """Return the host and port on which the store listens."""
        return serving.address_of(self.server)

    @property
    def is_away_for_upstreams(self) -> bool:
        """Return whether upstreams cannot reach the store now."""
        return self.faults.outage is not None and (
            self.faults.excludes_upstreams
        )

    def serve_view(self, rewrite: Rewrite) -> server.Server:
        """Serve the store with registrations of upstreams rewritten."""
        return serving.serve(functools.partial(self._handle, rewrite), THREADS)

    def produce(self, topic: str, key: str, value: bytes) -> None:
        """Append a record to partition 0, as operator and upstreams do."""
        encoded_key = key.encode()
        with self._changed:
            partition = self._partitions[topic, 0]
            partition.append(bytes([len(encoded_key)]) + encoded_key + value)
            self._changed.notify_all()

    def truncate_history(self, topic: str) -> None:
        """Truncate all partitions of a topic."""
        with self._changed:
            for (name, _), partition in self._partitions.items():
                if name == topic:
                    partition.truncate()
            self._changed.notify_all()

    def newest_values(self, topic: str, part: int = 0) -> dict[str, bytes]:
        """Return the newest value of each key in a partition."""
        with self._changed:
            newest = self._partitions[topic, part].newest
            return {key: value for key, (_, value) in newest.items()}

    def stop(self) -> None:
        """Stop the server."""
        self.server.stop()

    def _handle(
        self, rewrite: Rewrite, exchange: http_exchange.Exchange
    ) -> None:
        query = serving.query(exchange)
        body = exchange.read_body()
        name = query.path.rpartition('/')[2]
        self.calls[name] += 1
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        outage = self._outage_of(query.parameters.get('topic'))
        if outage == 'busy':
            serving.reply(exchange, 503)
        elif outage == 'reset':
            serving.close_without_response(exchange)
        elif outage == 'silent':
            self._wait_out_outage(exchange)
        elif name == 'log-append':
            self._append(exchange, query.parameters, body)
        elif name == 'log-read':
            self._read(exchange, query.parameters, rewrite)
        elif name == 'log-newest':
            self._newest(exchange, query.parameters, rewrite)
        else:
            serving.reply(exchange, 404)

    def _outage_of(self, topic: str | None) -> str | None:
        """Return the kind of outage that calls for a topic meet, if any."""
        if self.faults.outage_topic in ('', topic):
            return self.faults.outage
        return None

    def _wait_out_outage(self, exchange: http_exchange.Exchange) -> None:
        while self.faults.outage == 'silent':
            time.sleep(0.05)
        serving.close_without_response(exchange)

    def _append(
        self,
        exchange: http_exchange.Exchange,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        if query['topic'] in OPERATOR_TOPICS:
            serving.reply(exchange, 403)
            return
        is_unanswered = self._rng.random() < self.faults.unanswered_share
        if is_unanswered and self.faults.unanswered_delay_s:
            threading.Timer(
                self.faults.unanswered_delay_s,
                self._apply_append,
                (query, body),
            ).start()
            self._drop_response(exchange)
            return
        status, response = self._apply_append(query, body)
        if is_unanswered:
            self._drop_response(exchange)
        else:
            serving.reply(exchange, status, response)

    def _drop_response(self, exchange: http_exchange.Exchange) -> None:
        time.sleep(1.5)
        serving.close_without_response(exchange)

    def _apply_append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, typing.Any]]:
        with self._changed:
            partition = self._partitions[query['topic'], int(query['part'])]
            if 'at' in query and int(query['at']) != partition.end_offset:
                return 412, {'end': partition.end_offset}
            early_response = self._check_producer(partition, query)
            if early_response is not None:
                return early_response
            offset = partition.end_offset
            new = _split_records(body)
            if any(len(record) > MAX_RECORD_BYTES for record in new):
                return 413, {}
            for record in new:
                partition.append(record)
            response = {'offset': offset, 'end': partition.end_offset}
            self._update_producer(partition, query, response)
            self._changed.notify_all()
            return 200, response

    def _check_producer(
        self, partition: Partition, query: dict[str, str]
    ) -> tuple[int, dict[str, typing.Any]] | None:
        if 'producer' not in query:
            return None
        producer = partition.producers[query['producer']]
        epoch = int(query['epoch'])
        sequence = int(query['sequence'])
        if epoch < producer.epoch:
            return 409, {'why': 'fenced'}
        previous_response = producer.recent_responses.get((epoch, sequence))
        if previous_response is not None:
            return 200, previous_response
        if epoch == producer.epoch and sequence != producer.next_sequence:
            return 409, {'why': 'seq', 'sequence': producer.next_sequence}
        return None

    def _update_producer(
        self,
        partition: Partition,
        query: dict[str, str],
        response: dict[str, typing.Any],
    ) -> None:
        if 'producer' not in query:
            return
        producer = partition.producers[query['producer']]
        producer.epoch = int(query['epoch'])
        producer.next_sequence = int(query['sequence']) + 1
        producer.recent_responses[producer.epoch, int(query['sequence'])] = (
            response
        )
        while len(producer.recent_responses) > MAX_REMEMBERED_APPENDS:
            producer.recent_responses.popitem(last=False)

    def _read(
        self,
        exchange: http_exchange.Exchange,
        query: dict[str, str],
        rewrite: Rewrite,
    ) -> None:
        key = query['topic'], int(query['part'])
        offset = int(query['from'])
        wait_s = int(query.get('wait-ms', 0)) / 1000
        with self._changed:
            partition = self._partitions[key]
            if offset < partition.start_offset:
                serving.reply(exchange, 410, {'first': partition.start_offset})
                return
            self._changed.wait_for(
                lambda: partition.end_offset > offset, wait_s
            )
            if offset < partition.start_offset:
                serving.reply(exchange, 410, {'first': partition.start_offset})
                return
            records = partition.records[offset - partition.start_offset :]
            head = READ_HEADER.pack(
                partition.end_offset, partition.start_offset
            )
        if self._outage_of(query['topic']) is not None:
            serving.close_without_response(exchange)
            return
        if query['topic'] == UPSTREAMS_TOPIC:
            records = [_rewrite_record(record, rewrite) for record in records]
        data = b''.join(LENGTH_PREFIX.pack(len(r)) + r for r in records)
        exchange.send_response(200, 'OK', [], head + data)

    def _newest(
        self,
        exchange: http_exchange.Exchange,
        query: dict[str, str],
        rewrite: Rewrite,
    ) -> None:
        if query['topic'] != UPSTREAMS_TOPIC:
            rewrite = bytes
        after = query.get('after', '')
        with self._changed:
            partition = self._partitions[query['topic'], int(query['part'])]
            keys = sorted(key for key in partition.newest if key > after)
            page = keys[:PAGE_ITEMS]
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(
                        rewrite(partition.newest[key][1])
                    ).decode('ascii'),
                    'offset': partition.newest[key][0],
                }
                for key in page
            ]
            end = partition.end_offset
        serving.reply(
            exchange,
            200,
            {'items': items, 'has-more': len(keys) > len(page), 'end': end},
        )


def _rewrite_record(record: bytes, rewrite: Rewrite) -> bytes:
    key_end = 1 + record[0]
    value = record[key_end:]
    return record[:key_end] + (rewrite(value) if value else b'')


def _split_records(body: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH_PREFIX.unpack_from(body, position)
        position += LENGTH_PREFIX.size
        records.append(body[position : position + length])
        position += length
    return records
