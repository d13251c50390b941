"""Rate limits that servers set for all hosts together."""

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

# From SETTLED_S after a server first set its rate, it may get at most
# MAX_RATE_FACTOR times the rate in any window of WINDOW_S, plus EXTRA
# requests. A host's requests count from REACTION_S after it forwarded a
# response with the rate. Times are in s.
SETTLED_S = 3.0
WINDOW_S = 4.0
MAX_RATE_FACTOR = 1.5
EXTRA = 5
REACTION_S = 0.5
LIMITED_AT = 4.0
LIMITED_S = 12.0


def windows_over_rate(server, rate, since, until, excluded=()):
    """Return the windows with more requests than allowed, (end, count).

    The server sets the rate from ``since`` to ``until``; requests of
    ``excluded`` hosts don't count.
    """
    limit = MAX_RATE_FACTOR * rate * WINDOW_S + EXTRA
    times = [each.at for each in server.arrivals
             if each.at >= server.told.get(each.host, math.inf) + REACTION_S
             and each.host not in excluded]
    exceeded = []
    for last in times:
        count = sum(last - WINDOW_S < at <= last for at in times)
        if since + SETTLED_S <= last <= until and count > limit:
            exceeded.append((last, count))
    return exceeded


def limited_deployment(rate, hosts=6, count=2, faults=()):
    """Return a deployment where engines set a rate limit for a while."""
    known = deployments.read("six-engines")
    limit = deployments.Fault(
        "limit", LIMITED_AT, LIMITED_S, count=count, times=rate)
    return dataclasses.replace(
        known, hosts=hosts, seconds=20.0, faults=(limit, *faults))


class FleetTest(unittest.TestCase):
    """Hosts together stay within a server's rate."""

    def test_engines_get_no_more_than_their_rate(self):
        # All hosts sent overloaded engines as many requests as before.
        for seed, rate in ((1, 1.0), (2, 1.3), (3, 0.5), (4, 3.0)):
            world = run.played(limited_deployment(rate), seed)
            since = world.tally.began + LIMITED_AT
            for server in world.servers.values():
                if server.told:
                    with self.subTest(seed=seed, server=server.sid):
                        self.assertEqual(
                            [], windows_over_rate(
                                server, rate, since, since + LIMITED_S))

    def test_hosts_stay_within_the_rate_when_hosts_restart(self):
        # Each host that restarted, or took the place of a killed one, would
        # send a burst of its own.
        kills = tuple(deployments.Fault("kill", at, 1.0)
                      for at in (6.0, 8.0, 10.0, 12.0, 14.0))
        for seed in range(3):
            world = run.played(limited_deployment(1.0, faults=kills), seed)
            since = world.tally.began + LIMITED_AT
            for server in world.servers.values():
                if server.told:
                    with self.subTest(seed=seed, server=server.sid):
                        self.assertEqual([], windows_over_rate(
                            server, 1.0, since, since + LIMITED_S))

    def test_hosts_stay_within_the_rate_in_a_network_partition(self):
        # Four of nine hosts are cut off from the others, one is killed and
        # returns: each side considers the other lost and redistributes the
        # rate.
        faults = (deployments.Fault("part", 6.0, 5.0, count=4),
                  deployments.Fault("kill", 7.0, 1.0))
        for seed in range(3):
            world = run.played(
                limited_deployment(1.0, hosts=9, faults=faults), seed)
            since = world.tally.began + LIMITED_AT
            sides = world.names[:4], world.names[4:]
            for server in world.servers.values():
                for excluded in sides if server.told else ():
                    with self.subTest(seed=seed, server=server.sid):
                        self.assertEqual([], windows_over_rate(
                            server, 1.0, since, since + LIMITED_S,
                            excluded))

    def test_both_sides_of_a_partition_stay_within_the_rate_together(self):
        # Each half of a partitioned fleet that reaches the server shares out
        # the whole rate among its own hosts.
        cut = deployments.Fault("part", 6.0, 8.0, count=4)
        over = []
        for seed, rate in ((1, 1.0), (2, 3.0), (3, 6.0)):
            world = run.played(
                limited_deployment(rate, hosts=9, faults=(cut,)), seed)
            since = world.tally.began + LIMITED_AT
            for server in world.servers.values():
                if server.told:
                    over += windows_over_rate(
                        server, rate, since, since + LIMITED_S)
        self.assertEqual([], over)

    def test_a_large_fleet_stays_within_the_rate(self):
        # 40 hosts can't each have a share of one request a second: the
        # server got no requests while it was overloaded.
        world = run.played(limited_deployment(1.0, hosts=40, count=3), 1)
        since = world.tally.began + LIMITED_AT
        for server in world.servers.values():
            if server.told:
                until = since + LIMITED_S
                self.assertEqual([], windows_over_rate(
                    server, 1.0, since, until))
                received = sum(since <= each.at <= until
                               for each in server.arrivals)
                self.assertGreater(received, LIMITED_S / 2)

    def test_all_hosts_learn_that_a_limit_is_lifted(self):
        # Most hosts send a limited server nothing, and would never send it
        # requests again.
        world = run.played(dataclasses.replace(
            limited_deployment(0.5), seconds=28.0), 1)
        lifted_at = world.tally.began + LIMITED_AT + LIMITED_S
        for server in world.servers.values():
            if server.told:
                senders = {each.host for each in server.arrivals
                           if each.at > lifted_at}
                self.assertEqual(set(world.names), senders)
        self.assertEqual([0] * 6, [
            ratelimits.count_limited(host.core)
            for host in world.hosts.values()])


