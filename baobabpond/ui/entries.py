"""Print the entry list: the instances that a caller should use."""

import typing
import urllib.parse

import urllib3

from .. import errors
from ..transport import pools

TIMEOUT_S = 5.0


def fetch_json(url: str) -> typing.Any:
    """Return the parsed JSON at a URL; raise UserError."""
    try:
        response = pools.BoundedPoolManager(1, 1).request(
            'GET', url, timeout=TIMEOUT_S
        )
        if response.status != 200:
            raise errors.UserError(f'{url}: status {response.status}', 3)
        return response.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise errors.UserError(f'{url}: {error}', exit_code=3) from error


def print_entries(instance: str, caller: str, data_centre: str | None) -> None:
    """Print the entry list of a caller; raise UserError."""
    query = {'caller': caller}
    if data_centre is not None:
        query['data_centre'] = data_centre
    response = fetch_json(
        f'{instance}/v1/entries?{urllib.parse.urlencode(query)}'
    )
    for entry in response['entries']:
        print(
            f'{entry["instance"]}  {entry["address"]}:{entry["port"]}  '
            f'{entry["data_centre"]}'
        )
    print(f'valid for {response["valid_for_s"]:g} s')
