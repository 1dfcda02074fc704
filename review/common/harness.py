"""Start the product's processes, with the project's stand-ins around them."""

import json
import logging
import os
import pathlib
import re
import signal
import subprocess
import sys
import threading
import time
import traceback
import typing

import structlog

from standins.emulator import builds
from standins.emulator import deployment
from standins.emulator import serving

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
# Bounds of the site file that the cases name.
BOUNDS = {
    'lease-ms': 3000,
    'require-fence': True,
    'grace-s': 8,
    'status-s': 120,
    'ttl_max_s': 5,
}
HEARTBEAT_MS = 1200
# A case that takes longer is ended as one that could not run.
MAX_CASE_S = 110.0
PLACEHOLDER = re.compile(r'\{\{([#^/]?)([a-z._0-9-]+)(\|json)?\}\}')

Fields = dict[str, typing.Any]

# The processes of the product that were started.
_processes: list[subprocess.Popen[bytes]] = []

# The stand-ins' servers log what is no error here.
structlog.configure(
    wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
)


def fill_template(fields: Fields) -> str:
    """Fill in deploy/settings.json5 as the platform does."""
    text = (ROOT / 'deploy' / 'settings.json5').read_text(encoding='utf-8')
    section = re.compile(r'\{\{([#^])([a-z._0-9-]+)\}\}(.*?)\{\{/\2\}\}', re.S)

    def choose(found: re.Match[str]) -> str:
        is_set = bool(_look_up(fields, found[2]))
        return found[3] if is_set == (found[1] == '#') else ''

    def value(found: re.Match[str]) -> str:
        filled = _look_up(fields, found[2])
        return json.dumps(filled) if found[3] else str(filled)

    return PLACEHOLDER.sub(value, section.sub(choose, text))


def _look_up(fields: typing.Any, name: str) -> typing.Any:
    for part in name.split('.'):
        if isinstance(fields, list):
            fields = fields[int(part)]
        else:
            fields = fields.get(part)
    return fields


class Deployment(deployment.Deployment):
    """The project's emulated platform, with the template's settings."""

    def __init__(self, seed: int = 1) -> None:
        super().__init__(seed, heartbeat_s=HEARTBEAT_MS / 1000)
        self.build = builds.Build(ROOT, ROOT / 'target' / 'deps')

    def start_instance(self, name: str) -> deployment.Instance:
        """Start an instance with the command of the deploy file."""
        store_relay = self._relay_to_store(None)
        host = serving.ADDRESS
        ports = [serving.free_port() for _ in range(6)]
        peer_port, relay_port = ports[4:]
        text = fill_template(
            {
                'node': name,
                'zone': 'kl-bengkel',
                'region': 'semenanjung',
                'ip': host,
                'listen': {
                    'front': f'{host}:{ports[0]}',
                    'ready': f'{host}:{ports[1]}',
                    'directory': f'{host}:{ports[2]}',
                },
                'internal-ports': [peer_port, relay_port],
                'provider': {
                    'address': store_relay.url.removeprefix('http://'),
                    'parts': 12,
                },
                'bounds': BOUNDS,
                'heartbeat-ms': HEARTBEAT_MS,
                'limits': {'memory-mb': 320},
            }
        ).replace('metrics_port: 9464', f'metrics_port: {ports[3]}')
        folder = pathlib.Path(self._folder.name)
        path = folder / f'{name}.json5'
        path.write_text(text, encoding='utf-8')
        log_path = folder / f'{name}-{len(self.instances)}.log'
        with log_path.open('wb') as output:
            process = subprocess.Popen(
                [sys.executable, '-m', 'baobabpond.ui.host'],
                cwd=self.build.root,
                env={
                    'PATH': os.environ.get('PATH', ''),
                    'HOME': os.environ.get('HOME', '/'),
                    'PYTHONPATH': self.build.python_path,
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'BAOBABPOND_CONFIG': str(path),
                },
                stdout=output,
                stderr=output,
            )
        _processes.append(process)
        instance = deployment.Instance(name, process, f'{host}:{ports[0]}')
        instance.ready_address = f'{host}:{ports[1]}'
        instance.entries_address = f'{host}:{ports[2]}'
        instance.metrics_address = f'{host}:{ports[3]}'
        instance.store_relay = store_relay
        instance.log_path = log_path
        self.instances.append(instance)
        return instance


class Record:
    """Write what was sent, answered and run to record.txt of a case."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._lock = threading.Lock()
        self._started = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def write(self, text: str) -> None:
        """Write a line with the time since the start."""
        with self._lock:
            since = time.monotonic() - self._started
            self._file.write(f'{since:8.3f} {text}\n')
            self._file.flush()

    def say(self, text: str) -> None:
        """Write a line and print it."""
        self.write(text)
        print(text, flush=True)


def has_trouble() -> bool:
    """Return whether the case brings about its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(
    file: str, case: typing.Callable[[Record, bool], bool]
) -> typing.NoReturn:
    """Run a case, which returns whether the rule held, and exit."""
    record = Record(pathlib.Path(file).resolve().parent)

    def stop(*_: object) -> None:
        record.say('the case was ended before its time')
        _exit(EXIT_NOT_RUN)

    signal.signal(signal.SIGTERM, stop)
    watchdog = threading.Timer(MAX_CASE_S, stop)
    watchdog.daemon = True
    watchdog.start()
    try:
        held = case(record, has_trouble())
    except Exception:
        record.say(traceback.format_exc())
        code = EXIT_NOT_RUN
    else:
        record.say('the rule held' if held else 'the rule was broken')
        code = EXIT_HELD if held else EXIT_BROKEN
    _exit(code)


def _exit(code: int) -> typing.NoReturn:
    for process in _processes:
        if process.poll() is None:
            process.kill()
    sys.stdout.flush()
    os._exit(code)