class HostTest(unittest.TestCase):
    """One host, and reports of other hosts."""

    def setUp(self):
        self.driver = support.Driver(
            support.route(), support.stream(),
            support.route("brief", kind=model.Kind.STREAM,
                          split=(("engines", 1),), timeout_s=8.0,
                          target_s=2.0, priority=2),
            servers=(support.server("s1"), support.server("e1", "engines"),
                     support.server("e2", "engines")))
        self.host = self.driver.host
        self.keys = itertools.count(10)

    def _set_rate(self, rate, sid="s1"):
        """Receive another host's report of a server's rate."""
        incarnation = self.host.servers[sid].server.incarnation
        return self.driver.feed(events.PeerHintsReceived(
            "other", ((incarnation, rate, -200),)))

    def _send_request(self, path="/booking/1", after=0.0, prompt=None):
        self.driver.now += after
        out = self.driver.arrive(next(self.keys), path=path, prompt=prompt)
        return [each.server.sid
                for each in support.effects_of(out, effects.SendRequest)]

    def test_a_single_host_sends_one_burst_and_then_the_rate(self):
        self._set_rate(1.0)
        times = []
        for _ in range(200):
            if self._send_request(after=0.1):
                times.append(self.driver.now)
        for at in times:
            self.assertLessEqual(
                sum(at <= other < at + WINDOW_S for other in times),
                MAX_RATE_FACTOR * WINDOW_S + EXTRA)
        self.assertGreaterEqual(len(times), 18)

    def test_a_rate_of_zero_still_lets_probes_through(self):
        # Otherwise no response could report that the limit was lifted.
        self._set_rate(0.0)
        sent = sum(bool(self._send_request(after=0.5)) for _ in range(40))
        self.assertTrue(2 <= sent <= 5, sent)

    def test_refused_with_a_retry_time_if_all_are_limited(self):
        self._set_rate(0.5)
        (answer,) = support.effects_of(self.driver.arrive(1), effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertGreater(answer.retry_delay_s, 0.1)
        self.assertEqual({}, self.host.pending)

    def test_held_if_a_rate_limit_soon_allows_it(self):
        self._set_rate(8.0)
        out = self.driver.arrive(1)
        self.assertEqual([effects.SetRequestTimer], list(map(type, out)))
        out = self.driver.feed(events.TimerFired(1), 0.13)
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))

    def test_not_held_for_a_server_that_refused_it(self):
        # With the other server limited, the request waited half its goal
        # for the server that it must not be sent to again.
        self.driver.feed(events.ServersChanged(
            (support.server("s2"),), (), 6))
        (sid,) = self._send_request()
        self._set_rate(0.1, "s2" if sid == "s1" else "s1")
        out = self.driver.feed(events.AttemptFailed(
            10, 0, model.Outcome.NOT_RUN, "503"))
        self.assertEqual(1, len(support.effects_of(out, effects.Answer)))

    def test_the_rest_of_a_rate_is_reserved_for_the_most_urgent(self):
        for sid in ("e1", "e2"):
            self._set_rate(2.5, sid)
        asked = (("/brief/1", "draft"), ("/advice/1", "chat"))
        for key, (path, part) in enumerate(asked):
            self.driver.arrive(key, path=path, deadline_s=8.0,
                               prompt=support.prompt(part, 300, 900))
        self.assertEqual({0, 1}, self.host.held)
        self.driver.now += 0.4
        self.assertEqual([], support.effects_of(
            self.driver.feed(events.TimerFired(0)), effects.SendRequest))
        self.assertEqual(1, len(support.effects_of(
            self.driver.feed(events.TimerFired(1)), effects.SendRequest)))
        self.assertEqual(1, len(support.effects_of(
            self.driver.feed(events.TimerFired(0)), effects.SendRequest)))

    def test_a_limited_second_server_does_not_end_the_first_attempt(self):
        # When no server was available for the second attempt of a slow
        # call, the first attempt was ended, too.
        self.driver.feed(events.ServersChanged(
            (support.server("s2"),), (), 6))
        (sid,) = self._send_request()
        self._set_rate(0.1, "s2" if sid == "s1" else "s1")
        out = self.driver.feed(events.TimerFired(10), 0.3)
        self.assertEqual([effects.SetRequestTimer], list(map(type, out)))

    def test_a_host_that_starts_to_share_a_rate_has_an_empty_bucket(self):
        # Hosts that took the place of lost ones had full buckets, and each
        # sent a burst of its own.
        names = sorted(map(str, range(100)), key=lambda name: (
            routing.cached_unit_hash(name, "s1")))
        first = [name for name in names if routing.cached_unit_hash(
            name, "s1") < routing.cached_unit_hash("me", "s1")][:2]
        for _ in range(20):
            for name in first:
                self.driver.feed(events.PeerStateReceived(
                    support.peer(name), True, False, 10, 5))
            self._set_rate(0.1)
            self.driver.feed(events.Ticked(), 0.3)
        self.driver.feed(events.Ticked(), 0.3)
        self.assertEqual(3,
                         len(fleet.serving_hosts(self.host, self.driver.now)))
        for _ in range(6):
            self.driver.feed(events.Ticked(), 0.3)
        self.assertEqual(1,
                         len(fleet.serving_hosts(self.host, self.driver.now)))
        self.assertEqual([], self._send_request())

    def test_a_restarted_server_is_not_limited(self):
        self.driver.feed(events.ServersChanged(
            (support.server("s1", started_ms=1),), (), 6))
        self._set_rate(0.1)
        self.assertEqual([], self._send_request())
        self.driver.feed(events.ServersChanged(
            (support.server("s1", started_ms=2),), (), 7))
        self.assertEqual(["s1"], self._send_request())

    def test_an_entry_that_expired_and_returned_is_still_limited(self):
        # After a store outage the server is the same and still overloaded.
        self._set_rate(0.1)
        self.driver.feed(events.ServersChanged((), ("s1",), 6))
        self.driver.feed(events.Ticked(), 1.0)
        self.assertNotIn("s1", self.host.servers)
        self.driver.feed(events.ServersChanged(
            (support.server("s1"),), (), 7))
        self.assertEqual([], self._send_request())

    def test_an_outdated_report_does_not_lift_a_limit(self):
        self._set_rate(0.1)
        incarnation = self.host.servers["s1"].server.incarnation
        self.driver.feed(events.PeerHintsReceived(
            "other", ((incarnation, None, 500),)), 0.1)
        self.assertEqual([], self._send_request())

    def test_a_response_to_an_earlier_request_does_not_lift_a_limit(self):
        # It was delayed, and sent before the server was overloaded.
        self.driver.arrive(1)
        self.driver.now += 0.5
        self._set_rate(0.1)
        self.driver.feed(events.HintsReceived(1, 0, model.Hints()), 0.5)
        self.assertEqual([], self._send_request())

    def test_a_host_that_missed_the_end_of_a_limit_is_notified_again(self):
        # Otherwise it would never send the server requests again, and so
        # never learn that the limit was lifted.
        self._set_rate(0.1)
        self.driver.now += 5.0
        self._set_rate(None)
        self.driver.now += 5.0
        self.assertEqual((), ratelimits.rows(self.host, self.driver.now))
        incarnation = self.host.servers["s1"].server.incarnation
        self.driver.feed(events.PeerHintsReceived(
            "other", ((incarnation, 0.1, 9_900),)))
        ((announced, rate, age_ms),) = ratelimits.rows(
            self.host, self.driver.now)
        self.assertEqual((incarnation, None), (announced, rate))
        self.assertLess(age_ms, 9_900)

    def test_more_limits_than_fit_a_datagram_are_all_announced(self):
        # Each state contained the same limits; others were never sent.
        servers = [support.server(f"x{n}") for n in range(600)]
        self.driver.feed(events.ServersChanged(tuple(servers), (), 6))
        for server in servers:
            self._set_rate(1.0, server.sid)
        self.driver.feed(events.PeerStateReceived(
            support.peer("other"), True, False, 10, 6))
        announced = set()
        for _ in range(20):
            for each in support.effects_of(
                    self.driver.feed(events.Ticked(), 0.3),
                    effects.SendToPeer):
                self.assertLessEqual(len(each.event.rate_limits), 400)
                announced.update(row[0] for row in each.event.rate_limits)
        self.assertEqual(600, len(announced))

    def test_a_share_is_computed_only_when_the_fleet_changes(self):
        # Without a cache, 1,700 limited servers took half of a CPU.
        self._set_rate(1.0)
        self.driver.feed(events.Ticked(), 0.3)
        with unittest.mock.patch.object(
                ratelimits, "_compute_share",
                wraps=ratelimits._compute_share) as spy:
            for _ in range(10):
                self.driver.feed(events.Ticked(), 0.3)
                self._send_request()
            self.assertEqual(0, spy.call_count)
            self.driver.feed(events.PeerStateReceived(
                support.peer("other"), True, False, 10, 5))
            self.driver.feed(events.Ticked(), 0.3)
            self.assertEqual(1, spy.call_count)

    def test_a_rate_is_announced_at_once_and_in_each_state(self):
        self.driver.feed(events.PeerStateReceived(
            support.peer("other"), True, False, 10, 5))
        self.driver.arrive(1)
        out = self.driver.feed(
            events.HintsReceived(1, 0, model.Hints(2.0)), 0.5)
        (sent,) = support.effects_of(out, effects.SendToPeer)
        self.assertEqual("other", sent.peer.name)
        row = (self.host.servers["s1"].server.incarnation, 2.0, 0)
        self.assertEqual((row,), sent.event.rate_limits)
        for each in support.effects_of(
                self.driver.feed(events.Ticked(), 0.3), effects.SendToPeer):
            self.assertEqual(2.0, each.event.rate_limits[0][1])


class LogTest(unittest.TestCase):
    """Log lines about rate limits."""

    def test_a_line_for_each_change_of_a_rate(self):
        driver = support.Driver(
            support.route(), servers=(support.server("s1"),))
        lines = []
        rates = (None, 1.5, 1.5, 2.0, None)
        for key in range(len(rates)):
            driver.arrive(key)
        for key, rate in enumerate(rates):
            lines += support.effects_of(driver.feed(events.HintsReceived(
                key, 0, model.Hints(rate))), effects.LogEvent)
        self.assertEqual(
            [(None, 1.5), (1.5, 2.0), (2.0, None)],
            [(line.fields["was"], line.fields["rate"]) for line in lines])


if __name__ == "__main__":
    unittest.main()
