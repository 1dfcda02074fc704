"""Wire up the duties that the settings list, if any."""

from .. import metrics as metrics_module
from ..gen import host as host_schema
from ..ports import log as log_port
from ..ports import platforms
from ..usage import components as usage_components
from ..usage import request

from . import caller as caller_module
from . import holder as holder_module

MS_PER_S = 1000
# Of calls to the control plane, and of the reports of usage.
CONTROL_CALLS_PER_S = 50.0
USAGE_WINDOW_S = 5.0
USAGE_DUE_S = 10.0


class DutyComponents:
    """The duties of one instance, which it has while it owns the shard."""

    def __init__(
        self,
        settings: host_schema.HostSettings,
        platform: platforms.Platform,
        log: log_port.Log,
        ownership: holder_module.Ownership,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._holder = holder_module.DutyHolder(
            settings['instance'],
            ownership,
            settings['order_lease_ms'] / MS_PER_S,
        )
        self._usage: usage_components.UsageComponents | None = None
        duties = settings.get('control_duties', [])
        if 'control_address' not in settings or 'usage_report' not in duties:
            return
        self._usage = usage_components.UsageComponents(
            settings['instance'],
            log,
            settings['parts'],
            settings.get('usage_window_s', USAGE_WINDOW_S),
            settings.get('usage_due_s', USAGE_DUE_S),
            self._holder,
            caller_module.DutyCaller(
                self._holder,
                settings.get('control_calls_per_s', CONTROL_CALLS_PER_S),
                metrics,
            ),
            platform.connect_control(settings['control_address']),
            metrics,
        )

    @property
    def usage_counter(self) -> request.AccountCounter | None:
        """Return what counts requests, None if usage is not reported."""
        return self._usage and self._usage.counter

    def start(self) -> None:
        """Start to share and report usage, if that is a duty."""
        if self._usage is not None:
            self._usage.start()

    def flush(self) -> None:
        """Append what has been counted before the process exits."""
        if self._usage is not None:
            self._usage.flush()

    def apply_settings(self, settings: host_schema.HostSettings) -> None:
        """Apply reloaded settings."""
        self._holder.update_lease(settings['order_lease_ms'] / MS_PER_S)
