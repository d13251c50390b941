"""The client of the store."""

import json
import unittest
from unittest import mock

from crocuskeel.gateway import calls
from crocuskeel.platform import exceptions
from crocuskeel.platform import store as stores
from twisted.internet import defer


class PutTest(unittest.TestCase):
    """Writing of objects with as few calls as possible."""

    def _put(self, *replies):
        """Return the HTTP methods of the calls, and the error or None."""
        store = stores.new_store(None, ("10.0.0.1", 80))
        replies = [calls.Reply(status, json.dumps(body).encode())
                   for status, body in replies]
        requests = []

        def call(reactor, address, method, target, timeout_s, body):
            requests.append(method)
            return defer.succeed(replies.pop(0))

        with mock.patch.object(calls, "call", call):
            done = defer.Deferred.fromCoroutine(
                store.put("hosts", "h1", {"Zone": "a"}))
        failed = []
        done.addErrback(lambda failure: failed.append(failure.value))
        return requests, failed[0] if failed else None

    def test_calls_depend_on_the_existing_object(self):
        rows = (
            ("new", [b"POST"], (201, {})),
            ("the same", [b"POST"], (409, {"Spec": {"Zone": "a"}})),
            ("another", [b"POST", b"PUT"], (409, {"Spec": {"Zone": "b"}}),
             (200, {})),
            ("not told", [b"POST", b"PUT"], (409, None), (200, {})),
        )
        for name, methods, *replies in rows:
            with self.subTest(name):
                self.assertEqual((methods, None), self._put(*replies))

    def test_rejected_write_raises_an_error(self):
        for replies in (((503, {}),),
                        ((409, {"Spec": {}}), (409, {"Spec": {}}))):
            _, error = self._put(*replies)
            self.assertIsInstance(error, exceptions.StoreError)


class ListTest(unittest.TestCase):
    """Lists and changes that contain malformed rows."""

    def _read(self, method, *bodies):
        store = stores.new_store(None, ("10.0.0.1", 80))
        replies = [calls.Reply(200, body) for body in bodies]
        requests = []

        def call(reactor, address, method, target, timeout_s, body):
            requests.append(target)
            return defer.succeed(replies.pop(0))

        found = []
        with mock.patch.object(calls, "call", call):
            done = defer.Deferred.fromCoroutine(method(store))
        done.addBoth(found.append)
        return found[0], requests

    def _list(self, *bodies):
        return self._read(lambda store: store.list("servers"), *bodies)

    def test_next_page_starts_after_the_last_readable_name(self):
        first = {"Items": [{"Meta": {"Name": "s1"}}, {"Meta": None}, 7],
                 "More": True, "AsOf": 4}
        last = {"Items": [{"Meta": {"Name": "s2"}}], "AsOf": 4}
        found, requests = self._list(*(
            json.dumps(page).encode() for page in (first, last)))
        self.assertEqual(4, len(found.items))
        self.assertTrue(requests[1].endswith(b"?AfterRev=s1"))

    def test_invalid_utf8_does_not_hide_other_entries(self):
        # One entry with invalid UTF-8 made the whole list unreadable, and the
        # store counted as lost.
        found, _ = self._list(
            b'{"Items": [{"Meta": {"Name": "s1"}, "Spec": "\xff\xfe"},'
            b' {"Meta": {"Name": "s2"}}], "AsOf": 4}')
        self.assertEqual("s2", found.items[1]["Meta"]["Name"])

    def test_malformed_changes_are_skipped(self):
        found, _ = self._read(
            lambda store: store.watch("servers", 3, 2.0),
            b'{"events": [7, null, {"Removed": true}, {"Object": 5,'
            b' "Removed": false}], "AsOf": 6}')
        self.assertEqual(((5, False),), found.rows)

    def test_malformed_page_raises_an_error(self):
        for body in (b"", b"[]", b"{}", b'{"AsOf": "4"}', b"[" * 100_000):
            with self.subTest(body[:20]):
                found, _ = self._list(body)
                self.assertIsInstance(found.value, exceptions.StoreError)
