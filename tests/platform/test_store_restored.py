"""Hosts that read a store which comes back from an older copy of itself."""

import random
import unittest
from unittest import mock

from crocuskeel.core.entry import draining
from crocuskeel.core.entry import events
from crocuskeel.gateway import calls
from crocuskeel.platform import exceptions
from crocuskeel.platform import store as stores
from crocuskeel.platform import store_watcher
from tests.platform import store_server
from twisted.internet import defer
from twisted.internet import task

# Time in which a change must be in force after it was acknowledged, s.
APPLY_S = 2.0
STEP_S = 0.05
HOSTS = 3


class RestoredStoreTest(unittest.TestCase):
    """Hosts without messages of other hosts."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = store_server.StoreServer(self.clock)
        patch = mock.patch.object(calls, "call", self.store.call)
        patch.start()
        self.addCleanup(patch.stop)
        self.version = 0
        self.gateways = []
        self._write_config()
        self._write_server("s1")
        self._write_server("s2")
        self.hosts = [self._start_host(seed) for seed in range(HOSTS)]
        self._advance(1.0)

    def tearDown(self):
        self.assertEqual([], [
            crash for gateway in self.gateways for crash in gateway.crashes])

    def _start_host(self, seed):
        watcher = self._new_watcher(seed)
        watcher.start()
        return watcher.gateway.host

    def _new_watcher(self, seed, name="me"):
        gateway = store_server.Gateway(self.clock, seed, name)
        self.gateways.append(gateway)
        return store_watcher.new_watcher(
            self.clock, gateway,
            stores.new_store(self.clock, ("10.0.0.1", 80)))

    def _write_config(self):
        self.version += 1
        self._write_config_again()

    def _write_config_again(self):
        self.store.write("config", "main", {
            "Version": self.version, "Routes": []})

    def _write_server(self, sid, state="ready", seq=1):
        self.store.write("servers", sid, {
            "Service": "plain", "Addr": f"10.0.0.{sid[1:]}:80", "Zone": "a",
            "Version": "v1", "Slots": 6, "State": state,
            "ColdLeftMs": 0, "Seq": seq})

    def _advance(self, span_s):
        ends = self.clock.seconds() + span_s
        while self.clock.seconds() < ends - STEP_S / 2:
            self.clock.advance(STEP_S)
            for gateway in self.gateways:
                gateway.feed(events.Ticked())

    def _restore(self, copy, away_s=0.5):
        self.store.stop()
        self._advance(away_s)
        self.store.restore(copy)

    def _versions(self):
        return [host.catalog.version for host in self.hosts]

    def test_configuration_applies_after_the_store_was_restored(self):
        # Guards against the new version being taken for an old one, because
        # its revision is below that of the version in force.
        for settle_s in (0.0, 0.3, 3.0):
            with self.subTest(settle_s):
                copy = self.store.copy()
                for _ in range(4):
                    self._write_config()
                self._advance(1.0)
                self._restore(copy)
                self._advance(settle_s)
                self._write_config()
                self._advance(APPLY_S)
                self.assertEqual([self.version] * HOSTS, self._versions())

    def _usable(self, host):
        return [sid for sid, state in sorted(host.servers.items())
                if not draining.is_draining(host, state.server)]

    def test_server_that_drains_after_the_restore_gets_no_requests(self):
        # Guards against a leaving that other hosts don't fetch, as its
        # revision is below that of the list they have.
        reader, other = self._new_watcher(7), self._new_watcher(8)
        reader.start()
        copy = self.store.copy()
        for seq in range(9):
            self._write_server("s3", seq=seq)
        self._advance(1.0)
        other.apply_snapshot(reader.snapshot(0))
        self._restore(copy)
        self._advance(1.0)
        self._write_server("s1", "draining")
        self._advance(1.0)
        known = other.gateway.host.catalog.version, other.revision
        other.apply_snapshot(reader.snapshot(*known))
        for host in (*self.hosts, other.gateway.host):
            self.assertNotIn("s1", self._usable(host))

    def test_host_of_the_former_version_gets_numbers_without_eras(self):
        # Guards against a host that takes a revision with an era for newer
        # than all that the store tells it later.
        reader = self._new_watcher(7)
        reader.start()
        self._advance(1.0)
        number = self.store.revision
        known = reader.snapshot(number, number, True)
        self.assertEqual((None, number, []), (
            known["config"], known["since"], known["servers"]))
        self._restore(self.store.copy())
        self._advance(1.0)
        restored = reader.snapshot(0, number, True)
        self.assertNotIn("since", restored)
        self.assertEqual(2, len(restored["servers"]))
        self.assertLessEqual(restored["revision"], self.store.revision)
        self.assertNotIn("era", restored)
        fetching = self._new_watcher(8)
        fetching.apply_snapshot(restored)
        self.assertEqual(restored["revision"], fetching.revision)

    def test_draining_server_that_the_copy_lists_as_ready(self):
        # Guards against requests to a server that has said that it leaves.
        copy = self.store.copy()
        self._write_server("s1", "draining")
        self._advance(0.5)
        self._restore(copy)
        for _ in range(4):
            self._advance(1.0)
            for host in self.hosts:
                self.assertEqual(["s2"], self._usable(host))

    def test_server_that_left_and_is_back_by_the_copy(self):
        # Guards against requests to a server that left without draining. It
        # is used again only once its entry proves to be renewed.
        copy = self.store.copy()
        self.store.write("servers", "s1", None)
        self._advance(0.5)
        self._restore(copy)
        for _ in range(4):
            self._advance(1.0)
            self.assertEqual(["s2"], self._usable(self.hosts[0]))
        self.store.write("servers", "s1", None)
        self._advance(4.0)
        self.assertEqual(["s2"], self._usable(self.hosts[0]))
        self._write_server("s1")
        self._advance(0.5)
        self.assertEqual(["s1", "s2"], self._usable(self.hosts[0]))

    def test_server_that_registered_after_the_copy_is_kept_for_a_while(self):
        # Guards against refusals while all servers are healthy: their
        # entries aren't in the copy, and come back within 2 s.
        copy = self.store.copy()
        self._write_server("s3")
        self._advance(0.5)
        self._restore(copy)
        self._advance(1.5)
        self.assertIn("s3", self._usable(self.hosts[0]))
        self._advance(1.0)
        self.assertNotIn("s3", self._usable(self.hosts[0]))

    def test_random_sequences_of_restores_and_changes(self):
        # Guards against any order of restores, changes and leavings in which
        # a host goes back, stays behind, or uses a server that has left.
        for seed in range(30):
            with self.subTest(seed=seed):
                self.doCleanups()
                self.setUp()
                self._run_random_events(random.Random(seed))

    def _run_random_events(self, rng):
        copies = [self.store.copy()]
        left = set()
        for _ in range(rng.randint(6, 12)):
            match rng.randrange(5):
                case 0:
                    self._write_config()
                case 1:
                    sid = f"s{10 + len(copies)}"
                    self._write_server(sid)
                    self._advance(0.5)
                    copies.append(self.store.copy())
                    self._write_server(sid, "draining")
                    self._advance(0.5)
                    left.add(sid)
                    if rng.random() < 0.5:
                        self.store.write("servers", sid, None)
                case 2:
                    self.store.cut()
                case _:
                    self._restore(rng.choice(copies[-6:]),
                                  rng.uniform(0.3, 3.0))
                    for number in range(rng.choice((0, 40))):
                        self.store.write("other", "x", {"n": number})
                    if rng.random() < 0.5:
                        self._write_config_again()
            before = self._versions()
            for _ in range(rng.randint(1, 8)):
                self._advance(0.3)
                for host in self.hosts:
                    self.assertEqual(set(), left & set(self._usable(host)))
            self.assertLessEqual(before, self._versions())
            copies.append(self.store.copy())
        self._write_config()
        self._advance(APPLY_S)
        self.assertEqual([self.version] * HOSTS, self._versions())

    def test_hosts_register_again_and_list_each_other(self):
        # Guards against a host that no host knows that starts later: the
        # copy is from before its registration.
        copy = self.store.copy()
        late = self._new_watcher(9, "late")
        late.start()
        self._advance(0.5)
        self._restore(copy)
        new = self._new_watcher(10, "new")
        new.start()
        self._advance(1.0)
        self.assertTrue("new" in late.gateway.host.peers
                        or "late" in new.gateway.host.peers)

    def test_watch_does_not_go_on_from_a_number_given_out_again(self):
        # Guards against a change that no watch reports: the counter passes
        # the watched number before the watch is opened again.
        copy = self.store.copy()
        for _ in range(4):
            self._write_config()
        self._advance(1.0)
        self._restore(copy)
        self._write_config()
        for seq in range(9):
            self._write_server("s3", seq=seq)
        self._advance(APPLY_S)
        self.assertEqual([self.version] * HOSTS, self._versions())
        self.assertIn("s3", self.hosts[0].servers)

    def test_restored_older_configuration_is_not_adopted(self):
        # Guards against a host that goes back to the copy's configuration,
        # as its era is newer.
        copy = self.store.copy()
        self._write_config()
        self._advance(1.0)
        self._restore(copy)
        self._advance(3.0)
        self.assertEqual([self.version] * HOSTS, self._versions())
        self.assertEqual(["s1", "s2"], sorted(self.hosts[0].servers))

    def test_former_era_of_a_slow_answer_is_not_adopted(self):
        # Guards against a list that was answered before the restore and
        # arrives after it: the watch would go on from its revision.
        store = stores.new_store(self.clock, ("10.0.0.1", 80))
        failures = []
        late = defer.Deferred.fromCoroutine(store.list("servers"))
        late.addErrback(lambda failure: failures.append(failure.value))
        store.note_era(self.store.era + 1)
        self._advance(0.1)
        self.assertIsInstance(failures[0], exceptions.StoreError)


if __name__ == "__main__":
    unittest.main()
