"""Test which software version streams without a record have."""

import types
import unittest
from unittest import mock

import freezegun

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.catalogue import current as current_module
from baobabpond.catalogue import directory as directory_module
from baobabpond.ports import catalogue
from baobabpond.streams import default_version
from baobabpond.streams import recorder
from test.ratelimits import examples
from test.store import fakes

SERVICE = 'models'
STEP_S = 5.0


class DefaultReaderTest(unittest.TestCase):
    """Read defaults before and after the shard is loaded."""

    def setUp(self) -> None:
        """Create a log with a batch and a default, and an empty shard."""
        self.log = fakes.FakeLog()
        self.log.add('batch/b/0')
        record = records.encode_default_software(SERVICE, 'v1')
        self.log.add(record.key, record.value)
        self.state = state_module.ShardState()
        self.reader = default_version.DefaultReader(
            self.log, 't', 0, self.state
        )

    def test_default_is_known_before_the_shard_is_loaded(self) -> None:
        """One small page is read, once."""
        self.assertIsNone(self.reader.known(SERVICE))
        for _ in range(3):
            self.assertEqual('v1', self.reader.load(SERVICE))
        self.assertEqual('v1', self.reader.known(SERVICE))
        self.assertEqual([records.SOFTWARE], self.log.loads)

    def test_loaded_shard_comes_first(self) -> None:
        """It has later changes."""
        self.reader.load(SERVICE)
        newer = records.encode_default_software(SERVICE, 'v2')
        self.state.apply([newer], False)
        self.assertEqual('v2', self.reader.known(SERVICE))

    def test_upstreams_that_state_no_version_have_a_default(self) -> None:
        """Their streams can be resumed at each other."""
        self.state.apply([records.encode_default_software('s', '')], False)
        self.assertEqual('', self.reader.known('s'))

    def test_service_without_a_default(self) -> None:
        """All its streams are recorded."""
        self.assertIsNone(self.reader.load('other'))


class DefaultVersionTest(unittest.TestCase):
    """Replace the upstreams of a service in paused time."""

    def setUp(self) -> None:
        """Create the owner's view of a service with streams."""
        frozen = freezegun.freeze_time(tick=False)
        self.frozen = frozen.start()
        self.addCleanup(frozen.stop)
        self.registered = ['v1', 'v1', 'v2']
        directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        directory.entries.side_effect = lambda: [
            examples.entry()._replace(service=SERVICE, software=software)
            for software in self.registered
        ]
        self.route = types.SimpleNamespace(
            kind=catalogue.RouteKind.STREAMING,
            resumable=True,
            shares=(catalogue.ServiceWeight(SERVICE, 1.0),),
        )
        current = mock.create_autospec(
            current_module.CurrentConfiguration, instance=True
        )
        current.configuration.routes = (self.route,)
        self.state = state_module.ShardState()
        self.versions = default_version.DefaultVersions(
            self.state, directory, current
        )
        self.versions.reset()

    def run_for(self, seconds: float) -> str | None:
        """Append what is due from time to time; return the default."""
        passed_s = 0.0
        while passed_s < seconds:
            self.frozen.tick(STEP_S)
            passed_s += STEP_S
            self.state.apply(self.versions.due_records(), False)
        return self.state.default_software(SERVICE)

    def test_most_common_version_is_the_first_default(self) -> None:
        """Nothing is appended afterwards."""
        self.assertEqual('v1', self.run_for(STEP_S))
        self.frozen.tick(STEP_S)
        self.assertEqual([], self.versions.due_records())

    def test_default_changes_long_after_its_version_has_gone(self) -> None:
        """Until then its streams may be resumed."""
        self.run_for(STEP_S)
        self.registered = ['v2', 'v2']
        self.assertEqual('v1', self.run_for(recorder.RESUME_WINDOW_S))
        self.assertEqual('v2', self.run_for(2 * STEP_S))

    def test_version_that_comes_back_stays_the_default(self) -> None:
        """The time begins again, also with each tenure."""
        self.run_for(STEP_S)
        for _ in range(3):
            self.registered = ['v2']
            self.run_for(recorder.RESUME_WINDOW_S - STEP_S)
            self.versions.reset()
            self.run_for(recorder.RESUME_WINDOW_S - STEP_S)
            self.registered = ['v1', 'v2']
            self.assertEqual('v1', self.run_for(STEP_S))

    def test_services_without_resumable_streams_need_none(self) -> None:
        """They cost no append."""
        self.route.resumable = False
        self.assertIsNone(self.run_for(STEP_S))
