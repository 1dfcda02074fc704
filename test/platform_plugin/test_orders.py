"""Test orders of upstreams on the emulated platform, through the plugin."""

import json
import unittest

from baobabpond.ports import control
from baobabpond.ports import platforms
from standins.emulator import control as emulated
from standins.emulator import deployment as deployment_module
from standins.emulator import ordering
from test.platform_plugin import test_plugin

BOOT_S = 0.3
MAX_COUNT = 3


class OrdersTest(unittest.TestCase):
    """Order upstreams, and read how they register."""

    def setUp(self) -> None:
        """Start the emulated platform without instances."""
        test_plugin.load_platform()
        self.deployment = deployment_module.Deployment()
        self.addCleanup(self.deployment.__exit__)
        self.deployment.add_control()
        self.emulated = self.deployment.control
        assert self.emulated is not None
        self.upstreams = ordering.OrderedUpstreams(
            lambda zone, is_spot: self.deployment.add_sampler(
                zone=zone, is_spot=is_spot
            ),
            self.deployment.remove_sampler,
            MAX_COUNT,
            BOOT_S,
        )
        self.addCleanup(self.upstreams.stop)
        self.emulated.on_order = self.take_order
        factory = platforms.platforms.get('users_platform')
        platform = factory('127.0.0.1:1')
        self.decoder = platform.catalogue_decoder
        self.api = platform.connect_control(self.emulated.address)
        self.holds_duty = True

    def take_order(self, order: emulated.Order) -> bool:
        """Start what is ordered."""
        return self.upstreams.order(order.zone, order.is_spot, order.count)

    def order(
        self, zone: str, count: int, is_spot: bool = False, token: int = 7
    ) -> control.Outcome:
        """Order upstreams and return the outcome."""
        order = control.UpstreamOrder('juru-model', zone, count, is_spot)
        answers = iter([True])
        context = control.CallContext(
            control.Duty('entry-1', token),
            lambda: next(answers, self.holds_duty),
            1.0,
        )
        return self.api.order_upstreams(order, context).outcome

    def registered(self) -> dict[tuple[str, bool, bool], int]:
        """Return the upstreams by data centre, kind and whether they leave."""
        found: dict[tuple[str, bool, bool], int] = {}
        values = self.deployment.store.newest_values('keyed.servers')
        for key, value in values.items():
            entry = self.decoder.upstream(key, value)
            assert entry is not None, json.loads(value)
            kind = (entry.data_centre, entry.is_spot, entry.draining)
            found[kind] = found.get(kind, 0) + 1
            self.assertEqual(entry.draining, entry.leaves_s is not None)
        return found

    def wait_for(self, expected: dict[tuple[str, bool, bool], int]) -> None:
        """Wait until just these upstreams are registered."""
        deployment_module.wait_for(lambda: self.registered() == expected)

    def test_ordered_upstreams_register_and_leave(self) -> None:
        """Regular ones by order, spot ones when they are reclaimed."""
        self.assertIs(control.Outcome.DONE, self.order('slupsk', 2))
        self.assertIs(control.Outcome.DONE, self.order('slupsk', 1, True))
        self.wait_for(
            {('slupsk', False, False): 2, ('slupsk', True, False): 1}
        )
        self.order('slupsk', 1)
        self.wait_for(
            {
                ('slupsk', False, False): 1,
                ('slupsk', False, True): 1,
                ('slupsk', True, False): 1,
            }
        )
        self.assertEqual(1, self.upstreams.reclaim('slupsk', 0.5))
        self.wait_for({('slupsk', False, False): 1})

    def test_conflict_means_none_or_another_holder(self) -> None:
        """The lease tells which."""
        self.upstreams.unavailable.add(('gdynia', True))
        self.assertIs(
            control.Outcome.UNAVAILABLE, self.order('gdynia', 1, True)
        )
        self.holds_duty = False
        self.assertIs(control.Outcome.FENCED, self.order('gdynia', 1, True))

    def test_tokens_are_compared_by_service_and_data_centre(self) -> None:
        """A higher token elsewhere changes nothing."""
        self.order('slupsk', 1, token=9)
        self.holds_duty = False
        self.assertIs(control.Outcome.FENCED, self.order('slupsk', 2))
        self.assertIs(control.Outcome.DONE, self.order('gdynia', 1))


if __name__ == '__main__':
    unittest.main()
