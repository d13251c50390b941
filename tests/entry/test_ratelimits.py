"""Rates that servers name for all hosts together."""

import dataclasses
import itertools
import math
import unittest
import unittest.mock

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import routing
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
LIMITED_S = 12.0


def over_rate(server, rate, since, until, excused=()):
    """Return the spans with more than the rate allows, (until, count).

    The server names it from ``since`` to ``until``; what ``excused`` hosts
    send does not count.
    """
    most = TIMES * rate * SPAN_S + MORE
    times = [each.at for each in server.arrivals
             if each.at >= server.told.get(each.host, math.inf) + TOLD_S
             and each.host not in excused]
    found = []
    for last in times:
        count = sum(last - SPAN_S < at <= last for at in times)
        if since + STABLE_S <= last <= until and count > most:
            found.append((last, count))
    return found


def limited_fleet(rate, hosts=6, count=2, faults=()):
    """Return a deployment where engines name a rate for a while."""
    known = deployments.read("six-engines")
    limit = deployments.Fault(
        "limit", LIMITED_AT, LIMITED_S, count=count, times=rate)
    return dataclasses.replace(
        known, hosts=hosts, seconds=20.0, faults=(limit, *faults))


class FleetTest(unittest.TestCase):
    """Hosts keep to a server's rate together."""

    def test_engines_get_no_more_than_they_name(self):
        # Engines in need were sent as much as before by all hosts.
        for seed, rate in ((1, 1.0), (2, 1.3), (3, 0.5), (4, 3.0)):
            world = run.played(limited_fleet(rate), seed)
            since = world.tally.began + LIMITED_AT
            for server in world.servers.values():
                if server.told:
                    with self.subTest(seed=seed, server=server.sid):
                        self.assertEqual(
                            [], over_rate(
                                server, rate, since, since + LIMITED_S))

    def test_restarts_of_hosts_leave_the_sum_within_the_rate(self):
        # Each host that begins anew, or takes the place of one that was
        # killed, would begin with a burst of its own.
        kills = tuple(deployments.Fault("kill", at, 1.0)
                      for at in (6.0, 8.0, 10.0, 12.0, 14.0))
        for seed in range(3):
            world = run.played(limited_fleet(1.0, faults=kills), seed)
            since = world.tally.began + LIMITED_AT
            for server in world.servers.values():
                if server.told:
                    with self.subTest(seed=seed, server=server.sid):
                        self.assertEqual([], over_rate(
                            server, 1.0, since, since + LIMITED_S))

    def test_hosts_that_are_cut_off_leave_the_others_within_the_rate(self):
        # Four of nine hosts hear no others, one is killed and comes back:
        # each side takes the other for lost, and shares the rate anew.
        faults = (deployments.Fault("part", 6.0, 5.0, count=4),
                  deployments.Fault("kill", 7.0, 1.0))
        for seed in range(3):
            world = run.played(
                limited_fleet(1.0, hosts=9, faults=faults), seed)
            since = world.tally.began + LIMITED_AT
            sides = world.names[:4], world.names[4:]
            for server in world.servers.values():
                for excused in sides if server.told else ():
                    with self.subTest(seed=seed, server=server.sid):
                        self.assertEqual([], over_rate(
                            server, 1.0, since, since + LIMITED_S, excused))

    def test_a_large_fleet_keeps_to_it_too(self):
        # Of one request a second 40 hosts can't each have a part: the
        # server got nothing for as long as it was in need.
        world = run.played(limited_fleet(1.0, hosts=40, count=3), 1)
        since = world.tally.began + LIMITED_AT
        for server in world.servers.values():
            if server.told:
                until = since + LIMITED_S
                self.assertEqual([], over_rate(server, 1.0, since, until))
                got = sum(since <= each.at <= until
                          for each in server.arrivals)
                self.assertGreater(got, LIMITED_S / 2)

    def test_all_hosts_learn_that_a_limit_is_lifted(self):
        # Most hosts send a limited server nothing, and would leave it
        # alone for good.
        world = run.played(dataclasses.replace(
            limited_fleet(0.5), seconds=28.0), 1)
        lifted_at = world.tally.began + LIMITED_AT + LIMITED_S
        for server in world.servers.values():
            if server.told:
                senders = {each.host for each in server.arrivals
                           if each.at > lifted_at}
                self.assertEqual(set(world.names), senders)
        self.assertEqual([0] * 6, [
            ratelimits.limited(host.core) for host in world.hosts.values()])


