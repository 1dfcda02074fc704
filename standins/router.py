"""Emulate a router that fetches the entry list and sends requests."""

import argparse
import json
import random
import sys
import threading
import time
import typing
import uuid

import urllib3

REFRESH_AFTER_SHARE = 0.8
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_MARGIN_S = 2.0
RETRY_INTERVAL_S = 0.1


class Entry(typing.NamedTuple):
    """Describe an entry instance."""

    instance: str
    url: str


class Outcome(typing.NamedTuple):
    """Describe the outcome of an attempt.

    Without a verdict, no complete answer was received.
    """

    verdict: str | None
    status: int
    body: typing.Any
    versions: tuple[int, ...]
    elapsed_s: float
    retry_after_s: float
    instance: str
    replayed: bool = False

    @property
    def delivered(self) -> bool:
        """Return whether a complete, successful answer was received."""
        return self.verdict == 'ran' and self.status == 200


class Router:
    """Send requests to the instances on the entry list."""

    def __init__(
        self, name: str, seeds: list[str], data_centre: str, seed: int = 0
    ) -> None:
        self._name = name
        self._seeds = seeds
        self._data_centre = data_centre
        self._rng = random.Random(seed)
        self._http = urllib3.PoolManager(
            num_pools=50, maxsize=64, retries=False
        )
        self._lock = threading.Lock()
        self._entries: list[Entry] = []
        self._valid_until = 0.0
        self._avoid_until: dict[str, float] = {}

    def entries(self) -> list[Entry]:
        """Return the entry list; refresh it once it has expired."""
        with self._lock:
            if time.monotonic() >= self._valid_until:
                self._refresh_entries()
            return list(self._entries)

    def send(
        self,
        path: str,
        body: dict[str, typing.Any],
        timeout_s: float,
        key: str | None = None,
        entry: Entry | None = None,
    ) -> Outcome:
        """Send a request once, without retries."""
        chosen = entry or self._choose_entry()
        started = time.monotonic()
        headers = {
            'Content-Type': 'application/json',
            'Baobabpond-Caller': self._name,
            'Baobabpond-Timeout-Ms': str(max(1, int(timeout_s * 1000))),
        }
        if key is not None:
            headers['Idempotency-Key'] = key
        try:
            response = self._http.request(
                'POST',
                f'{chosen.url}/v1/requests/{path}',
                body=json.dumps(body).encode(),
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_S,
                    read=timeout_s + READ_TIMEOUT_MARGIN_S,
                ),
            )
            data = response.data
        except urllib3.exceptions.NewConnectionError:
            return self._record_failure(chosen, started, 'not_run')
        except urllib3.exceptions.HTTPError:
            return self._record_failure(chosen, started, None)
        return _outcome(response, data, chosen, started)

    def deliver(
        self,
        path: str,
        body: dict[str, typing.Any],
        timeout_s: float,
        key: str | None = None,
        repeatable: bool = True,
    ) -> Outcome:
        """Send a request; retry until its outcome is final or time is up.

        A request with an idempotency key can always be retried: the key
        ensures that it runs only once.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            remaining_s = deadline - time.monotonic()
            outcome = self.send(path, body, max(0.01, remaining_s), key)
            if outcome.verdict == 'ran' or 400 <= outcome.status < 500:
                return outcome
            can_retry = repeatable or key is not None
            if not can_retry and outcome.verdict != 'not_run':
                return outcome
            if key is not None and outcome.verdict == 'may_have_run':
                return outcome
            delay_s = outcome.retry_after_s or RETRY_INTERVAL_S
            if time.monotonic() + delay_s >= deadline:
                return outcome
            time.sleep(delay_s)

    def _choose_entry(self) -> Entry:
        entries = self.entries()
        now = time.monotonic()
        healthy = [e for e in entries if self._avoid_until.get(e.url, 0) < now]
        usable = healthy or entries
        # Entries are sorted by distance; the rest are for failover.
        return self._rng.choice(usable[:3])

    def _record_failure(
        self, entry: Entry, started: float, verdict: str | None
    ) -> Outcome:
        self._avoid_until[entry.url] = time.monotonic() + 1.0
        elapsed_s = time.monotonic() - started
        return Outcome(verdict, 0, None, (), elapsed_s, 0, entry.instance)

    def _refresh_entries(self) -> None:
        sources = [entry.url for entry in self._entries] + self._seeds
        self._rng.shuffle(sources)
        for url in sources:
            try:
                response = self._http.request(
                    'GET',
                    f'{url}/v1/entries?caller={self._name}'
                    f'&data_centre={self._data_centre}',
                    timeout=CONNECT_TIMEOUT_S,
                )
            except urllib3.exceptions.HTTPError:
                continue
            answer = response.json()
            if answer['entries']:
                self._entries = [
                    Entry(e['instance'], f'http://{e["address"]}:{e["port"]}')
                    for e in answer['entries']
                ]
                self._valid_until = (
                    time.monotonic()
                    + answer['valid_for_s'] * REFRESH_AFTER_SHARE
                )
                return
        self._valid_until = time.monotonic() + RETRY_INTERVAL_S
        if not self._entries:
            raise RuntimeError('no instance returned an entry list')


def _outcome(
    response: urllib3.BaseHTTPResponse,
    data: bytes,
    entry: Entry,
    started: float,
) -> Outcome:
    elapsed_s = time.monotonic() - started
    verdict = response.headers.get('Baobabpond-Verdict')
    content_type = response.headers.get('Content-Type', '')
    body: typing.Any = data
    versions: tuple[int, ...] = ()
    retry_after_s = 0.0
    if content_type == 'text/event-stream':
        verdict, body, versions = _read_events(data)
    elif content_type == 'application/json':
        body = json.loads(data)
        retry_after_s = float(body.get('retry_after_s') or 0)
    return Outcome(
        verdict,
        response.status,
        body,
        versions,
        elapsed_s,
        retry_after_s,
        entry.instance,
        'Baobabpond-Replayed' in response.headers,
    )


def _read_events(data: bytes) -> tuple[str | None, str, tuple[int, ...]]:
    if not data.endswith(b'data: [DONE]\n\n'):
        return None, '', ()
    texts: list[str] = []
    versions: dict[int, None] = {}
    for event in data.split(b'\n\n')[:-2]:
        chunk = json.loads(event[6:])
        texts.append(chunk['choices'][0]['text'])
        versions[int(chunk['weight_version'])] = None
    return 'ran', ''.join(texts), tuple(versions)


class Plan(typing.NamedTuple):
    """Describe the requests of one kind that a router sends."""

    kind: str
    path: str
    count: int
    timeout_s: float


def run_plan(router: Router, plan: Plan, threads: int) -> dict[str, int]:
    """Send the requests of a plan and count the outcomes."""
    counts = {'asked': 0, 'delivered': 0, 'refused': 0, 'lost': 0}
    lock = threading.Lock()
    numbers = iter(range(plan.count))

    def work() -> None:
        while True:
            with lock:
                number = next(numbers, None)
                counts['asked'] += number is not None
            if number is None:
                return
            outcome = _send_one(router, plan, number)
            with lock:
                counts[_classify(outcome)] += 1

    workers = [threading.Thread(target=work) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    return counts


def _send_one(router: Router, plan: Plan, number: int) -> Outcome:
    if plan.kind == 'training':
        body = {
            'prompt': f'prompt {number % 4}',
            'max_tokens': 20,
            'stream': True,
        }
        return router.deliver(plan.path, body, plan.timeout_s)
    order = f'{plan.kind}-{number}'
    key = uuid.uuid4().hex if plan.kind == 'checklist' else None
    return router.deliver(plan.path, {'order': order}, plan.timeout_s, key)


def _classify(outcome: Outcome) -> str:
    if outcome.delivered:
        return 'delivered'
    return 'refused' if outcome.verdict == 'not_run' else 'lost'


def main() -> None:
    """Run the plans given as arguments and print the counts as JSON."""
    arguments = argparse.ArgumentParser()
    arguments.add_argument('--seeds', required=True)
    arguments.add_argument('--data-centre', required=True)
    arguments.add_argument('--plan', action='append', default=[])
    arguments.add_argument('--seed', type=int, default=0)
    options = arguments.parse_args()
    router = Router(
        'demo-router',
        options.seeds.split(','),
        options.data_centre,
        options.seed,
    )
    report = {}
    for spec in options.plan:
        kind, path, count = spec.split('=')
        plan = Plan(kind, path, int(count), 10.0)
        report[kind] = run_plan(router, plan, threads=4)
    json.dump(report, sys.stdout)


if __name__ == '__main__':
    main()
