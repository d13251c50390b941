"""Hosts that go on with their watch of the store after they were cut off.

They get all changes since at once, of each server the last one only, and no
full list (platform.store_watcher).
"""

import dataclasses
import unittest
from unittest import mock

from crocuskeel.core.entry import events
from emulator import deployment as deployments
from emulator import faults
from emulator import run
from emulator import silent_faults

CHAT = deployments.Kind(
    "chat", "stream", 20.0, 0, 300, 900, 60, 40, 1_000.0, 250.0, 8_000.0,
    2.0, 0.2, resumes=100, resume_ms=400.0)
SEEDS = (0, 1, 2)


def _fault(kind, at, for_s=3.0, count=1, times=1.0):
    return deployments.Fault(kind, at, for_s, count, times)


# One host is cut off while a second version joins and is taken back.
MISSED = (
    _fault("any_host", 0.0, 20.0), _fault("isolate", 1.5, 4.5),
    _fault("add_version", 2.0, count=6, times=0.0),
    _fault("drain_version", 2.01, 0.0, 6, 0.0),
    _fault("take_back", 4.0, 0.0, 6, 0.0))
# One host is cut off while the default version leaves for longer than a stream
# lasts and is back; then all hosts are killed.
REPLACED = (
    _fault("add_version", 0.0, count=3, times=0.0),
    _fault("drain_version", 0.0, 0.0, 3, 0.0), _fault("isolate", 1.0, 9.0),
    _fault("drain_version", 1.5, 0.0, 3, 0.0),
    _fault("take_back", 8.0, 0.0, 2, 0.0), _fault("kill", 12.0, 1.0, 6))


def _end_isolation(world):
    names, world.without_store = world.without_store, set()
    world.partitioned.clear()
    for name in names:
        host = world.hosts[name]
        for event in (events.StoreAvailable(),
                      silent_faults.missed_changes(world, host)):
            host.receive_broadcast(event)


class WatchTest(unittest.TestCase):
    """One host of six is cut off from the store and from the others."""

    def _mixed(self, kind, seconds, found, seed):
        deployment = deployments.Deployment(
            name="watch", hosts=6, seconds=seconds, way_ms=1.0,
            plain=deployments.Plain(count=1), kinds=(kind, ), faults=found,
            engines=deployments.Engines(count=6, slots=64))
        with mock.patch.object(faults, "_end_isolation", _end_isolation):
            world = run.played(deployment, seed)
        return [caller.rid for caller in world.streams
                if len(caller.versions) > 1]

    def test_version_that_joined_and_left_meanwhile(self):
        # Guards against a host that takes the version before and after for
        # the only one, and goes on at it with streams of the other.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], self._mixed(CHAT, 9.0, MISSED, seed))

    def test_default_that_left_and_was_back_meanwhile(self):
        # Guards against a host that never learns that the default version was
        # replaced, and whose streams are written nowhere.
        kind = dataclasses.replace(CHAT, limit_ms=4_000.0)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual([], self._mixed(kind, 14.0, REPLACED, seed))


if __name__ == "__main__":
    unittest.main()