class HostTest(unittest.TestCase):
    """One host, and what others tell it."""

    def setUp(self):
        self.driver = support.Driver(
            support.route(), support.stream(),
            support.route("brief", kind=model.Kind.STREAM,
                          split=(("engines", 1),), timeout_s=8.0,
                          goal_s=2.0, priority=2),
            servers=(support.server("s1"), support.server("e1", "engines"),
                     support.server("e2", "engines")))
        self.host = self.driver.host
        self.keys = itertools.count(10)

    def _name(self, rate, sid="s1"):
        """Have an answer of a server name a rate."""
        life = self.host.servers[sid].server.incarnation
        return self.driver.feed(events.HintsHeard(
            "other", ((life, rate, -200),)))

    def _sent(self, path="/booking/1", after=0.0, prompt=None):
        self.driver.now += after
        out = self.driver.arrive(next(self.keys), path=path, prompt=prompt)
        return [each.server.sid for each in support.only(out, effects.Send)]

    def test_a_host_alone_sends_one_burst_and_then_the_rate(self):
        self._name(1.0)
        times = []
        for _ in range(200):
            if self._sent(after=0.1):
                times.append(self.driver.now)
        for at in times:
            self.assertLessEqual(
                sum(at <= other < at + SPAN_S for other in times),
                TIMES * SPAN_S + MORE)
        self.assertGreaterEqual(len(times), 18)

    def test_a_rate_of_none_at_all_still_lets_a_probe_through(self):
        # Otherwise no answer could say that it takes requests again.
        self._name(0.0)
        sent = sum(bool(self._sent(after=0.5)) for _ in range(40))
        self.assertTrue(2 <= sent <= 5, sent)

    def test_refused_with_the_time_to_come_back_if_all_are_limited(self):
        self._name(0.5)
        (answer,) = support.only(self.driver.arrive(1), effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertGreater(answer.retry_s, 0.1)
        self.assertEqual({}, self.host.pending)

    def test_held_where_a_rate_soon_has_room(self):
        self._name(8.0)
        out = self.driver.arrive(1)
        self.assertEqual([effects.Timer], list(map(type, out)))
        out = self.driver.feed(events.TimerFired(1), 0.13)
        self.assertEqual(1, len(support.only(out, effects.Send)))

    def test_not_held_for_a_server_that_has_refused_it(self):
        # The other one was limited: the request waited half its goal for
        # the one that it may not go to again.
        self.driver.feed(events.ServersChanged(
            (support.server("s2"),), (), 6))
        (sid,) = self._sent()
        self._name(0.1, "s2" if sid == "s1" else "s1")
        out = self.driver.feed(events.Broken(
            10, 0, model.Outcome.NOT_RUN, "503"))
        self.assertEqual(1, len(support.only(out, effects.Answer)))

    def test_what_is_left_of_a_rate_is_for_the_most_urgent(self):
        for sid in ("e1", "e2"):
            self._name(2.5, sid)
        asked = (("/brief/1", "draft"), ("/advice/1", "chat"))
        for key, (path, part) in enumerate(asked):
            self.driver.arrive(key, path=path, deadline_s=8.0,
                               prompt=support.prompt(part, 300, 900))
        self.assertEqual({0, 1}, self.host.held)
        self.driver.now += 0.4
        self.assertEqual([], support.only(
            self.driver.feed(events.TimerFired(0)), effects.Send))
        self.assertEqual(1, len(support.only(
            self.driver.feed(events.TimerFired(1)), effects.Send)))
        self.assertEqual(1, len(support.only(
            self.driver.feed(events.TimerFired(0)), effects.Send)))

    def test_a_second_server_without_room_leaves_the_first_alone(self):
        # A slow call lost its first attempt, too, when the second found
        # no server with room.
        self.driver.feed(events.ServersChanged(
            (support.server("s2"),), (), 6))
        (sid,) = self._sent()
        self._name(0.1, "s2" if sid == "s1" else "s1")
        out = self.driver.feed(events.TimerFired(10), 0.3)
        self.assertEqual([effects.Timer], list(map(type, out)))

    def test_who_comes_to_share_a_rate_begins_with_an_empty_bucket(self):
        # Hosts that took the place of lost ones had filled theirs, and
        # each sent a burst of its own.
        names = sorted(map(str, range(100)), key=lambda name: (
            routing.name_hash(name, "s1")))
        first = [name for name in names if routing.name_hash(
            name, "s1") < routing.name_hash("me", "s1")][:2]
        for _ in range(20):
            for name in first:
                self.driver.feed(events.Heard(
                    support.peer(name), True, False, 10, 5))
            self._name(0.1)
            self.driver.feed(events.Ticked(), 0.3)
        self.driver.feed(events.Ticked(), 0.3)
        self.assertEqual(3, len(fleet.carriers(self.host, self.driver.now)))
        for _ in range(6):
            self.driver.feed(events.Ticked(), 0.3)
        self.assertEqual(1, len(fleet.carriers(self.host, self.driver.now)))
        self.assertEqual([], self._sent())

    def test_a_server_that_starts_again_is_not_limited(self):
        self.driver.feed(events.ServersChanged(
            (support.server("s1", born=1),), (), 6))
        self._name(0.1)
        self.assertEqual([], self._sent())
        self.driver.feed(events.ServersChanged(
            (support.server("s1", born=2),), (), 7))
        self.assertEqual(["s1"], self._sent())

    def test_an_entry_that_lapsed_and_came_back_is_still_limited(self):
        # The store was away; the server is the same one, and in need.
        self._name(0.1)
        self.driver.feed(events.ServersChanged((), ("s1",), 6))
        self.driver.feed(events.Ticked(), 1.0)
        self.assertNotIn("s1", self.host.servers)
        self.driver.feed(events.ServersChanged(
            (support.server("s1"),), (), 7))
        self.assertEqual([], self._sent())

    def test_a_late_word_of_another_host_does_not_lift_a_limit(self):
        self._name(0.1)
        life = self.host.servers["s1"].server.incarnation
        self.driver.feed(events.HintsHeard(
            "other", ((life, None, 500),)), 0.1)
        self.assertEqual([], self._sent())

    def test_an_answer_to_an_earlier_request_does_not_lift_a_limit(self):
        # Held up on the way, it was written before the server was in need.
        self.driver.arrive(1)
        self.driver.now += 0.5
        self._name(0.1)
        self.driver.feed(events.HintsSeen(1, 0, model.Hints()), 0.5)
        self.assertEqual([], self._sent())

    def test_who_missed_that_a_limit_was_lifted_is_told_again(self):
        # It would leave the server alone for good: nothing that it does
        # shows it.
        self._name(0.1)
        self.driver.now += 5.0
        self._name(None)
        self.driver.now += 5.0
        self.assertEqual((), ratelimits.rows(self.host, self.driver.now))
        life = self.host.servers["s1"].server.incarnation
        self.driver.feed(events.HintsHeard(
            "other", ((life, 0.1, 9_900),)))
        ((told, rate, age_ms),) = ratelimits.rows(
            self.host, self.driver.now)
        self.assertEqual((life, None), (told, rate))
        self.assertLess(age_ms, 9_900)

    def test_of_more_limits_than_a_datagram_holds_all_are_told(self):
        # Each state named the same ones; the others were never told.
        servers = [support.server(f"x{n}") for n in range(600)]
        self.driver.feed(events.ServersChanged(tuple(servers), (), 6))
        for server in servers:
            self._name(1.0, server.sid)
        self.driver.feed(events.Heard(
            support.peer("other"), True, False, 10, 6))
        told = set()
        for _ in range(20):
            for each in support.only(
                    self.driver.feed(events.Ticked(), 0.3), effects.Tell):
                self.assertLessEqual(len(each.event.rate_limits), 400)
                told.update(row[0] for row in each.event.rate_limits)
        self.assertEqual(600, len(told))

    def test_a_share_is_worked_out_once_while_the_fleet_is_the_same(self):
        # With 1,700 limited servers it took half of a processor.
        self._name(1.0)
        self.driver.feed(events.Ticked(), 0.3)
        with unittest.mock.patch.object(
                ratelimits, "_share_of", wraps=ratelimits._share_of) as spy:
            for _ in range(10):
                self.driver.feed(events.Ticked(), 0.3)
                self._sent()
            self.assertEqual(0, spy.call_count)
            self.driver.feed(events.Heard(
                support.peer("other"), True, False, 10, 5))
            self.driver.feed(events.Ticked(), 0.3)
            self.assertEqual(1, spy.call_count)

    def test_a_rate_is_told_to_others_at_once_and_in_each_state(self):
        self.driver.feed(events.Heard(
            support.peer("other"), True, False, 10, 5))
        self.driver.arrive(1)
        out = self.driver.feed(
            events.HintsSeen(1, 0, model.Hints(2.0)), 0.5)
        (tell,) = support.only(out, effects.Tell)
        self.assertEqual("other", tell.peer.name)
        row = (self.host.servers["s1"].server.incarnation, 2.0, 0)
        self.assertEqual((row,), tell.event.rate_limits)
        for each in support.only(
                self.driver.feed(events.Ticked(), 0.3), effects.Tell):
            self.assertEqual(2.0, each.event.rate_limits[0][1])


class LogTest(unittest.TestCase):
    """What a host writes down of the rates that servers name."""

    def test_a_line_for_each_change_of_what_an_answer_names(self):
        driver = support.Driver(
            support.route(), servers=(support.server("s1"),))
        lines = []
        rates = (None, 1.5, 1.5, 2.0, None)
        for key in range(len(rates)):
            driver.arrive(key)
        for key, rate in enumerate(rates):
            lines += support.only(driver.feed(events.HintsSeen(
                key, 0, model.Hints(rate))), effects.Note)
        self.assertEqual(
            [(None, 1.5), (1.5, 2.0), (2.0, None)],
            [(line.fields["was"], line.fields["rate"]) for line in lines])


if __name__ == "__main__":
    unittest.main()
