"""Repeat a request that crashes upstreams beside innocent callers.

Run as a module, it plays one setting or all of them and prints a line each.
"""

import argparse
import concurrent.futures
import contextlib
import json
import logging
import threading
import time
import typing

import structlog

from . import clients
from . import crashing
from . import deployment as deployment_module
from . import links
from . import upstream as upstream_module

INSTANCES = 3
PLAIN_SERVICES = 3
# Crashes after which a request must no longer reach upstreams.
MAX_CRASHES = 3
# Runs that may still begin, once the news has had this time to spread.
MAX_LATE_RUNS = 3
NEWS_S = 3.0
# Callers come back after a refusal, up to this many times.
CALLER_ATTEMPTS = 4
CRASH_REQUEST_PREFIX = 'crash-'
JOIN_TIMEOUT_S = 30.0


class Setting(typing.NamedTuple):
    """How a request is repeated, and what happens beside it."""

    seconds: float = 12.0
    # Between the crashing requests.
    repeat_s: float = 0.2
    innocent_callers: int = 6
    restart_s: float = deployment_module.RESTART_S
    is_silent: bool = False
    crash_after_s: float = crashing.CRASH_AFTER_S
    failing_pattern: tuple[bool, ...] = (False,)
    # How long the callers of the crashing request wait for a response.
    caller_timeout_s: float = clients.TIMEOUT_S
    # How long the store is busy, from the first second on.
    store_busy_s: float = 0.0
    # The first instance is cut off in this way, from the first second on.
    cut: links.Cut | None = None
    cut_s: float = 5.0
    # The last instance is paused for this long, from the first second on.
    pause_s: float = 0.0


SETTINGS = {
    'alone': Setting(innocent_callers=0),
    'beside-traffic': Setting(),
    'quick-restarts': Setting(restart_s=0.05),
    'silent': Setting(is_silent=True),
    'failing': Setting(failing_pattern=(False, True, False, False, True)),
    'store-busy': Setting(store_busy_s=9.0, seconds=14.0),
    'leaving-callers': Setting(caller_timeout_s=0.008),
    'slow-crashes': Setting(
        repeat_s=0.5, crash_after_s=0.3, caller_timeout_s=0.1
    ),
    'refused-cut': Setting(cut=links.Cut.REFUSED),
    'paused-peer': Setting(pause_s=4.0),
}


class Innocent(typing.NamedTuple):
    """A request that has nothing to do with the crashes."""

    request: str
    # What each try led to; empty if the first one succeeded.
    failures: list[str]
    is_served: bool


class Outcome(typing.NamedTuple):
    """What a play did to the upstreams and to innocent callers."""

    crashes: int
    runs_after_third: int
    # Of them, more than NEWS_S after it.
    late_runs: int
    innocents: int
    innocents_failed: int


