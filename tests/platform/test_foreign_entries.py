"""Entries and answers of other writers cost only themselves."""

import json
import random
import tracemalloc
import unittest
import zlib

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel import decoding
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.gateway import gossip
from crocuskeel.platform import catalogs
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects
from crocuskeel.platform import snapshots
from crocuskeel.platform import store as stores
from crocuskeel.platform import store_watcher
from crocuskeel.platform import watched_kind
from tests.entry import support
from twisted.internet import defer
from twisted.internet import task

HALF = "agent-\ud83d"
SPEC = {"Service": "plain", "Addr": "10.0.0.9:80", "Zone": "a",
        "Version": "v1", "Slots": 6, "State": "ready", "ColdLeftMs": 0,
        "Seq": 1}
DEEP = "[" * 50_000 + "]" * 50_000
DIGITS = "9" * 5_000


def _entry(sid, **changes):
    return {"Meta": {"Name": sid, "Rev": 4}, "Spec": {**SPEC, **changes}}


# Values that fields of an entry may have: text without bytes, on several
# lines, very long; numbers beyond 64 bits; other types.
VALUES = (HALF, "\ud800\udc00"[:1], "a\nb", "a\x00", " a", "\ufffd",
          "x" * 100_000, "", 10 ** 30, -10 ** 30, 2 ** 64, 1e308,
          float("inf"), float("nan"), -1, True, None, [], {}, ["a"],
          {"a": HALF})
# Whole entries, as JSON.
ENTRIES = (
    *(json.dumps(_entry(sid)) for sid in (
        HALF, "a\nb", "x" * 5_000, "\ufffd", " i", 7, None, ["i"])),
    *(json.dumps(_entry("other", **{field: value}))
      for field in SPEC for value in VALUES),
    '{"Meta": {"Name": "other"}, "Spec": %s}' % DEEP,
    '{"Meta": {"Name": "other"}, "Spec": {"Slots": %s}}' % DIGITS,
    '{"Meta": {"Name": %s}}' % DEEP, DEEP, DIGITS, "null", "{}", '"x"')


class _Host:
    """A host whose store's answers a test writes as JSON."""

    def __init__(self):
        self.clock = task.Clock()
        self.host = entry.new_host(entry.Settings(), random.Random(1))
        self.log_lines = []
        self.datagrams = 0
        self.feed(events.Started(support.peer("me")))
        self.feed(events.PeersListed((support.peer("other"),)))
        self.store = stores.new_store(self.clock, ("10.0.0.1", 80))
        self.watcher = store_watcher.new_watcher(
            self.clock, self, self.store)
        self.asked = defer.Deferred()

    def feed(self, event):
        """Feed the core, and encode what it sends to other hosts."""
        for effect in entry.reduce(self.host, event, self.clock.seconds()):
            if hasattr(effect, "peer") and hasattr(effect, "event"):
                gossip.decode(gossip.encode(effect.event))
                self.datagrams += 1

    def log(self, event, fields):
        self.log_lines.append(event)

    def start(self, test):
        """Watch the servers only."""
        original = calls.call

        def call(reactor, address, method, target, timeout_s, body=b""):
            self.asked = defer.Deferred()
            self.target = target
            return self.asked

        calls.call = call
        test.addCleanup(setattr, calls, "call", original)
        self.watcher.started = True
        kind = watched_kind.WatchedKind(
            "servers", self.watcher._on_server_list,
            self.watcher._on_server_change, 0.0, objects.trimmed_server)
        self.watcher.kinds = [kind]
        self.watcher._run_kind(kind)

    def answer(self, text):
        """Answer the pending call."""
        self.asked.callback(calls.Reply(200, text.encode()))

    def known(self):
        """Return whether each known server drains, by id."""
        return {sid: state.server.draining
                for sid, state in self.host.servers.items()}


def _page(*rows, **fields):
    fields = "".join(f', "{name}": {json.dumps(value)}'
                     for name, value in fields.items())
    return '{"Items": [%s], "AsOf": 5%s}' % (", ".join(rows), fields)


def _changes(revision, *rows):
    return '{"events": [%s], "AsOf": %d}' % (", ".join(
        '{"Object": %s, "Removed": false}' % row for row in rows), revision)


GOOD = json.dumps(_entry("i-1"))
DRAINING = json.dumps(_entry("i-1", State="draining"))


