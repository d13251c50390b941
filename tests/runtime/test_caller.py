"""Contract with callers: one row a fault, and back-pressure."""

import json
import unittest
from unittest import mock

from loguru import logger
from twisted.internet import error

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import follower
from crocuskeel.core import problems
from crocuskeel.runtime import watchdog
from tests.runtime import support

CHAT = "POST /v1/chat/completions HTTP/1.1"
GOOD = b'{"messages": [{"content": "x"}]}'

# name, head, body, status, code
ROWS = (
    ("no JSON", CHAT, b"{", 400, "bad_request"),
    ("no object", CHAT, b"[]", 400, "bad_request"),
    ("no messages", CHAT, b"{}", 400, "bad_request"),
    ("messages of another type", CHAT, b'{"messages": [1]}', 400,
     "bad_request"),
    ("a count below zero", CHAT,
     b'{"messages": [{}], "max_tokens": -1}', 400, "bad_request"),
    ("a key without end", f"{CHAT}\r\nIdempotency-Key: {'k' * 300}",
     GOOD, 400, "bad_request"),
    ("a body over the limit", CHAT, b"x" * 1001, 413, "too_large"),
    ("an event id of nothing",
     "GET /v1/streams/x HTTP/1.1\r\nLast-Event-ID: x", b"", 404,
     "stream_unknown"),
)


def _problem(conn):
    head, _, body = conn.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), head, json.loads(body)


class FaultTable(unittest.TestCase):
    """A caller's request can't be taken.

    It is told why in a form that programs read, and the core, which
    would queue it, never hears of it.
    """

    def test_rows(self):
        for name, head, body, status, code in ROWS:
            with self.subTest(name):
                world = support.new_world()
                _, conn = support.call(world, head, body)
                got, lines, doc = _problem(conn)
                self.assertEqual((got, doc["code"]), (status, code))
                self.assertIn(b"application/problem+json", lines)
                self.assertFalse(world.seen(events.RequestArrived))
                self.assertFalse(world.seen(events.ResumeArrived))

    def test_body_is_refused_before_it_is_read(self):
        """A caller announces or sends more than the host may hold.

        Both the announced length and an upload without length must be
        refused while it is still small, or uploads fill the memory.
        """
        world = support.new_world()
        for length, chunks in ((b"Content-Length: 99999999", 0),
                               (b"Transfer-Encoding: chunked", 11)):
            channel, conn = support.call(world, "GET /healthz HTTP/1.1")
            conn.clear()
            channel.dataReceived(
                CHAT.encode() + b"\r\nHost: x\r\n" + length + b"\r\n\r\n")
            for _ in range(chunks):
                channel.dataReceived(support.chunk(b"x" * 100))
            self.assertTrue(conn.value().startswith(b"HTTP/1.1 413"))
            self.assertFalse(world.ctx.held)


