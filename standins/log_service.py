"""Emulate the log service with the Kafka REST Proxy's API.

Faults: down, slow_s, lose_answers (count), late_s (the next late_count
appends are stored after this delay and their answers are lost), retain
(maximum number of records; the oldest ones are deleted).
"""

import threading
import time

from . import base

PARTITION = '/topics/[^/]+/partitions/0'
OUT_OF_RANGE = {'error_code': 40403, 'message': 'offset out of range'}
UNAVAILABLE = {'error_code': 50301, 'message': 'unavailable'}


class LogService(base.StandIn):
    """Store the records of one partition in memory."""

    def __init__(self) -> None:
        super().__init__()
        self._records: list[object] = []
        self._beginning_offset = 0
        self._appends = 0
        self._delayed_appends = 0
        self._appended = threading.Condition(self.lock)
        self.add_route('POST', PARTITION, self._append)
        self.add_route('GET', PARTITION + '/messages', self._read)
        self.add_route('GET', PARTITION + '/offsets', self._offsets)
        self.add_route('GET', '/statistics', self._statistics)

    def _append(self, request: base.Request) -> base.Reply:
        if self.fault('down'):
            return base.Reply(UNAVAILABLE, 503)
        time.sleep(self.fault('slow_s'))
        values = [record['value'] for record in request.json()['records']]
        # Lease renewals are frequent and would use up the counted fault.
        if not _are_all_leases(values) and self.consume_fault('late_count'):
            self._delayed_appends += 1
            threading.Timer(
                self.fault('late_s'), self._store, args=(values,)
            ).start()
            raise base.CutError
        offset = self._store(values)
        if self.consume_fault('lose_answers'):
            raise base.CutError
        return base.Reply({'offsets': [{'partition': 0, 'offset': offset}]})

    def _store(self, values: list[object]) -> int:
        with self._appended:
            offset = self._beginning_offset + len(self._records)
            self._records += values
            self._appends += 1
            retain = int(self.fault('retain'))
            if retain and len(self._records) > retain:
                surplus = len(self._records) - retain
                del self._records[:surplus]
                self._beginning_offset += surplus
            self._appended.notify_all()
            return offset

    def _read(self, request: base.Request) -> base.Reply:
        if self.fault('down'):
            return base.Reply(UNAVAILABLE, 503)
        time.sleep(self.fault('slow_s'))
        offset = int(request.query['offset'])
        count = int(request.query['count'])
        wait_s = int(request.query.get('timeout', 0)) / 1000
        with self._appended:
            self._appended.wait_for(
                lambda: (
                    offset < self._beginning_offset + len(self._records)
                    or self.fault('down')
                ),
                wait_s,
            )
            if offset < self._beginning_offset:
                return base.Reply(OUT_OF_RANGE, 404)
            start = offset - self._beginning_offset
            values = self._records[start : start + count]
        return base.Reply(
            [
                {'partition': 0, 'offset': offset + index, 'value': value}
                for index, value in enumerate(values)
            ]
        )

    def _offsets(self, _request: base.Request) -> base.Reply:
        if self.fault('down'):
            return base.Reply(UNAVAILABLE, 503)
        with self.lock:
            end = self._beginning_offset + len(self._records)
            return base.Reply(
                {'beginning_offset': self._beginning_offset, 'end_offset': end}
            )

    def _statistics(self, _request: base.Request) -> base.Reply:
        return base.Reply(
            {'appends': self._appends, 'held_back': self._delayed_appends}
        )


def _are_all_leases(values: list[object]) -> bool:
    items = [
        item
        for value in values
        if isinstance(value, dict)
        for item in value.get('items', ())
    ]
    return all(item.get('type') == 'lease' for item in items)


if __name__ == '__main__':
    options = base.parser().parse_args()
    base.serve(LogService(), options.address, options.port)
