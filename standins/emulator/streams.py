"""Emulate clients that take a broken stream up again."""

import time
import typing

import urllib3

from . import outputs

TIMEOUT_S = 10.0
READ_BYTES = 65536
EVENT_END = b'\n\n'
OK = 200


class Event(typing.NamedTuple):
    """An event as a client received it."""

    id: int
    data: str


class StreamClient:
    """A stream that one client reads over one or more tries."""

    def __init__(self, request_id: str, host: str, model: str) -> None:
        self.request_id = request_id
        self.events: list[Event] = []
        # Status of each try; 0 if there was no response.
        self.statuses: list[int] = []
        # How often a response was followed by events of it.
        self.resumptions = 0
        self.retry_after_s = 0.0
        self._host = host
        self._model = model
        # Id of the try that brought the first event.
        self._first_try = ''

    @property
    def is_complete(self) -> bool:
        """Return whether all events have arrived."""
        return len(self.events) == outputs.event_count(self.request_id)

    @property
    def software(self) -> list[str]:
        """Return the software versions that wrote the events, in order."""
        found = [outputs.software_of(e.data) for e in self.events]
        return list(dict.fromkeys(found))

    @property
    def is_gapless(self) -> bool:
        """Return whether each event came once and in order."""
        ids = [event.id for event in self.events]
        return ids == list(range(1, len(ids) + 1))

    def send(self, address: str, target: str) -> int:
        """Send the request, or take the stream up; return the status."""
        try_id = self.request_id
        if self.statuses:
            try_id = f'{self.request_id}-{len(self.statuses)}'
        headers = {
            'Host': self._host,
            'X-Request-Id': try_id,
            'X-Deadline-Ms': '20000',
            'X-Model': self._model,
            'X-Stream': self.request_id,
            'Connection': 'close',
        }
        if self.events:
            headers['Last-Event-Id'] = str(self.events[-1].id)
            headers['Resumes'] = self._first_try
        before = len(self.events)
        status = self._exchange(f'http://{address}{target}', headers)
        self.statuses.append(status)
        if len(self.events) > before:
            if before:
                self.resumptions += 1
            else:
                self._first_try = try_id
        return status

    def finish(self, addresses: list[str], target: str, wait_s: float) -> None:
        """Take the stream up until it is complete or the time is over."""
        ends_at = time.monotonic() + wait_s
        while not self.is_complete and time.monotonic() < ends_at:
            address = addresses[len(self.statuses) % len(addresses)]
            if self.send(address, target) != OK:
                time.sleep(min(1.0, self.retry_after_s or 0.2))

    def _exchange(self, url: str, headers: dict[str, str]) -> int:
        status = 0
        buffer = b''
        pool = urllib3.PoolManager(retries=False)
        try:
            response = pool.request(
                'POST',
                url,
                headers=headers,
                body=b'x',
                timeout=TIMEOUT_S,
                preload_content=False,
            )
            status = response.status
            self.retry_after_s = float(response.headers.get('Retry-After', 0))
            while status == OK and (chunk := response.read1(READ_BYTES)):
                *blocks, buffer = (buffer + chunk).split(EVENT_END)
                for block in blocks:
                    self._add_event(block.decode())
        except urllib3.exceptions.HTTPError:
            # The stream broke off; the events until then count.
            return status
        return status

    def _add_event(self, block: str) -> None:
        fields = dict(line.split(': ', 1) for line in block.split('\n'))
        if 'id' in fields:
            self.events.append(Event(int(fields['id']), fields['data']))
