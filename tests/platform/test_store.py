"""The client of the store."""

import json
import unittest
from unittest import mock

from crocuskeel.core import revisions
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


class EraTest(unittest.TestCase):
    """The era in the answers, and revisions of the lease's calls."""

    def _run(self, begin, status, body, *headers):
        """Return the store, the calls made, and the result or error."""
        store = stores.new_store(None, ("10.0.0.1", 80))
        store.note_era(2)
        requests = []

        def call(reactor, address, method, target, timeout_s, body=b""):
            requests.append((method, json.loads(body or b"null")))
            return defer.succeed(calls.Reply(
                status, json.dumps(reply).encode(), headers))

        reply = body
        results = []
        with mock.patch.object(calls, "call", call):
            done = defer.Deferred.fromCoroutine(begin(store))
            done.addBoth(results.append)
        return store, requests, results[0]

    def test_invalid_eras_are_ignored(self):
        # Guards against revisions that no datagram can hold.
        for value in (b"", b"-3", b"3.5", b"9" * 9, b"9" * 5000):
            store, _, listing = self._run(
                lambda store: store.list("servers"), 200,
                {"Items": [], "AsOf": 7}, (b"Store-Era", value))
            self.assertEqual((2, revisions.combine(2, 7)),
                             (store.era, listing.revision))

    def test_revision_that_is_no_integer_is_an_error(self):
        for value in (7.5, "7", None):
            _, _, result = self._run(
                lambda store: store.list("servers"), 200,
                {"Items": [], "AsOf": value})
            self.assertIsInstance(result.value, exceptions.StoreError)

    def test_write_to_a_revision_of_a_former_era_is_not_sent(self):
        # Guards against a number that the restored store has given out
        # again, for another object.
        for era, sent in ((1, []), (2, [(b"PUT", {"Meta": {
                "Name": "duties", "Rev": 5}, "Spec": {}})])):
            _, requests, result = self._run(
                lambda store: store.write(
                    "leases", "duties", {}, revisions.combine(era, 5)),
                200, {"Meta": {"Rev": 6}})
            self.assertEqual(sent, requests)
            self.assertEqual(
                revisions.combine(2, 6) if sent else None, result)

    def test_missing_object_has_a_revision_of_the_era(self):
        _, _, result = self._run(
            lambda store: store.read("leases", "duties"), 404, {},
            (b"store-era", b"3"))
        self.assertEqual((revisions.combine(3, 0), None), result)
        _, requests, _ = self._run(
            lambda store: store.write(
                "leases", "duties", {}, revisions.combine(2, 0)),
            201, {"Meta": {"Rev": 6}})
        self.assertEqual(b"POST", requests[0][0])


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

    def test_changes_between_two_pages_are_not_lost(self):
        # A draining engine of the first page got requests until it exited:
        # its change came between the pages, and the watch began after it.
        first = {"Items": [{"Meta": {"Name": "s1"}}], "More": True, "AsOf": 4}
        last = {"Items": [{"Meta": {"Name": "s2"}}], "AsOf": 9}
        found, _ = self._list(*(
            json.dumps(page).encode() for page in (first, last)))
        self.assertEqual(4, found.revision)

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
