"""Hosts that follow a store which falls silent and answers again."""

import json
import random
import unittest
from unittest import mock
import urllib.parse

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.platform import following
from crocuskeel.platform import store as stores
from tests.entry import support
from twisted.internet import defer
from twisted.internet import task

ANSWER_S = 0.004
# What the platform allows after a change was acknowledged, and after a
# disturbance of the store: s.
APPLY_S = 2.0
STABLE_S = 3.0
# Hosts find that the store is back within this, s. Servers that have not
# registered again by then are kept for 1.6 s more.
BACK_S = 1.25
STEP_S = 0.05


class _Objects:
    """The platform's store, as far as hosts can see it.

    While it is ``silent`` it takes connections, and what is asked then is
    never answered.
    """

    def __init__(self, clock):
        self.clock = clock
        self.revision = 3
        self.oldest = 0
        self.silent = False
        self.asked = 0
        self.rows = []
        self.waiting = []

    def write(self, kind, name, spec):
        """Change an object, or remove it if ``spec`` is None."""
        self.revision += 1
        meta = {"Name": name, "Rev": self.revision}
        self.rows.append((self.revision, kind, spec is None, {
            "Meta": meta, "Spec": spec}))
        if not self.silent:
            self._answer_waiting()

    def drop_history(self):
        """Forget all changes so far and cut the watches that wait."""
        self.oldest = self.revision
        self.cut()

    def cut(self):
        """Reset all connections on which a watch waits."""
        waiting, self.waiting = self.waiting, []
        for _, _, fut in waiting:
            _fail(fut, "ConnectionLost")

    def speak(self):
        """Answer again."""
        self.silent = False
        self._answer_waiting()

    def call(self, reactor, address, method, target, timeout_s, body=b""):
        """Take a call, as calls.call makes it."""
        self.asked += 1
        fut = defer.Deferred(lambda _: None)
        self.clock.callLater(timeout_s, _fail, fut, "timeout")
        if self.silent:
            return fut
        path, _, query = target.decode().partition("?")
        kind = path.split("/")[3]
        known = dict(urllib.parse.parse_qsl(query))
        if method != b"GET":
            self._reply(fut, 201, {"Meta": {"Rev": self.revision}})
        elif "Watch" in known:
            self._take_watch(kind, int(known["Watch"]),
                             int(known["WaitMs"]) / 1000, fut)
        else:
            self._reply(fut, 200, {"Items": self._items(kind),
                                   "AsOf": self.revision})
        return fut

    def _items(self, kind):
        last = {row[3]["Meta"]["Name"]: row for row in self.rows
                if row[1] == kind}
        return [row[3] for row in last.values() if not row[2]]

    def _take_watch(self, kind, since, wait_s, fut):
        if since < self.oldest:
            self._reply(fut, 410, {})
            return
        waiting = (kind, since, fut)
        self.waiting.append(waiting)
        self.clock.callLater(wait_s, self._end_watch, waiting)
        self._answer_waiting()

    def _end_watch(self, waiting):
        if waiting in self.waiting and not self.silent:
            self.waiting.remove(waiting)
            self._reply(waiting[2], 200, {
                "events": [], "AsOf": self.revision})

    def _answer_waiting(self):
        for waiting in list(self.waiting):
            kind, since, fut = waiting
            found = [{"Object": row[3], "Removed": row[2]}
                     for row in self.rows
                     if row[1] == kind and row[0] > since]
            if found:
                self.waiting.remove(waiting)
                self._reply(fut, 200, {
                    "events": found, "AsOf": self.revision})

    def _reply(self, fut, status, page):
        body = json.dumps(page).encode()
        self.clock.callLater(ANSWER_S, self._arrive, fut, status, body)

    def _arrive(self, fut, status, body):
        if not fut.called:
            fut.callback(calls.Reply(status, body))


def _fail(fut, why):
    if not fut.called:
        fut.errback(gateway_exceptions.CallFailed(why))


class _Gateway:
    def __init__(self, clock, seed):
        self.clock = clock
        self.host = entry.new_host(entry.Settings(), random.Random(seed))
        self.feed(events.Started(support.peer("me")))

    def feed(self, event):
        entry.reduce(self.host, event, self.clock.seconds())

    def log(self, event, fields):
        pass


