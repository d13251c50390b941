"""Hosts that watch a store which stops answering and recovers."""

import json
import random
import unittest
from unittest import mock
import urllib.parse

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.platform import store as stores
from crocuskeel.platform import store_watcher
from tests.entry import support
from twisted.internet import defer
from twisted.internet import task

ANSWER_DELAY_S = 0.004
# Time in which hosts must apply a change, after it was acknowledged and after
# an outage of the store: s.
APPLY_S = 2.0
SETTLE_S = 3.0
# Hosts must detect that the store is back within this time, s. Servers that
# have not registered again by then are kept for another 1.6 s.
DETECT_S = 1.25
STEP_S = 0.05


class _StoreServer:
    """Simulates the HTTP interface of the platform's store.

    While it is ``unresponsive`` it accepts connections, but never answers the
    requests of that time.
    """

    def __init__(self, clock):
        self.clock = clock
        self.revision = 3
        self.oldest = 0
        self.unresponsive = False
        self.call_count = 0
        self.rows = []
        self.waiting = []

    def write(self, kind, name, spec):
        """Change an object, or remove it if ``spec`` is None."""
        self.revision += 1
        meta = {"Name": name, "Rev": self.revision}
        self.rows.append((self.revision, kind, spec is None, {
            "Meta": meta, "Spec": spec}))
        if not self.unresponsive:
            self._answer_waiting()

    def drop_history(self):
        """Drop the history of changes and reset all open watches."""
        self.oldest = self.revision
        self.cut()

    def cut(self):
        """Reset the connections of all open watches."""
        waiting, self.waiting = self.waiting, []
        for _, _, deferred in waiting:
            _fail(deferred, "ConnectionLost")

    def resume(self):
        """Answer again."""
        self.unresponsive = False
        self._answer_waiting()

    def call(self, reactor, address, method, target, timeout_s, body=b""):
        """Replace calls.call."""
        self.call_count += 1
        deferred = defer.Deferred(lambda _: None)
        self.clock.callLater(timeout_s, _fail, deferred, "timeout")
        if self.unresponsive:
            return deferred
        path, _, query = target.decode().partition("?")
        kind = path.split("/")[3]
        parameters = dict(urllib.parse.parse_qsl(query))
        if method != b"GET":
            self._reply(deferred, 201, {"Meta": {"Rev": self.revision}})
        elif "Watch" in parameters:
            self._start_watch(kind, int(parameters["Watch"]),
                              int(parameters["WaitMs"]) / 1000, deferred)
        else:
            self._reply(deferred, 200, {"Items": self._items(kind),
                                        "AsOf": self.revision})
        return deferred

    def _items(self, kind):
        last = {row[3]["Meta"]["Name"]: row for row in self.rows
                if row[1] == kind}
        return [row[3] for row in last.values() if not row[2]]

    def _start_watch(self, kind, since, wait_s, deferred):
        if since < self.oldest:
            self._reply(deferred, 410, {})
            return
        waiting = (kind, since, deferred)
        self.waiting.append(waiting)
        self.clock.callLater(wait_s, self._end_watch, waiting)
        self._answer_waiting()

    def _end_watch(self, waiting):
        if waiting in self.waiting and not self.unresponsive:
            self.waiting.remove(waiting)
            self._reply(waiting[2], 200, {
                "events": [], "AsOf": self.revision})

    def _answer_waiting(self):
        for waiting in list(self.waiting):
            kind, since, deferred = waiting
            found = [{"Object": row[3], "Removed": row[2]}
                     for row in self.rows
                     if row[1] == kind and row[0] > since]
            if found:
                self.waiting.remove(waiting)
                self._reply(deferred, 200, {
                    "events": found, "AsOf": self.revision})

    def _reply(self, deferred, status, page):
        body = json.dumps(page).encode()
        self.clock.callLater(ANSWER_DELAY_S, self._deliver, deferred,
                             status, body)

    def _deliver(self, deferred, status, body):
        if not deferred.called:
            deferred.callback(calls.Reply(status, body))


def _fail(deferred, why):
    if not deferred.called:
        deferred.errback(gateway_exceptions.CallFailed(why))


class _Gateway:
    def __init__(self, clock, seed):
        self.clock = clock
        self.host = entry.new_host(entry.Settings(), random.Random(seed))
        self.feed(events.Started(support.peer("me")))

    def feed(self, event):
        entry.reduce(self.host, event, self.clock.seconds())

    def log(self, event, fields):
        pass


