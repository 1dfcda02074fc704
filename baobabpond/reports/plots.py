"""Plot reports with matplotlib, an optional dependency."""

import typing

from .. import errors

from . import steps

HEIGHT_PER_BATCH_INCHES = 0.25
WIDTH_INCHES = 12.0
MIN_HEIGHT_INCHES = 3.0
GROUPED_BARS_HEIGHT_INCHES = 5.0
# Width of a group of bars, as a share of the distance between groups.
GROUP_WIDTH = 0.8


def _import_pyplot() -> typing.Any:
    try:
        import matplotlib
    except ImportError as error:
        raise errors.UserError(
            'plots need matplotlib: install baobabpond[plots]', exit_code=2
        ) from error
    matplotlib.use('svg')
    # A fixed salt makes the IDs in the SVG, and thus the files, reproducible.
    matplotlib.rcParams['svg.hashsalt'] = 'baobabpond'
    from matplotlib import pyplot

    return pyplot


def _save_svg(figure: typing.Any, path: str) -> None:
    """Write a figure as SVG without its date; raise UserError."""
    try:
        figure.savefig(path, format='svg', metadata={'Date': None})
    except OSError as error:
        raise errors.UserError(f'{path}: {error}', exit_code=2) from error


def draw_timelines(batches: list[steps.BatchTimeline], path: str) -> None:
    """Draw a stacked bar per batch: mean time of its items by phase."""
    pyplot = _import_pyplot()
    height = max(MIN_HEIGHT_INCHES, HEIGHT_PER_BATCH_INCHES * len(batches))
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, height))
    first_submitted_at = min(
        (batch.submitted_at for batch in batches), default=0.0
    )
    starts = [batch.submitted_at - first_submitted_at for batch in batches]
    labels = [f'{batch.model[:6]} {batch.step}' for batch in batches]
    positions = list(range(len(batches)))
    for phase in steps.Phase:
        widths = [
            batch.seconds_by_phase().get(phase, 0.0) / max(1, len(batch.items))
            for batch in batches
        ]
        axes.barh(positions, widths, left=starts, label=phase.value)
        starts = [
            start + width for start, width in zip(starts, widths, strict=True)
        ]
    axes.set_yticks(positions, labels)
    axes.invert_yaxis()
    axes.set_xlabel('seconds since the first submission (mean over the items)')
    axes.legend(loc='best', fontsize='small')
    figure.tight_layout()
    _save_svg(figure, path)
    pyplot.close(figure)


def draw_bars(
    groups: list[str], series: dict[str, list[float]], y_label: str, path: str
) -> None:
    """Draw grouped bars: in each group one bar per series."""
    pyplot = _import_pyplot()
    figure, axes = pyplot.subplots(
        figsize=(WIDTH_INCHES, GROUPED_BARS_HEIGHT_INCHES)
    )
    width = GROUP_WIDTH / max(1, len(series))
    for index, (name, values) in enumerate(series.items()):
        positions = [group + index * width for group in range(len(values))]
        axes.bar(positions, values, width, label=name)
    tick_offset = (GROUP_WIDTH - width) / 2
    axes.set_xticks([n + tick_offset for n in range(len(groups))], groups)
    axes.set_ylabel(y_label)
    axes.legend(loc='lower left', fontsize='small')
    figure.tight_layout()
    _save_svg(figure, path)
    pyplot.close(figure)
