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
