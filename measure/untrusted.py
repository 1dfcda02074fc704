"""Measure one instance beside clients that send hostile input."""

import argparse
import collections.abc
import contextlib
import pathlib
import subprocess
import sys
import threading
import time

import psutil

from measure import registry
from standins.emulator import clients as clients_module
from standins.emulator import crowd
from standins.emulator import deployment as deployment_module
from standins.emulator import lookups

MEMORY_MB = 205
MAX_DESCRIPTORS = 1638
CLIENTS = (12, 200)
# Duration of a measurement, the same as before there were bounds, so that the
# figures can be compared.
OPEN_AFTER_S = 12.0
# Interval of samples, and pause between ordinary requests.
SAMPLE_S = 0.1
KB_PER_MB = 1000
MS_PER_S = 1000


class Sampler:
    """Sample the descriptors and threads of a process."""

    def __init__(self, process: psutil.Process) -> None:
        self._process = process
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.descriptors = 0
        self.threads = 0

    def __enter__(self) -> 'Sampler':
        """Start to sample."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Stop."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        with contextlib.suppress(psutil.NoSuchProcess):
            while not self._stopped.wait(SAMPLE_S):
                self.descriptors = max(
                    self.descriptors, self._process.num_fds()
                )
                self.threads = max(self.threads, self._process.num_threads())


@registry.measurements.register('untrusted')
def untrusted(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Measure memory, connections and an ordinary caller for each input.

    --fault selects inputs by name; without it, all are measured. The
    baseline are clients that don't connect again once they are disconnected.
    """
    kinds = [k for k in crowd.inputs.names if k in options.fault]
    for seed in options.seed:
        for kind in kinds or crowd.inputs.names:
            for count in CLIENTS:
                for reconnects in (False, True):
                    if not registry.is_selected(options, not reconnects):
                        continue
                    yield {
                        'measure': 'untrusted',
                        'variant': f'{count} clients'
                        + (', reconnecting' if reconnects else ''),
                        'fault': kind,
                        'seed': seed,
                        **_run(seed, kind, count, reconnects),
                    }


def _run(
    seed: int, kind: str, count: int, reconnects: bool
) -> dict[str, float]:
    with deployment_module.Deployment(seed) as deployment:
        deployment.memory_mb = MEMORY_MB
        deployment.max_descriptors = MAX_DESCRIPTORS
        deployment.start(1, 1, True, 1)
        [instance] = deployment.instances
        if kind.endswith('_stream'):
            deployment.samplers[0].fault = 'flood'
        process = psutil.Process(instance.process.pid)
        attackers = _start_clients(instance.address, kind, count, reconnects)
        try:
            with Sampler(process) as sampler:
                latencies, failed = _send_ordinary(instance.address)
            connections = _count_connections(process, instance.address)
        finally:
            attackers.kill()
            attackers.wait()
        return {
            'peak_mb': round(_peak_mb(process.pid), 1),
            'open_after_12_s': connections,
            'peak_descriptors': sampler.descriptors,
            'peak_threads': sampler.threads,
            'ordinary': len(latencies) + failed,
            'ordinary_not_served': failed,
            'ordinary_p50_ms': _percentile(latencies, 0.5),
            'ordinary_p99_ms': _percentile(latencies, 0.99),
            'is_alive': int(instance.process.poll() is None),
        }


def _start_clients(
    address: str, kind: str, count: int, reconnects: bool
) -> subprocess.Popen[bytes]:
    """Start the process that sends hostile input."""
    arguments = [address, kind, '--clients', str(count)]
    if not reconnects:
        arguments.append('--once')
    return subprocess.Popen(
        [sys.executable, '-m', 'standins.emulator.crowd', *arguments],
        stdout=subprocess.DEVNULL,
    )


def _send_ordinary(address: str) -> tuple[list[float], int]:
    """Send lookups one by one; return their latencies and how many failed."""
    latencies: list[float] = []
    failed = 0
    ends_at = time.monotonic() + OPEN_AFTER_S
    client = clients_module.Client()
    while (started := time.monotonic()) < ends_at:
        response = lookups.send(client, address, f'ordinary-{started}')
        if response.status == 200:
            latencies.append(time.monotonic() - started)
        else:
            failed += 1
        time.sleep(SAMPLE_S)
    return latencies, failed


def _count_connections(process: psutil.Process, address: str) -> int:
    port = int(address.rsplit(':', 1)[1])
    return sum(
        connection.laddr.port == port
        and connection.status == psutil.CONN_ESTABLISHED
        for connection in process.net_connections('tcp')
    )


def _peak_mb(pid: int) -> float:
    status = pathlib.Path(f'/proc/{pid}/status').read_text(encoding='utf-8')
    [line] = [x for x in status.splitlines() if x.startswith('VmHWM:')]
    return int(line.split()[1]) / KB_PER_MB


def _percentile(latencies: list[float], share: float) -> float:
    if not latencies:
        return 0.0
    ordered = sorted(latencies)
    index = min(int(share * len(ordered)), len(ordered) - 1)
    return round(ordered[index] * MS_PER_S, 1)
