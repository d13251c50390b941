"""Requests that may crash servers run one at a time in the fleet."""

import random
import unittest
from unittest import mock

from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import trials
from tests.entry import crash_driver
from tests.entry import support

STEP_S = 0.01
SEEDS = range(40)


class _Fleet:
    """Hosts on one clock; ``delay_s(sender, receiver)`` is None for a loss.

    ``running`` holds the (host, key) of the trials in progress.
    """

    def __init__(self, count, delay_s):
        self.names = [f"h{number}" for number in range(count)]
        self.hosts = {name: crash_driver.CrashDriver(name=name)
                      for name in self.names}
        self.delay_s = delay_s
        self.now = support.NOW
        self.under_way = []
        self.running = []
        self.most_running = 0
        peers = tuple(map(support.peer, self.names))
        for name in self.names:
            self.feed(name, events.PeersListed(peers))
        for _ in range(3):
            for name in self.names:
                self.feed(name, events.Ticked(0.0))
            self.step(0.2)

    def feed(self, name, event):
        """Feed an event to a host; its messages are under way then."""
        host = self.hosts[name]
        host.now = self.now
        out = host.feed(event)
        for sent in support.effects_of(out, effects.SendRequest):
            self.running.append((name, sent.key))
            self.most_running = max(self.most_running, len(self.running))
        for sent in support.effects_of(out, effects.SendToPeer):
            delay_s = self.delay_s(name, sent.peer.name)
            if delay_s is not None:
                self.under_way.append(
                    (self.now + delay_s, sent.peer.name, sent.event))

    def step(self, span_s):
        """Advance the clock: deliver messages, fire timers, tick."""
        until = self.now + span_s
        while self.now < until:
            self.now += STEP_S
            due = [row for row in self.under_way if row[0] <= self.now]
            self.under_way = [
                row for row in self.under_way if row[0] > self.now]
            for _, name, event in due:
                self.feed(name, event)
            for number, name in enumerate(self.names):
                if round(self.now / STEP_S) % 30 == number:
                    self.feed(name, events.Ticked(0.0))
                self._fire_timers(name)

    def _fire_timers(self, name):
        for key, at in list(self.hosts[name].timers.items()):
            if at > self.now:
                continue
            if key == support.LOADS:
                self.feed(name, events.LoadsDue())
            elif (name, key) not in self.running:
                self.feed(name, events.TimerFired(key))

    def suspect(self):
        """Let all hosts know two crashes under the requests p and i."""
        for number in (1, 2):
            for digest in "pi":
                report = (str(crash_records.Kind.CRASHED), 0,
                          support.full_digest(digest), f"s{number}",
                          f"s{number}/1", "removed", 0)
                for name in self.names:
                    self.feed(name, events.CrashReportsReceived(
                        "elsewhere", (report,)))
        self.step(quarantine.SUSPECT_S)

    def send(self, name, digest="p"):
        """Let a caller send a request to a host."""
        host = self.hosts[name]
        host.last_key += 1
        self.feed(name, events.RequestReceived(
            host.last_key, support.request(digest=digest)))

    def crash(self):
        """Let the trial in progress lose its server."""
        name, key = self.running.pop()
        host = self.hosts[name]
        (attempt,) = host.host.pending[key].attempts
        self.feed(name, events.AttemptFailed(
            key, 0, crash_driver.model.Outcome.DISCONNECTED, "", True))
        for other in self.names:
            self.feed(other, events.ServersChanged((), (attempt.sid,), 99))


class TrialsTest(unittest.TestCase):
    """The end of a refusal is the same moment on all hosts."""

    def _most_running(self, seed, delay_s, count=4):
        rng = random.Random(seed)
        fleet = _Fleet(count, lambda *_: delay_s(rng))
        fleet.suspect()
        for _ in range(2):
            for name in rng.sample(fleet.names, count):
                fleet.send(name)
            fleet.step(rng.choice((0.0, 0.05, 0.3)))
        fleet.step(1.0)
        return fleet.most_running

    def test_one_of_the_hosts_lets_it_run(self):
        # All hosts let one run as its refusal ended, and as many servers
        # crashed as there were hosts.
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(1, self._most_running(
                    seed, lambda rng: rng.uniform(0.0, 0.06)))

    def test_several_run_without_the_wait_for_claims(self):
        with mock.patch.object(trials, "SETTLE_S", 0.0):
            found = [self._most_running(
                seed, lambda rng: rng.uniform(0.0, 0.06)) for seed in SEEDS]
        self.assertGreater(max(found), 1)

    def test_hosts_that_hear_nobody_each_let_one_run(self):
        self.assertEqual(4, self._most_running(0, lambda rng: None))

    def test_trial_that_goes_on_stays_the_only_one(self):
        fleet = _Fleet(3, lambda *_: 0.01)
        fleet.suspect()
        fleet.send("h0")
        fleet.step(0.5)
        for _ in range(10):
            fleet.send("h1")
            fleet.step(0.3)
        self.assertEqual(1, fleet.most_running)

    def test_host_that_is_lost_leaves_the_trial_to_another(self):
        lost = set()
        fleet = _Fleet(3, lambda sender, receiver: (
            None if {sender, receiver} & lost else 0.01))
        fleet.suspect()
        fleet.send("h0")
        fleet.step(0.5)
        lost.add("h0")
        fleet.step(trials.CLAIM_TTL_S)
        fleet.send("h1")
        fleet.step(0.5)
        self.assertEqual([("h0", 1), ("h1", 1)], fleet.running)

    def test_trial_that_crashes_its_server_tells_which_is_the_cause(self):
        fleet = _Fleet(3, lambda *_: 0.01)
        fleet.suspect()
        for name in fleet.names:
            fleet.send(name)
        fleet.step(0.5)
        fleet.crash()
        fleet.step(0.5)
        for host in fleet.hosts.values():
            self.assertTrue(host.is_quarantined("p"))
            self.assertFalse(host.is_quarantined("i"))

    def test_request_that_claims_is_held_until_it_may_run(self):
        # It was refused before, as routes with a short goal don't wait that
        # long; its next copy claimed anew elsewhere, and none ever ran.
        route = support.route(kind=crash_driver.model.Kind.UNSAFE,
                              target_s=0.1)
        fleet = _Fleet(3, lambda *_: 0.01)
        for name in fleet.names:
            fleet.feed(name, events.CatalogRead(
                support.catalog(route, revision=11)))
        fleet.suspect()
        fleet.send("h2")
        fleet.step(0.5)
        self.assertEqual([("h2", 1)], fleet.running)


if __name__ == "__main__":
    unittest.main()
