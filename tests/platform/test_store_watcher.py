"""Watching of the store, also during outages, against a fake store."""

import dataclasses
import json
import random
import unittest
from unittest import mock

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.gateway import metrics
from crocuskeel.platform import catalogs
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects
from crocuskeel.platform import store as stores
from crocuskeel.platform import store_watcher
from tests.entry import support
from twisted.internet import defer
from twisted.internet import task


def _config(rev, **spec):
    return {"Meta": {"Name": "main", "Rev": rev},
            "Spec": {"Version": rev, "Routes": [], **spec}}


def _server(sid, state="ready"):
    return {"Meta": {"Name": sid, "Rev": 1}, "Spec": {
        "Service": "plain", "Addr": "10.0.0.9:80", "Zone": "a", "Seq": 1,
        "Version": "v1", "Slots": 6, "State": state, "ColdLeftMs": 0}}


class _Store:
    """Keeps one pending call per kind until a test answers it."""

    def __init__(self):
        self.calls, self.spans = [], []
        self.pending_calls = {}

    async def list(self, kind, keep):
        items, revision = dataclasses.astuple(await self._call("list", kind))
        return stores.Listing(tuple(map(keep, items)), revision)

    async def watch(self, kind, revision, span_s):
        self.spans.append(span_s)
        return await self._call("watch", kind, revision)

    async def put(self, kind, name, spec):
        self.calls.append(("put", kind))

    def note_era(self, era):
        pass

    def _call(self, *call):
        self.calls.append(call)
        self.pending_calls[call[1]] = defer.Deferred()
        return self.pending_calls[call[1]]

    def answer(self, kind, result):
        pending_calls = self.pending_calls.pop(kind)
        if isinstance(result, Exception):
            pending_calls.errback(result)
        else:
            pending_calls.callback(result)


class _Gateway:
    def __init__(self):
        self.host = entry.new_host(entry.Settings(), random.Random(1))
        self.now = 0.0
        self.events = []
        self.event_fields = {}
        self.feed(events.Started(support.peer("me")))

    def feed(self, event):
        entry.reduce(self.host, event, self.now)

    def log(self, event, fields):
        self.events.append(event)
        self.event_fields[event] = fields


