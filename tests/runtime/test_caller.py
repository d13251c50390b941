"""Contract with callers: a table of faults, and back-pressure."""

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
VALID_BODY = b'{"messages": [{"content": "x"}]}'

# name, head, body, status, code
FAULTS = (
    ("invalid JSON", CHAT, b"{", 400, "bad_request"),
    ("not an object", CHAT, b"[]", 400, "bad_request"),
    ("no messages", CHAT, b"{}", 400, "bad_request"),
    ("messages of a wrong type", CHAT, b'{"messages": [1]}', 400,
     "bad_request"),
    ("a negative count", CHAT,
     b'{"messages": [{}], "max_tokens": -1}', 400, "bad_request"),
    ("a key over the limit", f"{CHAT}\r\nIdempotency-Key: {'k' * 300}",
     VALID_BODY, 400, "bad_request"),
    ("a body over the limit", CHAT, b"x" * 1001, 413, "too_large"),
    ("a malformed event id",
     "GET /v1/streams/x HTTP/1.1\r\nLast-Event-ID: x", b"", 404,
     "stream_unknown"),
)


def _parse_problem(connection):
    head, _, body = connection.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), head, json.loads(body)


class FaultTable(unittest.TestCase):
    """A caller sends an invalid request.

    The response states the reason in machine-readable form, and the core,
    which would queue the request, does not receive it.
    """

    def test_faults(self):
        for name, head, body, status, code in FAULTS:
            with self.subTest(name):
                harness = support.new_harness()
                _, connection = support.send_request(harness, head, body)
                received, head_bytes, document = _parse_problem(connection)
                self.assertEqual((received, document["code"]), (status, code))
                self.assertIn(b"application/problem+json", head_bytes)
                self.assertFalse(harness.recorded(events.RequestArrived))
                self.assertFalse(harness.recorded(events.ResumeArrived))

    def test_body_is_refused_before_it_is_read(self):
        """A caller announces or sends a body over the size limit.

        A body over the limit must be refused by its announced length or,
        without one, while it arrives; otherwise uploads exhaust memory.
        """
        harness = support.new_harness()
        for length, chunks in ((b"Content-Length: 99999999", 0),
                               (b"Transfer-Encoding: chunked", 11)):
            channel, connection = support.send_request(
                harness, "GET /healthz HTTP/1.1")
            connection.clear()
            channel.dataReceived(
                CHAT.encode() + b"\r\nHost: x\r\n" + length + b"\r\n\r\n")
            for _ in range(chunks):
                channel.dataReceived(support.http_chunk(b"x" * 100))
            self.assertTrue(connection.value().startswith(b"HTTP/1.1 413"))
            self.assertFalse(harness.ctx.exchanges)


