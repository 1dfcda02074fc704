"""Run real instances as processes on the emulated platform."""

import json
import os
import pathlib
import resource
import signal
import subprocess
import sys
import tempfile
import threading
import time
import typing

import urllib3

from baobabpond.edge import server as server_module
from standins import relay

from . import builds
from . import clients
from . import control as control_module
from . import crashing as crashing_module
from . import links as links_module
from . import outputs
from . import recorder as recorder_module
from . import serving
from . import store as store_module
from . import upstream as upstream_module

HOST = 'pasak.example'
# Path prefixes of the routes.
ROLLOUTS = '/fit/'
LOOKUPS = '/orders/'
ENTRIES = '/entries/'
STREAMS = '/drafts/'
# Begins the prefixes of routes whose requests need no key.
PUBLIC = '/public'
MODEL = 'peg-sizing'
MODEL_SERVICE = 'juru-model'
PLAIN_SERVICE = 'meja-pesanan'
READY_TIMEOUT_S = 20.0
GRACE_S = 5
# An upstream that has crashed is back after this time, with a new id.
RESTART_S = 1.0
LEASE_MS = 1500
# Shorter than usual, so that tests see several.
USAGE_WINDOW_S = 3.0
# Runs an instance whose time of day is ahead.
SHIFTED_CLOCK = """
import runpy, sys, time
real_time = time.time
time.time = lambda: real_time() + float(sys.argv[1])
runpy.run_module('baobabpond.ui.host', run_name='__main__')
"""


class Instance:
    """A process of the product, and where it listens."""

    def __init__(
        self, name: str, process: subprocess.Popen[bytes], address: str
    ) -> None:
        self.name = name
        self.process = process
        self.address = address
        self.store_relay: relay.Relay | None = None
        # None unless the deployment has links that can be cut.
        self.links: links_module.Links | None = None
        self.log_path = pathlib.Path()
        self.ready_address = ''
        self.entries_address = ''
        self.metrics_address = ''
        # For requests that other instances pass on.
        self.relay_address = ''

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        os.kill(self.process.pid, signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process."""
        os.kill(self.process.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down gracefully, with SIGTERM."""
        self.process.terminate()

    def log_entries(self) -> list[dict[str, typing.Any]]:
        """Parse and return the JSON lines of the log of the process."""
        text = self.log_path.read_text(encoding='utf-8')
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith('{') and line.endswith('}')
        ]


