"""Servers that drain, or ask a host to back off, in their responses."""

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


LEAVE_FAULT = deployments.Fault("leave", 4.0, 8.0, count=2)
REST_FAULT = deployments.Fault("rest", 4.0, 8.0, count=2, times=3.0)
# Requests that callers send later than this after a host forwarded a response
# of a draining server must not go to that server, s.
DRAIN_S = 2.0
# From this long after a server asked a host to back off, s, until the end of
# that time, the server gets at most this many requests from the host.
REACTION_S = 0.5
MAX_REQUESTS_IN_BACKOFF = 2
# After all servers asked for backoff, they get at most this many times the
# usual requests in a second.
MAX_HERD_FACTOR = 3


def deployment_with(fault):
    """Return a deployment of six hosts and six engines with a fault."""
    return dataclasses.replace(
        deployments.read("six-engines"), seconds=16.0, faults=(fault,))


class FleetTest(unittest.TestCase):
    """Requests to servers that drain, or that asked for backoff."""

    def test_a_server_that_reported_draining_gets_no_new_requests(self):
        # While the store was unavailable, hosts sent requests to a draining
        # server until the store was back.
        for seed in range(3):
            world = run.played(deployment_with(LEAVE_FAULT), seed)
            late = [
                each for server in world.servers.values()
                for each in server.arrivals if each.asked_at > DRAIN_S
                + server.told_leaving.get(each.host, math.inf)]
            with self.subTest(seed=seed):
                self.assertEqual([], late)

    def test_hosts_honor_a_backoff_request(self):
        # A server that refuses all requests is never busy, so every host
        # considered it the best one again after 0.15 s.
        for seed in range(3):
            world = run.played(deployment_with(REST_FAULT), seed)
            for server in world.servers.values():
                counts = [sum(
                    each.host == host
                    and asked_at + REACTION_S <= each.at < asked_at + rest_s
                    for each in server.arrivals)
                    for asked_at, host, rest_s in server.rests]
                with self.subTest(seed=seed, server=server.sid):
                    self.assertLessEqual(max(counts, default=0),
                                         MAX_REQUESTS_IN_BACKOFF)

    def test_the_end_of_all_backoffs_causes_no_thundering_herd(self):
        # All engines refuse for 3 s. The requests refused meanwhile would
        # be retried at the same moment, and be refused again.
        rest = deployments.Fault("rest", 4.0, 0.5, count=6, times=3.0)
        for seed in range(3):
            world = run.played(deployment_with(rest), seed)
            began = world.tally.began
            per_s = collections.Counter(
                int(each.at - began) for server in world.engines()
                for each in server.arrivals)
            average = sum(per_s[second] for second in range(4)) / 4
            with self.subTest(seed=seed):
                self.assertLessEqual(
                    max(per_s[second] for second in range(7, 12)),
                    MAX_HERD_FACTOR * average)


