"""Print reports made from logs."""

from ..reports import log_lines
from ..reports import plots
from ..reports import timelines


def show_steps(paths: tuple[str, ...], plot: str | None) -> None:
    """Print where the time of batches went; raise UserError."""
    told = timelines.stories(log_lines.read(paths))
    print(timelines.table(told))
    if plot is not None:
        plots.draw_steps(told, plot)
