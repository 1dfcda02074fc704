"""Print the entry list."""

import typing
import urllib.parse

import urllib3

from .. import errors

TIMEOUT_S = 5.0


def fetch(url: str) -> typing.Any:
    """Return the JSON at a URL, or raise UserError."""
    try:
        response = urllib3.request(
            'GET', url, timeout=TIMEOUT_S, retries=False
        )
        if response.status != 200:
            raise errors.UserError(f'{url}: status {response.status}', 3)
        return response.json()
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        raise errors.UserError(f'{url}: {error}', exit_code=3) from error


def show(instance: str, caller: str, data_centre: str | None) -> None:
    """Print the entry instances for a caller."""
    query = {'caller': caller}
    if data_centre is not None:
        query['data_centre'] = data_centre
    answer = fetch(f'{instance}/v1/entries?{urllib.parse.urlencode(query)}')
    for entry in answer['entries']:
        print(
            f'{entry["instance"]}  {entry["address"]}:{entry["port"]}  '
            f'{entry["data_centre"]}'
        )
    print(f'valid for {answer["valid_for_s"]:g} s')
