"""Emulate callers of the plain service that send one lookup at a time."""

import threading
import time
import typing

from . import clients
from . import deployment as deployment_module
from . import outputs

PAUSE_S = 0.05
BODY = b'x'
# Callers ask for the addresses of instances again after this time.
ADDRESSES_VALID_S = 0.2

ListAddresses = typing.Callable[[], list[str]]


def send(
    client: clients.Client, address: str, request_id: str
) -> clients.Response:
    """Send one lookup to an instance."""
    return client.send(
        address,
        'POST',
        f'{deployment_module.LOOKUPS}{request_id}',
        {
            'Host': deployment_module.HOST,
            'X-Request-Id': request_id,
            'X-Deadline-Ms': '2000',
        },
        BODY,
    )


class FailedLookup(typing.NamedTuple):
    """A lookup without the whole response of its upstream."""

    request_id: str
    address: str
    # 0 if there was no response.
    status: int


class LookupLoad:
    """Send lookups to the listed instances in turn until stopped."""

    def __init__(self, list_addresses: ListAddresses) -> None:
        self._list_addresses = list_addresses
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.sent = 0
        self.failed: list[FailedLookup] = []

    def __enter__(self) -> 'LookupLoad':
        """Start to send in a thread of its own."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop, and wait for the last response."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        client = clients.Client()
        addresses: list[str] = []
        listed_at = float('-inf')
        while not self._stopped.wait(PAUSE_S):
            if time.monotonic() - listed_at > ADDRESSES_VALID_S:
                addresses = self._list_addresses() or addresses
                listed_at = time.monotonic()
            self._send(client, addresses[self.sent % len(addresses)])

    def _send(self, client: clients.Client, address: str) -> None:
        request_id = f'lookup-{self.sent}'
        self.sent += 1
        response = send(client, address, request_id)
        whole = outputs.plain_response(request_id, BODY)
        if response.status != 200 or response.body != whole:
            self.failed.append(
                FailedLookup(request_id, address, response.status)
            )
