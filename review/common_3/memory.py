"""End and restart instances that exceed their memory, as the platform does."""

import collections
import pathlib
import threading
import time

from standins.emulator import deployment as deployment_module

from . import platform
from . import record as record_module

BYTES_PER_KB = 1024
BYTES_PER_MB = 1024 * 1024
CHECK_S = 0.1
RESTART_S = 0.5


class Guard:
    """Watch the memory of all instances of a deployment."""

    def __init__(
        self,
        deployment: platform.Deployment,
        record: record_module.Record,
        restart_s: float = RESTART_S,
    ) -> None:
        self._restart_s = restart_s
        self._deployment = deployment
        self._record = record
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        # How often each instance was ended, by name.
        self.ends: collections.Counter[str] = collections.Counter()
        # The most that each instance held, in bytes.
        self.peaks: dict[str, int] = {}

    def __enter__(self) -> 'Guard':
        """Begin to watch."""
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        """Watch no more."""
        self._stopped.set()
        self._thread.join()

    def _run(self) -> None:
        limit = self._deployment.memory_mb * BYTES_PER_MB
        while not self._stopped.wait(CHECK_S):
            for instance in self._deployment.live_instances():
                held = _resident_bytes(instance.process.pid)
                name = instance.name
                self.peaks[name] = max(held, self.peaks.get(name, 0))
                if held > limit:
                    self._end(instance, held)

    def _end(self, instance: deployment_module.Instance, held: int) -> None:
        instance.kill()
        self.ends[instance.name] += 1
        self._record.say(
            'ended for its memory',
            instance=instance.name,
            held_mb=held // BYTES_PER_MB,
            limit_mb=self._deployment.memory_mb,
            times=self.ends[instance.name],
        )
        time.sleep(self._restart_s)
        if not self._stopped.is_set():
            self._deployment.start_instance(instance.name)


def _resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, 0 if it has exited."""
    try:
        text = pathlib.Path(f'/proc/{pid}/status').read_text()
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * BYTES_PER_KB
    return 0