class WatchedEntriesTest(unittest.TestCase):
    """Guards against one entry that ends the view of all engines."""

    def _host(self):
        host = _Host()
        host.start(self)
        return host

    def test_change_after_an_unusable_entry_is_seen(self):
        # One entry whose name has no bytes in UTF-8 ended the watch for good:
        # a draining engine got requests until it exited under them.
        for bad in ENTRIES:
            with self.subTest(bad[:80]):
                host = self._host()
                host.answer(_page(GOOD))
                self.assertEqual({"i-1": False}, host.known())
                host.answer(_changes(6, bad, DRAINING))
                self.assertNotIn("follower_died", host.log_lines)
                self.assertTrue(host.known()["i-1"])
                host.answer(_changes(7, bad))
                host.feed(events.Ticked())
                self.assertGreater(host.datagrams, 0)

    def test_restart_beside_an_unusable_entry(self):
        # A host that was started again had no engine at all.
        for bad in ENTRIES:
            with self.subTest(bad[:80]):
                host = self._host()
                host.answer(_page(bad, GOOD, bad))
                self.assertNotIn("follower_died", host.log_lines)
                self.assertTrue(host.host.servers_loaded)
                self.assertIn("i-1", host.known())
                self.assertTrue(host.host.by_service["plain"])

    def test_removed_unusable_entry(self):
        host = self._host()
        host.answer(_page(GOOD))
        host.answer('{"events": [{"Object": %s, "Removed": true},'
                    ' {"Object": %s}], "AsOf": 6}' % (
                        json.dumps(_entry(HALF)), DRAINING))
        self.assertEqual({"i-1": True}, host.known())

    def test_page_that_ends_with_an_unusable_name(self):
        host = self._host()
        host.answer(_page(GOOD, json.dumps(_entry(HALF)), More=True))
        self.assertTrue(host.target.endswith(b"?AfterRev=i-1"), host.target)
        host.answer(_page(json.dumps(_entry(HALF)),
                          json.dumps(_entry("i-2"))))
        self.assertEqual({"i-1", "i-2"}, set(host.known()))

    def test_page_without_a_usable_name_ends_the_list(self):
        # It was asked for a thousand times.
        host = self._host()
        bad = json.dumps(_entry(HALF))
        host.answer(_page(GOOD, bad, More=True))
        host.answer(_page(bad, bad, More=True))
        self.assertIn("store_call_failed", host.log_lines)

    def test_only_used_fields_of_an_entry_are_kept(self):
        # An entry may be a megabyte, of which hosts kept and passed on all.
        host = self._host()
        host.answer(_page(json.dumps(_entry(
            "i-1", Notes="x" * 1_000_000, Version="y" * 100_000))))
        kept = json.dumps(host.watcher.raw_servers)
        self.assertLess(len(kept), 1000)
        again = objects.server(host.watcher.raw_servers["i-1"])
        self.assertEqual(host.host.servers["i-1"].server, again)

    def test_entry_with_an_extra_field_of_any_kind_is_usable(self):
        for text in (DEEP, DIGITS, json.dumps(HALF)):
            with self.subTest(text[:20]):
                host = self._host()
                host.answer(_page(GOOD[:-2] + ', "Notes": %s}}' % text))
                self.assertEqual({"i-1": False}, host.known())


class LargeEntriesTest(unittest.TestCase):
    """Guards against entries that together exceed a host's memory."""

    def _unused(self, number):
        # Wide characters take four bytes in memory.
        return json.dumps(
            {**_entry(f"o-{number:03}", Zone="\U0001f6f6" * 100_000),
             "Status": {"Note": "\U0001f6f6" * 100_000}}, ensure_ascii=False)

    def test_list_holds_what_is_used_of_its_pages(self):
        host = _Host()
        host.start(self)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(40):
            host.answer(_page(self._unused(number), More=True))
        tracemalloc.reset_peak()
        host.answer(_page(self._unused(99), GOOD))
        _, peak = tracemalloc.get_traced_memory()
        self.assertEqual({"i-1": False}, host.known())
        self.assertLess(peak, 8 << 20)

    def test_trimmed_entry_is_taken_for_the_same(self):
        for text in ENTRIES:
            obj = decoding.loads(text.encode())
            with self.subTest(text[:80]):
                self.assertEqual(
                    self._decoded(obj),
                    self._decoded(objects.trimmed_server(obj)))

    def _decoded(self, obj):
        try:
            return objects.server(obj), objects.server_record(obj)
        except exceptions.InvalidObjectError:
            return None

    def test_more_changes_than_an_answer_may_hold_are_listed(self):
        # The watch would get the same answer until its history is dropped.
        host = _Host()
        host.start(self)
        host.answer(_page(GOOD))
        host.asked.errback(gateway_exceptions.CallFailed(
            "answer too large", too_large=True))
        host.clock.advance(1.0)
        self.assertNotIn(b"Watch", host.target)
        host.answer(_page(DRAINING))
        self.assertEqual({"i-1": True}, host.known())


