"""Contract with backend servers: one row a fault."""

import unittest

from twisted.internet import error

from crocuskeel.core import effects
from crocuskeel.core import events
from tests.runtime import support

End = events.AttemptEnd


def _refused(world):
    support.refuse(world, error.ConnectionRefusedError())


def _no_route(world):
    support.refuse(world, error.TimeoutError())


def _answers(data, then_lose=False):
    def act(world):
        protocol, _ = support.accept(world)
        protocol.dataReceived(data)
        if then_lose:
            support.lose(protocol)
    return act


def _is_silent(world):
    support.accept(world)
    support.pass_time(world, 2.5)


def _goes_silent(world):
    protocol, _ = support.accept(world)
    protocol.dataReceived(
        support.STREAM_HEAD + support.chunk(support.event(1)))
    support.pass_time(world, 1.5)


_HALF = support.STREAM_HEAD + support.chunk(
    support.event(1) + support.event(2)[:9])

# name, what the server does, end, forwarded events, retry_after_s
ROWS = (
    ("refuses the connection", _refused, End.REFUSED, 0, 0),
    ("can't be reached", _no_route, End.REFUSED, 0, 0),
    ("is full", _answers(
        b"HTTP/1.1 429 X\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n"),
     End.BUSY, 0, 7),
    ("has no model", _answers(
        b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"),
     End.UNREADY, 0, 0),
    ("fails", _answers(
        b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"), End.FAILED, 0, 0),
    ("dies after the request", _answers(b"", True), End.BROKEN, 0, 0),
    ("dies in its head", _answers(b"HTTP/1.1 200", True),
     End.BROKEN, 0, 0),
    ("breaks within an event", _answers(_HALF, True), End.BROKEN, 1, 0),
    ("never answers", _is_silent, End.SILENT, 0, 0),
    ("stops answering", _goes_silent, End.SILENT, 1, 0),
)


class FaultTable(unittest.TestCase):
    """A server fails in each way that the core tells apart.

    A caller would be refused though its request ran, or get parts of
    events: the core decides on a retry by how the attempt ended and on
    a resume by the number of whole events that went on.
    """

    def test_rows(self):
        for name, act, end, forwarded, retry in ROWS:
            with self.subTest(name):
                world = support.new_world()
                world.script[events.RequestArrived] = support.opening
                _, caller = support.ask(world)
                act(world)
                closed, = world.seen(events.AttemptClosed)
                self.assertEqual(
                    (closed.end, closed.forwarded, closed.retry_after_s),
                    (end, forwarded, retry))
                got = support.body_of(caller.value())
                want = b"".join(
                    support.event(i + 1) for i in range(forwarded))
                self.assertEqual(got, want)


class Recovery(unittest.TestCase):
    """What follows on a fault."""

    def _broken(self, world):
        def resume(closed):
            return [effects.ResumeAttempt(
                closed.rid, closed.attempt, "llm-1", support.URL, 1.0)]

        world.script[events.RequestArrived] = support.opening
        world.script[events.AttemptClosed] = resume
        _, caller = support.ask(world)
        _answers(_HALF, True)(world)
        del world.script[events.AttemptClosed]
        return caller

    def test_resumed_stream_is_whole(self):
        """A caller reads a stream whose engine connection breaks.

        The break falls within event 2. The stream is asked for from
        after event 1, the last whole one, and the caller must get each
        event once, in order, and then a proper end.
        """
        world = support.new_world()
        caller = self._broken(world)
        protocol, engine = support.accept(world)
        self.assertIn(b"GET /v1/streams/entry-1.", engine.value())
        self.assertRegex(engine.value(), rb"Last-Event-Id: \S+:1\r\n")
        rest = support.event(2) + support.event(3)
        protocol.dataReceived(
            support.STREAM_HEAD + support.chunk(rest) + b"0\r\n\r\n")
        self.assertEqual(support.body_of(caller.value()),
                         support.event(1) + rest)
        self.assertTrue(caller.value().endswith(b"0\r\n\r\n"))
        last = world.seen(events.AttemptClosed)[-1]
        self.assertEqual((last.end, last.forwarded), (End.DONE, 3))

    def test_forgotten_stream_is_gone(self):
        """The engine crashed in between and doesn't know the stream.

        Its 404 must not reach the caller, who holds half an answer.
        """
        world = support.new_world()
        caller = self._broken(world)
        before = caller.value()
        _answers(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")(world)
        self.assertEqual(world.seen(events.AttemptClosed)[-1].end,
                         End.GONE)
        self.assertEqual(caller.value(), before)

    def test_silent_connection_is_retired(self):
        """Requests hang on connections that went silent for good.

        Two idle connections to a server are dead while new ones work.
        One request finds the first of them silent; the next request
        must not be sent on the second.
        """
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        done = _answers(
            support.STREAM_HEAD + support.chunk(support.event(1))
            + b"0\r\n\r\n")
        for _ in range(2):
            support.ask(world)
        for number in (0, 1):
            protocol, _ = support.accept(world, number)
            protocol.dataReceived(
                support.STREAM_HEAD + support.chunk(support.event(1))
                + b"0\r\n\r\n")
        support.ask(world)
        self.assertEqual(len(world.reactor.tcpClients), 2)
        support.pass_time(world, 2.5)
        self.assertEqual(world.events[-1].end, End.SILENT)
        _, caller = support.ask(world)
        self.assertEqual(len(world.reactor.tcpClients), 3)
        done(world)
        self.assertIn(support.event(1), caller.value())

    def test_late_answer_reaches_nobody(self):
        """An engine answers after its attempt was given up.

        The request was run again elsewhere; the late bytes of the first
        run must not be mixed into the second one's answer.
        """
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        _, caller = support.ask(world)
        protocol, conn = support.accept(world)
        support.pass_time(world, 2.5)
        self.assertTrue(conn.dropped)
        protocol.dataReceived(
            support.STREAM_HEAD + support.chunk(support.event(1)))
        self.assertEqual(caller.value(), b"")
        self.assertFalse(world.seen(events.AttemptOpened))

    def test_cancel_reaches_the_engine(self):
        """Nobody waits any more: the engine's slot must come free."""
        world = support.new_world()
        world.script[events.RequestArrived] = support.opening
        world.script[events.CallerGone] = lambda gone: [
            effects.CancelAttempt(gone.rid, 1)]
        channel, _ = support.ask(world)
        protocol, _ = support.accept(world)
        protocol.dataReceived(
            support.STREAM_HEAD + support.chunk(support.event(1)))
        support.lose(channel)
        _, conn = support.accept(world)
        self.assertIn(b"DELETE /v1/streams/entry-1.", conn.value())
        closed, = world.seen(events.AttemptClosed)
        self.assertEqual(closed.end, End.CANCELLED)
