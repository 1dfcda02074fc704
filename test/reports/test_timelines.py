"""Test the report on where the time of batches went."""

import datetime
import json
import pathlib
import tempfile
import unittest

from baobabpond import errors
from baobabpond.reports import log_lines
from baobabpond.reports import plots
from baobabpond.reports import timelines

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
Phase = timelines.Phase


def text(second: float, event: str, **fields: object) -> str:
    """Return a log line as an instance writes it."""
    stamp = START + datetime.timedelta(seconds=second)
    return json.dumps(
        {
            'instance': 'a',
            'event': event,
            'timestamp': stamp.isoformat().replace('+00:00', 'Z'),
            **fields,
        }
    )


def submitted(batch: str = 'b', outcome: str = 'accepted') -> str:
    """Return the line of a batch that was accepted at second 1."""
    return text(
        1.0,
        'batch submitted',
        request=batch,
        model='m',
        step=3,
        items=2,
        outcome=outcome,
        took_s=1.0,
    )


def told(*texts: str) -> list[timelines.BatchStory]:
    """Return the stories that lines tell."""
    lines = [log_lines.parse(one) for one in texts]
    return timelines.stories(line for line in lines if line)


def starts(second: float, item: str, waited_for: str = '') -> str:
    """Return the line of a run's start."""
    return text(
        second, 'run starts', request=item, batch='b', waited_for=waited_for
    )


def ends(second: float, item: str, ending: str = 'whole') -> str:
    """Return the line of a run's end."""
    return text(second, 'run ends', request=item, batch='b', ending=ending)


class LinesTest(unittest.TestCase):
    """Read log lines."""

    def test_what_stands_before_the_line_is_passed_over(self) -> None:
        """Other programs put a time and a name before a line."""
        line = log_lines.parse('  0.12 node-1 ' + text(2.0, 'ready'))
        self.assertEqual('ready', line.event)
        self.assertEqual(START.timestamp() + 2.0, line.time)

    def test_other_text_is_no_line(self) -> None:
        """Text that no instance wrote is left out."""
        for other in ('', 'built in 3 s', '{"event": "x"}', '{not json'):
            self.assertIsNone(log_lines.parse(other))

    def test_lines_of_files_come_in_the_order_of_time(self) -> None:
        """Each instance has a log of its own."""
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder, name) for name in ('a', 'b')]
            paths[0].write_text(text(3.0, 'late') + '\n')
            paths[1].write_text(text(1.0, 'early') + '\n')
            found = log_lines.read(map(str, paths))
        self.assertEqual(['early', 'late'], [line.event for line in found])

    def test_missing_file_is_told(self) -> None:
        """The user gets one line."""
        with self.assertRaises(errors.UserError):
            log_lines.read(['/nonexistent/log'])