class LeavingTest(unittest.TestCase):
    """One host, a draining server, and reports of other hosts."""

    def setUp(self):
        self.driver = support.Driver(
            support.route(), support.stream(), servers=(
                support.server("s1"), support.server("s2"),
                support.server("e1", "engines"),
                support.server("e2", "engines")))
        self.host = self.driver.host
        self.keys = itertools.count(10)

    def _report_draining(self, sid="s1"):
        """Receive another host's report that a server is draining."""
        incarnation = self.host.servers[sid].server.incarnation
        return self.driver.feed(events.PeerHintsReceived(
            "other", (), ((sid, incarnation),)))

    def _send_request(self):
        out = self.driver.arrive(next(self.keys))
        return [each.server.sid
                for each in support.effects_of(out, effects.SendRequest)]

    def _used_servers(self):
        return {sid for _ in range(20) for sid in self._send_request()}

    def test_one_response_that_reports_draining_is_enough(self):
        self.assertEqual({"s1", "s2"}, self._used_servers())
        (sid,) = self._send_request()
        self.driver.feed(events.HintsReceived(
            max(self.host.pending), 0, model.Hints(leaving=True)))
        self.assertEqual({"s1", "s2"} - {sid}, self._used_servers())

    def test_a_report_of_another_host_applies(self):
        self._report_draining()
        self.assertEqual({"s2"}, self._used_servers())

    def test_it_is_announced_at_once_and_until_the_store_lists_it(self):
        self.driver.feed(events.PeerStateReceived(
            support.peer("other"), True, False, 10, 5))
        (sid,) = self._send_request()
        out = self.driver.feed(events.HintsReceived(
            10, 0, model.Hints(leaving=True)))
        row = (sid, self.host.servers[sid].server.incarnation)
        sent = support.effects_of(out, effects.SendToPeer)
        sent += support.effects_of(
            self.driver.feed(events.Ticked(), 0.3), effects.SendToPeer)
        self.assertEqual([(row,)] * 2, [
            each.event.servers_leaving for each in sent])
        self.driver.feed(events.ServersChanged(
            (support.server(sid, draining=True),), (), 6))
        for each in support.effects_of(
                self.driver.feed(events.Ticked(), 0.3), effects.SendToPeer):
            self.assertEqual((), each.event.servers_leaving)

    def test_an_entry_of_the_store_does_not_end_draining(self):
        # The store learns of draining late: an earlier list shows the
        # server as ready, and an expired entry returns as ready.
        self._report_draining()
        self.driver.feed(events.ServersListed(
            (support.server("s1"), support.server("s2")), 6))
        self.assertEqual({"s2"}, self._used_servers())
        self.driver.feed(events.ServersChanged((), ("s1",), 7))
        self.driver.feed(events.Ticked(), 5.0)
        self.driver.feed(events.ServersChanged(
            (support.server("s1"),), (), 8))
        self.assertEqual({"s2"}, self._used_servers())

    def test_another_incarnation_is_not_draining(self):
        self.driver.feed(events.ServersChanged(
            (support.server("s1", started_ms=1),), (), 6))
        self._report_draining()
        self.driver.feed(events.ServersChanged(
            (support.server("s1", started_ms=2),), (), 7))
        self.assertEqual({"s1", "s2"}, self._used_servers())

    def test_a_stream_continues_there_but_is_not_resumed_there(self):
        out = self.driver.arrive(1, path="/advice/1",
                                 prompt=support.prompt())
        (send,) = support.effects_of(out, effects.SendRequest)
        self.driver.feed(events.StreamOpened(1, 0, None), 0.2)
        sid = send.server.sid
        out = self._report_draining(sid)
        self.assertEqual([], support.effects_of(out, effects.Cancel))
        other = "e2" if sid == "e1" else "e1"
        out = self.driver.feed(events.AttemptFailed(
            1, 0, model.Outcome.DISCONNECTED, "reset", True), 0.2)
        self.assertEqual([other], [
            each.server.sid
            for each in support.effects_of(out, effects.SendRequest)])

    def test_a_stream_is_not_moved_if_all_other_servers_drain(self):
        self.driver.arrive(1, path="/advice/1", prompt=support.prompt())
        target = self.host.pending[1].attempts[0].sid
        self.driver.feed(events.StreamOpened(1, 0, None), 0.2)
        self._report_draining("e2" if target == "e1" else "e1")
        out = self.driver.feed(events.TimerFired(1), 2.0)
        self.assertEqual([effects.SetRequestTimer], list(map(type, out)))

    def test_refused_with_a_retry_time_if_all_servers_drain(self):
        for sid in ("s1", "s2"):
            self._report_draining(sid)
        (answer,) = support.effects_of(self.driver.arrive(1), effects.Answer)
        self.assertEqual(503, answer.status)
        self.assertGreater(answer.retry_delay_s, 0.0)

    def test_it_is_removed_long_after_the_server_is_gone(self):
        self._report_draining()
        self.driver.feed(events.ServersChanged((), ("s1",), 6))
        self.driver.feed(events.Ticked(), 30.0)
        self.assertEqual(1, len(self.host.leaving))
        self.driver.feed(events.Ticked(), 40.0)
        self.assertEqual({}, self.host.leaving)


