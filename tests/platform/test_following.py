"""Following the store through outages, against a store of a few lines."""

import dataclasses
import json
import random
import unittest
from unittest import mock

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.gateway import metrics
from crocuskeel.platform import exceptions
from crocuskeel.platform import following
from crocuskeel.platform import objects
from crocuskeel.platform import store as stores
from tests.entry import support
from twisted.internet import defer
from twisted.internet import task


def _config(revision, **spec):
    return {"Meta": {"Name": "main", "Rev": revision},
            "Spec": {"Version": revision, "Routes": [], **spec}}


def _server(sid, state="ready"):
    return {"Meta": {"Name": sid, "Rev": 1}, "Spec": {
        "Service": "plain", "Addr": "10.0.0.9:80", "Zone": "a",
        "Version": "v1", "Slots": 6, "State": state, "ColdLeftMs": 0,
        "Seq": 1}}


class _Store:
    """Answers calls with what a test lays ready, by kind."""

    def __init__(self):
        self.calls = []
        self.spans = []
        self.waiting = {}

    async def list(self, kind):
        return await self._call("list", kind)

    async def watch(self, kind, revision, span_s):
        self.spans.append(span_s)
        return await self._call("watch", kind, revision)

    async def put(self, kind, name, spec):
        self.calls.append(("put", kind))

    def _call(self, *call):
        self.calls.append(call)
        self.waiting[call[1]] = defer.Deferred()
        return self.waiting[call[1]]

    def answer(self, kind, result):
        waiting = self.waiting.pop(kind)
        if isinstance(result, Exception):
            waiting.errback(result)
        else:
            waiting.callback(result)


class _Gateway:
    def __init__(self):
        self.host = entry.new_host(entry.Settings(), random.Random(1))
        self.now = 0.0
        self.lines = []
        self.fields = {}
        self.feed(events.Started(support.peer("me")))

    def feed(self, event):
        entry.reduce(self.host, event, self.now)

    def log(self, event, fields):
        self.lines.append(event)
        self.fields[event] = fields


