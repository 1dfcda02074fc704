"""Emulate the operator, trainers and callers."""

import base64
import collections
import json
import time
import typing
import uuid

import urllib3

from . import outputs
from . import recorder as recorder_module
from . import store as store_module
from . import upstream as upstream_module

TIMEOUT_S = 5.0
WAIT_MS = 500


class Response(typing.NamedTuple):
    """An HTTP response; status 0 if the request failed without one."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Parse the body as JSON."""
        return json.loads(self.body)


class Client:
    """Send HTTP requests without retries."""

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
    ) -> Response:
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
            return Response(0, {}, b'')
        return Response(response.status, dict(response.headers), response.data)


class Operator:
    """Publish configurations and weight versions in the store."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store
        self.version = 0

    def publish(
        self,
        routes: list[dict[str, typing.Any]],
        services: list[dict[str, typing.Any]],
        tenants: list[dict[str, typing.Any]] | None = None,
    ) -> int:
        """Publish a configuration and return its version.

        Without tenants the deployment has no accounts.
        """
        self.version += 1
        configuration: dict[str, typing.Any] = {
            'version': self.version,
            'routes': routes,
            'services': services,
            'limits': {},
        }
        if tenants is not None:
            configuration['tenants'] = tenants
        self._store.produce(
            'keyed.op', 'config', json.dumps(configuration).encode()
        )
        return self.version

    def announce_version(self, model: str, version: int) -> None:
        """Announce a model's weight version, as its trainer does."""
        self._store.produce(
            'keyed.op',
            f'version/{model}',
            json.dumps({'model': model, 'version': version}).encode(),
        )


class Batch:
    """A batch and the results that its trainer has read."""

    def __init__(
        self,
        model: str,
        step: int,
        min_version: int,
        groups: int,
        size: int,
        reward_path: str = '',
    ) -> None:
        self.id = uuid.uuid4().hex[:16]
        # Host of the reward calls.
        self.host = ''
        self.step = step
        self.model = model
        self.min_version = min_version
        self.groups = groups
        self.items = [
            (f'{self.id[:8]}g{group}n{number}', f'g{group}')
            for group in range(groups)
            for number in range(size)
        ]
        # Path prefix of the reward calls; empty for items without one.
        self.reward_path = reward_path
        # Ids of the items whose reward calls always fail.
        self.failing_rewards: set[str] = set()
        # By position; the first result read at a position is kept.
        self.results: dict[int, dict[str, typing.Any]] = {}
        self.changed_positions: list[int] = []

    def submission(self, prefix: str) -> bytes:
        """Return the request body that submits the batch, as JSON."""
        items: list[dict[str, typing.Any]] = [
            {
                'id': item,
                'path': f'{prefix}{item}',
                'headers': {
                    'X-Model': self.model,
                    'X-Token-Count': '16,100',
                    'X-Length-Hint': str(outputs.event_count(item)),
                },
                'body': base64.b64encode(item.encode()).decode(),
                'tokens': 116,
                'group': group,
            }
            for item, group in self.items
        ]
        if self.reward_path:
            for item in items:
                item['scorer'] = self._reward_call(item['id'])
        return json.dumps(
            {
                'step': self.step,
                'model': self.model,
                'min-version': self.min_version,
                'group-count': self.groups,
                'items': items,
            }
        ).encode()

    def _reward_call(self, item: str) -> dict[str, str]:
        body = b'score'
        if item in self.failing_rewards:
            body = upstream_module.FAILING_BODY
        return {
            'id': reward_id(item),
            'host': self.host,
            'path': f'{self.reward_path}{item}',
            'body': base64.b64encode(body).decode(),
        }

    def add_results(
        self, position: int, results: list[dict[str, typing.Any]]
    ) -> None:
        """Store results; record the positions whose result has changed."""
        for number, result in enumerate(results, position):
            if self.results.setdefault(number, result) != result:
                self.changed_positions.append(number)


