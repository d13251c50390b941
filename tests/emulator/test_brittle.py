"""Servers that fall over when they have to refuse requests."""

import functools
import unittest

from emulator import deployment as deployments
from emulator import run

# In one time in which a service's servers say that they are brittle, they may
# fall over 2 times and a tenth of their number.
BASE_FALLS = 2
FALLS_SHARE = 0.1
# They bear so many refusals in a second, and so many requests may wait.
REFUSALS = 3.0
WAITING = 2
CHAT = deployments.Kind(
    "chat", "stream", 10.0, 0, 300, 900, 60, 20, 1_000.0, 250.0, 6_000.0,
    2.0, 0.2)
CALL = deployments.Kind(
    "call", "unsafe", 30.0, goal_ms=400.0, limit_ms=3_000.0)
LOOKUP = deployments.Kind(
    "lookup", "safe", 20.0, goal_ms=400.0, limit_ms=3_000.0)
SECONDS = 20.0
BRITTLE = deployments.Fault("brittle", 1.0, 18.0, count=WAITING,
                            times=REFUSALS)
CASES = {
    "usual load": (BRITTLE,),
    "a burst": (BRITTLE, deployments.Fault("burst", 6.0, 8.0, times=5.0)),
    "a server crashes in a burst": (
        BRITTLE, deployments.Fault("burst", 6.0, 8.0, times=4.0),
        deployments.Fault("crash", 8.0, count=2)),
    "all servers crash in a burst": (
        BRITTLE, deployments.Fault("burst", 6.0, 8.0, times=5.0),
        deployments.Fault("crash_plain", 8.0, count=3)),
    "hosts are killed in a burst": (
        BRITTLE, deployments.Fault("burst", 6.0, 8.0, times=4.0),
        deployments.Fault("kill", 8.0, 1.0, count=2)),
}
HOSTS = (6, 24)


@functools.cache
def _simulate(name, hosts, seed=0):
    return run.played(deployments.Deployment(
        name="brittle", hosts=hosts, seconds=SECONDS, way_ms=1.0,
        plain=deployments.Plain(count=3), kinds=(CHAT, CALL, LOOKUP),
        faults=CASES[name], engines=deployments.Engines(count=6, slots=32)),
        seed)


def _falls(world, service):
    return sum(world.services[sid] == service for _, sid in world.falls)


class BrittleTest(unittest.TestCase):
    """Hosts keep requests until such a server has room for them."""

    def test_brittle_servers_do_not_fall_over(self):
        # Hosts sent all that a server's connections allowed, and it refused.
        for name in CASES:
            for hosts in HOSTS:
                world = _simulate(name, hosts)
                for service, count in ((run.PLAIN, 3), (run.ENGINES, 6)):
                    with self.subTest(name, hosts=hosts, service=service):
                        self.assertLessEqual(
                            _falls(world, service),
                            BASE_FALLS + FALLS_SHARE * count)


if __name__ == "__main__":
    unittest.main()
