"""Hosts that watch a store which stops answering and recovers."""

import random
import unittest
from unittest import mock

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.gateway import calls
from crocuskeel.platform import store as stores
from crocuskeel.platform import store_watcher
from tests.platform import store_server
from twisted.internet import task

# Time in which hosts must apply a change, after it was acknowledged and after
# an outage of the store: s.
APPLY_S = 2.0
SETTLE_S = 3.0
# Hosts must detect that the store is back within this time, s. Servers that
# have not registered again by then are kept for another 1.6 s.
DETECT_S = 1.25
STEP_S = 0.05


class UnresponsiveStoreTest(unittest.TestCase):
    """Hosts that read only the store, without messages of other hosts."""

    def setUp(self):
        self._start_hosts()

    def _start_hosts(self, hosts=3):
        self.clock = task.Clock()
        self.store = store_server.StoreServer(self.clock)
        patch = mock.patch.object(calls, "call", self.store.call)
        patch.start()
        self.addCleanup(patch.stop)
        self.version = 0
        self.write_times = []
        self._write_config()
        self._write_server("s1")
        self.hosts = []
        for seed in range(hosts):
            gateway = store_server.Gateway(self.clock, seed)
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

    def test_cut_watches_do_not_keep_a_server_that_left(self):
        # Each cut counted as a loss of the store and began the grace period
        # of lapsed entries anew: calls went to an engine that was gone.
        for sid in ("s2", "s3"):
            self._write_server(sid)
        self._advance(1.0)
        for sid in ("s1", "s2", "s3"):
            self.store.write("servers", sid, None)
        for _ in range(4):
            self._advance(0.7)
            self.store.cut()
            self._advance(0.7)
        self.assertEqual([None] * 3, [
            host.store_down_since for host in self.hosts])
        for host in self.hosts:
            entry.reduce(host, events.Ticked(), self.clock.seconds())
            self.assertEqual({}, host.servers)

    def test_store_that_cuts_watches_and_answers_nothing_is_lost(self):
        self.store.stop()
        self._advance(0.5)
        self.assertTrue(all(host.store_down_since for host in self.hosts))

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
