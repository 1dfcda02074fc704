"""Describe what operators, trainers and upstreams publish."""

import enum
import typing


class RouteKind(enum.Enum):
    """Tell what may be repeated of a route's requests."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'
    ROLLOUT = 'rollout'


class ServiceWeight(typing.NamedTuple):
    """Give a service its weight in a split."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Tell where the requests of a host and a path prefix go."""

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceWeight, ...]
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    resumable: bool
    single_version: bool
    # How long after its submission a batch's results are due.
    due_s: float
    # How long after a batch's submission its items may be given up.
    give_up_after_s: float


class Service(typing.NamedTuple):
    """Describe a service of upstreams."""

    name: str
    health_path: str
    # Connections that an upstream accepts from all instances together.
    max_connections: int
    # Weights that the service's upstreams hold; empty for plain services.
    models: tuple[str, ...]
    # Tokens that fit into the memory of one upstream.
    kv_capacity_tokens: int


class Limits(typing.NamedTuple):
    """Bound what a caller may send."""

    header_bytes: int = 16384
    body_bytes: int = 33554432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(typing.NamedTuple):
    """Hold one accepted version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits


class UpstreamEntry(typing.NamedTuple):
    """Describe one upstream as it registered itself."""

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    # Start of the process; tells one incarnation of an id from the next.
    born: int
    # Weight version of each model, as of the entry.
    versions: dict[str, int]

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return what names this start of the upstream."""
        return self.id, self.born


class Announcement(typing.NamedTuple):
    """Name the newest weight version of a model."""

    model: str
    version: int


class CatalogueDecoder(typing.Protocol):
    """Decode the records that others publish on the log."""

    configuration_topic: str
    upstreams_topic: str

    def configuration(self, key: str, value: bytes) -> Configuration | None:
        """Return the configuration in a record, None if it holds another."""
        ...

    def announcement(self, key: str, value: bytes) -> Announcement | None:
        """Return the weight version in a record, None if it holds another."""
        ...

    def upstream(self, key: str, value: bytes) -> UpstreamEntry | None:
        """Return the upstream in a record, None if it names none to use."""
        ...
