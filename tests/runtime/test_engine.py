"""Contract with backend servers: a table of faults."""

import unittest

from twisted.internet import error

from crocuskeel.core import effects
from crocuskeel.core import events
from tests.runtime import support

End = events.AttemptEnd


def _refuses_connection(harness):
    support.refuse_connection(harness, error.ConnectionRefusedError())


def _is_unreachable(harness):
    support.refuse_connection(harness, error.TimeoutError())


def _sends(data, then_disconnect=False):
    def inject_fault(harness):
        protocol, _ = support.accept_connection(harness)
        protocol.dataReceived(data)
        if then_disconnect:
            support.lose_connection(protocol)
    return inject_fault


def _never_answers(harness):
    support.accept_connection(harness)
    support.advance_time(harness, 2.5)


def _stops_answering(harness):
    protocol, _ = support.accept_connection(harness)
    protocol.dataReceived(
        support.STREAM_HEAD + support.http_chunk(support.stream_event(1)))
    support.advance_time(harness, 1.5)


_PARTIAL_STREAM = support.STREAM_HEAD + support.http_chunk(
    support.stream_event(1) + support.stream_event(2)[:9])

# name, fault of the server, end, forwarded events, retry_after_s
FAULTS = (
    ("refuses the connection", _refuses_connection, End.REFUSED, 0, 0),
    ("can't be reached", _is_unreachable, End.REFUSED, 0, 0),
    ("is overloaded", _sends(
        b"HTTP/1.1 429 X\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"),
     End.BUSY, 0, 7),
    ("has no model", _sends(
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"),
     End.UNREADY, 0, 0),
    ("fails", _sends(
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), End.FAILED, 0, 0),
    *((f"answers with status {status}", _sends(
        b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok"
        % status.encode()), End.FAILED, 0, 0)
      for status in ("000", "0", "099", "-1", "600", "999")),
    ("disconnects after the request", _sends(b"", True),
     End.CONNECTION_LOST, 0, 0),
    ("disconnects within the response head", _sends(b"HTTP/1.1 200", True),
     End.CONNECTION_LOST, 0, 0),
    ("disconnects within an event", _sends(_PARTIAL_STREAM, True),
     End.CONNECTION_LOST, 1, 0),
    ("never answers", _never_answers, End.TIMED_OUT, 0, 0),
    ("stops sending", _stops_answering, End.TIMED_OUT, 1, 0),
)


class FaultTable(unittest.TestCase):
    """A server fails in each way that the core distinguishes.

    The core decides on a retry by how the attempt ended, and on a resume
    by the number of complete events forwarded. If either is wrong, a
    caller is refused although its request ran, or gets partial events.
    """

    def test_faults(self):
        for name, inject_fault, end, forwarded, retry in FAULTS:
            with self.subTest(name):
                harness = support.new_harness()
                harness.script[events.RequestArrived] = support.open_attempt
                _, caller = support.send_chat_request(harness)
                inject_fault(harness)
                closed, = harness.recorded(events.AttemptClosed)
                self.assertEqual(
                    (closed.end, closed.forwarded, closed.retry_after_s),
                    (end, forwarded, retry))
                received = support.decode_body(caller.value())
                expected = b"".join(
                    support.stream_event(number + 1)
                    for number in range(forwarded))
                self.assertEqual(received, expected)


class Recovery(unittest.TestCase):
    """Behaviour after a fault."""

    def _break_stream(self, harness):
        def resume(closed):
            return [effects.ResumeAttempt(
                closed.rid, closed.attempt, "llm-1", support.URL, 1.0)]

        harness.script[events.RequestArrived] = support.open_attempt
        harness.script[events.AttemptClosed] = resume
        _, caller = support.send_chat_request(harness)
        _sends(_PARTIAL_STREAM, True)(harness)
        del harness.script[events.AttemptClosed]
        return caller

    def test_resumed_stream_is_whole(self):
        """The connection to the engine breaks during a stream.

        It breaks within event 2. The stream is resumed after event 1, the
        last complete one, and the caller must receive each event once, in
        order, and then a proper end.
        """
        harness = support.new_harness()
        caller = self._break_stream(harness)
        protocol, engine = support.accept_connection(harness)
        self.assertIn(b"GET /v1/streams/entry-1.", engine.value())
        self.assertRegex(engine.value(), rb"Last-Event-Id: \S+:1\r\n")
        remaining = support.stream_event(2) + support.stream_event(3)
        protocol.dataReceived(
            support.STREAM_HEAD + support.http_chunk(remaining) + b"0\r\n\r\n")
        self.assertEqual(support.decode_body(caller.value()),
                         support.stream_event(1) + remaining)
        self.assertTrue(caller.value().endswith(b"0\r\n\r\n"))
        last = harness.recorded(events.AttemptClosed)[-1]
        self.assertEqual((last.end, last.forwarded), (End.DONE, 3))

    def test_unknown_stream_is_reported_gone(self):
        """The engine restarted and no longer knows the stream.

        Its 404 must not reach the caller, who has part of a response.
        """
        harness = support.new_harness()
        caller = self._break_stream(harness)
        before = caller.value()
        _sends(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")(harness)
        self.assertEqual(harness.recorded(events.AttemptClosed)[-1].end,
                         End.STREAM_UNKNOWN)
        self.assertEqual(caller.value(), before)

    def test_idle_connections_are_dropped_after_a_timeout(self):
        """Idle connections to a server are dead while new ones work.

        One request times out on the first of two dead connections; the
        next request must not be sent on the second.
        """
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        send_stream = _sends(
            support.STREAM_HEAD + support.http_chunk(support.stream_event(1))
            + b"0\r\n\r\n")
        for _ in range(2):
            support.send_chat_request(harness)
        for number in (0, 1):
            protocol, _ = support.accept_connection(harness, number)
            protocol.dataReceived(
                support.STREAM_HEAD
                + support.http_chunk(support.stream_event(1))
                + b"0\r\n\r\n")
        support.send_chat_request(harness)
        self.assertEqual(len(harness.reactor.tcpClients), 2)
        support.advance_time(harness, 2.5)
        self.assertEqual(harness.events[-1].end, End.TIMED_OUT)
        _, caller = support.send_chat_request(harness)
        self.assertEqual(len(harness.reactor.tcpClients), 3)
        send_stream(harness)
        self.assertIn(support.stream_event(1), caller.value())

    def test_late_response_is_discarded(self):
        """An engine responds after its attempt timed out.

        The request is retried on another engine; the late bytes of the
        first run must not be mixed into the second run's response.
        """
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        _, caller = support.send_chat_request(harness)
        protocol, connection = support.accept_connection(harness)
        support.advance_time(harness, 2.5)
        self.assertTrue(connection.dropped)
        protocol.dataReceived(
            support.STREAM_HEAD + support.http_chunk(support.stream_event(1)))
        self.assertEqual(caller.value(), b"")
        self.assertFalse(harness.recorded(events.AttemptOpened))

    def test_cancel_reaches_the_engine(self):
        """After the caller disconnects, the engine's slot must be freed."""
        harness = support.new_harness()
        harness.script[events.RequestArrived] = support.open_attempt
        harness.script[events.CallerGone] = lambda gone: [
            effects.CancelAttempt(gone.rid, 1)]
        channel, _ = support.send_chat_request(harness)
        protocol, _ = support.accept_connection(harness)
        protocol.dataReceived(
            support.STREAM_HEAD + support.http_chunk(support.stream_event(1)))
        support.lose_connection(channel)
        _, connection = support.accept_connection(harness)
        self.assertIn(b"DELETE /v1/streams/entry-1.", connection.value())
        closed, = harness.recorded(events.AttemptClosed)
        self.assertEqual(closed.end, End.CANCELLED)