class Deployment:
    """The emulated platform, its upstreams and the instances."""

    def __init__(
        self,
        seed: int = 1,
        heartbeat_s: float = upstream_module.HEARTBEAT_INTERVAL_S,
    ) -> None:
        self._heartbeat_s = heartbeat_s
        # The version of the product that instances run from now on.
        self.build = builds.CURRENT
        self.store = store_module.Store(seed)
        self.recorder = recorder_module.Recorder()
        self.operator = clients.Operator(self.store)
        self.samplers: list[upstream_module.Upstream] = []
        self.plain_services: list[upstream_module.Upstream] = []
        self.instances: list[Instance] = []
        self.crashing = crashing_module.Crashing()
        self.restart_s = RESTART_S
        # Client accounts; None if the deployment has none.
        self.tenants: list[dict[str, typing.Any]] | None = None
        # Limit of the memory of each instance; 0 if there is none.
        self.memory_mb = 0
        # The API for duties; None where the deployment has none.
        self.control: control_module.ControlApi | None = None
        # Minimum time between calls of two instances.
        self.lease_ms = LEASE_MS
        # Further settings of each instance.
        self.settings: dict[str, typing.Any] = {}
        # Limit of the open descriptors of each instance; 0 if unchanged.
        self.max_descriptors = 0
        self._checks_fence = True
        self._has_links = False
        self._views: list[server_module.Server] = []
        self._restart_lock = threading.Lock()
        self._is_stopped = False
        self._folder = tempfile.TemporaryDirectory(prefix='baobabpond-')

    def __enter__(self) -> 'Deployment':
        """Return the deployment itself."""
        return self

    def __exit__(self, *_: object) -> None:
        """Kill the instances and stop all servers."""
        with self._restart_lock:
            self._is_stopped = True
        for instance in self.instances:
            if instance.process.poll() is None:
                instance.resume()
                instance.kill()
            if instance.store_relay is not None:
                instance.store_relay.close()
            if instance.links is not None:
                instance.links.close()
        stop_threads = [
            threading.Thread(target=stoppable.stop)
            for stoppable in (
                *self.samplers,
                *self.plain_services,
                *self._views,
            )
        ]
        for thread in stop_threads:
            thread.start()
        for thread in stop_threads:
            thread.join()
        if self.control is not None:
            self.control.stop()
        self.store.stop()
        self._folder.cleanup()

    def start(
        self,
        instances: int = 3,
        samplers: int = 3,
        checks_fence: bool = True,
        plain_services: int = 2,
        has_links: bool = False,
    ) -> None:
        """Start upstreams and instances; wait until all are ready.

        With links, instances can be cut off from the upstreams.
        """
        self._checks_fence = checks_fence
        self._has_links = has_links
        for _ in range(samplers):
            self.add_sampler(checks_fence)
        for _ in range(plain_services):
            self._add_plain_service()
        self.publish()
        for number in range(instances):
            self.start_instance(f'entry-{number + 1}')
        self.wait_ready()

    def publish(self) -> int:
        """Publish the configuration and return its version."""
        new_routes = routes()
        if self.tenants is not None:
            new_routes += public_routes()
        return self.operator.publish(new_routes, services(), self.tenants)

    def add_sampler(
        self,
        checks_fence: bool = True,
        software: str = outputs.FIRST_SOFTWARE,
        zone: str = upstream_module.ZONE,
        is_spot: bool = False,
    ) -> upstream_module.Upstream:
        """Start an upstream that serves the model."""
        sampler = upstream_module.Upstream(
            self.store,
            self.recorder,
            MODEL_SERVICE,
            (MODEL,),
            checks_fence=checks_fence,
            software=software,
            heartbeat_s=self._heartbeat_s,
            zone=zone,
            is_spot=is_spot,
        )
        self.samplers.append(sampler)
        return sampler

    def remove_sampler(self, sampler: upstream_module.Upstream) -> None:
        """Stop an upstream that serves the model."""
        self.samplers.remove(sampler)
        sampler.stop()

    def restart_sampler(
        self, crashed: upstream_module.Upstream, software: str
    ) -> upstream_module.Upstream:
        """Restart a sampler under its id with another software version.

        Its registration is that of the former process until it is told to
        register.
        """
        self.samplers.remove(crashed)
        crashed.crash()
        restarted = upstream_module.Upstream(
            self.store,
            self.recorder,
            MODEL_SERVICE,
            (MODEL,),
            checks_fence=self._checks_fence,
            port=crashed.port,
            software=software,
            name=crashed.id,
            is_registration_delayed=True,
        )
        self.samplers.append(restarted)
        return restarted

    def kill_all_instances(self) -> None:
        """Kill all processes at the same moment, and start them again."""
        killed = self.live_instances()
        for instance in killed:
            instance.process.kill()
        for instance in killed:
            instance.kill()
        for instance in killed:
            self.start_instance(instance.name)
        self.wait_ready()

    def _add_plain_service(self, port: int | None = None) -> None:
        service = upstream_module.Upstream(
            self.store,
            self.recorder,
            PLAIN_SERVICE,
            port=port,
            heartbeat_s=self._heartbeat_s,
        )
        service.crashing = self.crashing
        service.on_crash = self._restart_later
        self.plain_services.append(service)

    def _restart_later(self, crashed: upstream_module.Upstream) -> None:
        timer = threading.Timer(self.restart_s, self._restart, (crashed,))
        timer.daemon = True
        timer.start()

    def _restart(self, crashed: upstream_module.Upstream) -> None:
        with self._restart_lock:
            if self._is_stopped:
                return
            crashed.stop()
            self.plain_services.remove(crashed)
            self._add_plain_service(crashed.port)

    def add_control(self, checks_fence: bool = True) -> None:
        """Start the API; instances that start later report usage to it."""
        self.control = control_module.ControlApi(checks_fence)

    def start_instance(
        self, name: str, clock_ahead_s: float = 0.0
    ) -> Instance:
        """Start an instance whose connection to the store can be cut.

        Its time of day is ahead by clock_ahead_s seconds.
        """
        links = links_module.Links() if self._has_links else None
        store_relay = self._relay_to_store(links)
        settings = self._instance_settings(name, store_relay)
        folder = pathlib.Path(self._folder.name)
        path = folder / f'{name}.json5'
        path.write_text(json.dumps(settings), encoding='utf-8')
        log_path = folder / f'{name}-{len(self.instances)}.log'
        process = self._start_process(path, log_path, clock_ahead_s)
        instance = Instance(name, process, settings['callers_listen'])
        instance.ready_address = settings['ready_listen']
        instance.entries_address = settings['entries_listen']
        metrics_port = settings['metrics_port']
        instance.metrics_address = f'{serving.ADDRESS}:{metrics_port}'
        relay_port = settings['relay_port']
        instance.relay_address = f'{serving.ADDRESS}:{relay_port}'
        instance.store_relay = store_relay
        instance.links = links
        instance.log_path = log_path
        self.instances.append(instance)
        return instance

    def _instance_settings(
        self, name: str, store_relay: relay.Relay
    ) -> dict[str, typing.Any]:
        """Return the settings of an instance, with free ports."""
        listen_addresses = [
            f'{serving.ADDRESS}:{serving.free_port()}' for _ in range(3)
        ]
        settings = {
            'instance': name,
            'data_centre': 'kl-bengkel',
            'region': 'semenanjung',
            'address': serving.ADDRESS,
            'callers_listen': listen_addresses[0],
            'ready_listen': listen_addresses[1],
            'entries_listen': listen_addresses[2],
            'metrics_port': serving.free_port(),
            'peer_port': serving.free_port(),
            'relay_port': serving.free_port(),
            'plugin_folder': str(self.build.root / 'platform'),
            'plugin': 'users_platform',
            'store_address': store_relay.url.removeprefix('http://'),
            'parts': 12,
            'order_lease_ms': self.lease_ms,
            'upstream_heartbeat_ms': self._heartbeat_s * 1000,
            'upstreams_check_fences': self._checks_fence,
            'grace_s': GRACE_S,
            'status_s': 120,
            'longest_validity_s': 0.2,
            'memory_mb': self.memory_mb,
            'log_level': 'info',
            **self.settings,
        }
        if self.control is not None:
            settings |= {
                'control_address': self.control.address,
                'control_duties': ['usage_report'],
                'usage_window_s': USAGE_WINDOW_S,
            }
        return settings

    def _start_process(
        self,
        settings_path: pathlib.Path,
        log_path: pathlib.Path,
        clock_ahead_s: float,
    ) -> subprocess.Popen[bytes]:
        module = ['-m', 'baobabpond.ui.host']
        if clock_ahead_s:
            module = ['-c', SHIFTED_CLOCK, str(clock_ahead_s)]
        with log_path.open('wb') as output:
            return subprocess.Popen(
                [sys.executable, *module],
                cwd=self.build.root,
                env={
                    **os.environ,
                    'PYTHONPATH': self.build.python_path,
                    'BAOBABPOND_CONFIG': str(settings_path),
                },
                stdout=output,
                stderr=output,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        if self.max_descriptors:
            limits = (self.max_descriptors, self.max_descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def _relay_to_store(self, links: links_module.Links | None) -> relay.Relay:
        store = self.store.server
        if links is not None:
            store = self.store.serve_view(links.rewrite)
            self._views.append(store)
        host, port = store.bind_addr
        return relay.Relay(serving.ADDRESS, serving.free_port(), (host, port))

    def wait_ready(self) -> None:
        """Wait until all live instances are ready, or raise TimeoutError."""
        for instance in self.live_instances():
            try:
                wait_for(lambda i=instance: self.is_ready(i), READY_TIMEOUT_S)
            except TimeoutError as error:
                text = instance.log_path.read_text(encoding='utf-8')
                raise TimeoutError(
                    f'{instance.name} is not ready; log ends: {text[-2000:]}'
                ) from error

    def is_ready(self, instance: Instance) -> bool:
        """Return whether the readiness check of an instance succeeds."""
        response = clients.Client().send(
            instance.ready_address, 'GET', '/api/readiness', {}, timeout_s=1.0
        )
        return response.status == 200

    def live_instances(self) -> list[Instance]:
        """Return the instances whose processes are running."""
        return [i for i in self.instances if i.process.poll() is None]

    def addresses(self) -> list[str]:
        """Return the caller addresses of the live instances."""
        return [instance.address for instance in self.live_instances()]

    def trainer(self) -> clients.Trainer:
        """Return a trainer that sends to the instances that are live now."""
        return clients.Trainer(self.addresses(), HOST, ROLLOUTS)

    def owner(self) -> Instance | None:
        """Return the live instance that owns the shard per the store."""
        value = self.store.newest_values('keyed.batches').get('owner')
        if value is None:
            return None
        name = json.loads(value)['instance']
        for instance in self.live_instances():
            if instance.name == name:
                return instance
        return None

    def metrics(self, instance: Instance) -> dict[str, typing.Any]:
        """Fetch an instance's metrics."""
        response = urllib3.request(
            'GET', f'http://{instance.metrics_address}/metrics'
        )
        return response.json()


def routes() -> list[dict[str, typing.Any]]:
    """Return the routes of the emulated deployment."""
    plain_route = {'host': HOST, 'service': PLAIN_SERVICE, 'timeout-ms': 2000}
    return [
        {
            'name': 'fit',
            'host': HOST,
            'path-prefix': ROLLOUTS,
            'route-type': 'rollout',
            'timeout-ms': 10000,
            'target-latency-ms': 400,
            'service': MODEL_SERVICE,
            'attempts': 3,
            'retention-s': 40.0,
            'due-ms': 7500,
        },
        {
            **plain_route,
            'name': 'orders',
            'path-prefix': LOOKUPS,
            'route-type': 'idempotent',
            'target-latency-ms': 150,
            'attempts': 2,
        },
        {
            **plain_route,
            'name': 'entries',
            'path-prefix': ENTRIES,
            'route-type': 'non_idempotent',
            'attempts': 2,
        },
        {
            'name': 'drafts',
            'host': HOST,
            'path-prefix': STREAMS,
            'route-type': 'streaming',
            'resumable': True,
            'timeout-ms': 8000,
            'service': MODEL_SERVICE,
            'attempts': 4,
        },
    ]


def public_routes() -> list[dict[str, typing.Any]]:
    """Return a route of each kind whose requests need no key."""
    return [
        {
            **route,
            'name': f'public-{route["name"]}',
            'path-prefix': f'{PUBLIC}{route["path-prefix"]}',
            'public': True,
        }
        for route in routes()
    ]


def services() -> list[dict[str, typing.Any]]:
    """Return the services of the emulated deployment."""
    return [
        {
            'name': MODEL_SERVICE,
            'health-path': '/health',
            'engine': {
                'slots': 8,
                'kv-capacity-tokens': 50000,
                'models': [{'name': MODEL}],
            },
        },
        {'name': PLAIN_SERVICE, 'health-path': '/health'},
    ]


def wait_for(
    condition: typing.Callable[[], bool], timeout_s: float = 10.0
) -> None:
    """Poll until a condition is true, or raise TimeoutError."""
    ends_at = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > ends_at:
            raise TimeoutError('condition not true before the timeout')
        time.sleep(0.05)
