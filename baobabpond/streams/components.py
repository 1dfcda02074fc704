"""Wire up what tells the software versions that began streams."""

import collections.abc

from .. import metrics as metrics_module
from ..batches import shard_state as state_module
from ..members import roster as roster_module
from ..ports import log as log_port

from . import default_version
from . import origins as origins_module
from . import recorder as recorder_module


class StreamComponents:
    """The origins of streams, as one instance knows them.

    Their records are on the topic of the members, which all instances read;
    the defaults of services are on the given partition of the shard.
    """

    def __init__(
        self,
        log: log_port.Log,
        shard_state: state_module.ShardState,
        topic: str,
        partition: int,
        catch_up: collections.abc.Callable[[], None],
        metrics: metrics_module.Metrics,
    ) -> None:
        self.recorder = recorder_module.OriginRecorder(
            log, roster_module.TOPIC, roster_module.PARTITION, metrics
        )
        self.origins = origins_module.StreamOrigins(
            self.recorder,
            default_version.DefaultReader(log, topic, partition, shard_state),
            catch_up,
            metrics,
        )

    def start(self) -> None:
        """Start to append origins to the log."""
        self.recorder.start()