class FollowerTest(unittest.TestCase):
    """What a host believes after each answer of the store."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = _Store()
        self.gateway = _Gateway()
        self.host = self.gateway.host
        self.follower = following.new_follower(
            self.clock, self.gateway, self.store)
        self.follower.start()
        self.store.answer("crocuskeel-hosts", stores.Listing((), 4))
        self.store.answer("config", stores.Listing((_config(3),), 4))
        self.store.answer("servers", stores.Listing(
            (_server("s1"), _server("s2")), 4))

    def test_watches_from_the_lists_revision(self):
        self.assertIn(("watch", "config", 4), self.store.calls)
        self.assertEqual(3, self.host.catalog.revision)
        self.assertEqual(["s1", "s2"], list(self.host.servers))

    def test_changes_are_taken_at_once(self):
        self.store.answer("servers", stores.Changes(
            ((_server("s1", "draining"), False), (_server("s2"), True)),
            6))
        self.assertTrue(self.host.servers["s1"].server.draining)
        self.assertNotIn("s2", self.host.servers)
        self.assertIn(("watch", "servers", 6), self.store.calls)

    def test_a_history_that_is_gone_is_read_anew(self):
        # A server left in the gap that no watch shows.
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.clock.advance(0.5)
        self.store.answer("servers", stores.Listing((_server("s1"),), 9))
        self.assertEqual(["s1"], list(self.host.servers))

    def test_a_history_that_is_gone_shows_that_the_store_is_back(self):
        self.store.answer("config", exceptions.StoreError(0, "down"))
        self.assertIsNotNone(self.host.store_lost_at)
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.assertIsNone(self.host.store_lost_at)

    def test_what_is_known_holds_through_an_outage(self):
        for _ in range(5):
            self.store.answer("servers", exceptions.StoreError(0, "down"))
            self.clock.advance(2.0)
        self.assertIsNotNone(self.host.store_lost_at)
        self.assertEqual(2, len(self.host.servers))
        self.store.answer("servers", stores.Changes((), 9))
        self.assertIsNone(self.host.store_lost_at)

    def test_a_watch_waits_as_long_as_a_configuration_may_take(self):
        self.assertLess(max(self.store.spans), self.host.cfg.apply_s)
        self.gateway.feed(events.SettingsSeen(entry.Settings(apply_s=0.5)))
        self.store.answer("servers", stores.Changes((), 9))
        self.assertEqual(0.5, self.store.spans[-1])

    def test_a_watch_that_is_back_renews_the_other(self):
        # A host is cut off and heals. One watch is renewed; the other
        # hangs on a connection that is dead, and the configuration of
        # four seconds ago stays in force.
        self.store.answer("servers", exceptions.StoreError(0, "down"))
        self.clock.advance(0.5)
        watches = self.store.calls.count(("watch", "config", 4))
        self.store.answer("servers", stores.Changes((), 9))
        self.clock.advance(0.5)
        self.assertEqual(watches + 1, self.store.calls.count(
            ("watch", "config", 4)))

    def test_the_log_tells_each_failed_call_and_the_next_watch(self):
        # Only the first failure left a line: whether a host watched,
        # listed or had ended could not be told afterwards.
        del self.gateway.lines[:]
        self.clock.advance(0.4)
        self.store.answer("servers", exceptions.StoreError(0, "reset"))
        self.clock.advance(0.5)
        self.clock.advance(0.2)
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.assertEqual({
            "kind": "servers", "why": "gone (410)", "status": 410,
            "revision": 4, "failures": 2, "after_s": 0.2},
            self.gateway.fields["store_call_failed"])
        self.clock.advance(1.0)
        self.store.answer("servers", stores.Listing((), 9))
        self.assertEqual(
            ["store_call_failed", "watch_begun", "store_call_failed",
             "watch_begun"], self.gateway.lines)
        self.assertEqual(9, self.gateway.fields["watch_begun"]["revision"])

    def test_a_metric_tells_how_long_the_store_gave_no_answer(self):
        counts = metrics.new_metrics(self.host)
        counts.show_unheard(self.follower.unheard_s)
        self.clock.advance(1.5)
        self.store.answer("servers", stores.Changes((), 9))
        text = counts.text().decode()
        self.assertIn('unheard_seconds{kind="config"} 1.5', text)
        self.assertIn('unheard_seconds{kind="servers"} 0.0', text)

    def test_calls_in_an_outage_are_few(self):
        # Each is billed, also those that get no answer.
        before = len(self.store.calls)
        for _ in range(100):
            if "servers" in self.store.waiting:
                self.store.answer("servers",
                                  exceptions.StoreError(503, "busy"))
            self.clock.advance(0.1)
        self.assertLess(len(self.store.calls) - before, 16)

    def test_bad_objects_are_left_out_with_a_line(self):
        self.store.answer("servers", stores.Changes(
            (({"Meta": {"Name": "s9"}, "Spec": {"Addr": "x"}}, False),),
            6))
        self.store.answer("config", stores.Changes(
            ((_config(7, Routes=[{"Name": "r"}]), False),), 7))
        self.assertEqual(["bad_object", "bad_object"],
                         self.gateway.lines[-2:])
        self.assertEqual(3, self.host.catalog.revision)

    def test_a_configuration_of_another_form_hides_no_later_one(self):
        for bad in ({"Limits": [1]}, {"Routes": [{"Name": "r", "Host": 5}]}):
            self.setUp()
            self.store.answer("config", stores.Changes(
                ((_config(7, **bad), False),), 7))
            self.assertEqual("bad_object", self.gateway.lines[-1])
            self.store.answer("config", stores.Changes(
                ((_config(8), False),), 8))
            self.assertEqual(8, self.host.catalog.revision)

    def test_an_error_in_taking_news_does_not_end_the_following(self):
        with mock.patch.object(self.follower, "take_config", autospec=True,
                               side_effect=RuntimeError("unforeseen")):
            self.store.answer("config", stores.Changes(
                ((_config(7), False),), 7))
        self.assertEqual("follower_died", self.gateway.lines[-1])
        self.clock.advance(2.0)
        self.store.answer("config", stores.Listing((_config(7),), 9))
        self.assertEqual(7, self.host.catalog.revision)
        self.assertIn(("watch", "config", 9), self.store.calls)

    def test_bad_entries_harm_no_other(self):
        # Another program writes to the list of servers. A host that read
        # one entry without a name stopped to follow the list for good.
        bad = [None, 7, {"Meta": {}}, {"Meta": {"Name": "s7"}, "Spec": "?"},
               {"Meta": {"Name": "s8"}, "Spec": {"Service": ["x"]}},
               _server("s9", "resting")]
        rows = tuple((obj, False) for obj in bad)
        self.store.answer("servers", stores.Changes(
            (*rows, (_server("s3"), False), (None, True)), 6))
        self.assertEqual(["s1", "s2", "s3"], sorted(self.host.servers))
        self.store.answer("servers", exceptions.StoreError(410, "gone"))
        self.clock.advance(0.5)
        self.store.answer("servers", stores.Listing(
            (*bad, *map(_server, ("s1", "s2", "s4"))), 9))
        self.assertEqual(["s1", "s2", "s4"], sorted(self.host.servers))
        told = self.follower.snapshot(3)["servers"]
        self.assertEqual(["s1", "s2", "s4"], list(map(objects.name, told)))

    def test_an_entry_that_can_not_be_read_names_no_server(self):
        # Not even while the store is away, when entries that are missing
        # are kept for a while.
        for obj in (_server("s1", "resting"),
                    {"Meta": {"Name": "s1"}, "Spec": None}):
            self.setUp()
            self.gateway.feed(events.StoreLost("down"))
            self.store.answer("servers", stores.Changes(
                ((obj, False),), 6))
            self.assertEqual(["s2"], list(self.host.servers))

    def test_an_entry_of_no_service_ends_no_other(self):
        # It has the address of a server that lives, which was taken for
        # gone and got nothing more.
        other = _server("s9")
        other["Spec"]["Service"] = "elsewhere"
        self.store.answer("servers", stores.Changes(((other, False),), 6))
        self.assertFalse(self.host.servers["s1"].misdirects)

    def test_a_snapshot_of_a_peer_brings_what_is_newer_only(self):
        snapshot = self.follower.snapshot(3)
        self.assertIsNone(snapshot["config"])
        self.follower.take_snapshot({
            "config": _config(2), "servers": [_server("old")],
            "revision": 2})
        self.assertEqual(3, self.host.catalog.revision)
        self.assertNotIn("old", self.host.servers)
        self.follower.take_snapshot({
            "config": _config(8), "servers": [_server("s1")],
            "revision": 8})
        self.assertEqual(8, self.host.catalog.revision)
        self.assertEqual(["s1"], list(self.host.servers))

    def test_one_change_is_fetched_without_all_other_servers(self):
        # A fleet of 300 hosts before 3,000 servers does not get through
        # its start: each server that registers has each host fetch and
        # read the whole list again. Cause: what hosts fetch of a reader
        # grows with the servers, not with what changed.
        servers = [_server(f"s{number}") for number in range(3000)]
        self.store.answer("servers", stores.Changes(
            tuple((server, False) for server in servers), 5))
        known = json.dumps(self.follower.snapshot(3, 0))
        self.store.answer("servers", stores.Changes(
            ((_server("s7", "draining"), False),), 6))
        fetched = json.dumps(self.follower.snapshot(3, 5))
        self.assertLess(len(fetched), len(known) / 100)

    def test_a_host_that_fetches_changes_comes_to_the_same_list(self):
        # A host fetches from a reader again and again, and falls behind
        # so far once that the reader no longer knows what changed.
        other = _Gateway()
        fetching = following.new_follower(self.clock, other, _Store())
        rows = (((_server("s3"), False),), ((_server("s1"), True),),
                ((_server("s2", "draining"), False), (_server("s3"), True),
                 (_server("s4"), False)))
        for number, news in enumerate(rows):
            snapshot = json.loads(json.dumps(self.follower.snapshot(
                0, fetching.revision)))
            self.assertEqual(number > 0, "since" in snapshot)
            fetching.take_snapshot(snapshot)
            self.store.answer("servers", stores.Changes(news, 6 + number))
        fetching.take_snapshot(self.follower.snapshot(0, 7))
        self.assertEqual(sorted(self.host.servers),
                         sorted(other.host.servers))
        self.assertEqual(["s2", "s4"], sorted(fetching.raw_servers))
        self.assertTrue(other.host.servers["s2"].server.draining)

    def test_changes_since_a_revision_that_it_never_had_are_not_taken(self):
        # It started anew while its fetch was on the way.
        self.follower.take_snapshot({
            "config": None, "servers": [], "removed": ["s1"], "since": 5,
            "revision": 9, "lapsing": []})
        self.assertEqual(["s1", "s2"], list(self.host.servers))

    def test_a_server_that_leaves_and_comes_back_at_once_is_there(self):
        self.store.answer("servers", stores.Changes(
            ((_server("s2"), True), (_server("s2"), False)), 6))
        self.assertIn("s2", self.host.servers)
        self.assertEqual(2, len(self.follower.snapshot(3)["servers"]))

    def test_a_watch_that_ends_without_news_is_told_to_nobody(self):
        # The store's revision moves on with each write to it, also of
        # other kinds: hosts fetched a list that they had each 2 s.
        self.store.answer("servers", stores.Changes((), 9))
        self.assertEqual(4, self.host.servers_revision)
        self.assertIn(("watch", "servers", 9), self.store.calls)

    def test_a_snapshot_tells_what_lapsed_and_is_kept(self):
        self.gateway.feed(events.StoreBack())
        self.host.store_back_at = self.gateway.now
        self.store.answer("servers", stores.Changes(
            ((_server("s2"), True),), 6))
        snapshot = self.follower.snapshot(3)
        self.assertEqual(["s1"], [objects.name(obj) for obj
                                  in snapshot["servers"]])
        ((sid, left_s),) = snapshot["lapsing"]
        self.assertEqual("s2", sid)
        self.assertTrue(0 < left_s < 2)

    def test_a_host_that_stops_reading_counts_no_store_as_lost(self):
        # Others read for all, and this one lost the store before: it
        # would wait for ever for the store that it no longer asks.
        self.store.answer("servers", exceptions.StoreError(0, "down"))
        self.assertIsNotNone(self.host.store_lost_at)
        self.follower._reads = lambda: False
        self.clock.advance(1.0)
        self.assertIsNone(self.host.store_lost_at)


class ObjectsTest(unittest.TestCase):
    """Decoding of objects."""

    def test_a_configuration(self):
        row = {"Name": "r", "Host": "Desk.Example", "Prefix": "/a/",
               "Kind": "stream", "TimeoutMs": 8000, "GoalMs": 2000,
               "Priority": 2, "Service": "engines", "Attempts": 2,
               "Resumable": True, "GapAimMs": 250}
        found = objects.catalog(_config(
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

    def test_a_host_comes_back_as_registered(self):
        me = support.peer("me")
        obj = {"Meta": {"Name": "me"}, "Spec": objects.peer_spec(me)}
        found = objects.peer(obj)
        self.assertEqual(dataclasses.replace(me, boot=found.boot), found)