class Refusals(unittest.TestCase):
    """What a caller sees when the core gives its request up."""

    def _answer(self, **more):
        def give_up(event):
            return [effects.Answer(event.rid, problems.problem(
                problems.Reason.OVERLOAD, retry_after_s=1.2), **more)]
        return give_up

    def test_problem_names_outcome_and_time(self):
        world = support.new_world()
        world.script[events.RequestArrived] = self._answer()
        _, conn = support.ask(world)
        status, head, doc = _problem(conn)
        self.assertEqual((status, doc["outcome"], doc["retry_after"]),
                         (503, "not_run", 1.2))
        self.assertIn(b"Retry-After: 2\r\n", head)

    def test_leaving_host_redirects(self):
        world = support.new_world()
        world.script[events.RequestArrived] = self._answer(
            location="127.0.0.2:80")
        _, conn = support.ask(world)
        status, head, _ = _problem(conn)
        self.assertEqual(status, 307)
        self.assertIn(
            b"Location: http://127.0.0.2:80/v1/chat/completions", head)

    def test_half_an_answer_never_ends_well(self):
        """An answer without stream breaks after its first bytes.

        The caller would take the half for the whole if its connection
        were ended properly; it must be broken off.
        """
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        world.script[events.AttemptClosed] = self._answer()
        _, conn = support.ask(world)
        protocol, _ = support.accept(world)
        protocol.dataReceived(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" + support.chunk(b"{"))
        support.lose(protocol)
        self.assertTrue(conn.dropped)
        self.assertFalse(conn.value().endswith(b"0\r\n\r\n"))

    def test_half_a_stream_ends_with_an_error_event(self):
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        world.script[events.AttemptClosed] = self._answer()
        _, conn = support.ask(world)
        protocol, _ = support.accept(world)
        protocol.dataReceived(
            support.STREAM_HEAD + support.chunk(support.event(1)))
        support.lose(protocol)
        body = support.body_of(conn.value())
        self.assertTrue(body.startswith(
            support.event(1) + b"event: error\ndata: {"))


class FaultyCore(unittest.TestCase):
    """A fault of the program in one request's event.

    The core raises; its log tells of it, but the caller would wait for
    an answer that nobody is going to give, and its slot stay taken.
    """

    def setUp(self):
        logger.disable("crocuskeel")
        self.addCleanup(logger.enable, "crocuskeel")

    def _raises(self, _event):
        raise ZeroDivisionError

    def _check(self, world, conn):
        status, _, doc = _problem(conn)
        self.assertEqual((status, doc["code"], doc["outcome"]),
                         (500, "internal", "unknown"))
        self.assertFalse(world.ctx.held)
        self.assertEqual(len(world.seen(events.CallerGone)), 1)

    def test_request_is_answered_at_once(self):
        world = support.new_world()
        world.script[events.RequestArrived] = self._raises
        _, conn = support.ask(world)
        self._check(world, conn)

    def test_locate_is_answered_at_once(self):
        world = support.new_world()
        world.script[events.LocateAsked] = self._raises
        _, conn = support.call(world, "GET /v1/locate HTTP/1.1")
        self._check(world, conn)

    def test_end_of_an_attempt(self):
        """The engine refuses; the core fails on what that brings."""
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        world.script[events.AttemptClosed] = self._raises
        _, conn = support.ask(world)
        support.refuse(world, error.ConnectionRefusedError())
        self._check(world, conn)

    def test_resume_is_answered_at_once(self):
        world = support.new_world()
        world.script[events.ResumeArrived] = self._raises
        _, conn = support.resume(world, "one-token", "one")
        self._check(world, conn)


class Readiness(unittest.TestCase):
    """What a health check of the callers' side sees."""

    def test_draining_host_is_not_ready(self):
        """A host is stopped as planned while a probe still calls it.

        Its settings are fresh and it goes on with its streams, so it
        looked ready to the end, and got new callers.
        """
        world = support.new_world()
        with mock.patch.object(follower, "ready", autospec=True,
                               return_value=True):
            _, conn = support.call(world, "GET /readyz HTTP/1.1")
            self.assertTrue(conn.value().startswith(b"HTTP/1.1 200"))
            world.ctx.daemon.door.drain_at = 1.0
            _, conn = support.call(world, "GET /readyz HTTP/1.1")
        status, _, doc = _problem(conn)
        self.assertEqual((status, doc["code"]), (503, "leaving"))


class SlowReader(unittest.TestCase):
    """A caller reads slower than its engine writes."""

    def _paused(self):
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        _, conn = support.ask(world)
        protocol, engine = support.accept(world)
        protocol.dataReceived(
            support.STREAM_HEAD + support.chunk(support.event(1)))
        conn.producer.pauseProducing()
        return world, conn, engine

    def test_engine_is_paused(self):
        """Bytes that the caller doesn't take must not pile up here.

        While paused the engine is not read and so looks silent; that
        must not end the attempt.
        """
        world, conn, engine = self._paused()
        self.assertEqual(engine.producerState, "paused")
        support.pass_time(world, 5.0)
        self.assertFalse(world.seen(events.AttemptClosed))
        conn.producer.resumeProducing()
        self.assertEqual(engine.producerState, "producing")

    def test_stalled_caller_is_dropped(self):
        """A caller that stops reading would hold a slot for good."""
        world, conn, _ = self._paused()
        support.pass_time(world, watchdog.CALLER_STALL_S - 1.0)
        self.assertFalse(conn.dropped)
        support.pass_time(world, 2.0)
        self.assertTrue(conn.dropped)


class Resume(unittest.TestCase):
    """Callers that come back for the rest of a stream."""

    def test_same_caller(self):
        world = support.new_world()
        support.resume(world, "one-token", "one")
        event, = world.seen(events.ResumeArrived)
        self.assertEqual(
            (event.stream, event.attempt, event.engine, event.after),
            ("entry-2.5.7", 3, "llm.1", 4))

    def test_another_caller_gets_nothing(self):
        """Event ids leak into logs and caches.

        Whoever finds one must not read the answer with another token:
        the proof in the id is that of the caller who began the stream.
        """
        world = support.new_world()
        _, conn = support.resume(world, "two-token", "one")
        self.assertEqual(_problem(conn)[0], 404)
        self.assertFalse(world.seen(events.ResumeArrived))

    def test_replay_follows_a_growing_answer(self):
        """A caller comes back while its stream still runs here.

        It gets what it missed and then the rest, each event once.
        """
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        channel, _ = support.ask(world)
        protocol, _ = support.accept(world)
        protocol.dataReceived(support.STREAM_HEAD + support.chunk(
            support.event(1) + support.event(2)))
        support.lose(channel)
        rid = world.seen(events.RequestArrived)[0].rid
        world.script[events.ResumeArrived] = lambda event: [
            effects.Replay(event.rid, rid, 1)]
        _, conn = support.resume(world, "one-token", "one")
        protocol.dataReceived(
            support.chunk(support.event(3)) + b"0\r\n\r\n")
        self.assertEqual(support.body_of(conn.value()),
                         support.event(2) + support.event(3))
        self.assertTrue(conn.value().endswith(b"0\r\n\r\n"))
