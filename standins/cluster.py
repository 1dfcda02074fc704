"""Run instances and stand-ins as local processes.

Each process has its own loopback address.
"""

import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import urllib3

from standins import relay

HTTP_PORT = 8080
PEER_PORT = 8081
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 5.0
POLL_INTERVAL_S = 0.05
ROOT = pathlib.Path(__file__).resolve().parent.parent


class Upstreams(typing.NamedTuple):
    """Describe the upstreams of one service."""

    service: str
    kind: str
    count: int
    arguments: tuple[str, ...] = ()


class Process:
    """Start a process and control it."""

    def __init__(
        self, name: str, arguments: list[str], address: str, log_path: str
    ) -> None:
        self.name = name
        self.address = address
        self.arguments = arguments
        self.log_path = log_path
        self.leaving = False
        with open(log_path, 'ab') as log:
            self.popen = subprocess.Popen(
                arguments,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
                # Keeps Ctrl-C from the child; the parent terminates it.
                start_new_session=True,
            )

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f'http://{self.address}:{HTTP_PORT}'

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self.popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal if the process is running."""
        if self.alive:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.signal(signal.SIGKILL)
        self.popen.wait()


class Cluster:
    """Run a deployment; a context manager that kills it on exit."""

    def __init__(self, seed: int = 0) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self._network = _find_free_network(seed)
        self._next_host = 1
        self._folder = tempfile.TemporaryDirectory(prefix='baobabpond-')
        self.processes: dict[str, Process] = {}
        self.instances: dict[str, Process] = {}
        self._data_centres: dict[str, str] = {}
        self._services: dict[str, str] = {}
        self.http = urllib3.PoolManager(num_pools=50, retries=False)
        self.log_url = ''
        self.links: dict[str, relay.Relay] = {}
        self.log_retention_s = 604_800.0

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all processes and close all links."""
        for link in self.links.values():
            link.close()
        for process in self.processes.values():
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes.values():
            process.popen.wait()
        self._folder.cleanup()

    def start_platform(self, store_per_second: float = 20.0) -> None:
        """Start the log service, the instance list and the weight store."""
        self._start_standin('log', 'log_service')
        self._start_standin('list', 'instance_list')
        self._start_standin(
            'store',
            'weight_store',
            ('--per-second', str(store_per_second)),
        )
        self.log_url = self.processes['log'].url
        for name in ('log', 'list', 'store'):
            self.wait_listening(self.processes[name])

    def start_upstreams(
        self, upstreams: Upstreams, data_centres: list[str]
    ) -> list[str]:
        """Start the upstreams of a service and return their names."""
        base = upstreams.service.split('/')[-1]
        first = sum(
            service == upstreams.service for service in self._services.values()
        )
        names = []
        for index in range(first, first + upstreams.count):
            name = f'{base}-{index}'
            arguments = upstreams.arguments
            if upstreams.kind == 'engine':
                arguments += (
                    '--store-url',
                    self.processes['store'].url,
                    '--seed',
                    str(self.seed * 1000 + index),
                )
            self._start_standin(name, upstreams.kind, arguments)
            data_centre = data_centres[index % len(data_centres)]
            self._data_centres[name] = data_centre
            self._services[name] = upstreams.service
            names.append(name)
        for name in names:
            self.wait_listening(self.processes[name])
            self.register(name)
        return names

    def start_instance(
        self, name: str, data_centre: str, **overrides: typing.Any
    ) -> Process:
        """Start an entry instance without waiting until it is ready."""
        previous = self.instances.get(name)
        address = previous.address if previous else self._allocate_address()
        if name in self.links:
            overrides['log_url'] = self.links[name].url
        settings = {
            'instance': name,
            'address': address,
            'http_port': HTTP_PORT,
            'peer_port': PEER_PORT,
            'data_centre': data_centre,
            'log_url': self.log_url,
            'instance_list_url': self.processes['list'].url,
            'log_retention_s': self.log_retention_s,
            **overrides,
        }
        path = f'{self._folder.name}/{name}.json5'
        with open(path, 'w', encoding='utf-8') as config:
            json.dump(settings, config)
        process = Process(
            name,
            [sys.executable, '-m', 'baobabpond', 'serve', '--config', path],
            address,
            f'{self._folder.name}/{name}.log',
        )
        self.processes[name] = process
        self.instances[name] = process
        self._data_centres[name] = data_centre
        self._services[name] = 'baobabpond'
        self.register(name)
        return process

    def link_to_log(self, name: str) -> str:
        """Return the URL of an instance's own relay to the log.

        Cutting the relay separates only this instance from the log.
        """
        if name not in self.links:
            self.links[name] = relay.Relay(
                self._allocate_address(),
                HTTP_PORT,
                (self.processes['log'].address, HTTP_PORT),
            )
        return self.links[name].url

    def wait_ready(self, *names: str) -> None:
        """Wait until instances (default: all) report that they are ready."""
        for name in names or tuple(self.instances):
            url = f'{self.instances[name].url}/readyz'
            self.wait(
                lambda url=url: self.status_of(url) == 200,
                f'{name} is ready',
            )

    def register(self, name: str, state: str = 'live') -> None:
        """Register a process on the instance list."""
        process = self.processes[name]
        service = self._services[name].replace('/', '.')
        entry = {
            'Node': {'Datacenter': self._data_centres[name]},
            'Service': {
                'ID': name,
                'Address': process.address,
                'Port': HTTP_PORT,
                'Meta': {'peer_port': str(PEER_PORT), 'state': state},
            },
        }
        self.call('list', 'PUT', f'/register/{service}/{name}', entry)

    def deregister(self, name: str) -> None:
        """Remove a process from the instance list."""
        service = self._services[name].replace('/', '.')
        self.call('list', 'DELETE', f'/register/{service}/{name}')

    def set_faults(self, name: str, **faults: float) -> None:
        """Set faults of a stand-in."""
        self.call(name, 'POST', '/faults', faults)

    def publish(
        self,
        nodes: dict[str, dict[str, typing.Any]],
        author: str = 'test',
        base: int | None = None,
        timeout_s: float = 15.0,
    ) -> subprocess.CompletedProcess[str]:
        """Publish settings with the command-line tool."""
        path = f'{self._folder.name}/publish-{time.monotonic_ns()}.json5'
        with open(path, 'w', encoding='utf-8') as source:
            json.dump(nodes, source)
        arguments = [path, '--author', author, '--timeout', str(timeout_s)]
        if base is not None:
            arguments += ['--base', str(base)]
        return self.command('settings', 'publish', *arguments)

    def command(
        self, *arguments: str, with_log: bool = True
    ) -> subprocess.CompletedProcess[str]:
        """Run the command-line tool."""
        log = ['--log', self.log_url] if with_log else []
        return subprocess.run(
            [sys.executable, '-m', 'baobabpond', *arguments, *log],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def call(
        self, name: str, method: str, path: str, body: object = None
    ) -> typing.Any:
        """Call a process and return its JSON answer."""
        # A kept connection could be closed by the process, which closes idle
        # ones, while the call is on its way.
        response = self.http.request(
            method,
            self.processes[name].url + path,
            body=None if body is None else json.dumps(body).encode(),
            headers={'Connection': 'close'},
            timeout=10,
        )
        return response.json()

    def status_of(self, url: str) -> int:
        """Return the status of a GET, 0 if the request fails."""
        try:
            return self.http.request('GET', url, timeout=2).status
        except urllib3.exceptions.HTTPError:
            return 0

    def counter(self, name: str, counter: str) -> int:
        """Return the value of an instance's counter, 0 if it is unset."""
        metrics = self.call(name, 'GET', '/v1/metrics')
        return metrics['counters'].get(counter, 0)

    def wait_listening(self, process: Process) -> None:
        """Wait until a process accepts connections."""
        self.wait(
            lambda: self.status_of(process.url + '/') != 0,
            f'{process.name} listens',
        )

    def wait(
        self,
        condition: typing.Callable[[], bool],
        description: str,
        timeout_s: float = START_TIMEOUT_S,
    ) -> float:
        """Wait for a condition and return the seconds it took.

        Raises TimeoutError.
        """
        started = time.monotonic()
        while not condition():
            if time.monotonic() - started > timeout_s:
                raise TimeoutError(
                    f'timed out after {timeout_s:g} s: {description}'
                )
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - started

    def _start_standin(
        self, name: str, module: str, arguments: tuple[str, ...] = ()
    ) -> Process:
        previous = self.processes.get(name)
        address = previous.address if previous else self._allocate_address()
        process = Process(
            name,
            [
                sys.executable,
                '-m',
                f'standins.{module}',
                '--address',
                address,
                '--port',
                str(HTTP_PORT),
                *arguments,
            ],
            address,
            f'{self._folder.name}/{name}.log',
        )
        self.processes[name] = process
        return process

    def restart_standin(self, name: str) -> None:
        """Restart a killed stand-in at the same address."""
        old = self.processes[name]
        process = Process(name, old.arguments, old.address, old.log_path)
        self.processes[name] = process
        self.wait_listening(process)

    def log_text(self, name: str) -> str:
        """Return the log of a process."""
        with open(self.processes[name].log_path, encoding='utf-8') as log:
            return log.read()

    def _allocate_address(self) -> str:
        host = self._next_host
        self._next_host += 1
        return f'127.{self._network}.{host // 250}.{host % 250 + 1}'


def _find_free_network(seed: int) -> int:
    """Return the second octet of an unused loopback network."""
    start = (os.getpid() + seed) % 200
    for offset in range(200):
        network = 20 + (start + offset) % 200
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f'127.{network}.0.2', HTTP_PORT))
            except OSError:
                continue
            return network
    raise RuntimeError('no free loopback network')
