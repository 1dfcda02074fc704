"""Create upstreams and permits for the tests of the limits."""

from unittest import mock

from baobabpond import metrics
from baobabpond.ports import catalogue
from baobabpond.ratelimits import bucket as bucket_module
from baobabpond.ratelimits import issuer as issuer_module
from baobabpond.ratelimits import permits as permits_module
from baobabpond.ratelimits import tracker as tracker_module

OWNER = issuer_module.Authority(1, True)


def entry(name: str = 'u') -> catalogue.UpstreamEntry:
    """Return an upstream with four slots."""
    return catalogue.UpstreamEntry(
        name, 'orders', 'h', 80, 'a', 4, False, 1, {}
    )


class Instance:
    """What one instance knows of limits, and the permits it obtains."""

    def __init__(
        self, authority: issuer_module.Authority | None = None
    ) -> None:
        self.metrics = metrics.Metrics()
        self.tracker = tracker_module.LimitTracker(self.metrics)
        self.issuer = issuer_module.PermitIssuer(self.tracker)
        self.authority = authority
        self.issuer.set_authority(lambda: self.authority)
        self.remote = mock.create_autospec(
            permits_module.RemoteIssuer, instance=True
        )
        self.remote.ask.return_value = None
        self.permits = permits_module.Permits(
            self.tracker, self.issuer, self.remote, self.metrics
        )

    def state_limit(
        self, limit: float | None, name: str = 'u', stated_at: float = 0.0
    ) -> None:
        """Let an upstream state a limit."""
        self.tracker.apply(
            entry(name).incarnation,
            tracker_module.Statement(limit, stated_at),
        )

    def count_grants(
        self, urgency: bucket_module.Urgency, tries: int, name: str = 'u'
    ) -> int:
        """Return how many of some requests at once get a permit."""
        granted = 0
        for _ in range(tries):
            try:
                self.permits.obtain(entry(name), urgency)
            except permits_module.RateLimited:
                continue
            granted += 1
        return granted
