"""Stand in for the log service, at the Kafka REST Proxy's resources.

Faults: down, slow_s, lose_answers (count), late_s (the next late_count
appends land late and their answers are lost), retain (records kept).
"""

import threading
import time

from . import base

RECORDS = '/topics/[^/]+/partitions/0'
GAP = {'error_code': 40403, 'message': 'offset out of range'}
DOWN = {'error_code': 50301, 'message': 'unavailable'}


class LogService(base.StandIn):
    """Keep one partition in memory."""

    def __init__(self) -> None:
        super().__init__()
        self._records: list[object] = []
        self._first = 0
        self._appends = 0
        self._held_back = 0
        self._arrived = threading.Condition(self.lock)
        self.route('POST', RECORDS, self._append)
        self.route('GET', RECORDS + '/messages', self._read)
        self.route('GET', RECORDS + '/offsets', self._offsets)
        self.route('GET', '/statistics', self._statistics)

    def _append(self, request: base.Request) -> base.Reply:
        if self.fault('down'):
            return base.Reply(DOWN, 503)
        time.sleep(self.fault('slow_s'))
        values = [record['value'] for record in request.json()['records']]
        # Leases are renewed all the time and would use the fault up.
        if not _only_leases(values) and self.take_fault('late_count'):
            self._held_back += 1
            threading.Timer(
                self.fault('late_s'), self._land, args=(values,)
            ).start()
            raise base.CutError
        offset = self._land(values)
        if self.take_fault('lose_answers'):
            raise base.CutError
        return base.Reply({'offsets': [{'partition': 0, 'offset': offset}]})

    def _land(self, values: list[object]) -> int:
        with self._arrived:
            offset = self._first + len(self._records)
            self._records += values
            self._appends += 1
            retain = int(self.fault('retain'))
            if retain and len(self._records) > retain:
                surplus = len(self._records) - retain
                del self._records[:surplus]
                self._first += surplus
            self._arrived.notify_all()
            return offset

    def _read(self, request: base.Request) -> base.Reply:
        if self.fault('down'):
            return base.Reply(DOWN, 503)
        time.sleep(self.fault('slow_s'))
        offset = int(request.query['offset'])
        count = int(request.query['count'])
        wait_s = int(request.query.get('timeout', 0)) / 1000
        with self._arrived:
            self._arrived.wait_for(
                lambda: (
                    offset < self._first + len(self._records)
                    or self.fault('down')
                ),
                wait_s,
            )
            if offset < self._first:
                return base.Reply(GAP, 404)
            start = offset - self._first
            values = self._records[start : start + count]
        return base.Reply(
            [
                {'partition': 0, 'offset': offset + index, 'value': value}
                for index, value in enumerate(values)
            ]
        )

    def _offsets(self, _request: base.Request) -> base.Reply:
        if self.fault('down'):
            return base.Reply(DOWN, 503)
        with self.lock:
            end = self._first + len(self._records)
            return base.Reply(
                {'beginning_offset': self._first, 'end_offset': end}
            )

    def _statistics(self, _request: base.Request) -> base.Reply:
        return base.Reply(
            {'appends': self._appends, 'held_back': self._held_back}
        )


def _only_leases(values: list[object]) -> bool:
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
