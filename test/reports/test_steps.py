"""Test the reports on the time of batches by phase."""

import datetime
import json
import pathlib
import tempfile
import unittest

from baobabpond import errors
from baobabpond.pool import fleet
from baobabpond.reports import log_lines
from baobabpond.reports import plots
from baobabpond.reports import steps

START = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
Phase = steps.Phase


def log_line(second: float, event: str, **fields: object) -> str:
    """Return a log line as an instance writes it."""
    timestamp = START + datetime.timedelta(seconds=second)
    return json.dumps(
        {
            'instance': 'a',
            'event': event,
            'timestamp': timestamp.isoformat().replace('+00:00', 'Z'),
            **fields,
        }
    )


def submitted(batch: str = 'b', outcome: str = 'accepted') -> str:
    """Return the line of a submission from second 0 to 1."""
    return log_line(
        1.0,
        'batch submitted',
        request=batch,
        model='m',
        step=3,
        items=2,
        outcome=outcome,
        took_s=1.0,
    )


def parse_timelines(*texts: str) -> list[steps.BatchTimeline]:
    """Return the timelines built from log lines."""
    lines = [log_lines.parse(text) for text in texts]
    return steps.build_timelines(line for line in lines if line)


def run_starts(second: float, item: str, waited_for: str = '') -> str:
    """Return the line of a run's start."""
    return log_line(
        second, 'run starts', request=item, batch='b', waited_for=waited_for
    )


def reward_ends(second: float, item: str, ending: str = 'whole') -> str:
    """Return the line of a reward call's end."""
    return log_line(
        second, 'reward call ends', request=item, batch='b', ending=ending
    )


def run_ends(second: float, item: str, ending: str = 'whole') -> str:
    """Return the line of a run's end."""
    return log_line(second, 'run ends', request=item, batch='b', ending=ending)


class LogLinesTest(unittest.TestCase):
    """Parse log lines."""

    def test_prefix_of_a_line_is_ignored(self) -> None:
        """Log collectors may put a time and a name before the JSON."""
        line = log_lines.parse('  0.12 node-1 ' + log_line(2.0, 'ready'))
        self.assertEqual('ready', line.event)
        self.assertEqual(START.timestamp() + 2.0, line.time)

    def test_other_text_is_ignored(self) -> None:
        """Text without the fields of a log line gives None."""
        for text in ('', 'built in 3 s', '{"event": "x"}', '{not json'):
            self.assertIsNone(log_lines.parse(text))

    def test_lines_of_several_files_are_sorted_by_time(self) -> None:
        """Each instance writes its own log file."""
        with tempfile.TemporaryDirectory() as folder:
            paths = [pathlib.Path(folder, name) for name in ('a', 'b')]
            paths[0].write_text(log_line(3.0, 'late') + '\n')
            paths[1].write_text(log_line(1.0, 'early') + '\n')
            lines = log_lines.read(map(str, paths))
        self.assertEqual(['early', 'late'], [line.event for line in lines])

    def test_missing_file_raises_user_error(self) -> None:
        """The command line prints a user error as one line."""
        with self.assertRaises(errors.UserError):
            log_lines.read(['/nonexistent/log'])


