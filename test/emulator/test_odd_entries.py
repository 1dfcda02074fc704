"""Test registrations of another writer at instances that start and run."""

from standins.emulator import store as store_module
from test.emulator import base
from test.platform_plugin import odd_entries

DISCOVERY_S = 1.0
LOOKUPS = 12


class OddEntriesTest(base.DeploymentTestCase):
    """They name no upstream, and instances go on following the others."""

    INSTANCES = 1
    SAMPLERS = 1
    PLAIN_SERVICES = 2

    def write_odd_entries(self, name: str) -> None:
        """Register all of them, each under an id of its own."""
        for number, value in enumerate(odd_entries.ODD.values()):
            self.deployment.store.produce(
                store_module.UPSTREAMS_TOPIC, f'{name}-{number}', value
            )

    def check_followed(self) -> None:
        """Check that a departure is noticed after the odd entries."""
        leaving = self.deployment.plain_services[0]
        left_at = leaving.lapse()
        self.run_for(DISCOVERY_S)
        self.send_lookups(LOOKUPS, 'after')
        late = [
            run
            for run in self.deployment.recorder.runs_at(leaving.id)
            if run.started_at > left_at + DISCOVERY_S
        ]
        self.assertEqual([], late)

    def check_logs(self) -> None:
        """Check that no listener has failed on the records."""
        for instance in self.deployment.instances:
            self.assertIsNone(instance.process.poll())
            events = {line['event'] for line in instance.log_entries()}
            self.assertNotIn('listener failed on records', events)

    def test_odd_entries_while_instances_run(self) -> None:
        """They come as records that are appended."""
        self.write_odd_entries('odd')
        self.run_for(DISCOVERY_S)
        self.send_lookups(LOOKUPS, 'among')
        self.check_followed()
        self.check_logs()

    def test_odd_entries_before_an_instance_starts(self) -> None:
        """They come with the first snapshot."""
        self.write_odd_entries('odd')
        self.deployment.start_instance('entry-2')
        self.deployment.wait_ready()
        self.send_lookups(LOOKUPS, 'among')
        self.check_followed()
        self.check_logs()