class BackoffTest(unittest.TestCase):
    """One host, and servers that refuse requests and ask for backoff."""

    def setUp(self):
        self.driver = support.Driver(
            support.route(), support.stream(), servers=(
                support.server("s1"), support.server("s2")))
        self.host = self.driver.host
        self.keys = itertools.count(10)

    def _refuse(self, key, attempt_number=0, backoff_s=3.0):
        """Have the server of an attempt refuse it; return the effects."""
        self.driver.feed(events.HintsReceived(
            key, attempt_number, model.Hints(backoff_s=backoff_s)))
        return self.driver.feed(events.AttemptFailed(
            key, attempt_number, model.Outcome.NOT_RUN, "503"))

    def _send_request(self):
        key = next(self.keys)
        out = self.driver.arrive(key)
        return key, [each.server.sid
                     for each in support.effects_of(out, effects.SendRequest)]

    def _back_off(self, backoff_s=3.0):
        """Have one server ask for backoff; return the ids, its own first."""
        key, (sid,) = self._send_request()
        self._refuse(key, backoff_s=backoff_s)
        return sid, "s2" if sid == "s1" else "s1"

    def test_a_server_gets_no_requests_until_the_backoff_ends(self):
        backing_off, other = self._back_off()
        for _ in range(28):
            self.driver.now += 0.1
            self.assertEqual([other], self._send_request()[1])
        self.driver.now += 0.3
        self.assertIn(backing_off, {
            sid for _ in range(20) for sid in self._send_request()[1]})

    def test_a_shorter_backoff_does_not_end_a_longer_one(self):
        key, (sid,) = self._send_request()
        other, (again,) = self._send_request()
        while again != sid:
            other, (again,) = self._send_request()
        self._refuse(key)
        self._refuse(other, backoff_s=0.2)
        self.driver.now += 1.0
        self.assertNotIn(sid, {
            each for _ in range(20) for each in self._send_request()[1]})

    def test_a_suspect_server_is_preferred_to_one_that_asked_for_backoff(
            self):
        # When all other servers were suspect, a host ignored every reason
        # not to use a server.
        backing_off, other = self._back_off()
        self.host.servers[other].suspect_until = math.inf
        for _ in range(5):
            self.assertEqual([other], self._send_request()[1])

    def test_refused_with_the_backoff_time_if_all_asked_for_it(self):
        key, (sid,) = self._send_request()
        self._refuse(key)
        out = self._refuse(key, attempt_number=1)
        (answer,) = support.effects_of(out, effects.Answer)
        self.assertEqual(503, answer.status)
        (answer,) = support.effects_of(
            self.driver.feed(events.RequestReceived(1, support.request(
                deadline_s=30.0))), effects.Answer)
        # At most a third of the remaining time: a caller waits no longer.
        self.assertAlmostEqual(0.65, answer.retry_delay_s, places=2)

    def test_callers_retry_no_sooner_than_the_backoff_ends(self):
        driver = support.Driver(
            support.route(timeout_s=60.0, target_s=0.4),
            servers=(support.server("s1"),))
        driver.arrive(1, deadline_s=60.0)
        driver.feed(events.HintsReceived(1, 0, model.Hints(backoff_s=12.0)))
        (answer,) = support.effects_of(driver.feed(events.AttemptFailed(
            1, 0, model.Outcome.NOT_RUN, "503")), effects.Answer)
        self.assertGreaterEqual(answer.retry_delay_s, 12.0)

    def test_a_request_waits_for_a_backoff_that_ends_soon(self):
        key, _ = self._send_request()
        self._refuse(key, backoff_s=0.1)
        out = self._refuse(key, attempt_number=1, backoff_s=0.1)
        key = next(self.keys)
        out = self.driver.arrive(key)
        self.assertEqual([effects.SetRequestTimer], list(map(type, out)))
        out = self.driver.feed(events.TimerFired(key), 0.11)
        self.assertEqual(1, len(support.effects_of(out, effects.SendRequest)))

    def test_the_duration_of_a_backoff_is_bounded(self):
        backing_off, _ = self._back_off(backoff_s=1e9)
        self.driver.now += 61.0
        self.assertIn(backing_off, {
            sid for _ in range(20) for sid in self._send_request()[1]})
        self.driver.feed(events.Ticked())
        self.assertEqual({}, self.host.backoff_until)


class LogTest(unittest.TestCase):
    """Log lines about hints."""

    def test_a_line_when_a_server_drains_or_asks_for_longer_backoff(self):
        driver = support.Driver(
            support.route(), servers=(support.server("s1"),))
        found = (model.Hints(), model.Hints(leaving=True),
                 model.Hints(leaving=True, backoff_s=3.0),
                 model.Hints(backoff_s=2.0), model.Hints(backoff_s=4.0))
        for key in range(len(found)):
            driver.arrive(key)
        lines = []
        for key, hints in enumerate(found):
            lines += support.effects_of(driver.feed(
                events.HintsReceived(key, 0, hints)), effects.LogEvent)
        self.assertEqual(
            ["server_leaving", "server_rests", "server_rests"],
            [line.event for line in lines])
        self.assertEqual([3.0, 4.0], [
            line.fields["rest_s"] for line in lines[1:]])


if __name__ == "__main__":
    unittest.main()
