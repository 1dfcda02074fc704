"""Base class of the tests that crowd one instance with little memory."""

import pathlib
import time

from standins.emulator import deployment as deployment_module
from standins.emulator import lookups

from . import base

MEMORY_MB = 205
KB_PER_MB = 1000
# How long one ordinary request is tried; none takes longer unless the
# instance hangs.
ORDINARY_S = 60.0
PAUSE_S = 0.2


class OneInstanceTestCase(base.DeploymentTestCase):
    """Run each test on one instance and one sampler."""

    INSTANCES = 1
    SAMPLERS = 1

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Set the limit of memory."""
        deployment.memory_mb = MEMORY_MB

    def peak_mb(self) -> float:
        """Return the most memory that the instance has used so far."""
        [instance] = self.deployment.instances
        path = pathlib.Path(f'/proc/{instance.process.pid}/status')
        _, _, rest = path.read_text(encoding='utf-8').partition('VmHWM:')
        return int(rest.split()[0]) / KB_PER_MB

    def check_alive(self) -> None:
        """Check that the instance runs, and has kept to its memory."""
        [instance] = self.deployment.instances
        self.assertIsNone(instance.process.poll(), 'it has exited')
        self.assertLess(self.peak_mb(), MEMORY_MB, 'memory in MB')

    def send_ordinary(self, name: str) -> int:
        """Return the status of a lookup, tried until it is served."""
        ends_at = time.monotonic() + ORDINARY_S
        address = self.deployment.instances[0].address
        status, tries = 0, 0
        while status != 200 and time.monotonic() < ends_at:
            tries += 1
            status = lookups.send(
                self.client, address, f'{name}-{tries}'
            ).status
            if status != 200:
                time.sleep(PAUSE_S)
        return status
