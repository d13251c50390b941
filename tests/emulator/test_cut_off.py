"""Hosts that are cut off from all servers, and from some of them."""

import unittest

from emulator import deployment as deployments
from emulator import run

# From so long after a cut, s, callers' first attempts at the hosts that are
# cut off are served two thirds as often as those at the others, but for ten
# and one in fifty of all first attempts.
KNOWN_S = 3.0
MIN_SERVED_SHARE = 2 / 3
MAX_FAILED = 10
MAX_FAILED_SHARE = 1 / 50
CHAT = deployments.Kind(
    "chat", "stream", 10.0, 0, 300, 900, 60, 20, 1_000.0, 250.0, 6_000.0,
    2.0, 0.2)
CALL = deployments.Kind(
    "call", "unsafe", 8.0, goal_ms=400.0, limit_ms=3_000.0)
LOOKUP = deployments.Kind(
    "lookup", "safe", 6.0, goal_ms=400.0, limit_ms=3_000.0)
FORMS = ("cut_timeout", "cut_refused", "cut_reset", "cut_silent")
HOSTS = 6


def _simulate(*faults, seed=0, hosts=HOSTS, seconds=20.0):
    return run.played(deployments.Deployment(
        name="cut", hosts=hosts, seconds=seconds, way_ms=1.0,
        plain=deployments.Plain(count=3), kinds=(CHAT, CALL, LOOKUP),
        faults=faults, engines=deployments.Engines(count=6, slots=32)), seed)


def _cut(form, count, at=3.0, for_s=12.0, **kwargs):
    return deployments.Fault(form, at, for_s, count=count, **kwargs)


def _violations(world):
    """Return (served, failed, others' served share) of each cut that fails."""
    found = []
    for since, until, names in world.cuts:
        counted = [(name in names, served)
                   for at, name, served in world.first_attempts
                   if since + KNOWN_S <= at < until]
        at_cut = [served for is_cut, served in counted if is_cut]
        others = [served for is_cut, served in counted if not is_cut]
        failed = at_cut.count(False)
        share = _share(others)
        if (_share(at_cut) < MIN_SERVED_SHARE * share
                and failed > MAX_FAILED + MAX_FAILED_SHARE * len(counted)):
            found.append((len(at_cut) - failed, failed, round(share, 2)))
    return found


def _share(served):
    return sum(served) / len(served) if served else 1.0


class CutOffTest(unittest.TestCase):
    """Callers, the store and the other hosts still reach these hosts."""

    def test_callers_of_hosts_that_are_cut_off_are_served(self):
        # These hosts tried one server after the other, and refused.
        for form in FORMS:
            for count in (1, 3, HOSTS - 1):
                world = _simulate(_cut(form, count))
                with self.subTest(form, count=count):
                    self.assertEqual([], _violations(world))


if __name__ == "__main__":
    unittest.main()
