"""Read and watch the platform's instance list (Consul health API)."""

import collections.abc
import threading
import typing

import urllib3

from ..transport import pools

ENTRY_SERVICE = 'baobabpond'
INDEX_HEADER = 'X-Consul-Index'
QUERY_TIMEOUT_S = 2.0
# Maximum wait of a blocking query; then the full list is returned again.
MAX_WAIT_S = 120
RETRY_S = 0.5
MAX_WATCHES = 32
LEAVING = 'leaving'


class ListError(Exception):
    """Raised when a query of the instance list fails."""


class ListedInstance(typing.NamedTuple):
    """One listed instance of a service."""

    instance: str
    address: str
    port: int
    peer_port: int
    data_centre: str
    leaving: bool


class Listing(typing.NamedTuple):
    """The instances of a service and their Consul index."""

    index: int
    instances: list[ListedInstance]


EMPTY_LISTING = Listing(0, [])


class InstanceList:
    """Query the instances of a service."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url
        self._http = pools.BoundedPoolManager(1, MAX_WATCHES)

    def read(self, service: str) -> Listing:
        """Return the current instances of a service.

        Raises ListError.
        """
        return self._query(service, '', QUERY_TIMEOUT_S)

    def wait_for_change(self, service: str, last: Listing) -> Listing:
        """Return the next listing, or the same one after MAX_WAIT_S.

        Raises ListError.
        """
        query = f'?index={last.index}&wait={MAX_WAIT_S}s'
        listing = self._query(service, query, MAX_WAIT_S + QUERY_TIMEOUT_S)
        # An index that decreases means that the list service was reset.
        if listing.index < last.index:
            return self.read(service)
        return listing

    def _query(self, service: str, query: str, timeout_s: float) -> Listing:
        name = service.replace('/', '.')
        try:
            response = self._http.request(
                'GET',
                f'{self._base_url}/v1/health/service/{name}{query}',
                timeout=urllib3.Timeout(
                    connect=QUERY_TIMEOUT_S, read=timeout_s
                ),
            )
            if response.status != 200:
                raise ListError(f'status {response.status}')
            index = int(response.headers.get(INDEX_HEADER, 0))
            return Listing(index, [_parse(item) for item in response.json()])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise ListError(str(error)) from error


class ListWatch:
    """Watch the instances of one service in a background thread."""

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
        """Start the thread."""
        threading.Thread(
            target=self._run, name=f'list-{self._service}', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stopping.set()

    def _run(self) -> None:
        last = EMPTY_LISTING
        while not self._stopping.is_set():
            try:
                if last.index:
                    last = self._listed.wait_for_change(self._service, last)
                else:
                    last = self._listed.read(self._service)
            except ListError as error:
                self._on_error(error)
                self._stopping.wait(RETRY_S)
                continue
            self._on_change(last)
            # Without an index blocking queries are impossible: poll instead.
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
