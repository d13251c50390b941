"""The client of the store, call by call."""

import json
import unittest
from unittest import mock

from crocuskeel.gateway import calls
from crocuskeel.platform import exceptions
from crocuskeel.platform import store as stores
from twisted.internet import defer


class PutTest(unittest.TestCase):
    """Writing an object with as few calls as it needs."""

    def _put(self, *replies):
        """Return (methods called, the error or None)."""
        store = stores.new_store(None, ("10.0.0.1", 80))
        waiting = [calls.Reply(status, json.dumps(body).encode())
                   for status, body in replies]
        asked = []

        def call(reactor, address, method, target, timeout_s, body):
            asked.append(method)
            return defer.succeed(waiting.pop(0))

        with mock.patch.object(calls, "call", call):
            done = defer.Deferred.fromCoroutine(
                store.put("hosts", "h1", {"Zone": "a"}))
        failed = []
        done.addErrback(lambda failure: failed.append(failure.value))
        return asked, failed[0] if failed else None

    def test_calls_by_what_is_there(self):
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

    def test_what_is_not_written_is_said(self):
        for replies in (((503, {}),),
                        ((409, {"Spec": {}}), (409, {"Spec": {}}))):
            _, error = self._put(*replies)
            self.assertIsInstance(error, exceptions.StoreError)


class ListTest(unittest.TestCase):
    """Pages and changes with rows that are no objects."""

    def _read(self, method, *bodies):
        store = stores.new_store(None, ("10.0.0.1", 80))
        waiting = [calls.Reply(200, body) for body in bodies]
        asked = []

        def call(reactor, address, method, target, timeout_s, body):
            asked.append(target)
            return defer.succeed(waiting.pop(0))

        found = []
        with mock.patch.object(calls, "call", call):
            done = defer.Deferred.fromCoroutine(method(store))
        done.addBoth(found.append)
        return found[0], asked

    def _list(self, *bodies):
        return self._read(lambda store: store.list("servers"), *bodies)

    def test_a_page_goes_on_after_the_last_name_that_can_be_read(self):
        first = {"Items": [{"Meta": {"Name": "s1"}}, {"Meta": None}, 7],
                 "More": True, "AsOf": 4}
        last = {"Items": [{"Meta": {"Name": "s2"}}], "AsOf": 4}
        found, asked = self._list(*(
            json.dumps(page).encode() for page in (first, last)))
        self.assertEqual(4, len(found.items))
        self.assertTrue(asked[1].endswith(b"?AfterRev=s1"))

    def test_bytes_that_are_no_text_hide_no_other_entry(self):
        # One entry's bytes were no UTF-8: the whole list could not be
        # read, and the store counted as lost.
        found, _ = self._list(
            b'{"Items": [{"Meta": {"Name": "s1"}, "Spec": "\xff\xfe"},'
            b' {"Meta": {"Name": "s2"}}], "AsOf": 4}')
        self.assertEqual("s2", found.items[1]["Meta"]["Name"])

    def test_changes_that_are_no_objects_are_passed_over(self):
        found, _ = self._read(
            lambda store: store.watch("servers", 3, 2.0),
            b'{"events": [7, null, {"Removed": true}, {"Object": 5,'
            b' "Removed": false}], "AsOf": 6}')
        self.assertEqual(((5, False),), found.rows)

    def test_an_answer_that_is_no_page_counts_as_none(self):
        for body in (b"", b"[]", b"{}", b'{"AsOf": "4"}', b"[" * 100_000):
            with self.subTest(body[:20]):
                found, _ = self._list(body)
                self.assertIsInstance(found.value, exceptions.StoreError)