class StoreWatcherTest(unittest.TestCase):
    """State of a host after each answer of the store."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.gateway = _Gateway()
        self.host = self.gateway.host
        self.watcher = store_watcher.new_watcher(
            self.clock, self.gateway, self.store)
        self.watcher.start()
        self.store.answer("crocuskeel-hosts", stores.Listing((), 4))
        self.store.answer("config", stores.Listing((_config(3),), 4))
        self.store.answer("servers", stores.Listing(
            (_server("s1"), _server("s2")), 4))

    def test_host_watches_after_an_unexpected_error_of_registration(self):
        # The host never read the store: it had no configuration.
        store = _Store()
        watcher = store_watcher.new_watcher(
            self.clock, self.gateway, store)
        watcher.start()
        store.answer("crocuskeel-hosts", RuntimeError("bug"))
        self.assertIn(("list", "config"), store.calls)
        self.clock.advance(1.1)
        self.assertEqual(2, store.calls.count(("put", "crocuskeel-hosts")))

    def test_watch_starts_at_the_revision_of_the_list(self):
        self.assertIn(("watch", "config", 4), self.store.calls)
        self.assertEqual(3, self.host.catalog.revision)
        self.assertEqual(["s1", "s2"], list(self.host.servers))

    def test_changes_are_applied_immediately(self):
        self.store.answer("servers", stores.Changes(
            ((_server("s1", "draining"), False), (_server("s2"), True)),
            6))
        self.assertTrue(self.host.servers["s1"].server.draining)
        self.assertNotIn("s2", self.host.servers)
        self.assertIn(("watch", "servers", 6), self.store.calls)

    def test_list_is_read_again_after_410(self):
        # A server left during the gap, which no watch reports.
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.clock.advance(0.5)
        self.store.answer("servers", stores.Listing((_server("s1"),), 9))
        self.assertEqual(["s1"], list(self.host.servers))

    def test_410_counts_as_an_answer_of_the_store(self):
        self.store.answer("config", exceptions.StoreError(0, "down"))
        self.assertIsNotNone(self.host.store_down_since)
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.assertIsNone(self.host.store_down_since)

    def test_servers_are_kept_during_an_outage(self):
        for _ in range(5):
            self.store.answer("servers", exceptions.StoreError(0, "down"))
            self.clock.advance(2.0)
        self.assertIsNotNone(self.host.store_down_since)
        self.assertEqual(2, len(self.host.servers))
        self.store.answer("servers", stores.Changes((), 9))
        self.assertIsNone(self.host.store_down_since)

    def test_watch_timeout_is_limited_by_apply_s(self):
        self.assertLess(max(self.store.spans), self.host.cfg.config_apply_s)
        self.gateway.feed(
            events.SettingsRead(entry.Settings(config_apply_s=0.5)))
        self.store.answer("servers", stores.Changes((), 9))
        self.assertEqual(0.5, self.store.spans[-1])

    def test_recovered_watch_restarts_the_other_watch(self):
        # After a network partition one watch is renewed while the other waits
        # on a dead connection: the configuration from four seconds ago
        # stayed in force.
        self.store.answer("servers", exceptions.StoreError(0, "down"))
        self.clock.advance(0.5)
        watches = self.store.calls.count(("watch", "config", 4))
        self.store.answer("servers", stores.Changes((), 9))
        self.clock.advance(0.5)
        self.assertEqual(watches + 1, self.store.calls.count(
            ("watch", "config", 4)))

    def test_failed_calls_and_next_watch_are_logged(self):
        # Only the first failure was logged: the log did not show whether a
        # host watched, listed or had ended.
        del self.gateway.events[:]
        self.clock.advance(0.4)
        self.store.answer("servers", exceptions.StoreError(0, "reset"))
        self.clock.advance(0.5)
        self.clock.advance(0.2)
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.assertEqual({
            "kind": "servers", "why": "gone (410)", "status": 410,
            "revision": 4, "failures": 2, "after_s": 0.2},
            self.gateway.event_fields["store_call_failed"])
        self.clock.advance(1.0)
        self.store.answer("servers", stores.Listing((), 9))
        self.assertEqual(
            ["store_call_failed", "watch_begun", "store_call_failed",
             "watch_begun"], self.gateway.events)
        self.assertEqual(
            9, self.gateway.event_fields["watch_begun"]["revision"])

    def test_metric_of_time_since_last_answer(self):
        host_metrics = metrics.new_metrics(self.host)
        host_metrics.register_last_answer_age(self.watcher.last_answer_age_s)
        self.clock.advance(1.5)
        self.store.answer("servers", stores.Changes((), 9))
        text = host_metrics.text().decode()
        self.assertIn('unheard_seconds{kind="config"} 1.5', text)
        self.assertIn('unheard_seconds{kind="servers"} 0.0', text)

    def test_retries_during_an_outage_are_limited(self):
        # Each call is billed, even without an answer.
        before = len(self.store.calls)
        for _ in range(100):
            if "servers" in self.store.pending_calls:
                self.store.answer("servers",
                                  exceptions.StoreError(503, "busy"))
            self.clock.advance(0.1)
        self.assertLess(len(self.store.calls) - before, 16)

    def test_invalid_objects_are_skipped_and_logged(self):
        self.store.answer("servers", stores.Changes(
            (({"Meta": {"Name": "s9"}, "Spec": {"Addr": "x"}}, False),),
            6))
        self.store.answer("config", stores.Changes(
            ((_config(7, Routes=[{"Name": "r"}]), False),), 7))
        self.assertEqual(["bad_object", "bad_object"],
                         self.gateway.events[-2:])
        self.assertEqual(3, self.host.catalog.revision)

    def test_invalid_configuration_does_not_block_the_next(self):
        for invalid in ({"Limits": [1]},
                        {"Routes": [{"Name": "r", "Host": 5}]},
                        {"Version": "8"}, {"Version": None}):
            self.setUp()
            self.store.answer("config", stores.Changes(
                ((_config(7, **invalid), False),), 7))
            self.assertEqual("bad_object", self.gateway.events[-1])
            self.store.answer("config", stores.Changes(
                ((_config(8), False),), 8))
            self.assertEqual(8, self.host.catalog.revision)

    def test_unexpected_error_restarts_the_watch(self):
        with mock.patch.object(self.watcher, "apply_config", autospec=True,
                               side_effect=RuntimeError("unforeseen")):
            self.store.answer("config", stores.Changes(
                ((_config(7), False),), 7))
        self.assertEqual("follower_died", self.gateway.events[-1])
        self.clock.advance(2.0)
        self.store.answer("config", stores.Listing((_config(7),), 9))
        self.assertEqual(7, self.host.catalog.revision)
        self.assertIn(("watch", "config", 9), self.store.calls)

    def test_invalid_entries_do_not_affect_others(self):
        # Other programs also write to the list of servers. A host that read
        # an entry without a name stopped watching the list for good.
        invalid = [None, 7, {"Meta": {}},
                   {"Meta": {"Name": "s7"}, "Spec": "?"},
                   {"Meta": {"Name": "s8"}, "Spec": {"Service": ["x"]}},
                   _server("s9", "resting")]
        rows = tuple((obj, False) for obj in invalid)
        self.store.answer("servers", stores.Changes(
            (*rows, (_server("s3"), False), (None, True)), 6))
        self.assertEqual(["s1", "s2", "s3"], sorted(self.host.servers))
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.clock.advance(0.5)
        self.store.answer("servers", stores.Listing(
            (*invalid, *map(_server, ("s1", "s2", "s4"))), 9))
        self.assertEqual(["s1", "s2", "s4"], sorted(self.host.servers))
        snapshot_servers = self.watcher.snapshot(3)["servers"]
        self.assertEqual(["s1", "s2", "s4"],
                         list(map(objects.name, snapshot_servers)))

    def test_invalid_entry_removes_its_server(self):
        # This also holds while the store is lost, when missing entries are
        # kept for a while.
        for obj in (_server("s1", "resting"),
                    {"Meta": {"Name": "s1"}, "Spec": None}):
            self.setUp()
            self.gateway.feed(events.StoreUnavailable("down"))
            self.store.answer("servers", stores.Changes(
                ((obj, False),), 6))
            self.assertEqual(["s2"], list(self.host.servers))

    def test_entry_of_unknown_service_does_not_affect_others(self):
        # The entry has the address of a live server, which was considered
        # removed and got no more requests.
        other = _server("s9")
        other["Spec"]["Service"] = "elsewhere"
        self.store.answer("servers", stores.Changes(((other, False),), 6))
        self.assertFalse(self.host.servers["s1"].address_reused)

    def test_only_newer_data_of_a_snapshot_is_applied(self):
        snapshot = self.watcher.snapshot(3)
        self.assertIsNone(snapshot["config"])
        self.watcher.apply_snapshot({
            "config": _config(2), "servers": [_server("old")],
            "revision": 2})
        self.assertEqual(3, self.host.catalog.revision)
        self.assertNotIn("old", self.host.servers)
        self.watcher.apply_snapshot({
            "config": _config(8), "servers": [_server("s1")],
            "revision": 8})
        self.assertEqual(8, self.host.catalog.revision)
        self.assertEqual(["s1"], list(self.host.servers))

    def test_host_that_started_in_an_outage_takes_the_newest_it_hears(self):
        # Within one start it never goes back; what it had before that start
        # it can't know, and a peer may have an older configuration.
        started = store_watcher.new_watcher(self.clock, _Gateway(), _Store())
        for number in (3, 2, 8, 3):
            started.apply_snapshot({"config": _config(number), "servers": [],
                                    "revision": number})
        self.assertEqual(8, started.gateway.host.catalog.revision)

    def test_snapshot_holds_only_changed_servers(self):
        # 300 hosts with 3,000 servers didn't complete their start: for each
        # server that registered, each host fetched and parsed the whole list,
        # as a snapshot grew with the servers instead of the changes.
        servers = [_server(f"s{number}") for number in range(3000)]
        self.store.answer("servers", stores.Changes(
            tuple((server, False) for server in servers), 5))
        full_snapshot = json.dumps(self.watcher.snapshot(3, 0))
        self.store.answer("servers", stores.Changes(
            ((_server("s7", "draining"), False),), 6))
        partial_snapshot = json.dumps(self.watcher.snapshot(3, 5))
        self.assertLess(len(partial_snapshot), len(full_snapshot) / 100)

    def test_host_that_applies_changes_has_the_same_list(self):
        # The host fetches several snapshots, and one time falls so far behind
        # that the reader no longer has the changes.
        other = _Gateway()
        fetching_watcher = store_watcher.new_watcher(
            self.clock, other, _Store())
        rows = (((_server("s3"), False),), ((_server("s1"), True),),
                ((_server("s2", "draining"), False), (_server("s3"), True),
                 (_server("s4"), False)))
        for number, changes in enumerate(rows):
            snapshot = json.loads(json.dumps(self.watcher.snapshot(
                0, fetching_watcher.revision)))
            self.assertEqual(number > 0, "since" in snapshot)
            fetching_watcher.apply_snapshot(snapshot)
            self.store.answer("servers", stores.Changes(changes, 6 + number))
        fetching_watcher.apply_snapshot(self.watcher.snapshot(0, 7))
        self.assertEqual(sorted(self.host.servers),
                         sorted(other.host.servers))
        self.assertEqual(["s2", "s4"], sorted(fetching_watcher.raw_servers))
        self.assertTrue(other.host.servers["s2"].server.draining)

    def test_changes_since_an_unknown_revision_are_ignored(self):
        # The host restarted while its fetch was in progress.
        self.watcher.apply_snapshot({
            "config": None, "servers": [], "removed": ["s1"], "since": 5,
            "revision": 9, "lapsing": []})
        self.assertEqual(["s1", "s2"], list(self.host.servers))

    def test_server_that_is_removed_and_added_again_is_kept(self):
        self.store.answer("servers", stores.Changes(
            ((_server("s2"), True), (_server("s2"), False)), 6))
        self.assertIn("s2", self.host.servers)
        self.assertEqual(2, len(self.watcher.snapshot(3)["servers"]))

    def test_watch_without_changes_is_not_announced(self):
        # The store's revision grows with each write of any kind: hosts fetched
        # a list that they already had every 2 s.
        self.store.answer("servers", stores.Changes((), 9))
        self.assertEqual(4, self.host.servers_revision)
        self.assertIn(("watch", "servers", 9), self.store.calls)

    def test_snapshot_lists_expiring_servers(self):
        self.gateway.feed(events.StoreAvailable())
        self.host.store_up_since = self.gateway.now
        self.store.answer("servers", stores.Changes(
            ((_server("s2"), True),), 6))
        snapshot = self.watcher.snapshot(3)
        self.assertEqual(["s1"], [objects.name(obj) for obj
                                  in snapshot["servers"]])
        ((sid, left_s),) = snapshot["lapsing"]
        self.assertEqual("s2", sid)
        self.assertTrue(0 < left_s < 2)

    def test_host_that_stops_reading_resets_the_lost_store(self):
        # The host lost the store, and then others took over the reading. It
        # must not wait forever for a store that it no longer calls.
        self.store.answer("servers", exceptions.StoreError(0, "down"))
        self.assertIsNotNone(self.host.store_down_since)
        self.watcher._reads_store = lambda: False
        self.clock.advance(1.0)
        self.assertIsNone(self.host.store_down_since)


class ObjectsTest(unittest.TestCase):
    """Decoding of objects."""

    def test_configuration_is_decoded(self):
        row = {"Name": "r", "Host": "Desk.Example", "Prefix": "/a/",
               "Kind": "stream", "TimeoutMs": 8000, "GoalMs": 2000,
               "Priority": 2, "Service": "engines", "Attempts": 2,
               "Resumable": True, "GapAimMs": 250}
        found = catalogs.catalog(_config(
            5, Routes=[row, {**row, "Prefix": "/a/b/"}],
            Tenants=[{"Name": "w", "ApiKeys": ["k"], "Priority": 1}],
            Services=[{"Name": "engines", "MaxConns": 360,
                       "Engine": {"Slots": 64, "KvTokens": 500}}]))
        longest, _ = found.routes["desk.example"]
        self.assertEqual("/a/b/", longest.prefix)
        self.assertEqual((8.0, 0.25, True), (
            longest.timeout_s, longest.gap_s, longest.repeatable))
        self.assertEqual(("w", 1), (found.api_keys["k"].name,
                                    found.api_keys["k"].priority))
        self.assertEqual(500, found.services["engines"].engine.memory)

    def test_peer_round_trip(self):
        me = support.peer("me")
        obj = {"Meta": {"Name": "me"}, "Spec": objects.peer_spec(me)}
        found = objects.peer(obj)
        self.assertEqual(dataclasses.replace(me, boot=found.boot), found)