class ProblemResponses(unittest.TestCase):
    """Responses to requests that the core ends with a problem."""

    def _end_with_problem(self, **extra):
        def end_with_problem(event):
            return [effects.Answer(event.rid, problems.new_problem(
                problems.Reason.OVERLOAD, retry_after_s=1.2), **extra)]
        return end_with_problem

    def test_problem_has_outcome_and_retry_time(self):
        harness = support.new_harness()
        harness.script[events.RequestArrived] = self._end_with_problem()
        _, connection = support.send_chat_request(harness)
        status, head, document = _parse_problem(connection)
        self.assertEqual((status, document["outcome"],
                          document["retry_after"]),
                         (503, "not_run", 1.2))
        self.assertIn(b"Retry-After: 2\r\n", head)

    def test_leaving_host_redirects(self):
        harness = support.new_harness()
        harness.script[events.RequestArrived] = self._end_with_problem(
            location="127.0.0.2:80")
        _, connection = support.send_chat_request(harness)
        status, head, _ = _parse_problem(connection)
        self.assertEqual(status, 307)
        self.assertIn(
            b"Location: http://127.0.0.2:80/v1/chat/completions", head)

    def test_partial_response_is_aborted(self):
        """A non-streaming response breaks after its first bytes.

        If its connection were ended properly, the caller would take the
        partial response for a complete one; it must be aborted.
        """
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        harness.script[events.AttemptClosed] = self._end_with_problem()
        _, connection = support.send_chat_request(harness)
        protocol, _ = support.accept_connection(harness)
        protocol.dataReceived(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" + support.http_chunk(b"{"))
        support.lose_connection(protocol)
        self.assertTrue(connection.dropped)
        self.assertFalse(connection.value().endswith(b"0\r\n\r\n"))

    def test_partial_stream_ends_with_an_error_event(self):
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        harness.script[events.AttemptClosed] = self._end_with_problem()
        _, connection = support.send_chat_request(harness)
        protocol, _ = support.accept_connection(harness)
        protocol.dataReceived(
            support.STREAM_HEAD + support.http_chunk(support.stream_event(1)))
        support.lose_connection(protocol)
        body = support.decode_body(connection.value())
        self.assertTrue(body.startswith(
            support.stream_event(1) + b"event: error\ndata: {"))


class CoreErrors(unittest.TestCase):
    """The core raises an exception while handling a request's event.

    The exception is logged, but without a response the caller would wait
    forever and its slot would stay occupied.
    """

    def setUp(self):
        logger.disable("crocuskeel")
        self.addCleanup(logger.enable, "crocuskeel")

    def _raise_error(self, _event):
        raise ZeroDivisionError

    def _assert_internal_error(self, harness, connection):
        status, _, document = _parse_problem(connection)
        self.assertEqual((status, document["code"], document["outcome"]),
                         (500, "internal", "unknown"))
        self.assertFalse(harness.ctx.exchanges)
        self.assertEqual(len(harness.recorded(events.CallerGone)), 1)

    def test_request_is_answered_at_once(self):
        harness = support.new_harness()
        harness.script[events.RequestArrived] = self._raise_error
        _, connection = support.send_chat_request(harness)
        self._assert_internal_error(harness, connection)

    def test_locate_is_answered_at_once(self):
        harness = support.new_harness()
        harness.script[events.LocateAsked] = self._raise_error
        _, connection = support.send_request(
            harness, "GET /v1/locate HTTP/1.1")
        self._assert_internal_error(harness, connection)

    def test_attempt_end_is_answered_at_once(self):
        """The engine refuses the connection; the core fails on that event."""
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        harness.script[events.AttemptClosed] = self._raise_error
        _, connection = support.send_chat_request(harness)
        support.refuse_connection(harness, error.ConnectionRefusedError())
        self._assert_internal_error(harness, connection)

    def test_resume_is_answered_at_once(self):
        harness = support.new_harness()
        harness.script[events.ResumeArrived] = self._raise_error
        _, connection = support.send_resume_request(
            harness, "one-token", "one")
        self._assert_internal_error(harness, connection)


class Readiness(unittest.TestCase):
    """Results of the readiness check."""

    def test_draining_host_is_not_ready(self):
        """A draining host still receives readiness checks.

        Its settings are current and its streams continue, so it reported
        itself ready until the end and received new callers.
        """
        harness = support.new_harness()
        with mock.patch.object(follower, "ready", autospec=True,
                               return_value=True):
            _, connection = support.send_request(
                harness, "GET /readyz HTTP/1.1")
            self.assertTrue(connection.value().startswith(b"HTTP/1.1 200"))
            harness.ctx.daemon.frontend.drain_started_at = 1.0
            _, connection = support.send_request(
                harness, "GET /readyz HTTP/1.1")
        status, _, document = _parse_problem(connection)
        self.assertEqual((status, document["code"]), (503, "leaving"))


class SlowCaller(unittest.TestCase):
    """A caller reads more slowly than its engine writes."""

    def _pause_caller(self):
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        _, connection = support.send_chat_request(harness)
        protocol, engine = support.accept_connection(harness)
        protocol.dataReceived(
            support.STREAM_HEAD + support.http_chunk(support.stream_event(1)))
        connection.producer.pauseProducing()
        return harness, connection, engine

    def test_engine_is_paused(self):
        """Data that the caller doesn't read must not be buffered here.

        A paused engine is not read and therefore appears silent; this
        must not end the attempt.
        """
        harness, connection, engine = self._pause_caller()
        self.assertEqual(engine.producerState, "paused")
        support.advance_time(harness, 5.0)
        self.assertFalse(harness.recorded(events.AttemptClosed))
        connection.producer.resumeProducing()
        self.assertEqual(engine.producerState, "producing")

    def test_stalled_caller_is_dropped(self):
        """A caller that stops reading would occupy a slot indefinitely."""
        harness, connection, _ = self._pause_caller()
        support.advance_time(harness, watchdog.CALLER_STALL_TIMEOUT_S - 1.0)
        self.assertFalse(connection.dropped)
        support.advance_time(harness, 2.0)
        self.assertTrue(connection.dropped)


class Resume(unittest.TestCase):
    """Callers that resume a stream."""

    def test_same_caller_can_resume(self):
        harness = support.new_harness()
        support.send_resume_request(harness, "one-token", "one")
        event, = harness.recorded(events.ResumeArrived)
        self.assertEqual(
            (event.stream, event.attempt, event.engine, event.after),
            ("entry-2.5.7", 3, "llm.1", 4))

    def test_another_caller_cannot_resume(self):
        """An event id that leaked into a log or cache is used to resume.

        With another token it must not give access to the response: the
        proof in the id is that of the caller who started the stream.
        """
        harness = support.new_harness()
        _, connection = support.send_resume_request(
            harness, "two-token", "one")
        self.assertEqual(_parse_problem(connection)[0], 404)
        self.assertFalse(harness.recorded(events.ResumeArrived))

    def test_replay_follows_a_growing_answer(self):
        """A caller resumes while its stream is still running here.

        It receives the missed events and then the rest, each one once.
        """
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        channel, _ = support.send_chat_request(harness)
        protocol, _ = support.accept_connection(harness)
        protocol.dataReceived(support.STREAM_HEAD + support.http_chunk(
            support.stream_event(1) + support.stream_event(2)))
        support.lose_connection(channel)
        rid = harness.recorded(events.RequestArrived)[0].rid
        harness.script[events.ResumeArrived] = lambda event: [
            effects.Replay(event.rid, rid, 1)]
        _, connection = support.send_resume_request(
            harness, "one-token", "one")
        protocol.dataReceived(
            support.http_chunk(support.stream_event(3)) + b"0\r\n\r\n")
        self.assertEqual(support.decode_body(connection.value()),
                         support.stream_event(2) + support.stream_event(3))
        self.assertTrue(connection.value().endswith(b"0\r\n\r\n"))
