"""A small deployment of the project's programs, with recording samplers."""

import contextlib
import pathlib
import typing

from standins.emulator import builds
from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import upstream as upstream_module

from . import record as record_module
from . import sampler as sampler_module
from . import store as store_module

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = deployment_module.HOST
ROLLOUTS = deployment_module.ROLLOUTS
MODEL = deployment_module.MODEL
OTHER_MODEL = 'fit-drafts'
# As on the users' sheets.
HEARTBEAT_S = 1.2
LIMITS = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 33_554_432,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
}
SETTINGS = {
    'grace_s': 8,
    'longest_validity_s': 5,
    'revoke_ms': 5000,
}


class Deployment(deployment_module.Deployment):
    """Run instances as the deploy file does, beside recording samplers."""

    def __init__(self, record: record_module.Record, memory_mb: int) -> None:
        super().__init__(heartbeat_s=HEARTBEAT_S)
        self.store.stop()
        self.store = store_module.Store()
        self.operator = clients.Operator(self.store)
        # The packages that the build of the deploy file has placed.
        self.build = builds.Build(ROOT, ROOT / 'target' / 'deps')
        self.lease_ms = 3000
        self.memory_mb = memory_mb
        self.settings = dict(SETTINGS)
        self.record = record
        self.runs: list[sampler_module.Run] = []
        self.models: tuple[str, ...] = (MODEL,)
        # Fields of routes that differ from those of the emulator, by name.
        self.route_fields: dict[str, dict[str, typing.Any]] = {}

    def add_sampler(
        self, checks_fence: bool = True, *_: typing.Any, **__: typing.Any
    ) -> upstream_module.Upstream:
        """Start a sampler that records its runs."""
        sampler = sampler_module.Sampler(
            self.runs,
            self.record.note,
            self.store,
            self.recorder,
            deployment_module.MODEL_SERVICE,
            self.models,
            checks_fence=checks_fence,
            heartbeat_s=self._heartbeat_s,
        )
        self.samplers.append(sampler)
        return sampler

    def publish(self) -> int:
        """Publish the manifest of the deployment."""
        self.operator.version += 1
        self.store.produce(
            'keyed.op',
            'config',
            sampler_module.as_json(
                {
                    'version': self.operator.version,
                    'routes': [
                        route | self.route_fields.get(route['name'], {})
                        for route in deployment_module.routes()
                    ],
                    'services': self._services(),
                    'limits': LIMITS,
                }
            ),
        )
        return self.operator.version

    def _services(self) -> list[dict[str, typing.Any]]:
        services = deployment_module.services()
        services[0]['engine'] |= {
            'slots': sampler_module.SLOTS,
            'kv-capacity-tokens': 83_593,
            'models': [{'name': name} for name in self.models],
        }
        return services

    def name_version(self, model: str, version: int) -> None:
        """Name a version of the weights, as a trainer does."""
        self.record.say('version named', model=model, version=version)
        self.operator.announce_version(model, version)


@contextlib.contextmanager
def started(
    record: record_module.Record,
    instances: int = 3,
    samplers: int = 6,
    memory_mb: int = 320,
    models: tuple[str, ...] = (MODEL,),
    plain_services: int = 2,
    route_fields: dict[str, dict[str, typing.Any]] | None = None,
) -> typing.Iterator[Deployment]:
    """Start a deployment; end all its processes on exit."""
    deployment = Deployment(record, memory_mb)
    deployment.models = models
    deployment.route_fields = route_fields or {}
    with deployment:
        deployment.start(instances, samplers, plain_services=plain_services)
        record.say('started', instances=instances, samplers=samplers)
        yield deployment
