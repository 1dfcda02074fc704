"""Define the records that operators, trainers and upstreams publish."""

import enum
import typing


class RouteKind(enum.Enum):
    """Classify routes by whether and how their requests may be retried."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non_idempotent'
    STREAMING = 'streaming'
    ROLLOUT = 'rollout'


class ServiceWeight(typing.NamedTuple):
    """Hold the weight of a service in the traffic split of a route."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Map the requests of a host and a path prefix to services."""

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
    # Time from the submission of a batch until its results are due.
    due_s: float
    # Time from the submission of a batch until its items may be given up.
    give_up_after_s: float
    # Requests need no key, even where the deployment has client accounts.
    is_public: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is not RouteKind.NON_IDEMPOTENT


class Scaling(typing.NamedTuple):
    """Limit how many upstreams of a service may be ordered, and price them.

    The limits apply to each data centre, and to both kinds together.
    """

    min_count: int
    max_count: int
    # Time from an order until new upstreams serve.
    boot_s: float
    # Of an upstream that may be reclaimed, relative to the others.
    spot_price: float
    # By data centre: the price of an upstream.
    prices: dict[str, float]


class Service(typing.NamedTuple):
    """Describe a service, i.e. a group of upstreams."""

    name: str
    health_path: str
    # Connections that an upstream accepts in total, from all instances.
    max_connections: int
    # Models whose weights the upstreams load; empty for plain services.
    models: tuple[str, ...]
    # Tokens that fit into the KV cache of one upstream; 0 if not given.
    kv_capacity_tokens: int
    # None if its upstreams can't be ordered.
    scaling: Scaling | None = None


class Limits(typing.NamedTuple):
    """Limit the size and duration of callers' requests."""

    header_bytes: int = 16384
    body_bytes: int = 33554432
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Account(typing.NamedTuple):
    """Describe a client account; its keys are known by digest only."""

    name: str
    key_digests: tuple[bytes, ...]
    # Takes precedence over the route's; None if the account has none.
    priority: int | None


class Accounts(typing.NamedTuple):
    """Hold the client accounts of a configuration."""

    accounts: tuple[Account, ...]
    by_digest: dict[bytes, Account]


class Configuration(typing.NamedTuple):
    """Hold one version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    # None if the deployment has no accounts; requests then need no key.
    accounts: Accounts | None = None


class UpstreamEntry(typing.NamedTuple):
    """Describe one upstream as it registered itself."""

    id: str
    service: str
    host: str
    port: int
    data_centre: str
    slots: int
    draining: bool
    # Start of the process as registered; differs between processes that
    # register under the same ID.
    born: int
    # Weight version by model at the time of registration.
    versions: dict[str, int]
    # Version of the upstream's own software, not of its weights.
    software: str = ''
    # The platform may reclaim it.
    is_spot: bool = False
    # Time from the registration until it leaves; None if not stated.
    leaves_s: float | None = None

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return a key that differs between restarts of the upstream."""
        return self.id, self.born


class Announcement(typing.NamedTuple):
    """Announce the newest weight version of a model."""

    model: str
    version: int


class CatalogueDecoder(typing.Protocol):
    """Decode the catalogue records that others publish on the log."""

    configuration_topic: str
    upstreams_topic: str

    def configuration(self, key: str, value: bytes) -> Configuration | None:
        """Return the configuration; None if the record is of another kind."""
        ...

    def without_keys(self, key: str, value: bytes) -> bytes:
        """Return a record with the keys of accounts replaced by digests.

        Raises MalformedData.
        """
        ...

    def announcement(self, key: str, value: bytes) -> Announcement | None:
        """Return the announcement; None if the record is of another kind."""
        ...

    def upstream(self, key: str, value: bytes) -> UpstreamEntry | None:
        """Return the upstream; None if the record registers none for use."""
        ...
