"""Emulate the operator, trainers and callers."""

import base64
import collections
import json
import time
import typing
import uuid

import urllib3

from . import store as store_module
from . import upstream as upstream_module

TIMEOUT_S = 5.0
WAIT_MS = 500


class Reply(typing.NamedTuple):
    """Hold an answer; status 0 if none came."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body)


class Client:
    """Send requests to one address after the other."""

    def __init__(self) -> None:
        self._pool = urllib3.PoolManager(retries=False)

    def send(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None = None,
        timeout_s: float = TIMEOUT_S,
    ) -> Reply:
        """Send one request on a new connection."""
        try:
            response = self._pool.request(
                method,
                f'http://{address}{target}',
                headers={**headers, 'Connection': 'close'},
                body=body,
                timeout=timeout_s,
            )
        except urllib3.exceptions.HTTPError:
            return Reply(0, {}, b'')
        return Reply(response.status, dict(response.headers), response.data)


class Operator:
    """Write configurations and weight versions to the store."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store
        self.version = 0

    def publish(
        self,
        routes: list[dict[str, typing.Any]],
        services: list[dict[str, typing.Any]],
    ) -> int:
        """Publish a configuration and return its version."""
        self.version += 1
        self._store.put(
            'keyed.op',
            'config',
            json.dumps(
                {
                    'version': self.version,
                    'routes': routes,
                    'services': services,
                    'limits': {},
                }
            ).encode(),
        )
        return self.version

    def name_version(self, model: str, version: int) -> None:
        """Announce a model's weights, as its trainer does."""
        self._store.put(
            'keyed.op',
            f'version/{model}',
            json.dumps({'model': model, 'version': version}).encode(),
        )


class Batch:
    """Hold one batch as its trainer sees it."""

    def __init__(
        self, model: str, step: int, min_version: int, groups: int, size: int
    ) -> None:
        self.id = uuid.uuid4().hex[:16]
        self.step = step
        self.model = model
        self.min_version = min_version
        self.groups = groups
        self.items = [
            (f'{self.id[:8]}g{group}n{number}', f'g{group}')
            for group in range(groups)
            for number in range(size)
        ]
        # Results by position, as first read.
        self.read: dict[int, dict[str, typing.Any]] = {}
        self.changed: list[int] = []

    def body(self, prefix: str) -> bytes:
        """Return the submission."""
        items = [
            {
                'id': item,
                'path': f'{prefix}{item}',
                'headers': {
                    'X-Model': self.model,
                    'X-Token-Count': '16,100',
                    'X-Length-Hint': str(upstream_module.event_count(item)),
                },
                'body': base64.b64encode(item.encode()).decode(),
                'tokens': 116,
                'group': group,
            }
            for item, group in self.items
        ]
        return json.dumps(
            {
                'step': self.step,
                'model': self.model,
                'min-version': self.min_version,
                'group-count': self.groups,
                'items': items,
            }
        ).encode()

    def note(
        self, position: int, results: list[dict[str, typing.Any]]
    ) -> None:
        """Note results, and positions that have changed."""
        for number, result in enumerate(results, position):
            if self.read.setdefault(number, result) != result:
                self.changed.append(number)


class Trainer:
    """Submit batches, read their results and end them."""

    def __init__(self, addresses: list[str], host: str, prefix: str) -> None:
        self.addresses = addresses
        self._host = host
        self._prefix = prefix
        self._client = Client()
        self._turn = 0

    def submit(self, batch: Batch, tries: int = 20) -> Reply:
        """Submit until accepted; return the last answer."""
        reply = Reply(0, {}, b'')
        for _ in range(tries):
            reply = self._send(
                'POST',
                f'{self._prefix}{batch.id}',
                {'X-Request-Id': batch.id},
                batch.body(self._prefix),
            )
            if reply.status == 202:
                break
            time.sleep(float(reply.headers.get('Retry-After', 0.2)))
        return reply

    def read(
        self, batch: Batch, position: int, address: str | None = None
    ) -> Reply:
        """Read results from a position on."""
        reply = self._send(
            'GET',
            f'/api/lots/{batch.id}?after={position}',
            {'X-Wait-Ms': str(WAIT_MS)},
            address=address,
        )
        if reply.status == 200:
            batch.note(position, reply.json()['results'])
        return reply

    def read_all(self, batch: Batch, timeout_s: float) -> bool:
        """Read until all results are there; tell if they came."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if len(batch.read) >= len(batch.items):
                return True
            if self.read(batch, len(batch.read)).status != 200:
                time.sleep(0.1)
        return False

    def end(self, batch: Batch) -> Reply:
        """End a batch."""
        return self._send('DELETE', f'/api/lots/{batch.id}', {})

    def item_body(self, batch: Batch, item: str) -> Reply:
        """Ask for an item's body."""
        return self._send('GET', f'/api/items/{batch.id}?id={item}', {})

    def _send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None = None,
        address: str | None = None,
    ) -> Reply:
        self._turn += 1
        address = address or self.addresses[self._turn % len(self.addresses)]
        return self._client.send(
            address, method, target, {**headers, 'Host': self._host}, body
        )


def wrong_results(batch: Batch, ledger: upstream_module.Ledger) -> list[str]:
    """Return what is wrong with a batch's results, compared with the runs."""
    problems = [f'position {n} changed' for n in batch.changed]
    counted = collections.Counter(r['id'] for r in batch.read.values())
    problems += [
        f'{i} is listed {n} times' for i, n in counted.items() if n > 1
    ]
    for result in batch.read.values():
        if result['state'] != 'completed':
            continue
        item = result['id']
        if result['output'] != upstream_module.whole_output(item):
            problems.append(f'{item} is not whole')
        made = {v for run in ledger.of(item) for v in run.versions}
        if not set(result['versions']) <= made:
            problems.append(f'{item} names versions that made nothing')
        if any(version < batch.min_version for version in result['versions']):
            problems.append(f'{item} is older than allowed')
    return problems
