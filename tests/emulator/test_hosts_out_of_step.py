"""Hosts that don't notice that they are out of step, as a version joins.

They were cut off, or stood still, and got the changes of the list late.
"""

import unittest

from emulator import deployment as deployments
from emulator import run

CHAT = deployments.Kind(
    "chat", "stream", 30.0, 0, 300, 900, 60, 40, 1_000.0, 250.0, 8_000.0,
    2.0, 0.2, resumes=100, resume_ms=50.0)
SECONDS = 7.0
# (what the hosts are cut off from, for how long, how many hosts of how many).
CUTS = (("all", 1.5, 2, 6), ("all", 2.5, 2, 6), ("all", 5.0, 2, 6),
        ("all", 2.5, 1, 9), ("all", 2.5, 2, 15), ("store", 2.5, 2, 6),
        ("datagrams", 2.5, 1, 6), ("standing", 2.5, 2, 6),
        ("standing", 5.0, 1, 9), ("standing", 2.5, 2, 15))
SEEDS = (0, 1)
# The share of the tries that go on, of those that connect while two engines
# of the version serve.
MIN_SHARE = 0.6


def _fault(kind, at, for_s=3.0, count=1, times=1.0, of=""):
    return deployments.Fault(kind, at, for_s, count, times, of)


def _play(of, for_s, count, hosts, seed):
    return run.played(deployments.Deployment(
        name="out of step", hosts=hosts, seconds=SECONDS, way_ms=1.0,
        plain=deployments.Plain(count=1), kinds=(CHAT, ), faults=(
            _fault("any_host", 0.0, 20.0), _fault("break", 0.0, 20.0, 1, 0.6),
            _fault("out_of_step", 1.5, for_s, count, of=of),
            _fault("add_version", 1.6, count=3, times=0.0),
            _fault("drain_version", 1.6, 6.0, 3, 0.0)),
        engines=deployments.Engines(count=6, slots=64)), seed)


class OutOfStepTest(unittest.TestCase):
    """Streams begin at a new version, and are taken up at such a host."""

    def test_no_stream_is_joined_from_two_versions(self):
        # Guards against a host that takes the versions it lists for all,
        # though it has heard neither the store nor others for some time.
        for cut in CUTS:
            for seed in SEEDS:
                with self.subTest(cut, seed=seed):
                    world = _play(*cut, seed)
                    tries = [each.went_on for caller in world.streams
                             for each in caller.take_ups
                             if each.is_connected and each.servers >= 2]
                    self.assertEqual([], [
                        caller.rid for caller in world.streams
                        if len(caller.versions) > 1])
                    self.assertGreater(len(tries), 50)
                    self.assertGreater(sum(tries), MIN_SHARE * len(tries))


if __name__ == "__main__":
    unittest.main()