class Trainer:
    """Submit batches, read their results and end them."""

    def __init__(self, addresses: list[str], host: str, prefix: str) -> None:
        self.addresses = addresses
        self._host = host
        self._prefix = prefix
        # Key of its account; requests carry none if it is empty.
        self.key = ''
        self._client = Client()
        self._request_count = 0

    def submit(self, batch: Batch, max_attempts: int = 20) -> Response:
        """Submit until accepted; return the last response."""
        response = Response(0, {}, b'')
        batch.host = self._host
        for _ in range(max_attempts):
            response = self._send(
                'POST',
                f'{self._prefix}{batch.id}',
                {'X-Request-Id': batch.id},
                batch.submission(self._prefix),
            )
            if response.status == 202:
                break
            time.sleep(float(response.headers.get('Retry-After', 0.2)))
        return response

    def read_from(
        self,
        batch: Batch,
        position: int,
        address: str | None = None,
        wait_ms: int = WAIT_MS,
    ) -> Response:
        """Read results from a position on, waiting for the first one."""
        response = self._send(
            'GET',
            f'/api/lots/{batch.id}?after={position}',
            {'X-Wait-Ms': str(wait_ms)},
            address=address,
        )
        if response.status == 200:
            batch.add_results(position, response.json()['results'])
        return response

    def read_all(self, batch: Batch, timeout_s: float) -> bool:
        """Read until all results are in; return False on timeout."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            if len(batch.results) >= len(batch.items):
                return True
            if self.read_from(batch, len(batch.results)).status != 200:
                time.sleep(0.1)
        return False

    def end(self, batch: Batch) -> Response:
        """End a batch."""
        return self._send('DELETE', f'/api/lots/{batch.id}', {})

    def get_item_body(self, batch: Batch, item: str) -> Response:
        """Fetch the request body of an item."""
        return self._send('GET', f'/api/items/{batch.id}?id={item}', {})

    def _send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None = None,
        address: str | None = None,
    ) -> Response:
        self._request_count += 1
        address = (
            address
            or self.addresses[self._request_count % len(self.addresses)]
        )
        headers = {**headers, 'Host': self._host}
        if self.key:
            headers['Authorization'] = f'Bearer {self.key}'
        return self._client.send(address, method, target, headers, body)


def reward_id(item: str) -> str:
    """Return the request id of an item's reward call."""
    return f'reward-{item}'


def find_wrong_results(
    batch: Batch, recorder: recorder_module.Recorder
) -> list[str]:
    """Return how a batch's results differ from the recorded runs."""
    problems = [
        f'the result at position {n} changed between reads'
        for n in batch.changed_positions
    ]
    counts = collections.Counter(r['id'] for r in batch.results.values())
    problems += [
        f'{i} is listed {n} times' for i, n in counts.items() if n > 1
    ]
    for result in batch.results.values():
        if result['state'] != 'completed':
            continue
        item = result['id']
        if not outputs.is_whole_output(item, result['output']):
            problems.append(f'{item} has an incomplete or wrong output')
        produced_versions = {
            v for run in recorder.runs_of(item) for v in run.versions
        }
        if not set(result['versions']) <= produced_versions:
            problems.append(
                f'{item} is labelled with versions that none of its runs used'
            )
        problems += _find_wrong_score(batch, result, recorder)
        if any(version < batch.min_version for version in result['versions']):
            problems.append(
                f'{item} is labelled with a version below the minimum'
            )
    return problems


def _find_wrong_score(
    batch: Batch,
    result: dict[str, typing.Any],
    recorder: recorder_module.Recorder,
) -> list[str]:
    """Return how a score differs from what the service signed."""
    if not batch.reward_path:
        return ['score without a reward call'] if 'score' in result else []
    item = result['id']
    call = reward_id(item)
    if result.get('score') not in recorder.signatures.get(call, ()):
        return [f'the score of {item} is no signature of its reward call']
    first_call_at = min(run.started_at for run in recorder.runs_of(call))
    if first_call_at < recorder.completed_at[item]:
        return [f'{item} was scored before its output was complete']
    return []
