"""Stand in for a trainer: open steps, pull groups, announce versions."""

import argparse
import collections
import json
import random
import sys
import time
import typing

import urllib3

PULL_WAIT_S = 2.0
READ_MARGIN_S = 4.0
CONNECT_TIMEOUT_S = 1.0
PAUSE_S = 0.1
MAX_GROUPS = 16


class Entry(typing.NamedTuple):
    """Hold one handed-over sample with the trainer's version then."""

    slot: tuple[int, str, int]
    weight_versions: tuple[int, ...]
    trainer_version: int
    text: str
    age_s: float

    @property
    def true_versions(self) -> set[int]:
        """Return the versions that the text itself tells of."""
        return {int(token[1:]) for token in self.text.split()}

    @property
    def lag(self) -> int:
        """Return how many versions the oldest part lags."""
        return self.trainer_version - min(self.weight_versions)


class TrainerReport(typing.NamedTuple):
    """Sum up what a trainer has received and how long it waited."""

    samples: int
    doubled: int
    missing: int
    idle_s: float
    total_s: float
    lags: dict[int, int]
    versions: dict[str, int]


class Trainer:
    """Run steps one after the other against any live instance."""

    def __init__(self, path: str, instances: list[str], seed: int = 0) -> None:
        self._path = path
        self._instances = list(instances)
        self._rng = random.Random(seed)
        self._http = urllib3.PoolManager(retries=False)
        self.version = 0
        self.entries: list[Entry] = []
        self.idle_s = 0.0
        self._expected = 0
        self._started = time.monotonic()

    def make_groups(
        self, number: int, groups: int, samples: int, max_tokens: int
    ) -> list[dict[str, typing.Any]]:
        """Return the groups of a step, with lengths that vary."""
        rng = random.Random(f'{self._path}/{number}')
        return [
            {
                'name': f'group-{index}',
                'prompt': f'{self._path} step {number} prompt {index}',
                'samples': samples,
                'max_tokens': max(4, int(max_tokens * rng.uniform(0.4, 1.6))),
            }
            for index in range(groups)
        ]

    def open_step(
        self, number: int, groups: list[dict[str, typing.Any]]
    ) -> None:
        """Open a step, trying until an instance takes it."""
        self._call(
            'PUT',
            f'steps/{number}',
            {'groups': groups, 'version': self.version},
        )

    def pull_step(
        self, number: int, groups: list[dict[str, typing.Any]]
    ) -> None:
        """Pull a step to its end, opening it again where it is unknown."""
        self._expected += sum(group['samples'] for group in groups)
        cursor, done = '', False
        started = time.monotonic()
        while not done:
            answer = self._call(
                'POST',
                f'steps/{number}/pull',
                {
                    'cursor': cursor,
                    'version': self.version,
                    'wait_s': PULL_WAIT_S,
                    'max_groups': MAX_GROUPS,
                },
            )
            if answer is None:
                self.open_step(number, groups)
                continue
            cursor, done = answer['cursor'], answer['done']
            self._take(number, answer['groups'])
        self.idle_s += time.monotonic() - started

    def announce(self, version: int) -> None:
        """Publish a new version."""
        self.version = version
        self._call('POST', 'versions', {'version': version})

    def report(self) -> TrainerReport:
        """Return the sums so far."""
        slots = collections.Counter(entry.slot for entry in self.entries)
        return TrainerReport(
            samples=len(self.entries),
            doubled=sum(count - 1 for count in slots.values()),
            missing=self._expected - len(slots),
            idle_s=self.idle_s,
            total_s=time.monotonic() - self._started,
            lags=dict(
                sorted(
                    collections.Counter(
                        entry.lag for entry in self.entries
                    ).items()
                )
            ),
            versions=dict(
                collections.Counter(
                    '+'.join(map(str, entry.weight_versions))
                    for entry in self.entries
                )
            ),
        )

    def _take(self, number: int, groups: list[dict[str, typing.Any]]) -> None:
        for group in groups:
            for index, sample in enumerate(group['samples']):
                self.entries.append(
                    Entry(
                        (number, group['name'], index),
                        tuple(sample['weight_versions']),
                        self.version,
                        sample['text'],
                        sample['age_s'],
                    )
                )

    def _call(
        self, method: str, path: str, fields: dict[str, typing.Any]
    ) -> typing.Any:
        """Return the answer, or None if the step must be opened again."""
        while True:
            url = self._rng.choice(self._instances)
            try:
                response = self._http.request(
                    method,
                    f'{url}/v1/trainers/{self._path}/{path}',
                    body=json.dumps(fields).encode(),
                    headers={'Content-Type': 'application/json'},
                    timeout=urllib3.Timeout(
                        connect=CONNECT_TIMEOUT_S,
                        read=PULL_WAIT_S + READ_MARGIN_S,
                    ),
                )
                answer = response.json()
            except (urllib3.exceptions.HTTPError, ValueError):
                time.sleep(PAUSE_S)
                continue
            if response.status == 200:
                return answer
            if answer.get('code') == 'step_not_open':
                return None
            if response.status != 503:
                raise RuntimeError(f'{path}: {answer}')
            time.sleep(answer.get('retry_after_s') or PAUSE_S)


class Schedule(typing.NamedTuple):
    """Describe how a trainer works."""

    steps: int
    groups: int
    samples: int
    max_tokens: int
    train_s: float


def run_schedule(trainer: Trainer, schedule: Schedule) -> None:
    """Run steps, opening each next one before the last is trained on."""
    groups = {
        number: trainer.make_groups(
            number, schedule.groups, schedule.samples, schedule.max_tokens
        )
        for number in range(1, schedule.steps + 1)
    }
    trainer.announce(1)
    trainer.open_step(1, groups[1])
    for number in range(1, schedule.steps + 1):
        if number + 1 in groups:
            trainer.open_step(number + 1, groups[number + 1])
        trainer.pull_step(number, groups[number])
        time.sleep(schedule.train_s)
        trainer.announce(number + 1)


def main() -> None:
    """Run a schedule and print the report as JSON."""
    arguments = argparse.ArgumentParser()
    arguments.add_argument('--path', required=True)
    arguments.add_argument('--instances', required=True)
    arguments.add_argument('--steps', type=int, default=1)
    arguments.add_argument('--groups', type=int, default=8)
    arguments.add_argument('--samples', type=int, default=4)
    arguments.add_argument('--max-tokens', type=int, default=20)
    arguments.add_argument('--train-s', type=float, default=0.2)
    arguments.add_argument('--seed', type=int, default=0)
    options = arguments.parse_args()
    trainer = Trainer(options.path, options.instances.split(','), options.seed)
    run_schedule(
        trainer,
        Schedule(
            options.steps,
            options.groups,
            options.samples,
            options.max_tokens,
            options.train_s,
        ),
    )
    json.dump(trainer.report()._asdict(), sys.stdout)


if __name__ == '__main__':
    main()