class StoriesTest(unittest.TestCase):
    """Divide an item's life."""

    def test_each_second_is_in_one_phase(self) -> None:
        """Phases follow one another from acceptance to reading."""
        (story,) = told(
            submitted(),
            text(1.5, 'batch taken up', batch='b', due_s=7.5),
            starts(2.0, 'i', 'weights'),
            ends(2.5, 'i', 'broken'),
            starts(2.6, 'i', 'slots'),
            ends(4.0, 'i'),
            text(4.5, 'results kept', batch='b', count=1),
            text(5.0, 'results read', batch='b', position=0, count=1),
        )
        expected = {
            Phase.OWNER: 1.5,
            Phase.WEIGHTS: 0.5,
            Phase.LOST_RUN: 0.5,
            Phase.SLOTS: 0.1,
            Phase.RUN: 1.4,
            Phase.LOG: 0.5,
            Phase.READER: 0.5,
        }
        seconds = story.seconds()
        self.assertEqual(set(expected), set(seconds))
        for phase, value in expected.items():
            self.assertAlmostEqual(value, seconds[phase], 4)
        self.assertEqual(1, story.read)
        # The other item was never read.
        self.assertEqual(1, story.late)

    def test_run_of_a_lost_owner_counts_for_the_next_owner(self) -> None:
        """The time until another owner takes up is spent on ownership."""
        (story,) = told(
            submitted(),
            text(1.5, 'batch taken up', batch='b', due_s=7.5),
            starts(2.0, 'i'),
            text(4.0, 'batch taken up', batch='b', due_s=7.5),
            starts(4.1, 'i'),
            ends(5.0, 'i'),
        )
        seconds = story.seconds()
        self.assertAlmostEqual(3.5, seconds[Phase.OWNER], 4)
        self.assertAlmostEqual(0.9, seconds[Phase.RUN], 4)

    def test_result_that_was_lost_with_its_owner_is_made_again(self) -> None:
        """Only the second result is kept."""
        (story,) = told(
            submitted(),
            text(1.5, 'batch taken up', batch='b', due_s=1.0),
            starts(1.5, 'i'),
            ends(2.0, 'i'),
            text(3.0, 'batch taken up', batch='b', due_s=1.0),
            starts(3.1, 'i'),
            ends(4.0, 'i'),
            text(4.2, 'results kept', batch='b', count=1),
            text(4.3, 'results read', batch='b', position=0, count=1),
        )
        self.assertAlmostEqual(0.2, story.seconds()[Phase.LOG], 4)
        self.assertEqual(1, story.read)
        self.assertEqual(2, story.late)

    def test_results_read_twice_count_once(self) -> None:
        """A trainer may read a position again."""
        (story,) = told(
            submitted(),
            text(1.5, 'batch taken up', batch='b', due_s=7.5),
            *(starts(2.0, item) for item in 'ij'),
            *(ends(3.0, item) for item in 'ij'),
            text(3.1, 'results kept', batch='b', count=2),
            text(3.2, 'results read', batch='b', position=0, count=1),
            text(3.3, 'results read', batch='b', position=0, count=1),
            text(3.4, 'results read', batch='b', position=0, count=2),
            text(
                3.5, 'batch ended by its trainer', batch='b', outcome='ended'
            ),
        )
        self.assertEqual(2, story.read)
        self.assertEqual(0, story.late)
        self.assertAlmostEqual(0.4, story.seconds()[Phase.READER], 4)
        self.assertIsNotNone(story.ended)

    def test_reading_may_be_logged_before_keeping(self) -> None:
        """Instances log independently of one another."""
        (story,) = told(
            submitted(),
            text(1.5, 'batch taken up', batch='b', due_s=7.5),
            *(starts(2.0, item) for item in 'ij'),
            *(ends(3.0, item) for item in 'ij'),
            text(3.2, 'results read', batch='b', position=0, count=2),
            text(3.3, 'results kept', batch='b', count=2),
        )
        self.assertEqual(2, story.read)
        self.assertAlmostEqual(0.4, story.seconds()[Phase.LOG], 4)

    def test_refused_batch_has_no_story(self) -> None:
        """What was not accepted took no time."""
        self.assertEqual([], told(submitted(outcome='log_away')))

    def test_table_has_a_row_a_batch_and_one_for_all(self) -> None:
        """Columns are the phases."""
        rows = timelines.table(
            told(submitted('b'), submitted('c'))
        ).splitlines()
        self.assertEqual(4, len(rows))
        for phase in Phase:
            self.assertIn(phase.value, rows[0])


class PlotTest(unittest.TestCase):
    """Draw reports."""

    def test_equal_reports_give_equal_drawings(self) -> None:
        """A drawing is an SVG that can be compared."""
        stories = told(submitted('b'), submitted('c'))
        with tempfile.TemporaryDirectory() as folder:
            drawn = []
            for name in ('first.svg', 'second.svg'):
                path = pathlib.Path(folder, name)
                plots.draw_steps(stories, str(path))
                drawn.append(path.read_text())
        self.assertIn('<svg', drawn[0])
        self.assertEqual(drawn[0], drawn[1])

    def test_path_that_cannot_be_written_is_told(self) -> None:
        """The user gets one line."""
        with self.assertRaises(errors.UserError):
            plots.draw_bars(['a'], {'x': [1.0]}, 'worth', '/nonexistent/p')


if __name__ == '__main__':
    unittest.main()
