"""Tests of the soak test's store stub."""

import json
import unittest
from unittest import mock

from tools.soak import store as stores
from twisted.internet import task


class OutageTest(unittest.TestCase):
    """Overlapping outages."""

    def test_the_end_of_one_outage_does_not_end_another(self):
        # An outage in which entries expired was ended by one that had begun
        # before. The entries came back 3 s after the store, hosts took the
        # servers for gone, and a stream ran on three servers.
        store = stores.Store(task.Clock())
        store.set_down(True)
        store.set_down(True)
        store.set_down(False)
        self.assertTrue(store.down)
        store.set_down(False)
        self.assertFalse(store.down)


class CopyTest(unittest.TestCase):
    """A store that comes back from an older copy."""

    def test_later_writes_are_lost_and_numbers_are_given_out_again(self):
        clock = task.Clock()
        store = stores.Store(clock)
        store.put("servers", "s1", {"State": "ready"})
        clock.advance(2.0)
        store.put("servers", "s1", {"State": "draining"})
        store.put("servers", "s2", {})
        store.return_from_copy(1.0)
        self.assertEqual([("servers", "s1")], list(store.objects))
        self.assertEqual("ready", store.objects["servers", "s1"]["Spec"][
            "State"])
        self.assertEqual((2, 2), (store.era, store.revision))
        store.put("servers", "s3", {})
        self.assertEqual(3, store.revision)
        watching = _Exchange(
            b"/crocuskeel/objects/servers?Watch=4&WaitMs=1500")
        store.request_received(watching)
        self.assertEqual([410], watching.statuses)


class _Exchange:
    def __init__(self, target):
        self.head = mock.Mock(method=b"GET", target=target, spec_set=[
            "method", "target"])
        self.ends = []
        self.statuses = []

    def answer(self, status, headers, body):
        self.statuses.append(status)
        self.ends.append(json.loads(body or b"null"))

    def abort(self):
        self.ends.append("cut")


class WatchTest(unittest.TestCase):
    """Watches without changes, and while the store is silent."""

    def setUp(self):
        self.clock = task.Clock()
        self.store = stores.Store(self.clock)

    def _watch(self):
        exchange = _Exchange(
            b"/crocuskeel/objects/config?Watch=1&WaitMs=1500")
        self.store.request_received(exchange)
        return exchange

    def test_watch_without_changes_ends_after_its_wait_time(self):
        # The watch never ended, and hosts took the store for lost.
        watching = self._watch()
        self.clock.advance(1.4)
        self.assertEqual([], watching.ends)
        self.clock.advance(0.2)
        self.assertEqual([{"events": [], "AsOf": 1}], watching.ends)

    def test_silent_store_never_answers_accepted_calls(self):
        before = self._watch()
        self.store.set_silent(True)
        self.assertEqual(["cut"], before.ends)
        during = self._watch()
        self.store.put("config", "main", {})
        self.store.set_silent(False)
        self.clock.advance(2.0)
        self.assertEqual([], during.ends)
        after = self._watch()
        self.clock.advance(0.1)
        self.assertEqual(2, after.ends[0]["AsOf"])


if __name__ == "__main__":
    unittest.main()
