"""Draw reports; matplotlib is needed only here."""

import typing

from .. import errors

from . import timelines

HEIGHT_PER_BATCH_INCHES = 0.25
WIDTH_INCHES = 12.0
LEAST_HEIGHT_INCHES = 3.0
BARS_HEIGHT_INCHES = 5.0
# Share of the room between two names that their bars take.
GROUP_WIDTH = 0.8


def _pyplot() -> typing.Any:
    try:
        import matplotlib
    except ImportError as error:
        raise errors.UserError(
            'plots need matplotlib: install baobabpond[plots]', exit_code=2
        ) from error
    matplotlib.use('svg')
    # Equal input gives equal files.
    matplotlib.rcParams['svg.hashsalt'] = 'baobabpond'
    from matplotlib import pyplot

    return pyplot


def save(figure: typing.Any, path: str) -> None:
    """Write a figure as SVG; raise UserError."""
    try:
        figure.savefig(path, format='svg', metadata={'Date': None})
    except OSError as error:
        raise errors.UserError(f'{path}: {error}', exit_code=2) from error


def draw_steps(told: list[timelines.BatchStory], path: str) -> None:
    """Draw a bar a batch: from its submission on, by mean time in phases."""
    pyplot = _pyplot()
    height = max(LEAST_HEIGHT_INCHES, HEIGHT_PER_BATCH_INCHES * len(told))
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, height))
    begin = min((story.submitted for story in told), default=0.0)
    lefts = [story.submitted - begin for story in told]
    names = [f'{story.model[:6]} {story.step}' for story in told]
    rows = list(range(len(told)))
    for phase in timelines.Phase:
        widths = [
            story.seconds().get(phase, 0.0) / max(1, len(story.items))
            for story in told
        ]
        axes.barh(rows, widths, left=lefts, label=phase.value)
        lefts = [a + b for a, b in zip(lefts, widths, strict=True)]
    axes.set_yticks(rows, names)
    axes.invert_yaxis()
    axes.set_xlabel('seconds since the first batch; mean of the items')
    axes.legend(loc='best', fontsize='small')
    figure.tight_layout()
    save(figure, path)
    pyplot.close(figure)


def draw_bars(
    names: list[str], series: dict[str, list[float]], label: str, path: str
) -> None:
    """Draw groups of bars: a group a name, a bar a series."""
    pyplot = _pyplot()
    figure, axes = pyplot.subplots(figsize=(WIDTH_INCHES, BARS_HEIGHT_INCHES))
    width = GROUP_WIDTH / max(1, len(series))
    for number, (name, values) in enumerate(series.items()):
        places = [place + number * width for place in range(len(values))]
        axes.bar(places, values, width, label=name)
    middle = (GROUP_WIDTH - width) / 2
    axes.set_xticks([n + middle for n in range(len(names))], names)
    axes.set_ylabel(label)
    axes.legend(loc='lower left', fontsize='small')
    figure.tight_layout()
    save(figure, path)
    pyplot.close(figure)
