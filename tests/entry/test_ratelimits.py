"""Rates that servers name for all hosts together."""

import dataclasses
import math
import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from emulator import deployment as deployments
from emulator import run
from tests.entry import support

# From this long after a server first named its rate, s, it may get this
# many times what the rate allows in any span, s, and a few requests more.
# A host counts from this long after it passed on such an answer, s.
STABLE_S = 3.0
SPAN_S = 4.0
TIMES = 1.5
MORE = 5
TOLD_S = 0.5
LIMITED_AT = 4.0


def over_rate(server, rate, since):
    """Return the spans with more than the rate allows, (until, count)."""
    most = TIMES * rate * SPAN_S + MORE
    times = [at for at, host in server.arrivals
             if at >= server.told.get(host, math.inf) + TOLD_S]
    found = []
    for last in times:
        count = sum(last - SPAN_S < at <= last for at in times)
        if last >= since + STABLE_S and count > most:
            found.append((last, count))
    return found


def limited_fleet(rate, hosts=6, count=2, for_s=12.0, faults=()):
    """Return a deployment where engines name a rate for a while."""
    known = deployments.read("six-engines")
    limit = deployments.Fault(
        "limit", LIMITED_AT, for_s, count=count, times=rate)
    return dataclasses.replace(
        known, hosts=hosts, seconds=20.0, faults=(limit, *faults))


def play(deployment, seed):
    """Return the world of a run after its end."""
    world = run.World(deployment, seed)
    world.begin()
    world.load()
    world.clock.run(world.tally.began + deployment.seconds + 8.0)
    return world


class FleetTest(unittest.TestCase):
    """Hosts keep to a server's rate together."""

    def test_engines_get_no_more_than_they_name(self):
        # Engines in need were sent as much as before by all hosts.
        for seed, rate in ((1, 1.0), (2, 1.3), (3, 0.5), (4, 3.0)):
            world = play(limited_fleet(rate), seed)
            since = world.tally.began + LIMITED_AT
            for server in world.servers.values():
                if server.told:
                    with self.subTest(seed=seed, server=server.sid):
                        self.assertEqual(
                            [], over_rate(server, rate, since))


class LogTest(unittest.TestCase):
    """What a host writes down of the rates that servers name."""

    def test_a_line_for_each_change_of_what_an_answer_names(self):
        driver = support.Driver(
            support.route(), servers=(support.server("s1"),))
        lines = []
        for key, rate in enumerate((None, 1.5, 1.5, 2.0, None)):
            driver.arrive(key)
            lines += support.only(driver.feed(events.HintsSeen(
                key, 0, model.Hints(rate))), effects.Note)
        self.assertEqual(
            [(None, 1.5), (1.5, 2.0), (2.0, None)],
            [(line.fields["was"], line.fields["rate"]) for line in lines])


if __name__ == "__main__":
    unittest.main()
