"""Tests of the duties' lease: killed, paused, cut off, stopped holders."""

import random
import unittest

from crocuskeel.core.duties import model as duties_model
from tests.duties import world as worlds

# The span of a lease, the margins on both sides, the waiting time for hosts
# that are ahead in the order, and the age of the last renewal.
TAKEOVER_S = 6.5


def world_with_holder(busy=False, **kwargs):
    """Return a world in which a host holds the lease and sends reports.

    ``busy``: its orders are refused, so it repeats them every 1.5 s.
    """
    world = worlds.World(scaling=worlds.scaling(),
                         engines=worlds.engines(), **kwargs)
    world.refuses_scale = busy
    world.run(15)
    return world


class LeaseHolderTest(unittest.TestCase):
    """After each sequence of faults one holder acts, without conflicts."""

    def _check(self, world, first):
        self.assertEqual([], worlds.platform_faults(world))
        later_holders = {each.host for each in world.arrivals
                         if each.fence > first.fence}
        return later_holders

    def _last(self, world):
        return world.arrivals[-1]

    def test_without_faults_only_one_host_acts_and_calls_the_store(self):
        world = world_with_holder()
        first = self._last(world)
        before = world.version
        world.run(30)
        self.assertEqual(set(), self._check(world, first))
        self.assertLessEqual(world.version - before, 40)
        self.assertEqual(
            {first.host}, {each.host for each in world.arrivals})

    def test_a_killed_holder_is_replaced_within_a_window(self):
        # Guards against missing reports after the holder's process is
        # killed and restarts without state, immediately or later, which
        # occur if no host takes over or the new process acts as the holder.
        for down_s in (0.2, 20.0):
            with self.subTest(down_s=down_s):
                world = world_with_holder()
                first = self._last(world)
                world.kill(first.host, down_s)
                world.run(TAKEOVER_S)
                fence = max(host.core.duties.leader.fence
                            for host in world.hosts.values())
                self.assertGreater(fence, first.fence)
                world.run(10)
                self.assertEqual(1, len(self._check(world, first)))

    def test_a_graceful_shutdown_hands_over_at_once(self):
        world = world_with_holder()
        first = self._last(world)
        world.stop(first.host)
        world.run(2.0)
        self.assertNotIn(world.holder(), (None, first.host))
        world.run(10)
        self.assertEqual(1, len(self._check(world, first)))

    def test_hosts_are_stopped_in_turn(self):
        # Guards against hosts that act in the order A, B, A within a
        # second: A stops, hands over to B and restarts, then B stops. This
        # occurs if a host that has just acted acquires the free lease.
        world = world_with_holder()
        for _ in range(8):
            name = world.holder()
            if name is not None:
                world.stop(name)
                world.run(0.5)
                world.kill(name, 0.1)
            world.run(0.6)
        world.run(10)
        self.assertEqual([], worlds.platform_faults(world))

    def test_a_paused_holder_sends_no_call_after_its_lease(self):
        # Guards against a call with an old fencing token after one with a
        # newer token. It occurs if the holder is paused for longer than
        # its lease between deciding on a call and sending it, and the
        # lease is checked at the decision but not when the call is written.
        for pause_s in (0.4, 1.0, 2.7, 3.5, 6.0, 12.0):
            for moment in (0.0, 0.1, 0.2, 0.3):
                with self.subTest(pause_s=pause_s, moment=moment):
                    world = world_with_holder(busy=True)
                    first = self._last(world)
                    world.run(moment)
                    world.pause(first.host, pause_s)
                    world.run(20)
                    self._check(world, first)

    def test_a_pause_between_deciding_and_sending_a_call(self):
        for pause_s in (2.0, 4.0, 8.0):
            with self.subTest(pause_s=pause_s):
                world = world_with_holder(busy=True)
                first = self._last(world)
                world.pause_at_send_s = pause_s
                world.run(20)
                self._check(world, first)

    def test_a_holder_cut_off_from_the_store_is_replaced(self):
        # The store serves all hosts but the holder. Orders and reports
        # must come from another host, and not from both.
        world = world_with_holder(busy=True)
        first = self._last(world)
        world.hosts[first.host].store = "out"
        world.run(15)
        self.assertEqual(1, len(self._check(world, first)))

    def test_writes_that_are_lost_or_late(self):
        for fault in ("lost", "late"):
            for seed in range(4):
                with self.subTest(fault=fault, seed=seed):
                    world = world_with_holder(seed=seed)
                    for host in world.hosts.values():
                        host.store = fault
                    world.run(6)
                    for host in world.hosts.values():
                        host.store = "well"
                    world.run(12)
                    self.assertEqual([], worlds.platform_faults(world))
                    self.assertIsNotNone(world.holder())

    def test_slow_calls_end_with_the_lease(self):
        # The platform is slow, and the holder is cut off from the store.
        # Its last calls must not arrive after those of the next holder.
        world = world_with_holder()
        first = self._last(world)
        for host in world.hosts.values():
            host.cloud = "slow"
        world.hosts[first.host].store = "out"
        world.run(20)
        self.assertEqual(1, len(self._check(world, first)))

    def test_a_refused_report_delays_no_other(self):
        # The platform refuses the report of one window. Each later report
        # came a minute late, when that window was given up: ten were
        # missing.
        world = world_with_holder()
        first = max(world.reports())
        refused = first + 2
        world.refused_windows = {refused}
        world.run(8 * worlds.REPORT_S)
        self.assertEqual([], worlds.platform_faults(world))
        reported = set(world.reports())
        self.assertGreaterEqual(max(reported), first + 7)
        self.assertEqual({refused}, {*range(first, max(reported))} - reported)
        world.refused_windows = set()
        world.run(5)
        self.assertIn(refused, world.reports())

    def test_all_hosts_are_killed_at_once(self):
        world = world_with_holder()
        for name in world.hosts:
            world.kill(name, 1.0)
        world.run(20)
        self.assertEqual([], worlds.platform_faults(world))
        reported = world.reports()
        self.assertEqual(list(range(min(reported), max(reported) + 1)),
                         sorted(reported))

    def test_any_mix_of_faults(self):
        for seed in range(24):
            with self.subTest(seed=seed):
                world = world_with_holder(busy=seed % 2 == 0, seed=seed)
                self._inject_faults(world, random.Random(seed))
                self.assertEqual([], worlds.platform_faults(world))
                for host in world.hosts.values():
                    host.store = host.cloud = "well"
                seen = len(world.arrivals)
                world.run(16)
                self.assertEqual([], worlds.platform_faults(world))
                self.assertGreater(len(world.arrivals), seen)

    def _inject_faults(self, world, rng):
        for _ in range(12):
            name = rng.choice([world.holder() or "h0", *world.hosts])
            host = world.hosts[name]
            match rng.randrange(6):
                case 0:
                    world.kill(name, rng.choice([0.1, 1.0, 4.0]))
                case 1:
                    world.pause(name, rng.choice([0.5, 2.0, 5.0]))
                case 2:
                    host.store = rng.choice(
                        ["well", "out", "lost", "late"])
                case 3:
                    host.cloud = rng.choice(
                        ["well", "out", "lost", "slow"])
                case 4:
                    world.stop(name)
                    world.run(0.4)
                    world.kill(name, 0.3)
                case 5:
                    host.skew = rng.choice([-3.0, 0.0, 2.0])
            world.run(rng.choice([0.2, 1.0, 3.0]))


class OrderTest(unittest.TestCase):
    """The engines that the holder orders."""

    def test_spot_engines_are_ordered_in_each_domain(self):
        world = world_with_holder()
        asked = {(each.domain, each.spot): each.count
                 for each in world.calls
                 if isinstance(each, duties_model.Order)}
        # Nine engines, assumed to be fully used, at a planned utilization
        # of two fifths.
        self.assertEqual({("perth-a", True): 8, ("perth-b", True): 7,
                          ("bunbury", True): 8}, asked)

    def test_unavailable_engines_are_ordered_again_and_none_given_up(self):
        # No spot engines are available, so the regular ones must stay.
        world = worlds.World(scaling=worlds.scaling(),
                             engines=worlds.engines())
        world.refuses_scale = True
        world.run(25)
        orders = [each for each in world.calls
                  if isinstance(each, duties_model.Order)]
        self.assertTrue(all(order.spot for order in orders))
        self.assertGreater(len(orders), 6)


if __name__ == "__main__":
    unittest.main()
