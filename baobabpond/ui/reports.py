"""Print reports made from logs."""

from ..reports import lines
from ..reports import plots
from ..reports import steps


def show_steps(paths: tuple[str, ...], plot: str | None) -> None:
    """Print where the time of batches went; raise UserError."""
    told = steps.stories(lines.read(paths))
    print(steps.table(told))
    if plot is not None:
        plots.draw_steps(told, plot)
