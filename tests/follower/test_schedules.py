"""Random schedules of what happens to hosts: none ever goes back."""

import random
import unittest

from tests.follower import recovery_support as support

SEEDS = (*range(30), 101)
MAX_LATE_S = 3.0


class RandomScheduleTest(support.RecoveryCase):
    """Restarts, deaths, cuts, outages and changes; messages arrive late."""

    def test_no_host_goes_back(self):
        for size in (3, 5, 9):
            for seed in SEEDS:
                with self.subTest(size=size, seed=seed):
                    run_schedule(size, seed)


def run_schedule(size, seed):
    """Run one random schedule; raises AssertionError if a host goes back."""
    rng = random.Random(seed)
    late = rng.choice((0.05, 0.5, MAX_LATE_S))

    def delay():
        return rng.choice((0.005, 0.005, rng.uniform(0.0, late)))

    fleet = support.CheckedFleet(support.names_of(size), delay=delay)
    fleet.commit(support.FIRST)
    fleet.start(*fleet.names)
    fleet.run(8.0)
    for number in range(50):
        fleet.run(fleet.now + rng.choice((0.002, 0.05, 0.5, 2.0)))
        _disturb(fleet, rng, number)
        _exchange(fleet, rng)
    fleet.cut.clear()
    for name in list(fleet.dead):
        del fleet.dead[name]
        fleet.start(name)
    for _ in range(40):
        _exchange(fleet, rng)
        fleet.run(fleet.now + 0.5)
    numbers = set(fleet.generations().values())
    if numbers != {fleet.tree.generation}:
        raise AssertionError(f"{fleet.generations()} of "
                             f"{fleet.tree.generation}")


def _exchange(fleet, rng):
    for name in rng.sample(sorted(fleet.hosts), min(3, len(fleet.hosts))):
        fleet.exchange(name, rng.choice(sorted(set(fleet.hosts) - {name})))


def _disturb(fleet, rng, number):
    hosts = sorted(fleet.hosts)
    match rng.randrange(8):
        case 0 | 1:
            fleet.commit(support.edit(number % 3 + 1))
        case 2:
            for name in rng.sample(hosts, rng.choice((1, 1, 2))):
                fleet.restart(name)
        case 3:
            fleet.cut |= {(name, "platform") for name in rng.sample(
                fleet.names, rng.randint(1, len(fleet.names)))}
        case 4:
            fleet.cut.add(tuple(rng.sample(fleet.names, 2)))
        case 5 | 6 if fleet.cut:
            fleet.cut.discard(rng.choice(sorted(fleet.cut)))
        case 7 if len(hosts) > 2:
            fleet.kill(rng.choice(hosts))
        case _ if fleet.dead:
            name = rng.choice(sorted(fleet.dead))
            del fleet.dead[name]
            fleet.start(name)


if __name__ == "__main__":
    unittest.main()