class CrashPlay:
    """Play one setting on a deployment that has been started."""

    def __init__(
        self, deployment: deployment_module.Deployment, setting: Setting
    ) -> None:
        self._deployment = deployment
        self._setting = setting
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.innocents: list[Innocent] = []
        self.sent = 0
        deployment.restart_s = setting.restart_s
        deployment.crashing.is_silent = setting.is_silent
        deployment.crashing.after_s = setting.crash_after_s
        deployment.crashing.failing_pattern = setting.failing_pattern

    def run(self) -> Outcome:
        """Send all requests, and count what happened."""
        count = self._setting.innocent_callers
        with concurrent.futures.ThreadPoolExecutor(count + 1) as executor:
            callers = [
                executor.submit(self._send_innocents, f'good-{number}')
                for number in range(count)
            ]
            trouble = executor.submit(self._make_trouble)
            try:
                self.repeat()
            finally:
                self._stopped.set()
            for task in (*callers, trouble):
                task.result(JOIN_TIMEOUT_S)
        return self.outcome()

    def repeat(self) -> None:
        """Send the crashing request to the instances in turn."""
        ends_at = time.monotonic() + self._setting.seconds
        while time.monotonic() < ends_at:
            addresses = self._deployment.addresses()
            with contextlib.suppress(IndexError):
                self.send(addresses[self.sent % len(addresses)])
            time.sleep(self._setting.repeat_s)

    def send(self, address: str) -> clients.Response:
        """Send the crashing request under a new id."""
        self.sent += 1
        return self._send_to(
            address,
            upstream_module.CRASHING_BODY,
            f'{CRASH_REQUEST_PREFIX}{self.sent}',
            self._setting.caller_timeout_s,
        )

    def outcome(self) -> Outcome:
        """Count what has happened so far."""
        crashes = [
            each.crashed_at for each in self._deployment.recorder.crashes
        ]
        third = float('inf')
        if len(crashes) >= MAX_CRASHES:
            third = sorted(crashes)[MAX_CRASHES - 1]
        return Outcome(
            len(crashes),
            self.runs_after(third),
            self.runs_after(third + NEWS_S),
            len(self.innocents),
            sum(not each.is_served for each in self.innocents),
        )

    def runs_after(self, moment: float) -> int:
        """Return how often the crashing request ran after a moment."""
        return sum(
            run.request_id.startswith(CRASH_REQUEST_PREFIX)
            and run.started_at > moment
            for run in self._deployment.recorder.runs
        )

    def _make_trouble(self) -> None:
        """Disturb the instances and the store as the setting says."""
        setting = self._setting
        instances = self._deployment.live_instances()
        if self._stopped.wait(1.0):
            return
        if setting.store_busy_s:
            self._deployment.store.faults.outage = 'busy'
            self._stopped.wait(setting.store_busy_s)
            self._deployment.store.faults.outage = None
        if setting.cut is not None:
            cut_links = instances[0].links
            assert cut_links is not None
            cut_links.cut(setting.cut)
            self._stopped.wait(setting.cut_s)
            cut_links.restore()
        if setting.pause_s:
            instances[-1].pause()
            self._stopped.wait(setting.pause_s)
            instances[-1].resume()

    def _send_innocents(self, name: str) -> None:
        """Send lookups with bodies of their own, as callers retry them."""
        number = 0
        while not self._stopped.is_set():
            number += 1
            innocent = self._send_with_retries(f'{name}-{number}')
            with self._lock:
                self.innocents.append(innocent)

    def _send_with_retries(self, request: str) -> Innocent:
        failures: list[str] = []
        for attempt in range(CALLER_ATTEMPTS):
            addresses = self._deployment.addresses()
            response = self._send_to(
                addresses[(hash(request) + attempt) % len(addresses)],
                request.encode(),
                f'{request}-{attempt}',
                clients.TIMEOUT_S,
            )
            if response.status == 200:
                return Innocent(request, failures, True)
            failures.append(f'{response.status} {response.body!r}')
            time.sleep(float(response.headers.get('Retry-After', '0.2')))
        return Innocent(request, failures, False)

    def _send_to(
        self, address: str, body: bytes, request_id: str, timeout_s: float
    ) -> clients.Response:
        return clients.Client().send(
            address,
            'POST',
            f'{deployment_module.LOOKUPS}same',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '2000',
            },
            body,
            timeout_s=timeout_s,
        )


def play(setting: Setting, log_path: str = '') -> Outcome:
    """Play a setting on a deployment of its own; keep its logs if asked."""
    with deployment_module.Deployment() as deployment:
        deployment.start(
            INSTANCES, 1, True, PLAIN_SERVICES, setting.cut is not None
        )
        outcome = CrashPlay(deployment, setting).run()
        if log_path:
            _write_logs(deployment, log_path)
    return outcome


def _write_logs(
    deployment: deployment_module.Deployment, log_path: str
) -> None:
    """Write the lines of all instances in the order of their time."""
    lines = [
        {'instance': instance.name, **entry}
        for instance in deployment.instances
        for entry in instance.log_entries()
    ]
    lines.sort(key=lambda line: line['timestamp'])
    with open(log_path, 'w', encoding='utf-8') as output:
        for line in lines:
            output.write(json.dumps(line) + '\n')


def main() -> None:
    """Play settings that are named in the arguments, else all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('settings', nargs='*', metavar='SETTING')
    parser.add_argument('--plays', type=int, default=1)
    parser.add_argument('--log', default='', help='file for all log lines')
    arguments = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING)
    )
    for name in arguments.settings or SETTINGS:
        for _ in range(arguments.plays):
            outcome = play(SETTINGS[name], arguments.log)
            print(name, json.dumps(outcome._asdict()), flush=True)


if __name__ == '__main__':
    main()