class TimelinesTest(unittest.TestCase):
    """Divide the time of items into phases."""

    def test_each_second_is_in_one_phase(self) -> None:
        """Phases follow one another from submission to reading."""
        (batch,) = parse_timelines(
            submitted(),
            log_line(1.5, 'batch taken up', batch='b', due_s=7.5),
            run_starts(2.0, 'i', 'weights'),
            run_ends(2.5, 'i', 'broken'),
            run_starts(2.6, 'i', 'slots'),
            run_ends(4.0, 'i'),
            log_line(4.5, 'results kept', batch='b', count=1),
            log_line(5.0, 'results read', batch='b', position=0, count=1),
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
        durations = batch.seconds_by_phase()
        self.assertEqual(set(expected), set(durations))
        for phase, value in expected.items():
            self.assertAlmostEqual(value, durations[phase], 4)
        self.assertEqual(1, batch.read_count)
        # The other item was never read.
        self.assertEqual(1, batch.late_count)

    def test_every_wait_of_the_scheduler_has_a_phase(self) -> None:
        """Also those for requests and for software versions."""
        for reason in (fleet.WEIGHTS, fleet.SOFTWARE, fleet.REQUEST_LIMITS):
            with self.subTest(reason=reason):
                (timeline,) = parse_timelines(
                    submitted(),
                    log_line(1.5, 'batch taken up', batch='b'),
                    run_starts(2.0, 'i', reason),
                    run_ends(3.0, 'i'),
                )
                seconds = timeline.seconds_by_phase()
                self.assertEqual(0.5, seconds[Phase(reason)])

    def test_reward_call_is_a_phase_of_its_own(self) -> None:
        """Results are persisted in the order of their scores."""
        (batch,) = parse_timelines(
            submitted(),
            log_line(1.0, 'batch taken up', batch='b', due_s=7.5),
            run_starts(1.0, 'i'),
            run_starts(1.0, 'j'),
            run_ends(2.0, 'i'),
            run_ends(2.5, 'j'),
            reward_ends(2.6, 'i', 'broken'),
            reward_ends(3.0, 'j'),
            log_line(3.5, 'results kept', batch='b', count=1),
            reward_ends(5.0, 'i'),
            log_line(5.5, 'results kept', batch='b', count=1),
            log_line(6.0, 'results read', batch='b', position=0, count=2),
        )
        by_id = {item.id: item for item in batch.items}
        spans = {
            span.phase: round(span.end - span.start, 4)
            for span in by_id['i'].spans
        }
        self.assertEqual(3.0, spans[Phase.REWARD])
        self.assertEqual(0.5, spans[Phase.LOG])
        self.assertEqual(2, batch.read_count)

    def test_run_of_a_lost_owner_counts_as_owner_phase(self) -> None:
        """Time until the next owner schedules the batch is in this phase."""
        (batch,) = parse_timelines(
            submitted(),
            log_line(1.5, 'batch taken up', batch='b', due_s=7.5),
            run_starts(2.0, 'i'),
            log_line(4.0, 'batch taken up', batch='b', due_s=7.5),
            run_starts(4.1, 'i'),
            run_ends(5.0, 'i'),
        )
        durations = batch.seconds_by_phase()
        self.assertAlmostEqual(3.5, durations[Phase.OWNER], 4)
        self.assertAlmostEqual(0.9, durations[Phase.RUN], 4)

    def test_unpersisted_result_of_a_lost_owner_is_not_counted(self) -> None:
        """The item runs again; only the second result is persisted."""
        (batch,) = parse_timelines(
            submitted(),
            log_line(1.5, 'batch taken up', batch='b', due_s=1.0),
            run_starts(1.5, 'i'),
            run_ends(2.0, 'i'),
            log_line(3.0, 'batch taken up', batch='b', due_s=1.0),
            run_starts(3.1, 'i'),
            run_ends(4.0, 'i'),
            log_line(4.2, 'results kept', batch='b', count=1),
            log_line(4.3, 'results read', batch='b', position=0, count=1),
        )
        self.assertAlmostEqual(0.2, batch.seconds_by_phase()[Phase.LOG], 4)
        self.assertEqual(1, batch.read_count)
        self.assertEqual(2, batch.late_count)

    def test_results_read_twice_are_counted_once(self) -> None:
        """A trainer may read from the same position again."""
        (batch,) = parse_timelines(
            submitted(),
            log_line(1.5, 'batch taken up', batch='b', due_s=7.5),
            *(run_starts(2.0, item) for item in 'ij'),
            *(run_ends(3.0, item) for item in 'ij'),
            log_line(3.1, 'results kept', batch='b', count=2),
            log_line(3.2, 'results read', batch='b', position=0, count=1),
            log_line(3.3, 'results read', batch='b', position=0, count=1),
            log_line(3.4, 'results read', batch='b', position=0, count=2),
            log_line(
                3.5, 'batch ended by its trainer', batch='b', outcome='ended'
            ),
        )
        self.assertEqual(2, batch.read_count)
        self.assertEqual(0, batch.late_count)
        self.assertAlmostEqual(0.4, batch.seconds_by_phase()[Phase.READER], 4)
        self.assertIsNotNone(batch.ended_at)

    def test_read_may_be_logged_before_persistence(self) -> None:
        """Instances log independently of one another."""
        (batch,) = parse_timelines(
            submitted(),
            log_line(1.5, 'batch taken up', batch='b', due_s=7.5),
            *(run_starts(2.0, item) for item in 'ij'),
            *(run_ends(3.0, item) for item in 'ij'),
            log_line(3.2, 'results read', batch='b', position=0, count=2),
            log_line(3.3, 'results kept', batch='b', count=2),
        )
        self.assertEqual(2, batch.read_count)
        self.assertAlmostEqual(0.4, batch.seconds_by_phase()[Phase.LOG], 4)

    def test_refused_batch_has_no_timeline(self) -> None:
        """Only accepted batches are reported."""
        self.assertEqual([], parse_timelines(submitted(outcome='log_away')))

    def test_table_has_a_row_per_batch_and_totals(self) -> None:
        """There is a column for each phase."""
        rows = steps.format_table(
            parse_timelines(submitted('b'), submitted('c'))
        ).splitlines()
        self.assertEqual(4, len(rows))
        for phase in Phase:
            self.assertIn(phase.value, rows[0])


class PlotTest(unittest.TestCase):
    """Plot reports."""

    def test_svg_is_reproducible(self) -> None:
        """Equal timelines give equal files."""
        timelines = parse_timelines(submitted('b'), submitted('c'))
        with tempfile.TemporaryDirectory() as folder:
            svgs = []
            for name in ('first.svg', 'second.svg'):
                path = pathlib.Path(folder, name)
                plots.draw_timelines(timelines, str(path))
                svgs.append(path.read_text())
        self.assertIn('<svg', svgs[0])
        self.assertEqual(svgs[0], svgs[1])

    def test_unwritable_path_raises_user_error(self) -> None:
        """The command line prints a user error as one line."""
        with self.assertRaises(errors.UserError):
            plots.draw_bars(['a'], {'x': [1.0]}, 'worth', '/nonexistent/p')


if __name__ == '__main__':
    unittest.main()
