"""A trainer that submits steps, and the check of rule LOST for a step."""

import base64
import time
import typing

from standins.emulator import clients

from . import platform
from . import record as record_module
from . import sampler as sampler_module

# How long the trainer of the users' sheets waits for a step.
STEP_DEADLINE_S = 12.0
# Of rule LOST.
AT_NO_SAMPLER_S = 5.0
SHORT_RUN_S = 1.0
PAUSE_S = 0.5
ATTEMPTS = 5


class Step(typing.NamedTuple):
    """A batch submission, and the ids of its items."""

    id: str
    items: list[str]
    body: dict[str, typing.Any]


def make_step(
    number: int,
    groups: int,
    size: int,
    events: int,
    headers: dict[str, str] | None = None,
    item_ids: list[str] | None = None,
    model: str = platform.MODEL,
    min_version: int = 1,
) -> Step:
    """Return a step whose items have a number of events each."""
    ids = item_ids or [sampler_module.new_id() for _ in range(groups * size)]
    return Step(
        sampler_module.new_id(),
        ids,
        {
            'step': number,
            'model': model,
            'min-version': min_version,
            'group-count': groups,
            'items': [
                {
                    'id': item,
                    'path': f'{platform.ROLLOUTS}{number}',
                    'headers': {
                        'X-Model': model,
                        'X-Token-Count': '1016,600',
                        'X-Events': str(events),
                        **(headers or {}),
                    },
                    'body': base64.b64encode(b'prompt').decode(),
                    'tokens': 1616,
                    'group': f'g{place // size}',
                }
                for place, item in enumerate(ids)
            ],
        },
    )


class Trainer:
    """Submit steps at one instance after the other."""

    def __init__(
        self,
        name: str,
        deployment: platform.Deployment,
        record: record_module.Record,
    ) -> None:
        self._name = name
        self._deployment = deployment
        self._record = record
        self._client = clients.Client()
        self._calls = 0

    def submit(self, step: Step) -> int:
        """Submit a step until it is accepted; return the last status."""
        body = sampler_module.as_json(step.body)
        status = 0
        for _ in range(ATTEMPTS):
            response = self._send(
                'POST',
                f'{platform.ROLLOUTS}{step.id}',
                {'X-Request-Id': step.id, 'Content-Type': 'application/json'},
                body,
            )
            status = response.status
            self._record.say(
                'submitted',
                by=self._name,
                step=step.id,
                items=len(step.items),
                bytes=len(body),
                status=status,
                answer=response.body.decode(errors='replace')[:120],
            )
            if status not in (0, 429, 502, 503):
                break
            time.sleep(PAUSE_S)
        return status

    def read(self, step: Step, until: float) -> list[dict[str, typing.Any]]:
        """Read results until all are in, or a monotonic time."""
        results: list[dict[str, typing.Any]] = []
        while time.monotonic() < until and len(results) < len(step.items):
            response = self._send(
                'GET',
                f'/api/lots/{step.id}?after={len(results)}',
                {'X-Wait-Ms': '1000'},
            )
            if response.status == 200:
                results += response.json()['results']
            time.sleep(PAUSE_S)
        self._record.say(
            'read',
            by=self._name,
            step=step.id,
            results=len(results),
            completed=sum(r['state'] == 'completed' for r in results),
            items=len(step.items),
        )
        return results

    def end(self, step: Step) -> int:
        """End a step."""
        response = self._send('DELETE', f'/api/lots/{step.id}', {})
        self._record.say(
            'ended', by=self._name, step=step.id, status=response.status
        )
        return response.status

    def _send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None = None,
    ) -> clients.Response:
        addresses = self._deployment.addresses()
        self._calls += 1
        return self._client.send(
            addresses[self._calls % len(addresses)],
            method,
            target,
            {**headers, 'Host': platform.HOST},
            body,
        )


def lost_items(
    deployment: platform.Deployment, step: Step, deadline: float
) -> list[str]:
    """Return the items that break rule LOST when a step runs out of time.

    The step is over at a monotonic time. For plays of one model whose last
    version was named 6 s or more before the last 5 s of the step.
    """
    # Whether a run is a short one shows only when it is over.
    time.sleep(max(0.0, deadline + 2 * SHORT_RUN_S - time.monotonic()))
    runs = list(deployment.runs)
    since = deadline - AT_NO_SAMPLER_S
    if not any(run.request_id in step.items for run in runs):
        return []
    slots = sum(sampler.slots for sampler in deployment.samplers)
    if _most_running(runs, since, deadline) * 2 >= slots:
        return []
    return [
        item
        for item in step.items
        if not any(_counts(run, item, since, deadline) for run in runs)
    ]


def _counts(
    run: sampler_module.Run, item: str, since: float, deadline: float
) -> bool:
    """Return whether a run keeps its item from being lost."""
    if run.request_id != item or run.started_at > deadline:
        return False
    ended_at = time.monotonic() if run.ended_at is None else run.ended_at
    if run.ending in (sampler_module.FINISHED, sampler_module.FAILED) and (
        ended_at <= deadline
    ):
        return True
    if ended_at < since:
        return False
    return ended_at - run.started_at > SHORT_RUN_S


def _most_running(
    runs: list[sampler_module.Run], since: float, until: float
) -> int:
    """Return the most runs at a time in a period."""
    moments = [
        run.started_at for run in runs if since <= run.started_at <= until
    ]
    return max(
        sum(
            run.started_at <= moment
            and (run.ended_at is None or run.ended_at > moment)
            for run in runs
        )
        for moment in [since, *moments]
    )
