"""Start a small deployment, send batches, and judge what samplers saw."""

import base64
import json
import os
import pathlib
import sys
import threading
import time
import typing
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / 'target' / 'deps')]

from standins.emulator import builds  # noqa: E402
from standins.emulator import clients  # noqa: E402
from standins.emulator import deployment  # noqa: E402
from standins.emulator import serving  # noqa: E402
from standins.emulator import upstream  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = deployment.HOST
PREFIX = deployment.ROLLOUTS
MODEL = deployment.MODEL
# The sheet of pasak-rollout: 12 slots, a heartbeat each 1.2 s, a lease of 3 s.
SLOTS = 12
HEARTBEAT_S = 1.2
LEASE_MS = 3000
CONTACT_S = 3.0
GAP_S = 0.1
# Of the rule LOST.
ABSENCE_S = 5.0
SHORT_RUN_S = 1.0
START_ATTEMPTS = 3
SETTINGS = {'grace_s': 8, 'longest_validity_s': 5, 'memory_mb': 320}


class Run(typing.NamedTuple):
    """One run of an item at a sampler."""

    item: str
    sampler: str
    after: int
    started_at: float
    # Changed when the run ends: [monotonic time, whether it was complete].
    ending: list[typing.Any]
    text: str


class Sampler(upstream.Upstream):
    """A sampler whose events depend on the prompt, and that records runs.

    An event is made each GAP_S; a run ends when its channel closes.
    """

    runs: typing.ClassVar[list[Run]] = []
    events: typing.ClassVar[dict[str, int]] = {}

    def _send_stream(
        self,
        exchange: typing.Any,
        request_id: str,
        model: str,
        common_headers: typing.Any,
        is_crashing: bool,
    ) -> None:
        after = int(exchange.headers.get('Last-Event-Id', '0'))
        prompt = exchange.read_body_text
        run = Run(
            request_id, self.id, after, time.monotonic(), [None, False], prompt
        )
        Sampler.runs.append(run)
        last = Sampler.events.get(request_id, 15)
        try:
            exchange.begin_stream(
                200,
                'OK',
                [
                    *common_headers,
                    ('Content-Type', 'text/event-stream'),
                    ('X-Weight-Versions', str(self.versions[model])),
                ],
            )
            for number in range(after + 1, last + 1):
                time.sleep(GAP_S)
                data = f'{model}:{prompt}:{number}'
                exchange.write(f'id: {number}\ndata: {data}\n\n'.encode())
            run.ending[1] = True
        except OSError:
            serving.close_without_response(exchange)
        finally:
            run.ending[0] = time.monotonic()

    def _handle_request(self, exchange: typing.Any, body: bytes) -> None:
        exchange.read_body_text = body.decode('utf-8', 'replace')
        super()._handle_request(exchange, body)


class Item(typing.NamedTuple):
    """An item of a batch as it is sent."""

    id: str
    prompt: str
    headers: dict[str, str] = {}
    group: str = 'g0'


class Batch:
    """A batch, and what was answered."""

    def __init__(
        self,
        items: list[Item],
        batch_id: str = '',
        model: str = MODEL,
        prefix: str = PREFIX,
    ) -> None:
        self.id = batch_id or uuid.uuid4().hex[:16]
        self.model = model
        self.prefix = prefix
        self.items = items
        self.results: dict[str, dict[str, typing.Any]] = {}
        self.accepted_at: float | None = None
        self.ended_at: float | None = None

    def body(self) -> bytes:
        """Return the body of the submission."""
        items = [
            {
                'id': item.id,
                'path': f'{self.prefix}{number}',
                'headers': {
                    'X-Model': self.model,
                    'X-Token-Count': '1016,400',
                    **item.headers,
                },
                'body': base64.b64encode(item.prompt.encode()).decode(),
                'tokens': 1416,
                'group': item.group,
            }
            for number, item in enumerate(self.items)
        ]
        return json.dumps(
            {
                'step': 0,
                'model': self.model,
                'min-version': 1,
                'group-count': 1,
                'items': items,
            }
        ).encode()