class HostEntriesTest(unittest.TestCase):
    """Guards against entries of hosts by other writers."""

    def test_only_invalid_object_error_is_raised(self):
        spec = objects.peer_spec(support.peer("h"))
        for field in spec:
            values = VALUES
            if field not in ("Zone", "Cores"):
                values += ([HALF, 1], ["h", 2 ** 70], "h:" + DIGITS, "h:²")
            # The value of a valid entry may be among them.
            for value in (value for value in values
                          if value is not spec[field]):
                with self.subTest(field=field, value=repr(value)[:40]):
                    obj = {"Meta": {"Name": "h"},
                           "Spec": {**spec, field: value}}
                    with self.assertRaises(exceptions.InvalidObjectError):
                        objects.peer(obj)

    def test_program_of_a_host(self):
        # The former program writes no field, and no records of streams.
        spec = {**objects.peer_spec(support.peer("h")), "Front": "h:80"}
        for value, expected in ((True, True), (False, False), (None, None)):
            entry = {**spec, "Records": value}
            if value is None:
                del entry["Records"]
            obj = {"Meta": {"Name": "h"}, "Spec": entry}
            objects.peer(obj)
            self.assertIs(bool(expected), objects.writes_records(obj))


class ConfigurationTest(unittest.TestCase):
    """Guards against values of a configuration that no host can use."""

    def test_unusable_values_raise_invalid_object_error(self):
        route = {"Name": "r", "Host": "h", "Prefix": "/a/", "Kind": "safe",
                 "Service": "plain", "TimeoutMs": 900}
        for field in ("Name", "Host", "TimeoutMs", "Priority", "Attempts"):
            for value in (HALF, 10 ** 400, float("inf")):
                obj = {"Meta": {"Name": "main", "Rev": 1}, "Spec": {
                    "Version": 1, "Routes": [{**route, field: value}]}}
                with self.subTest(field=field, value=repr(value)[:20]):
                    with self.assertRaises(exceptions.InvalidObjectError):
                        catalogs.catalog(obj)

    def test_version_may_have_64_bits(self):
        # A bound of the other numbers refused a configuration by its version.
        obj = {"Meta": {"Name": "main", "Rev": 1},
               "Spec": {"Version": 2 ** 63 - 1, "Routes": []}}
        self.assertEqual(2 ** 63 - 1, catalogs.catalog(obj).version)


class SnapshotTest(unittest.TestCase):
    """Guards against answers of what isn't a host any more."""

    GOOD = {"config": None, "revision": 4, "era": 0, "servers": [],
            "lapsing": [["i-1", 0.5]], "since": 2, "removed": ["i-2"]}

    def _decode(self, value):
        return snapshots.decode(zlib.compress(json.dumps(value).encode()))

    def test_snapshot_round_trip(self):
        self.assertEqual(self.GOOD, self._decode(self.GOOD))

    def test_invalid_fields(self):
        for field in self.GOOD:
            for value in (HALF, 7.5, True, 2 ** 70, -1, {"a": 1}, [HALF],
                          [["i-1"]], [["i-1", "x"]], [["i-1", 1e9]]):
                if field == "servers" and isinstance(value, list):
                    # Its entries are checked one by one.
                    continue
                if field == "config" and isinstance(value, dict):
                    continue
                with self.subTest(field=field, value=value):
                    with self.assertRaises(ValueError):
                        self._decode({**self.GOOD, field: value})

    def test_answers_that_are_no_snapshots(self):
        for value in (None, 7, [], {}, "x"):
            with self.assertRaises(ValueError):
                self._decode(value)
        for body in (b"", b"x", zlib.compress(b"{}")[:-3],
                     zlib.compress(DEEP.encode())):
            with self.assertRaises(ValueError):
                snapshots.decode(body)

    def test_decompressed_size_is_bounded(self):
        # A kilobyte may hold a megabyte, and a megabyte a gigabyte.
        with self.assertRaises(ValueError):
            snapshots.decode(zlib.compress(bytes(64 << 20)))


class DecodingTest(unittest.TestCase):
    """JSON that the standard library refuses as a whole."""

    def test_deep_values_and_long_numbers_hide_nothing_else(self):
        text = '{"a": [1, %s, "]}\\"{"], "b": %s, "c": {"d": 2}}' % (
            DEEP, DIGITS)
        found = decoding.loads(text.encode())
        self.assertEqual([[1], "]}\"{", {"d": 2}],
                         [found["a"][:1], found["a"][2], found["c"]])
        for broken in ("[" * 50_000, DEEP[:-1], "]" * 9, ""):
            with self.assertRaises(ValueError):
                decoding.loads(broken.encode())


if __name__ == "__main__":
    unittest.main()
