"""Read the platform's instance list (Consul's health endpoint)."""

import collections.abc
import threading
import typing

import urllib3

ENTRY_SERVICE = 'baobabpond'
INDEX_HEADER = 'X-Consul-Index'
TIMEOUT_S = 2.0
# Longest wait for a change; then the whole list is sent once more.
WAIT_S = 120
RETRY_S = 0.5
MAX_WATCHES = 32
LEAVING = 'leaving'


class ListError(Exception):
    """Report that the instance list did not answer as asked."""


class ListedInstance(typing.NamedTuple):
    """Hold one listed instance of a service."""

    instance: str
    address: str
    port: int
    peer_port: int
    data_centre: str
    leaving: bool


class Listing(typing.NamedTuple):
    """Hold the instances of a service and the index of that state."""

    index: int
    instances: list[ListedInstance]


NOTHING_LISTED = Listing(0, [])


class InstanceList:
    """Ask for the instances of a service."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url
        self._http = urllib3.PoolManager(
            num_pools=1, maxsize=MAX_WATCHES, retries=False
        )

    def read(self, service: str) -> Listing:
        """Return the present instances of a service, or raise ListError."""
        return self._query(service, '', TIMEOUT_S)

    def wait_changed(self, service: str, last: Listing) -> Listing:
        """Return the next state after one, or the same after a long wait."""
        query = f'?index={last.index}&wait={WAIT_S}s'
        listing = self._query(service, query, WAIT_S + TIMEOUT_S)
        # An index that goes back means that the list has started anew.
        if listing.index < last.index:
            return self.read(service)
        return listing

    def _query(self, service: str, query: str, timeout_s: float) -> Listing:
        name = service.replace('/', '.')
        try:
            response = self._http.request(
                'GET',
                f'{self._base_url}/v1/health/service/{name}{query}',
                timeout=urllib3.Timeout(connect=TIMEOUT_S, read=timeout_s),
            )
            if response.status != 200:
                raise ListError(f'status {response.status}')
            index = int(response.headers.get(INDEX_HEADER, 0))
            return Listing(index, [_parse(item) for item in response.json()])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise ListError(str(error)) from error


class ListWatch:
    """Follow the instances of one service in a task of its own."""

    def __init__(
        self,
        listed: InstanceList,
        service: str,
        on_change: collections.abc.Callable[[Listing], None],
        on_error: collections.abc.Callable[[ListError], None],
    ) -> None:
        self._listed = listed
        self._service = service
        self._on_change = on_change
        self._on_error = on_error
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the task."""
        threading.Thread(
            target=self._run, name=f'list-{self._service}', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask the task to end."""
        self._stopping.set()

    def _run(self) -> None:
        last = NOTHING_LISTED
        while not self._stopping.is_set():
            try:
                if last.index:
                    last = self._listed.wait_changed(self._service, last)
                else:
                    last = self._listed.read(self._service)
            except ListError as error:
                self._on_error(error)
                self._stopping.wait(RETRY_S)
                continue
            self._on_change(last)
            # Without an index the list cannot tell of changes: look again.
            if not last.index:
                self._stopping.wait(RETRY_S)


def _parse(item: dict[str, typing.Any]) -> ListedInstance:
    service = item['Service']
    meta = service.get('Meta', {})
    return ListedInstance(
        instance=service['ID'],
        address=service['Address'],
        port=service['Port'],
        peer_port=int(meta.get('peer_port', 0)),
        data_centre=item['Node']['Datacenter'],
        leaving=meta.get('state') == LEAVING,
    )
