"""Print reports on the logs of instances."""

from ..reports import log_lines
from ..reports import plots
from ..reports import steps


def print_timelines(paths: tuple[str, ...], plot: str | None) -> None:
    """Print the time of batches by phase; raise UserError."""
    batches = steps.build_timelines(log_lines.read(paths))
    print(steps.format_table(batches))
    if plot is not None:
        plots.draw_timelines(batches, plot)
