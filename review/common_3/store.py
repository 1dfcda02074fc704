"""The emulated store, with the sizes of responses that the pages state."""

import base64
import time

from baobabpond.edge import http_exchange
from standins.emulator import serving
from standins.emulator import store as store_module

# Of a page of the newest records: 500 of them, or this much.
PAGE_BYTES = 1_000_000
BYTES_PER_KB = 1024
DEFAULT_KB = 1024
# All that is stored; appends beyond it get 507.
MAX_STORED_BYTES = 400_000_000
POLL_S = 0.02


class Store(store_module.Store):
    """Bound what it keeps, and what it sends at once."""

    def stored_bytes(self) -> int:
        """Return how much is stored."""
        with self._changed:
            return sum(
                len(record)
                for partition in self._partitions.values()
                for record in partition.records
            )

    def _append(
        self,
        exchange: http_exchange.Exchange,
        query: dict[str, str],
        body: bytes,
    ) -> None:
        if body and self.stored_bytes() + len(body) > MAX_STORED_BYTES:
            serving.reply(exchange, 507)
            return
        super()._append(exchange, query, body)

    def _read(
        self,
        exchange: http_exchange.Exchange,
        query: dict[str, str],
        rewrite: store_module.Rewrite,
    ) -> None:
        key = query['topic'], int(query['part'])
        offset = int(query['from'])
        limit = int(query.get('max-kb', DEFAULT_KB)) * BYTES_PER_KB
        wait_until = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        while True:
            with self._changed:
                partition = self._partitions[key]
                start = partition.start_offset
                end = partition.end_offset
                records = partition.records[offset - start :]
            if offset < start:
                serving.reply(exchange, 410, {'first': start})
                return
            remaining_s = wait_until - time.monotonic()
            if records or remaining_s <= 0:
                break
            with self._changed:
                self._changed.wait(min(POLL_S, remaining_s))
        if self._outage_of(query['topic']) is not None:
            serving.close_without_response(exchange)
            return
        if query['topic'] == store_module.UPSTREAMS_TOPIC:
            records = [
                store_module._rewrite_record(record, rewrite)
                for record in records
            ]
        data = bytearray(store_module.READ_HEADER.pack(end, start))
        for number, record in enumerate(records):
            if number and len(data) + len(record) > limit:
                break
            data += store_module.LENGTH_PREFIX.pack(len(record)) + record
        exchange.send_response(200, 'OK', [], bytes(data))

    def _newest(
        self,
        exchange: http_exchange.Exchange,
        query: dict[str, str],
        rewrite: store_module.Rewrite,
    ) -> None:
        if query['topic'] != store_module.UPSTREAMS_TOPIC:
            rewrite = bytes
        after = query.get('after', '')
        items = []
        size = 0
        with self._changed:
            partition = self._partitions[query['topic'], int(query['part'])]
            keys = sorted(key for key in partition.newest if key > after)
            for key in keys[: store_module.PAGE_ITEMS]:
                offset, value = partition.newest[key]
                value = rewrite(value)
                size += len(value)
                if items and size > PAGE_BYTES:
                    break
                encoded = base64.b64encode(value).decode('ascii')
                items.append({'key': key, 'value': encoded, 'offset': offset})
            end = partition.end_offset
        serving.reply(
            exchange,
            200,
            {'items': items, 'has-more': len(keys) > len(items), 'end': end},
        )