class Play:
    """One play of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self._record = (folder / 'record.txt').open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._began = time.monotonic()
        upstream.Upstream = Sampler
        deployment.upstream_module.Upstream = Sampler
        self.prepare()
        self.say(f'trouble: {"yes" if self.has_trouble else "no"}')

    def prepare(self) -> None:
        """Make a new deployment, which is not started yet."""
        Sampler.runs.clear()
        self.deployment = deployment.Deployment(heartbeat_s=HEARTBEAT_S)
        self.deployment.build = builds.Build(ROOT, ROOT / 'target' / 'deps')
        self.deployment.lease_ms = LEASE_MS
        self.deployment.settings = dict(SETTINGS)

    def say(self, text: str) -> None:
        """Write a line to the record."""
        with self._lock:
            passed_s = time.monotonic() - self._began
            self._record.write(f'{passed_s:8.3f} s  {text}\n')
            self._record.flush()

    def start(self, instances: int = 3, samplers: int = 6) -> None:
        """Start the processes, and wait until all are ready."""
        self.deployment.start(instances, samplers)
        for sampler in self.deployment.samplers:
            sampler._slots = SLOTS
            self.say(f'sampler {sampler.id} with {SLOTS} slots')
        for instance in self.deployment.instances:
            self.say(f'process {instance.name} pid {instance.process.pid}')
        # The samplers register their slots with the next heartbeat, and the
        # machines are in touch contact-ms after their start.
        time.sleep(CONTACT_S + 0.5)

    def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes | None = None,
        instance: int = 0,
        timeout_s: float = 3.0,
    ) -> clients.Response:
        """Send one request to an instance."""
        return clients.Client().send(
            self.deployment.instances[instance].address,
            method,
            target,
            {'Host': HOST, **headers},
            body,
            timeout_s,
        )

    def submit(self, batch: Batch, who: str, instance: int = 0) -> int:
        """Submit a batch until it is answered with 202, or ten times."""
        status = 0
        for _ in range(10):
            answer = self.send(
                'POST',
                f'{batch.prefix}{batch.id[:16]}',
                {'X-Request-Id': batch.id},
                batch.body(),
                instance,
            )
            status = answer.status
            shown = (
                batch.id if len(batch.id) < 40 else f'{len(batch.id)} chars'
            )
            self.say(
                f'{who}: batch {shown} of {len(batch.items)} items: {status}'
            )
            if status == 202:
                batch.accepted_at = time.monotonic()
                break
            if status in (400, 413):
                break
            time.sleep(0.3)
        return status

    def read(self, batch: Batch, instance: int = 1) -> int:
        """Read what is listed; return the status."""
        answer = self.send(
            'GET',
            f'/api/lots/{batch.id}?after={len(batch.results)}',
            {'X-Wait-Ms': '500'},
            instance=instance,
        )
        if answer.status == 200:
            for result in answer.json()['results']:
                batch.results[result['id']] = result
        return answer.status

    def read_until(self, batch: Batch, who: str, ends_at: float) -> None:
        """Read until all is listed or a time has come."""
        seen = -1
        while time.monotonic() < ends_at:
            status = self.read(batch)
            if status != 200 or len(batch.results) != seen:
                seen = len(batch.results)
                self.say(
                    f'{who}: read {status}, {seen} of {len(batch.items)}'
                    ' listed'
                )
            if len(batch.results) == len(batch.items):
                return
            time.sleep(0.3 if status == 200 else 0.5)

    def end(self, batch: Batch, who: str) -> int:
        """End a batch."""
        status = self.send('DELETE', f'/api/lots/{batch.id}', {}).status
        batch.ended_at = time.monotonic()
        self.say(f'{who}: end: {status}')
        return status

    def lost_items(self, step: Batch, began: float, until: float) -> list[str]:
        """Return the items that LOST counts when a step runs out of time.

        No sampler has finished or failed them, and they have been at no
        sampler for 5 s, while others of the step had begun and the samplers
        were under half full. As the rule has it, a run that its sender ends
        within a second doesn't count.
        """
        lost = []
        begun = {run.item for run in Sampler.runs if run.started_at < until}
        slots = SLOTS * len(self.deployment.samplers)
        most = _most_at_once(until - ABSENCE_S, until)
        for item in step.items:
            runs = [run for run in Sampler.runs if run.item == item.id]
            if any(run.ending[1] for run in runs) or item.id in step.results:
                continue
            others = {other.id for other in step.items} - {item.id}
            last = max(
                (_end(run, until) for run in runs if _counts(run, until)),
                default=began,
            )
            absent_s = until - max(last, began)
            if absent_s < ABSENCE_S or not others & begun or most * 2 >= slots:
                continue
            lost.append(item.id)
            self.say(
                f'item {item.id}: at no sampler for {absent_s:.1f} s when the'
                f' step ran out; {len(runs)} runs in all, none finished'
            )
        self.say(
            f'in the {ABSENCE_S:g} s before that at most {most} of {slots}'
            f' slots were in use at a time'
        )
        return lost

    def report_runs(self, batch: Batch, who: str) -> None:
        """Write the runs of the items of a batch."""
        for item in batch.items:
            spans = ', '.join(
                f'{run.started_at - self._began:.2f}-'
                + (
                    f'{run.ending[0] - self._began:.2f}'
                    if run.ending[0]
                    else '...'
                )
                + (' whole' if run.ending[1] else '')
                for run in Sampler.runs
                if run.item == item.id
            )
            self.say(f'{who}: runs of {item.id[:24]}: {spans or "none"}')

    def report_exits(self) -> list[str]:
        """Return the processes that have ended by themselves."""
        return [
            instance.name
            for instance in self.deployment.instances
            if instance.process.poll() is not None
        ]


def _end(run: Run, until: float) -> float:
    return min(run.ending[0] or until, until)


def _counts(run: Run, until: float) -> bool:
    """Return whether a run counts as time at a sampler."""
    is_cut = run.ending[0] is not None and not run.ending[1]
    return not is_cut or run.ending[0] - run.started_at >= SHORT_RUN_S


def _most_at_once(since: float, until: float) -> int:
    """Return the most runs at a time, the short ones too."""
    changes = []
    for run in Sampler.runs:
        start, end = run.started_at, _end(run, until)
        if end > since and start < until:
            changes += [(max(start, since), 1), (end, -1)]
    most = now = 0
    for _, change in sorted(changes):
        now += change
        most = max(most, now)
    return most


def items(count: int, prompt: str) -> list[Item]:
    """Return items with ids as of the examples, in groups of 8."""
    return [
        Item(uuid.uuid4().hex[:16], f'{prompt}-{n}', {}, f'g{n // 8}')
        for n in range(count)
    ]


def main(
    folder: pathlib.Path, play_case: typing.Callable[[Play], int]
) -> None:
    """Play a case and exit with its outcome.

    Starts again if another program has taken a port meanwhile.
    """
    outcome = NOT_RUN
    play = Play(folder)
    for _ in range(START_ATTEMPTS):
        play.prepare()
        try:
            with play.deployment:
                outcome = play_case(play)
        except TimeoutError as error:
            play.say(f'could not start: {error!r}')
            continue
        except Exception as error:
            play.say(f'could not run: {error!r}')
        break
    play.say({HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}[outcome])
    sys.stdout.flush()
    os._exit(outcome)
