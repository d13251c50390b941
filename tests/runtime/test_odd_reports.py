"""Odd load and cache reports of engines, and odd bodies of callers."""

import json
import types
import unittest
from unittest import mock

from crocuskeel.core import events
from crocuskeel.runtime import exceptions
from crocuskeel.runtime import parsing
from crocuskeel.runtime import polling
from tests import odd_forms
from twisted.internet import defer
from twisted.internet import task

ENGINE = types.SimpleNamespace(name="e1", url="http://h:1", kind="engine")
LOAD = {"boot_id": "b", "running": 1, "waiting": 2, "slots": 8,
        "kv_used": 0.5}
CACHE = {"events": [{"op": "stored", "prefix": "a9"},
                    {"op": "removed", "prefix": "b9"}], "next": 7}
CHAT = {"messages": [{"role": "user", "content": "hello"}], "model": "m",
        "max_tokens": 5, "stream": True}


def _poll(load, cache):
    """Return the events that the reports of an engine lead to."""
    fed = []
    ctx = types.SimpleNamespace(polls=polling.new_polls(),
                                reactor=task.Clock())
    ctx.polls.rounds = polling.CACHE_POLL_ROUNDS

    def request(ctx, base_url, method, url):
        return defer.succeed(load if url.endswith("/load") else cache)

    with mock.patch.object(polling.http_client, "request", request), (
            mock.patch.object(polling, "_read_body", lambda body: body)), (
            mock.patch.object(polling.loop, "feed",
                              lambda ctx, event: fed.append(event))):
        done = []
        defer.Deferred.fromCoroutine(
            polling._poll(ctx, ENGINE)).addBoth(done.append)
    return fed, done, ctx.polls.next_cache_event


class ReportsTest(unittest.TestCase):
    """Guards against an odd report after which an old one stays in force."""

    def test_each_load_report_is_one_event(self):
        for form in odd_forms.FORMS:
            for text in odd_forms.replaced(LOAD, form):
                fed, done, _ = _poll(text.encode(), b"{}")
                with self.subTest(text[:150]):
                    self.assertEqual([None], done)
                    (event, ) = fed
                    self.assertIsInstance(event, events.EngineLoadSeen)
                    for value in (event.running, event.waiting, event.slots,
                                  event.kv_used):
                        self.assertTrue(0 <= value <= 2 ** 53)
                    self.assertLess(len(event.boot_id.encode()), 1100)

    def test_odd_cache_reports(self):
        for form in odd_forms.FORMS:
            for text in odd_forms.replaced(CACHE, form):
                fed, done, following = _poll(
                    json.dumps(LOAD).encode(), text.encode())
                with self.subTest(text[:150]):
                    self.assertEqual([None], done)
                    for event in fed[1:]:
                        for key in (*event.stored, *event.removed):
                            self.assertTrue(0 <= key < 2 ** 64)
                    self.assertTrue(
                        0 <= following.get("e1", 0) <= 2 ** 53)


class BodiesTest(unittest.TestCase):
    """Guards against a body that is answered by an internal error."""

    def test_odd_bodies(self):
        req = mock.Mock(method=b"POST", uri=b"/v1/chat/completions")
        req.getHeader.return_value = None
        for form in odd_forms.FORMS:
            for text in odd_forms.replaced(CHAT, form):
                with self.subTest(text[:150]):
                    try:
                        event = parsing.chat_request(
                            req, "r1", "", text.encode())
                    except exceptions.BadRequest as exc:
                        self.assertLess(len(str(exc)), 300)
                        continue
                    self.assertLess(event.max_tokens, 2 ** 32)
                    parsing.replace_model(text.encode(), "n")

    def test_odd_times_of_issue(self):
        req = mock.Mock(method=b"POST", uri=b"/a")
        for text in ("1e400", "inf", "nan", "-1", "x", "9" * 120):
            req.getHeader.side_effect = lambda name, text=text: (
                text if name == "X-Crocuskeel-Issued-At" else None)
            with self.subTest(text):
                try:
                    event = parsing.plain_request(req, "r1", "", b"")
                except exceptions.BadRequest:
                    continue
                self.assertTrue(0 <= event.issued_at <= 1e11)


if __name__ == "__main__":
    unittest.main()
