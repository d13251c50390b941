"""Prompt parts that crash engines: no two requests with them are alike."""

import functools
import unittest

from emulator import deployment as deployments
from emulator import run

# So many requests with a part may reach engines KNOWN_S after the fifth
# crash, new ones and repeats.
MAX_LATE = 3
KNOWN_S = 3.0
# Requests without the part begin at the first attempt at least this much of
# as often as before, SETTLED_S after the fifth crash.
MIN_BEGUN_SHARE = 0.5
SETTLED_S = 6.0
FIRST_AT = 4.0
CHAT = deployments.Kind(
    "chat", "stream", 10.0, 0, 300, 900, 20, 20, 1_000.0, 250.0, 6_000.0,
    2.0, 0.2)
CALL = deployments.Kind(
    "call", "unsafe", 4.0, goal_ms=400.0, limit_ms=3_000.0)
OFTEN = 3.3
SEEDS = range(2)


def _bad(kind="bad_part", count=1, times=OFTEN, at=FIRST_AT, for_s=18.0):
    return deployments.Fault(kind, at, for_s, count=count, times=times)


ENDS_CONNECTIONS = deployments.Fault("end_connections", 0.0, 40.0)
CASES = {
    "second part": (_bad(),),
    "first part": (_bad("bad_first_part"),),
    "a part always beside it": (_bad("bad_part_pair"),),
    "in the middle of 62 parts": (_bad("bad_part_of_many"),),
    "eight senders": (_bad(count=8),),
    "seldom": (_bad(times=0.7),),
    "two bad parts": (_bad(), _bad(at=FIRST_AT + 0.1)),
    "crash between two events": (_bad("bad_part_late"),),
    "answers that end with their connection": (_bad(), ENDS_CONNECTIONS),
    "the same, crash between two events": (
        _bad("bad_part_late"), ENDS_CONNECTIONS),
    "beside other crashes": (_bad(), *(
        deployments.Fault("crash", at) for at in (4.5, 6.5, 9.0, 12.0))),
    "beside a third of the engines": (_bad(), *(
        deployments.Fault("crash", at, count=2) for at in (5.0, 10.0))),
    "beside a request that crashes engines": (_bad(), deployments.Fault(
        "poison", 4.2, 14.0, times=2.0)),
    "hosts restarted": (_bad(), *(
        deployments.Fault("kill", at, 1.0, count=3)
        for at in (5.0, 9.0, 13.0))),
    "store away": (_bad(), deployments.Fault("isolate", 3.0, 9.0, count=5)),
    "hosts cut off from each other": (_bad(), deployments.Fault(
        "part", 3.0, 9.0, count=2)),
    "datagrams lost": (_bad(), deployments.Fault("lossy", 0.0, 30.0,
                                                 times=0.4)),
    "answers lost": (_bad(), deployments.Fault("lose", 2.0, 20.0, count=6,
                                               times=0.2)),
}
# Hosts that don't hear each other, by case: each side counts for itself.
SIDES = {
    "store away": (frozenset(f"h{n}" for n in range(5)), frozenset(["h5"])),
    "hosts cut off from each other": (
        frozenset(f"h{n}" for n in range(2)),
        frozenset(f"h{n}" for n in range(2, 6)))}


def _simulate(faults, seed=0, hosts=6, engines=6, seconds=24.0):
    return run.played(deployments.Deployment(
        name="bad parts", hosts=hosts, seconds=seconds, way_ms=1.0,
        plain=deployments.Plain(), kinds=(CHAT, CALL), faults=faults,
        engines=deployments.Engines(count=engines, slots=32)), seed)


def late_count(world, names):
    """Return the most late arrivals at engines of requests with one part.

    Counted are those that the hosts ``names`` sent, which hear each other.
    """
    counts = [0]
    for part, rows in world.part_crashes.items():
        crashes = [at for at, name in rows if name in names]
        if len(crashes) >= 5:
            counts.append(sum(
                at > crashes[4] + KNOWN_S and name in names
                for at, name in world.part_arrivals[part]))
    return max(counts)


def begun_shares(world, settled_at):
    """Return the shares of sound streams begun at once, before and after."""
    sound = [caller for caller in world.streams if not caller.bad_part
             and not caller.crashes_servers]
    began = world.tally.began
    return [_share(callers) for callers in (
        [caller for caller in sound if caller.at < began + FIRST_AT],
        [caller for caller in sound if caller.at > began + settled_at])]


def _share(callers):
    return sum(caller.begun_rid == f"{caller.rid}-1"
               for caller in callers) / len(callers)


# Seconds after FIRST_AT at which several parts go bad.
SEVERAL = ((0, 1, 2, 3), (0, 0.1, 0.2, 0.3), (0, 0.5, 1, 1.5, 2))


@functools.cache
def _outcome(name, seed):
    """Return (late arrivals, shares begun before and after) of a case."""
    world = _simulate(CASES[name], seed)
    crashes = max(world.part_crashes.values(), key=len)
    groups = SIDES.get(name, (frozenset(world.names),))
    return (max(late_count(world, names) for names in groups),
            *begun_shares(world, crashes[:5][-1][0] + SETTLED_S))


class BadPartTest(unittest.TestCase):
    """Each request with one part of its prompt crashes an engine."""

    def test_part_reaches_few_engines_after_the_fifth_crash(self):
        for name in CASES:
            for seed in SEEDS:
                late, *_ = _outcome(name, seed)
                with self.subTest(name, seed=seed):
                    self.assertLessEqual(late, MAX_LATE)

    def test_requests_without_the_part_are_served(self):
        for name in CASES:
            for seed in SEEDS:
                _, before, after = _outcome(name, seed)
                with self.subTest(name, seed=seed):
                    self.assertGreaterEqual(after, MIN_BEGUN_SHARE * before)

    def test_each_of_several_parts_at_once(self):
        # Each was released as others, in whose crashes it had been, explained
        # these.
        for delays in SEVERAL:
            world = _simulate(tuple(_bad(at=FIRST_AT + delay)
                                    for delay in delays), engines=4)
            with self.subTest(delays=delays):
                self.assertLessEqual(
                    late_count(world, frozenset(world.names)), MAX_LATE)


if __name__ == "__main__":
    unittest.main()
