"""Print reports made from logs."""

from ..reports import log_lines
from ..reports import plots
from ..reports import steps


def show_steps(paths: tuple[str, ...], plot: str | None) -> None:
    """Print where the time of batches went; raise UserError."""
    told = steps.stories(log_lines.read(paths))
    print(steps.table(told))
    if plot is not None:
        plots.draw_steps(told, plot)
