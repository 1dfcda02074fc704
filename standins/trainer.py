"""Emulate a trainer that opens and pulls steps and announces versions."""

import argparse
import collections
import json
import random
import sys
import time
import typing

import urllib3

PULL_WAIT_S = 2.0
READ_TIMEOUT_MARGIN_S = 4.0
CONNECT_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
MAX_GROUPS_PER_PULL = 16


class ReceivedSample(typing.NamedTuple):
    """Describe a received sample and the trainer's version at that time."""

    slot: tuple[int, str, int]
    weight_versions: tuple[int, ...]
    trainer_version: int
    text: str
    age_s: float

    @property
    def generating_versions(self) -> set[int]:
        """Return the versions that generated the text, as the text states."""
        return {int(token[1:]) for token in self.text.split()}

    @property
    def lag(self) -> int:
        """Return how many versions the oldest part is behind the trainer's."""
        return self.trainer_version - min(self.weight_versions)


class TrainerReport(typing.NamedTuple):
    """Summarise the samples a trainer received and its waiting time.

    lags and versions count the samples by lag and by weight versions.
    """

    samples: int
    doubled: int
    missing: int
    idle_s: float
    total_s: float
    lags: dict[int, int]
    versions: dict[str, int]


class Trainer:
    """Run steps in sequence; send each call to a random instance."""

    def __init__(self, path: str, instances: list[str], seed: int = 0) -> None:
        self._path = path
        self._instances = list(instances)
        self._rng = random.Random(seed)
        self._http = urllib3.PoolManager(retries=False)
        self.version = 0
        self.received: list[ReceivedSample] = []
        self.idle_s = 0.0
        self._expected = 0
        self._started = time.monotonic()

    def make_groups(
        self, number: int, groups: int, samples: int, max_tokens: int
    ) -> list[dict[str, typing.Any]]:
        """Return the groups of a step, with varying max_tokens."""
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
        """Open a step; retry until an instance accepts it."""
        self._call(
            'PUT',
            f'steps/{number}',
            {'groups': groups, 'version': self.version},
        )

    def pull_step(
        self, number: int, groups: list[dict[str, typing.Any]]
    ) -> None:
        """Pull a step until it is done; reopen it if it is not open."""
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
                    'max_groups': MAX_GROUPS_PER_PULL,
                },
            )
            if answer is None:
                self.open_step(number, groups)
                continue
            cursor, done = answer['cursor'], answer['done']
            self._record(number, answer['groups'])
        self.idle_s += time.monotonic() - started

    def announce(self, version: int) -> None:
        """Announce a new weight version."""
        self.version = version
        self._call('POST', 'versions', {'version': version})

    def report(self) -> TrainerReport:
        """Return the totals so far."""
        slots = collections.Counter(sample.slot for sample in self.received)
        return TrainerReport(
            samples=len(self.received),
            doubled=sum(count - 1 for count in slots.values()),
            missing=self._expected - len(slots),
            idle_s=self.idle_s,
            total_s=time.monotonic() - self._started,
            lags=dict(
                sorted(
                    collections.Counter(
                        sample.lag for sample in self.received
                    ).items()
                )
            ),
            versions=dict(
                collections.Counter(
                    '+'.join(map(str, sample.weight_versions))
                    for sample in self.received
                )
            ),
        )

    def _record(
        self, number: int, groups: list[dict[str, typing.Any]]
    ) -> None:
        for group in groups:
            for index, sample in enumerate(group['samples']):
                self.received.append(
                    ReceivedSample(
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
        """Return the answer, None if the step is not open.

        Retries on connection errors and status 503; raises RuntimeError
        on any other error.
        """
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
                        read=PULL_WAIT_S + READ_TIMEOUT_MARGIN_S,
                    ),
                )
                answer = response.json()
            except (urllib3.exceptions.HTTPError, ValueError):
                time.sleep(RETRY_INTERVAL_S)
                continue
            if response.status == 200:
                return answer
            if answer.get('code') == 'step_not_open':
                return None
            if response.status != 503:
                raise RuntimeError(f'{path}: {answer}')
            time.sleep(answer.get('retry_after_s') or RETRY_INTERVAL_S)


class Schedule(typing.NamedTuple):
    """Describe the steps that a trainer runs."""

    steps: int
    groups: int
    samples: int
    max_tokens: int
    train_s: float


def run_schedule(trainer: Trainer, schedule: Schedule) -> None:
    """Run steps; open the next one before the current one is pulled."""
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
