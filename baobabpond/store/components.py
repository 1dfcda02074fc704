"""Wire up the followers of the log that every instance runs."""

import typing

from .. import metrics as metrics_module
from ..gen import host as host_schema
from ..members import roster as roster_module
from ..ports import catalogue
from ..ports import log as log_port

from . import first_load as first_load_module
from . import follower as follower_module

# A quiet log confirms the accounts two long polls late, which must not come
# near the age at which keys are refused.
READS_PER_REVOCATION = 4
# Pause between reads, so that one read returns many records.
DIRECTORY_READ_PAUSE_S = 0.1
# The duration of an outage is the time between two reads. Where registrations
# are rare, longer waits made a loss of a second look as if entries could have
# lapsed in it, and upstreams that left then were used for too long.
UPSTREAMS_READ_WAIT_S = 0.3
# Reads that succeed are not overdue sooner than those of other partitions.
UPSTREAMS_OVERDUE_MARGIN_S = 1.0
# Shorter than the default, to detect early that the owner of the shard has
# stopped appending; owners append more often than this.
OWNER_READ_WAIT_S = 0.5


class Listeners(typing.NamedTuple):
    """What the records of each partition are passed to."""

    configuration: follower_module.Listener
    upstreams: follower_module.Listener
    members: follower_module.Listener
    shard: follower_module.Listener


class FollowerComponents:
    """The followers of one instance, those of the usage reports excepted.

    The shard of the batches is the given partition of the topic. Keys are
    refused once the configuration is older than the maximum staleness, if
    there is one.
    """

    def __init__(
        self,
        settings: host_schema.HostSettings,
        log: log_port.Log,
        decoder: catalogue.CatalogueDecoder,
        roster: roster_module.Roster,
        topic: str,
        partition: int,
        listeners: Listeners,
        crash_follower: follower_module.Follower,
        cores: float,
        max_staleness_s: float | None,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self.configuration = self._follow_configuration(
            decoder.configuration_topic,
            listeners.configuration,
            max_staleness_s,
        )
        self.upstreams = follower_module.Follower(
            log,
            decoder.upstreams_topic,
            0,
            listeners.upstreams,
            metrics,
            DIRECTORY_READ_PAUSE_S,
            UPSTREAMS_READ_WAIT_S,
            overdue_margin_s=UPSTREAMS_OVERDUE_MARGIN_S,
        )
        self.members = follower_module.Follower(
            log,
            roster_module.TOPIC,
            roster_module.PARTITION,
            listeners.members,
            metrics,
            DIRECTORY_READ_PAUSE_S,
        )
        self.shard_first_load = first_load_module.FirstLoad(
            topic,
            partition,
            settings['instance'],
            settings['data_centre'],
            roster.known_peers,
            metrics,
            cores=cores,
        )
        self.shard = follower_module.Follower(
            log,
            topic,
            partition,
            listeners.shard,
            metrics,
            read_wait_s=OWNER_READ_WAIT_S,
            first_load=self.shard_first_load,
        )
        self._crashes = crash_follower

    @property
    def all(self) -> list[follower_module.Follower]:
        """Return all followers, in the order in which they start."""
        return [
            self.configuration,
            self.upstreams,
            self.members,
            self.shard,
            self._crashes,
        ]

    @property
    def contact_age_s(self) -> float:
        """Return the seconds since the last successful read of any."""
        return min(follower.contact_age_s for follower in self.all)

    def start(self) -> None:
        """Start to follow the log."""
        for follower in self.all:
            follower.start()

    def _follow_configuration(
        self,
        topic: str,
        listener: follower_module.Listener,
        max_staleness_s: float | None,
    ) -> follower_module.Follower:
        wait_s = follower_module.READ_WAIT_S
        if max_staleness_s is not None:
            wait_s = min(wait_s, max_staleness_s / READS_PER_REVOCATION)
        return follower_module.Follower(
            self._log,
            topic,
            0,
            listener,
            self._metrics,
            read_wait_s=wait_s,
            renew_after_s=wait_s + follower_module.OVERDUE_MARGIN_S,
        )
