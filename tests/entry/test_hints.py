"""Servers that leave, or ask a host for rest, by what they answer."""

import dataclasses
import math
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from emulator import deployment as deployments
from emulator import run
from tests.entry import support


LEAVES = deployments.Fault("leave", 4.0, 8.0, count=2)
RESTS = deployments.Fault("rest", 4.0, 8.0, count=2, times=3.0)
# A host that passed on that a server leaves sends it nothing that callers
# ask later than this, s.
DRAIN_S = 2.0
# From this long after a server asked a host for rest it gets so many
# requests from that host at the most until the rest is over, s.
HEARD_S = 0.5
IN_REST_MOST = 2


def fleet_with(fault):
    """Return a deployment of six hosts and six engines with a fault."""
    return dataclasses.replace(
        deployments.read("six-engines"), seconds=16.0, faults=(fault,))


class FleetTest(unittest.TestCase):
    """What hosts send to servers that leave, or want rest."""

    def test_a_server_that_said_that_it_leaves_gets_nothing_new(self):
        # The store was away: hosts sent to it until it was back.
        for seed in range(3):
            world = run.played(fleet_with(LEAVES), seed)
            late = [
                each for server in world.servers.values()
                for each in server.arrivals if each.asked_at > DRAIN_S
                + server.told_leaving.get(each.host, math.inf)]
            with self.subTest(seed=seed):
                self.assertEqual([], late)

    def test_a_server_that_asked_for_rest_gets_rest(self):
        # One that refuses all and is never busy looked the best again
        # after 0.15 s, to every host.
        for seed in range(3):
            world = run.played(fleet_with(RESTS), seed)
            for server in world.servers.values():
                counts = [sum(
                    each.host == host
                    and asked_at + HEARD_S <= each.at < asked_at + rest_s
                    for each in server.arrivals)
                    for asked_at, host, rest_s in server.rests]
                with self.subTest(seed=seed, server=server.sid):
                    self.assertLessEqual(max(counts, default=0),
                                         IN_REST_MOST)


class LogTest(unittest.TestCase):
    """What a host writes down."""

    def test_a_line_where_a_server_first_leaves_or_wants_longer_rest(self):
        driver = support.Driver(
            support.route(), servers=(support.server("s1"),))
        found = (model.Hints(), model.Hints(leaving=True),
                 model.Hints(leaving=True, rest_s=3.0),
                 model.Hints(rest_s=2.0), model.Hints(rest_s=4.0))
        for key in range(len(found)):
            driver.arrive(key)
        lines = []
        for key, hints in enumerate(found):
            lines += support.only(driver.feed(
                events.HintsSeen(key, 0, hints)), effects.Note)
        self.assertEqual(
            ["server_leaving", "server_rests", "server_rests"],
            [line.event for line in lines])
        self.assertEqual([3.0, 4.0], [
            line.fields["rest_s"] for line in lines[1:]])


if __name__ == "__main__":
    unittest.main()
