"""Read the platform's instance list (Consul's health endpoint)."""

import typing

import urllib3

ENTRY_SERVICE = 'baobabpond'
TIMEOUT_S = 2.0
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


class InstanceList:
    """Ask for the instances of a service."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url
        self._http = urllib3.PoolManager(num_pools=1, retries=False)

    def instances(self, service: str) -> list[ListedInstance]:
        """Return the instances of a service, or raise ListError."""
        name = service.replace('/', '.')
        try:
            response = self._http.request(
                'GET',
                f'{self._base_url}/v1/health/service/{name}',
                timeout=TIMEOUT_S,
            )
            if response.status != 200:
                raise ListError(f'status {response.status}')
            return [_parse(item) for item in response.json()]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise ListError(str(error)) from error


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
