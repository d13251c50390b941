"""Duties while the store is restored from an older copy of itself."""

import random
import unittest

from tests.duties import test_counting
from tests.duties import world as worlds


def busy_world(**kwargs):
    """Return a world with a holder that has reported several windows."""
    world = worlds.World(**kwargs)
    world.run(12)
    world.run(22, test_counting.begin_requests)
    return world


def fences(world):
    """Return the fencing tokens of the received calls, in order."""
    return [each.fence for each in world.arrivals]


class RestoredStoreTest(unittest.TestCase):
    """One holder acts, and each window has one set of counts."""

    def _restore(self, world, killed, age_s, moment, down_s=1.0):
        to_window = worlds.REPORT_S - world.wall() % worlds.REPORT_S
        world.run(to_window + moment, test_counting.begin_requests)
        world.restore_store(age_s)
        for name in killed:
            world.kill(name, down_s)
        world.run(40, test_counting.begin_requests)

    def test_windows_have_one_count_when_the_holder_is_killed(self):
        # Guards against a window that is reported again with other counts:
        # the copy doesn't show that the former holder decided it.
        for age_s in (0.5, 9.0):
            for moment in (2.6, 3.4, 4.7):
                with self.subTest(age_s=age_s, moment=moment):
                    world = busy_world()
                    self._restore(world, [world.holder()], age_s, moment)
                    self.assertEqual([], worlds.platform_faults(world))
                    self.assertGreater(
                        max(world.reports()), max(world.true_counts) - 4)

    def test_windows_have_one_count_when_all_hosts_are_killed(self):
        for age_s in (0.5, 9.0):
            for moment in (2.6, 3.4, 4.7):
                with self.subTest(age_s=age_s, moment=moment):
                    world = busy_world()
                    self._restore(world, list(world.hosts), age_s, moment)
                    self.assertEqual([], worlds.platform_faults(world))
                    self.assertGreater(
                        max(world.reports()), max(world.true_counts) - 4)

    def test_any_mix_of_faults(self):
        for seed in range(16):
            with self.subTest(seed=seed):
                world = busy_world(seed=seed)
                self._inject_faults(world, random.Random(seed))
                for host in world.hosts.values():
                    host.store = host.cloud = "well"
                seen = len(world.arrivals)
                world.run(20, test_counting.begin_requests)
                self.assertEqual([], worlds.platform_faults(world))
                self.assertEqual(sorted(fences(world)), fences(world))
                self.assertGreater(len(world.arrivals), seen)

    def _inject_faults(self, world, rng):
        for _ in range(10):
            name = rng.choice([world.holder() or "h0", *world.hosts])
            match rng.randrange(7):
                case 0:
                    world.kill(name, rng.choice([0.1, 1.0, 4.0]))
                case 1:
                    world.pause(name, rng.choice([0.5, 2.0, 5.0]))
                case 2:
                    world.hosts[name].store = rng.choice(
                        ["well", "out", "lost", "late"])
                case 3:
                    world.hosts[name].cloud = rng.choice(
                        ["well", "out", "lost", "slow"])
                case 4:
                    for each in rng.sample(list(world.hosts), 3):
                        world.kill(each, rng.choice([0.1, 1.0]))
                case _:
                    if not world.store_down:
                        world.restore_store(rng.uniform(0.0, 10.0),
                                            rng.uniform(0.3, 3.0))
            world.run(rng.choice([0.2, 1.0, 3.0]),
                      test_counting.begin_requests)


if __name__ == "__main__":
    unittest.main()
