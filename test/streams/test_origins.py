"""Test how an instance tells which version began a stream."""

import unittest
from unittest import mock

import freezegun

from baobabpond import metrics
from baobabpond.ports import log as log_port
from baobabpond.streams import default_version
from baobabpond.streams import origins as origins_module
from baobabpond.streams import recorder as recorder_module
from baobabpond.streams import records

SERVICE = 'models'
OLD = records.StreamOrigin('s1', SERVICE, 'v1')
NEW = records.StreamOrigin('s2', SERVICE, 'v2')


class SharedLog:
    """Deliver what is appended to all recorders, once they read."""

    def __init__(self) -> None:
        self.outcome = log_port.AppendOutcome.DONE
        self.records: list[log_port.Record] = []

    def append(
        self,
        topic: str,
        partition: int,
        new_records: list[log_port.Record],
        timeout_s: float,
    ) -> log_port.AppendResult:
        """Append unless the log is away."""
        if self.outcome is log_port.AppendOutcome.DONE:
            self.records += new_records
        return log_port.AppendResult(self.outcome, 0)


class Instance:
    """The origins that one instance knows."""

    def __init__(self, log: SharedLog, default: str | None) -> None:
        self.default = default
        self.registered = {'v1', 'v2'}
        self.log = log
        self.recorder = recorder_module.OriginRecorder(
            log, 't', 0, metrics.Metrics()
        )
        defaults = mock.create_autospec(
            default_version.DefaultReader, instance=True
        )
        defaults.known.side_effect = lambda service: self.default
        defaults.load.side_effect = lambda service: self.default
        self.origins = origins_module.StreamOrigins(
            self.recorder,
            defaults,
            self.read,
            metrics.Metrics(),
        )
        self.can_read = True
        self.recorder.start()

    def read(self) -> None:
        """Read the log to its end; raise LogError."""
        if not self.can_read:
            raise log_port.LogError('away')
        self.recorder.apply(self.log.records, True)

    def begin(self, origin: records.StreamOrigin) -> bool:
        """Begin a stream; the recorder's thread appends."""
        return self.origins.begin(origin)

    def find(self, stream: str) -> str | None:
        """Return the software version of a stream, None if unknown."""
        found = self.origins.find(SERVICE, stream, self.registered)
        return found.software if found else None


class OriginsTest(unittest.TestCase):
    """Begin streams at one instance, resume them at another."""

    def setUp(self) -> None:
        """Create two instances of a service whose default is the old one."""
        self.log = SharedLog()
        self.first = Instance(self.log, 'v1')
        self.second = Instance(self.log, 'v1')

    def test_default_version_is_not_recorded(self) -> None:
        """A quiet service costs no append."""
        self.assertTrue(self.first.begin(OLD))
        self.assertEqual([], self.log.records)
        self.assertEqual('v1', self.second.find('s1'))

    def test_stream_without_a_version_is_resumed_at_another(self) -> None:
        """The empty version is the default where none is stated."""
        self.first.default = self.second.default = ''
        self.assertTrue(self.first.begin(OLD._replace(software='')))
        self.assertEqual([], self.log.records)
        self.assertEqual('', self.second.find('s1'))

    def test_other_version_is_recorded_before_the_first_event(self) -> None:
        """All instances may be lost at once."""
        self.assertTrue(self.first.begin(NEW))
        self.assertEqual('v2', self.second.find('s2'))

    def test_stream_without_a_record_does_not_begin(self) -> None:
        """It would be taken for one of the default version."""
        self.log.outcome = log_port.AppendOutcome.UNKNOWN
        self.assertFalse(self.first.begin(NEW))
        self.assertTrue(self.first.begin(OLD))

    def test_stream_of_an_unsettled_record_keeps_to_its_version(self) -> None:
        """The append may still take effect."""
        self.log.outcome = log_port.AppendOutcome.UNKNOWN
        self.assertFalse(self.first.begin(NEW))
        self.assertFalse(self.first.begin(OLD._replace(stream=NEW.stream)))
        self.log.outcome = log_port.AppendOutcome.DONE
        self.assertTrue(self.first.begin(NEW))

    def test_stream_whose_record_was_refused_may_begin_elsewhere(self) -> None:
        """Nothing was written, and nothing will be."""
        self.log.outcome = log_port.AppendOutcome.REFUSED
        self.assertFalse(self.first.begin(NEW))
        self.assertTrue(self.first.begin(OLD._replace(stream=NEW.stream)))

    def test_stream_without_a_name_cannot_be_told(self) -> None:
        """Its client does not say which request it resumes."""
        self.assertIsNone(self.second.find(''))
        self.second.registered = {'v2'}
        self.assertIsNone(self.second.find(''))
        self.second.registered = {'v1'}
        self.assertEqual('v1', self.second.find(''))

    def test_everything_is_recorded_without_a_default(self) -> None:
        """No instance may guess."""
        self.first.default = None
        self.second.default = None
        self.assertTrue(self.first.begin(OLD))
        self.assertEqual('v1', self.second.find('s1'))
        self.assertIsNone(self.second.find('other'))
        self.log.outcome = log_port.AppendOutcome.UNKNOWN
        self.assertFalse(self.first.begin(OLD._replace(stream='s3')))

    def test_origin_is_unknown_while_the_log_is_away(self) -> None:
        """Another instance may just have recorded it; memory helps."""
        self.second.can_read = False
        self.assertIsNone(self.second.find('s1'))
        self.second.begin(OLD)
        self.assertEqual('v1', self.second.find('s1'))

    def test_records_are_removed_once_nobody_takes_the_stream_up(self) -> None:
        """By one of the instances."""
        with freezegun.freeze_time(tick=False) as frozen:
            frozen.tick(100.0)
            self.first.begin(NEW)
            self.first.read()
            frozen.tick(recorder_module.RESUME_WINDOW_S - 1.0)
            self.first.recorder.append_pending()
            self.assertEqual(1, len(self.log.records))
            frozen.tick(
                recorder_module.RESUME_WINDOW_S
                * recorder_module.MAX_EXPIRY_FACTOR
            )
            self.first.recorder.append_pending()
            self.assertEqual(b'', self.log.records[-1].value)
            self.first.recorder.apply(self.log.records[-1:], False)
            self.assertIsNone(self.first.recorder.find('s2'))

    def test_origin_is_found_while_a_snapshot_is_applied(self) -> None:
        """It would be taken for the default version."""
        self.first.begin(NEW)
        self.first.read()
        found = []

        def decode(record: log_port.Record) -> records.StreamOrigin:
            found.append(self.first.recorder.find('s2'))
            return NEW

        with mock.patch.object(
            recorder_module.records_module,
            'decode',
            autospec=True,
            side_effect=decode,
        ):
            self.first.read()
        self.assertEqual([NEW], found)

    def test_malformed_record_is_ignored(self) -> None:
        """The others are applied."""
        self.log.records = [
            log_port.Record('stream/x', b'[]', 0),
            records.encode(NEW),
        ]
        self.assertEqual('v2', self.second.find('s2'))
        self.assertEqual('v1', self.second.find('x'))