class UnresponsiveStoreTest(unittest.TestCase):
    """Hosts that read only the store, without messages of other hosts."""

    def setUp(self):
        self._start_hosts()

    def _start_hosts(self, hosts=3):
        self.clock = task.Clock()
        self.store = _StoreServer(self.clock)
        patch = mock.patch.object(calls, "call", self.store.call)
        patch.start()
        self.addCleanup(patch.stop)
        self.version = 0
        self.write_times = []
        self._write_config()
        self._write_server("s1")
        self.hosts = []
        for seed in range(hosts):
            gateway = _Gateway(self.clock, seed)
            store_watcher.new_watcher(
                self.clock, gateway,
                stores.new_store(self.clock, ("10.0.0.1", 80))).start()
            self.hosts.append(gateway.host)
        self._advance(1.0)

    def _write_config(self):
        self.version += 1
        self.store.write("config", "main", {
            "Version": self.version, "Routes": []})
        self.write_times.append(self.clock.seconds())

    def _write_server(self, sid):
        self.store.write("servers", sid, {
            "Service": "plain", "Addr": "10.0.0.9:80", "Zone": "a",
            "Version": "v1", "Slots": 6, "State": "ready",
            "ColdLeftMs": 0, "Seq": 1})

    def _advance(self, span_s):
        ends = self.clock.seconds() + span_s
        while self.clock.seconds() < ends - STEP_S / 2:
            self.clock.advance(STEP_S)

    def _required_version(self):
        """Return the version that must be in force by now."""
        now = self.clock.seconds()
        return sum(at + APPLY_S <= now for at in self.write_times)

    def _versions(self):
        return [host.catalog.version for host in self.hosts]

    def test_changes_apply_after_an_outage_with_dropped_history(self):
        # Watches that are opened during the outage are never answered.
        self.store.unresponsive = True
        self._advance(2.0)
        self._write_config()
        self.store.drop_history()
        self._advance(1.0)
        self.store.resume()
        self._advance(0.9)
        self._write_config()
        self._advance(SETTLE_S - 0.9)
        self.assertEqual([self.version] * 3, self._versions())

    def test_watch_that_was_reset_in_an_outage_misses_no_change(self):
        # The same without dropped history.
        self.store.unresponsive = True
        self.store.cut()
        self._advance(2.0)
        self.store.resume()
        self._write_config()
        self._advance(SETTLE_S)
        self.assertEqual([self.version] * 3, self._versions())

    def test_server_that_is_removed_in_an_outage_expires(self):
        self.store.unresponsive = True
        self.store.cut()
        self._advance(1.0)
        self.store.write("servers", "s1", None)
        self._write_server("s2")
        self.store.resume()
        self._advance(SETTLE_S)
        for host in self.hosts:
            self.assertIn("s2", host.servers)
            gone = host.servers.get("s1")
            self.assertTrue(gone is None or gone.lapses_at is not None)

    def test_recovery_is_detected_without_changes(self):
        # Servers with expired entries are kept for some time after that.
        for seed in range(20):
            with self.subTest(seed):
                self._start_hosts()
                rng = random.Random(seed)
                self.store.unresponsive = True
                self.store.cut()
                self._advance(rng.uniform(3.0, 6.0))
                self.assertTrue(all(host.store_down_since
                                    for host in self.hosts))
                self.store.resume()
                self._advance(DETECT_S)
                self.assertEqual([None] * 3, [
                    host.store_down_since for host in self.hosts])

    def test_random_sequences_of_faults_and_changes(self):
        # Random sequences; a change must apply 2 s after it was acknowledged
        # and 3 s after the last disturbance.
        for seed in range(40):
            with self.subTest(seed):
                self._start_hosts(hosts=2)
                self._run_random_events(random.Random(seed))
                self.assertGreaterEqual(
                    min(self._versions()), self._required_version())

    def _run_random_events(self, rng):
        self._advance(rng.uniform(0, 4))
        for _ in range(rng.randint(1, 3)):
            self.store.unresponsive = True
            for _ in range(rng.randint(1, 4)):
                self._advance(rng.uniform(0, 1.2))
                action = rng.choice((self.store.cut, self.store.drop_history,
                                     self._write_config))
                action()
            self.store.resume()
            self._advance(rng.uniform(0, 1.0))
        self._write_config()
        self._advance(SETTLE_S)

    def test_call_rate_to_a_healthy_store(self):
        # Each call is billed.
        self._advance(5.0)
        before = self.store.call_count
        self._advance(20.0)
        calls_per_s = ((self.store.call_count - before)
                       / (20.0 * len(self.hosts)))
        self.assertLess(calls_per_s, 1.5)


if __name__ == "__main__":
    unittest.main()