class SilenceTest(unittest.TestCase):
    """Each host is on its own: no other one tells it anything."""

    def setUp(self):
        self._begin()

    def _begin(self, hosts=3):
        self.clock = task.Clock()
        self.store = _Objects(self.clock)
        patch = mock.patch.object(calls, "call", self.store.call)
        patch.start()
        self.addCleanup(patch.stop)
        self.version = 0
        self.acked = []
        self._change()
        self._server("s1")
        self.hosts = []
        for seed in range(hosts):
            gateway = _Gateway(self.clock, seed)
            following.new_follower(
                self.clock, gateway,
                stores.new_store(self.clock, ("10.0.0.1", 80))).start()
            self.hosts.append(gateway.host)
        self._run(1.0)

    def _change(self):
        self.version += 1
        self.store.write("config", "main", {
            "Version": self.version, "Routes": []})
        self.acked.append(self.clock.seconds())

    def _server(self, sid):
        self.store.write("servers", sid, {
            "Service": "plain", "Addr": "10.0.0.9:80", "Zone": "a",
            "Version": "v1", "Slots": 6, "State": "ready",
            "ColdLeftMs": 0, "Seq": 1})

    def _run(self, span_s):
        ends = self.clock.seconds() + span_s
        while self.clock.seconds() < ends - STEP_S / 2:
            self.clock.advance(STEP_S)

    def _due(self):
        """Return the version that has to be in force by now."""
        now = self.clock.seconds()
        return sum(at + APPLY_S <= now for at in self.acked)

    def _versions(self):
        return [host.catalog.version for host in self.hosts]

    def test_changes_are_in_force_after_silence_and_dropped_history(self):
        # Watches that are opened anew in the silence are never answered.
        self.store.silent = True
        self._run(2.0)
        self._change()
        self.store.drop_history()
        self._run(1.0)
        self.store.speak()
        self._run(0.9)
        self._change()
        self._run(STABLE_S - 0.9)
        self.assertEqual([self.version] * 3, self._versions())

    def test_a_watch_that_was_cut_in_the_silence_hides_no_change(self):
        # The same without a dropped history.
        self.store.silent = True
        self.store.cut()
        self._run(2.0)
        self.store.speak()
        self._change()
        self._run(STABLE_S)
        self.assertEqual([self.version] * 3, self._versions())

    def test_a_server_that_leaves_in_the_silence_is_not_used_on(self):
        self.store.silent = True
        self.store.cut()
        self._run(1.0)
        self.store.write("servers", "s1", None)
        self._server("s2")
        self.store.speak()
        self._run(STABLE_S)
        for host in self.hosts:
            self.assertIn("s2", host.servers)
            gone = host.servers.get("s1")
            self.assertTrue(gone is None or gone.lapses_at is not None)

    def test_the_store_counts_as_back_soon_though_nothing_changes(self):
        # Servers whose entries lapsed are kept until some time after that.
        for seed in range(20):
            with self.subTest(seed):
                self._begin()
                rng = random.Random(seed)
                self.store.silent = True
                self.store.cut()
                self._run(rng.uniform(3.0, 6.0))
                self.assertTrue(all(host.store_lost_at
                                    for host in self.hosts))
                self.store.speak()
                self._run(BACK_S)
                self.assertEqual([None] * 3, [
                    host.store_lost_at for host in self.hosts])

    def test_no_order_of_silence_cuts_and_changes_hides_a_change(self):
        # Drawn orders; a change counts 2 s after it was acknowledged, and
        # only 3 s after the last disturbance.
        for seed in range(40):
            with self.subTest(seed):
                self._begin(hosts=2)
                self._play(random.Random(seed))
                self.assertGreaterEqual(
                    min(self._versions()), self._due())

    def _play(self, rng):
        self._run(rng.uniform(0, 4))
        for _ in range(rng.randint(1, 3)):
            self.store.silent = True
            for _ in range(rng.randint(1, 4)):
                self._run(rng.uniform(0, 1.2))
                act = rng.choice((self.store.cut, self.store.drop_history,
                                  self._change))
                act()
            self.store.speak()
            self._run(rng.uniform(0, 1.0))
        self._change()
        self._run(STABLE_S)

    def test_a_store_that_is_well_is_asked_seldom(self):
        # Each call is billed.
        self._run(5.0)
        before = self.store.asked
        self._run(20.0)
        asked = (self.store.asked - before) / (20.0 * len(self.hosts))
        self.assertLess(asked, 1.5)


if __name__ == "__main__":
    unittest.main()
