"""Emulate the platform's store: topics, producers and outages."""

import base64
import collections
import random
import struct
import threading
import time
import typing

from baobabpond.edge import server

from . import serving

LENGTH = struct.Struct('>I')
HEAD = struct.Struct('>QQ')
REPEATS_KEPT = 5
PAGE_ITEMS = 500
# One for each read that waits.
THREADS = 96
OPERATOR_TOPICS = ('keyed.op', 'keyed.servers')


class Faults:
    """Hold what the store does wrong at present."""

    def __init__(self) -> None:
        # None, or one of 'busy', 'silent' and 'reset'.
        self.down: str | None = None
        # The one topic that is down; all if empty.
        self.topic = ''
        self.delay_s = 0.0
        # Share of the appends that are done and not answered.
        self.lost_share = 0.0
        # Unanswered appends are done this much later.
        self.late_s = 0.0


class Producer:
    """Hold what the store knows of one producer in a partition."""

    def __init__(self) -> None:
        self.epoch = -1
        self.next_sequence: int | None = None
        self.answers: collections.OrderedDict[tuple[int, int], dict] = (
            collections.OrderedDict()
        )


class Partition:
    """Hold the records of one partition."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, Producer] = collections.defaultdict(Producer)

    @property
    def end(self) -> int:
        """Return the offset after the last record."""
        return self.first + len(self.records)

    def add(self, body: bytes) -> None:
        """Append one record and note it as its key's newest."""
        size = body[0]
        key = body[1 : 1 + size].decode()
        value = body[1 + size :]
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append(body)

    def forget(self) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first = self.end
        self.records.clear()


class Store:
    """Serve the calls of the store that the product makes."""

    def __init__(self, seed: int = 1) -> None:
        self.faults = Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._changed = threading.Condition()
        self._partitions: dict[tuple[str, int], Partition] = (
            collections.defaultdict(Partition)
        )
        self._rng = random.Random(seed)
        self.server = serving.serve(self._handle, THREADS)

    @property
    def address(self) -> str:
        """Return where the store listens."""
        return serving.address_of(self.server)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or an upstream does."""
        name = key.encode()
        with self._changed:
            partition = self._partitions[topic, 0]
            partition.add(bytes([len(name)]) + name + value)
            self._changed.notify_all()

    def forget_history(self, topic: str) -> None:
        """Drop the history of a topic."""
        with self._changed:
            for (name, _), partition in self._partitions.items():
                if name == topic:
                    partition.forget()
            self._changed.notify_all()

    def keys(self, topic: str, part: int = 0) -> dict[str, bytes]:
        """Return the newest values of a partition."""
        with self._changed:
            newest = self._partitions[topic, part].newest
            return {key: value for key, (_, value) in newest.items()}

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def _handle(self, exchange: server.Exchange) -> None:
        query = serving.query(exchange)
        body = exchange.read_body()
        name = query.path.rpartition('/')[2]
        self.calls[name] += 1
        if self.faults.delay_s:
            time.sleep(self.faults.delay_s)
        down = self.faults.down
        if self.faults.topic not in ('', query.parameters.get('topic')):
            down = ''
        if down == 'busy':
            serving.reply(exchange, 503)
        elif down == 'reset':
            serving.hang_up(exchange)
        elif down == 'silent':
            self._be_silent(exchange)
        elif name == 'log-append':
            self._append(exchange, query.parameters, body)
        elif name == 'log-read':
            self._read(exchange, query.parameters)
        elif name == 'log-newest':
            self._newest(exchange, query.parameters)
        else:
            serving.reply(exchange, 404)

    def _be_silent(self, exchange: server.Exchange) -> None:
        while self.faults.down == 'silent':
            time.sleep(0.05)
        serving.hang_up(exchange)

    def _append(
        self, exchange: server.Exchange, query: dict[str, str], body: bytes
    ) -> None:
        if query['topic'] in OPERATOR_TOPICS:
            serving.reply(exchange, 403)
            return
        is_lost = self._rng.random() < self.faults.lost_share
        if is_lost and self.faults.late_s:
            threading.Timer(
                self.faults.late_s, self._do_append, (query, body)
            ).start()
            self._lose(exchange)
            return
        status, answer = self._do_append(query, body)
        if is_lost:
            self._lose(exchange)
        else:
            serving.reply(exchange, status, answer)

    def _lose(self, exchange: server.Exchange) -> None:
        time.sleep(1.5)
        serving.hang_up(exchange)

    def _do_append(
        self, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, typing.Any]]:
        with self._changed:
            partition = self._partitions[query['topic'], int(query['part'])]
            if 'at' in query and int(query['at']) != partition.end:
                return 412, {'end': partition.end}
            refused = self._check_producer(partition, query)
            if refused is not None:
                return refused
            offset = partition.end
            for record in _split(body):
                partition.add(record)
            answer = {'offset': offset, 'end': partition.end}
            self._note_producer(partition, query, answer)
            self._changed.notify_all()
            return 200, answer

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
        repeated = producer.answers.get((epoch, sequence))
        if repeated is not None:
            return 200, repeated
        if epoch == producer.epoch and sequence != producer.next_sequence:
            return 409, {'why': 'seq', 'sequence': producer.next_sequence}
        return None

    def _note_producer(
        self,
        partition: Partition,
        query: dict[str, str],
        answer: dict[str, typing.Any],
    ) -> None:
        if 'producer' not in query:
            return
        producer = partition.producers[query['producer']]
        producer.epoch = int(query['epoch'])
        producer.next_sequence = int(query['sequence']) + 1
        producer.answers[producer.epoch, int(query['sequence'])] = answer
        while len(producer.answers) > REPEATS_KEPT:
            producer.answers.popitem(last=False)

    def _read(self, exchange: server.Exchange, query: dict[str, str]) -> None:
        key = query['topic'], int(query['part'])
        offset = int(query['from'])
        wait_s = int(query.get('wait-ms', 0)) / 1000
        with self._changed:
            partition = self._partitions[key]
            if offset < partition.first:
                serving.reply(exchange, 410, {'first': partition.first})
                return
            self._changed.wait_for(lambda: partition.end > offset, wait_s)
            if offset < partition.first:
                serving.reply(exchange, 410, {'first': partition.first})
                return
            records = partition.records[offset - partition.first :]
            head = HEAD.pack(partition.end, partition.first)
        if self.faults.down is not None:
            serving.hang_up(exchange)
            return
        data = b''.join(LENGTH.pack(len(r)) + r for r in records)
        exchange.send_response(200, 'OK', [], head + data)

    def _newest(
        self, exchange: server.Exchange, query: dict[str, str]
    ) -> None:
        after = query.get('after', '')
        with self._changed:
            partition = self._partitions[query['topic'], int(query['part'])]
            keys = sorted(key for key in partition.newest if key > after)
            page = keys[:PAGE_ITEMS]
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(partition.newest[key][1]).decode(
                        'ascii'
                    ),
                    'offset': partition.newest[key][0],
                }
                for key in page
            ]
            end = partition.end
        serving.reply(
            exchange,
            200,
            {'items': items, 'has-more': len(keys) > len(page), 'end': end},
        )


def _split(body: bytes) -> list[bytes]:
    records = []
    place = 0
    while place < len(body):
        (length,) = LENGTH.unpack_from(body, place)
        place += LENGTH.size
        records.append(body[place : place + length])
        place += length
    return records
