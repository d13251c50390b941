"""Servers that leave, or ask a host for rest, by what they answer."""

import collections
import dataclasses
import itertools
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
# After a rest that all asked for, servers get this many times the usual in
# a second at the most.
HERD_TIMES = 3


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

    def test_the_end_of_all_rests_brings_no_herd(self):
        # All engines refuse for 3 s. What was refused meanwhile would come
        # back at the same moment, and be refused again.
        rest = deployments.Fault("rest", 4.0, 0.5, count=6, times=3.0)
        for seed in range(3):
            world = run.played(fleet_with(rest), seed)
            began = world.tally.began
            per_s = collections.Counter(
                int(each.at - began) for server in world.engines()
                for each in server.arrivals)
            usual = sum(per_s[second] for second in range(4)) / 4
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    max(per_s[second] for second in range(7, 12)),
                    HERD_TIMES * usual)


class LeavingTest(unittest.TestCase):
    """One host, a server that leaves, and what others say of it."""

    def setUp(self):
        self.driver = support.Driver(
            support.route(), support.stream(), servers=(
                support.server("s1"), support.server("s2"),
                support.server("e1", "engines"),
                support.server("e2", "engines")))
        self.host = self.driver.host
        self.keys = itertools.count(10)

    def _leaves(self, sid="s1"):
        """Have another host tell that a server leaves."""
        life = self.host.servers[sid].server.incarnation
        return self.driver.feed(events.HintsHeard(
            "other", (), ((sid, life),)))

    def _sent(self):
        out = self.driver.arrive(next(self.keys))
        return [each.server.sid for each in support.only(out, effects.Send)]

    def _all_sent(self):
        return {sid for _ in range(20) for sid in self._sent()}

    def test_one_answer_that_says_so_is_enough(self):
        self.assertEqual({"s1", "s2"}, self._all_sent())
        (sid,) = self._sent()
        self.driver.feed(events.HintsSeen(
            max(self.host.pending), 0, model.Hints(leaving=True)))
        self.assertEqual({"s1", "s2"} - {sid}, self._all_sent())

    def test_what_one_host_was_told_holds_at_others(self):
        self._leaves()
        self.assertEqual({"s2"}, self._all_sent())

    def test_it_is_told_at_once_and_until_the_store_says_so(self):
        self.driver.feed(events.Heard(
            support.peer("other"), True, False, 10, 5))
        (sid,) = self._sent()
        out = self.driver.feed(events.HintsSeen(
            10, 0, model.Hints(leaving=True)))
        row = (sid, self.host.servers[sid].server.incarnation)
        tells = support.only(out, effects.Tell)
        tells += support.only(
            self.driver.feed(events.Ticked(), 0.3), effects.Tell)
        self.assertEqual([(row,)] * 2, [
            each.event.servers_leaving for each in tells])
        self.driver.feed(events.ServersChanged(
            (support.server(sid, draining=True),), (), 6))
        for each in support.only(
                self.driver.feed(events.Ticked(), 0.3), effects.Tell):
            self.assertEqual((), each.event.servers_leaving)

    def test_an_entry_of_the_store_does_not_end_it(self):
        # The store takes its word late; a list of before says ready, and
        # an entry that lapsed comes back as ready.
        self._leaves()
        self.driver.feed(events.ServersListed(
            (support.server("s1"), support.server("s2")), 6))
        self.assertEqual({"s2"}, self._all_sent())
        self.driver.feed(events.ServersChanged((), ("s1",), 7))
        self.driver.feed(events.Ticked(), 5.0)
        self.driver.feed(events.ServersChanged(
            (support.server("s1"),), (), 8))
        self.assertEqual({"s2"}, self._all_sent())

    def test_another_life_of_it_does_not_leave(self):
        self.driver.feed(events.ServersChanged(
            (support.server("s1", born=1),), (), 6))
        self._leaves()
        self.driver.feed(events.ServersChanged(
            (support.server("s1", born=2),), (), 7))
        self.assertEqual({"s1", "s2"}, self._all_sent())

    def test_a_stream_goes_on_there_and_is_not_resumed_there(self):
        out = self.driver.arrive(1, path="/advice/1",
                                 prompt=support.prompt())
        (send,) = support.only(out, effects.Send)
        self.driver.feed(events.Opened(1, 0, None), 0.2)
        sid = send.server.sid
        out = self._leaves(sid)
        self.assertEqual([], support.only(out, effects.Cancel))
        other = "e2" if sid == "e1" else "e1"
        out = self.driver.feed(events.Broken(
            1, 0, model.Outcome.BROKEN, "reset", True), 0.2)
        self.assertEqual([other], [
            each.server.sid for each in support.only(out, effects.Send)])

    def test_a_stream_is_not_moved_where_all_others_leave(self):
        self.driver.arrive(1, path="/advice/1", prompt=support.prompt())
        target = self.host.pending[1].tries[0].sid
        self.driver.feed(events.Opened(1, 0, None), 0.2)
        self._leaves("e2" if target == "e1" else "e1")
        out = self.driver.feed(events.TimerFired(1), 2.0)
        self.assertEqual([effects.Timer], list(map(type, out)))

    def test_refused_with_the_time_to_come_back_where_all_leave(self):
        for sid in ("s1", "s2"):
            self._leaves(sid)
        (answer,) = support.only(self.driver.arrive(1), effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertGreater(answer.retry_s, 0.0)

    def test_it_is_forgotten_long_after_its_end(self):
        self._leaves()
        self.driver.feed(events.ServersChanged((), ("s1",), 6))
        self.driver.feed(events.Ticked(), 30.0)
        self.assertEqual(1, len(self.host.leaving))
        self.driver.feed(events.Ticked(), 40.0)
        self.assertEqual({}, self.host.leaving)


class RestTest(unittest.TestCase):
    """One host, and servers that refuse and want rest."""

    def setUp(self):
        self.driver = support.Driver(
            support.route(), support.stream(), servers=(
                support.server("s1"), support.server("s2")))
        self.host = self.driver.host
        self.keys = itertools.count(10)

    def _refuse(self, key, turn=0, rest_s=3.0):
        """Have the server of an attempt refuse it; return the effects."""
        self.driver.feed(events.HintsSeen(
            key, turn, model.Hints(rest_s=rest_s)))
        return self.driver.feed(events.Broken(
            key, turn, model.Outcome.NOT_RUN, "503"))

    def _ask(self):
        key = next(self.keys)
        out = self.driver.arrive(key)
        return key, [each.server.sid
                     for each in support.only(out, effects.Send)]

    def _rest(self, rest_s=3.0):
        """Have one server ask for rest; return the ids, its own first."""
        key, (sid,) = self._ask()
        self._refuse(key, rest_s=rest_s)
        return sid, "s2" if sid == "s1" else "s1"

    def test_it_gets_nothing_until_the_rest_is_over(self):
        resting, other = self._rest()
        for _ in range(28):
            self.driver.now += 0.1
            self.assertEqual([other], self._ask()[1])
        self.driver.now += 0.3
        self.assertIn(resting, {
            sid for _ in range(20) for sid in self._ask()[1]})

    def test_a_shorter_rest_does_not_end_a_longer_one(self):
        key, (sid,) = self._ask()
        other, (again,) = self._ask()
        while again != sid:
            other, (again,) = self._ask()
        self._refuse(key)
        self._refuse(other, rest_s=0.2)
        self.driver.now += 1.0
        self.assertNotIn(sid, {
            each for _ in range(20) for each in self._ask()[1]})

    def test_a_suspect_server_is_tried_and_not_one_that_rests(self):
        # With all others suspect a host passed over every reason not to.
        resting, other = self._rest()
        self.host.servers[other].suspect_until = math.inf
        for _ in range(5):
            self.assertEqual([other], self._ask()[1])

    def test_refused_with_the_time_of_rest_where_all_rest(self):
        key, (sid,) = self._ask()
        self._refuse(key)
        out = self._refuse(key, turn=1)
        (answer,) = support.only(out, effects.Answer)
        self.assertEqual(503, answer.status)
        (answer,) = support.only(
            self.driver.feed(events.Arrived(1, support.request(
                deadline_s=30.0))), effects.Answer)
        # No more than a third of what is left: a caller waits no longer.
        self.assertAlmostEqual(0.65, answer.retry_s, places=2)

    def test_callers_come_back_no_sooner_than_the_rest_is_over(self):
        driver = support.Driver(
            support.route(timeout_s=60.0, goal_s=0.4),
            servers=(support.server("s1"),))
        driver.arrive(1, deadline_s=60.0)
        driver.feed(events.HintsSeen(1, 0, model.Hints(rest_s=12.0)))
        (answer,) = support.only(driver.feed(events.Broken(
            1, 0, model.Outcome.NOT_RUN, "503")), effects.Answer)
        self.assertGreaterEqual(answer.retry_s, 12.0)

    def test_a_rest_that_ends_soon_is_waited_for(self):
        key, _ = self._ask()
        self._refuse(key, rest_s=0.1)
        out = self._refuse(key, turn=1, rest_s=0.1)
        key = next(self.keys)
        out = self.driver.arrive(key)
        self.assertEqual([effects.Timer], list(map(type, out)))
        out = self.driver.feed(events.TimerFired(key), 0.11)
        self.assertEqual(1, len(support.only(out, effects.Send)))

    def test_an_endless_rest_ends(self):
        resting, _ = self._rest(rest_s=1e9)
        self.driver.now += 61.0
        self.assertIn(resting, {
            sid for _ in range(20) for sid in self._ask()[1]})
        self.driver.feed(events.Ticked())
        self.assertEqual({}, self.host.rests)


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
