"""Answers that a server cuts: none may reach a caller framed as whole."""

import unittest

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.gateway import callers
from crocuskeel.gateway import closing
from crocuskeel.gateway import connections
from crocuskeel.gateway import servers
from tests.entry import support as entry_support
from tests.gateway import answer_forms as forms
from tests.gateway import support
from twisted.internet import error
from twisted.python import failure

DONE = error.ConnectionDone()
RESET = error.ConnectionLost()
POST = b"POST /a/1 HTTP/%s\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
FIRST = b"id: 1\ndata: a\n\n"
BEGUN = (servers.events.StreamOpened, servers.events.ResponseReceived)


class _Host:
    """A host between a caller and servers, with a core that forwards.

    A failed attempt is followed by another one for ``moves`` times; after
    that its request ends like the core's.
    """

    def __init__(self, stream=False, version=b"1.1", moves=0):
        self.stream = stream
        self.moves = moves
        self.gateway = support.Gateway()
        self.gateway.on_event = self._handle_event
        self.attempts = []
        self.exchanges = []
        listener = callers.new_listener(self.gateway.reactor, self)
        self.conn = listener.buildProtocol(None)
        self.transport = support.Transport()
        self.conn.makeConnection(self.transport)
        self.conn.dataReceived(POST % version)

    def limits(self):
        return model.Limits(16384, 1 << 20, 3.0, 15.0)

    def caller_disconnected(self, exchange):
        """Do nothing."""

    def request_received(self, exchange):
        self.exchanges.append(exchange)
        exchange.request = model.Request("r1", "POST", "h", "/")
        self.start_attempt()

    def start_attempt(self):
        send = effects.SendRequest(
            1, len(self.attempts), entry_support.server("s1"), 1.0, 0, "",
            self.stream, resume=bool(self.attempts))
        attempt = servers.Attempt(self.gateway, self.exchanges[-1], send)
        attempt.connection = connections.Connection(attempt)
        attempt.connection.makeConnection(support.Transport())
        self.attempts.append(attempt)

    def _handle_event(self, event):
        exchange = self.exchanges[-1]
        if type(event) in BEGUN:
            self.attempts[event.attempt_number].forward()
        elif type(event) is events.AttemptFailed:
            if self.moves:
                self.moves -= 1
                self.start_attempt()
            elif exchange.answer_begun:
                exchange.abort()
            else:
                exchange.answer(502, [], b"")

    def receive(self, pieces, end=None):
        """Receive pieces of an answer at the last attempt, and its end."""
        connection = self.attempts[-1].connection
        for data in pieces:
            if data:
                connection.dataReceived(data)
        if end is not None:
            connection.connectionLost(failure.Failure(end))

    @property
    def is_closed(self):
        """Whether the caller's connection ended cleanly."""
        return not self.transport.aborted and (
            self.transport.write_closed or self.transport.disconnecting)

    def received(self):
        """Return the answer as the caller received it."""
        return forms.read(self.transport.value(), self.is_closed, "POST")


class _Relayed:
    """A caller's host that gets the answer from another host."""

    def __init__(self, **kwargs):
        self.outer = _Host(**kwargs)
        self.inner = _Host(stream=kwargs.get("stream", False))

    def receive(self, pieces, end=None):
        """Receive an answer at the other host, and pass it on."""
        for data in pieces:
            self.inner.receive([data])
            self._pass_on()
        if end is not None:
            self.inner.receive([], end)
            self._pass_on()

    def _pass_on(self):
        sent = self.inner.transport.value()
        self.inner.transport.clear()
        ends = {True: RESET, False: DONE if self.inner.is_closed else None}
        self.outer.receive([sent], ends[self.inner.transport.aborted])

    def received(self):
        """Return the answer as the caller received it."""
        return self.outer.received()


HOSTS = {"direct": _Host, "relayed": _Relayed}
FAILED = forms.Received(502, b"", True, False)


class CutAnswersTest(unittest.TestCase):
    """Guards against short answers whose framing says that they are whole."""

    def _check(self, table, check, **kwargs):
        """Call ``check(received, end)`` for each answer and way."""
        for name, data in table.items():
            for pieces in forms.in_pieces(data):
                for end in (DONE, RESET):
                    for way, new_host in HOSTS.items():
                        with self.subTest(name, way=way, end=end,
                                          pieces=len(pieces), **kwargs):
                            host = new_host(**kwargs)
                            host.receive(pieces, end)
                            check(host.received(), end)

    def _is_failure(self, received, end):
        self.assertEqual(FAILED, received)

    def test_cut_heads_are_failures(self):
        for stream in (False, True):
            for version in (b"1.0", b"1.1"):
                self._check(forms.CUT_HEADS, self._is_failure,
                            stream=stream, version=version)

    def test_bodies_shorter_than_their_framing_are_failures(self):
        self._check(forms.CUT_BODIES, self._is_failure)

    def test_streams_shorter_than_their_framing_are_never_ended(self):
        def check(received, end):
            if received.status != 200:
                self._is_failure(received, end)
                return
            self.assertEqual(forms.EVENTS, received.body)
            self.assertFalse(received.framed or received.closed)

        self._check(forms.CUT_EVENTS, check, stream=True)

    def test_answer_without_length_keeps_that_framing(self):
        # A server that stopped within an answer without a length closed its
        # connection, and the caller got what there was of it with a length.
        table = {
            f"HTTP/{version.decode()}, {len(body)} bytes":
            forms.unframed_head(version) + body
            for version in (b"1.0", b"1.1")
            for body in (b"", forms.HALF, forms.BODY)}
        table["a 103 first"] = forms.unframed_head(
            early=forms.EARLY) + forms.HALF

        def check(received, end):
            if end is RESET:
                self._is_failure(received, end)
                return
            self.assertEqual(200, received.status)
            self.assertFalse(received.framed)
            self.assertTrue(received.closed)
            self.assertNotIn(b"content-length", received.headers)
            self.assertEqual(b"close", received.headers[b"connection"])

        for version in (b"1.0", b"1.1"):
            self._check(table, check, version=version)

    def test_stream_without_length_keeps_that_framing(self):
        # A server that stopped between two events ended its stream; the
        # caller got a last chunk after it.
        def check(received, end):
            self.assertEqual((200, forms.EVENTS),
                             (received.status, received.body))
            self.assertFalse(received.framed)
            self.assertEqual(end is DONE, received.closed)

        table = {f"HTTP/{version.decode()}":
                 forms.unframed_head(version) + forms.EVENTS
                 for version in (b"1.0", b"1.1")}
        for version in (b"1.0", b"1.1"):
            self._check(table, check, stream=True, version=version)

    def test_stream_without_length_that_ends_within_an_event_is_reset(self):
        def check(received, end):
            self.assertEqual((200, forms.EVENTS),
                             (received.status, received.body))
            self.assertFalse(received.framed or received.closed)

        self._check({"": forms.unframed_head() + forms.EVENTS + b"id: 3\n"},
                    check, stream=True)

    def test_sound_answers_keep_their_framing(self):
        self._check({
            "length": forms.LENGTH + b"\r\n" + forms.BODY,
            "chunks": forms.CHUNKED + b"\r\nfa0\r\n" + forms.BODY
            + b"\r\n0\r\n\r\n"}, lambda received, end: self.assertEqual(
                forms.Received(200, forms.BODY, True, False), received))


class MovedStreamsTest(unittest.TestCase):
    """Streams that broke off after an event and went on at another server."""

    def _moved(self, first, then, end, **kwargs):
        host = _Host(stream=True, moves=1, **kwargs)
        host.receive([first], RESET)
        host.receive([then], end)
        return host.received()

    def test_cut_answer_of_the_next_server_is_reset(self):
        begun = {
            "chunks": forms.CHUNKED + b"\r\nf\r\n" + FIRST + b"\r\n",
            "length": forms.LENGTH + b"\r\n" + FIRST,
            "unframed": forms.unframed_head() + FIRST}
        for way, first in begun.items():
            for name, then in {**forms.CUT_HEADS, **forms.CUT_EVENTS}.items():
                for end in (DONE, RESET):
                    with self.subTest(name, way=way, end=end):
                        received = self._moved(first, then, end)
                        self.assertEqual(200, received.status)
                        self.assertFalse(received.framed or received.closed)

    def test_framed_stream_without_a_sure_end_is_reset(self):
        # It went on at a server whose answer had no length, and the last
        # chunk claimed that it was whole.
        first = forms.CHUNKED + b"\r\nf\r\n" + FIRST + b"\r\n"
        then = forms.unframed_head() + b"id: 2\ndata: b\n\n"
        received = self._moved(first, then, DONE)
        self.assertEqual((200, forms.EVENTS), (received.status, received.body))
        self.assertFalse(received.framed or received.closed)

    def test_stream_begun_without_length_ends_with_its_connection(self):
        first = forms.unframed_head() + FIRST
        for name, then in {
                "unframed": forms.unframed_head() + b"id: 2\ndata: b\n\n",
                "chunks": forms.CHUNKED + b"\r\nf\r\nid: 2\ndata: b\n\n\r\n"
                b"0\r\n\r\n"}.items():
            with self.subTest(name):
                received = self._moved(first, then, DONE)
                self.assertEqual(
                    forms.Received(200, forms.EVENTS, False, True), received)


class ClosedConnectionsTest(unittest.TestCase):
    """The caller's connection after an answer that ends with it."""

    def test_requests_sent_ahead_are_not_begun(self):
        # They cross the close and may be sent again; one that had been
        # passed on would have been lost.
        for stream in (False, True):
            for sound, expected in ((False, 1), (True, 2)):
                with self.subTest(stream=stream, sound=sound):
                    host = _Host(stream)
                    host.conn.dataReceived(POST % b"1.1")
                    head = forms.unframed_head()
                    if sound:
                        head = (forms.FIELDS + b"Content-Length: %d\r\n\r\n"
                                % len(forms.EVENTS))
                    host.receive([head + forms.EVENTS], DONE)
                    host.gateway.reactor.advance(0)
                    self.assertEqual(expected, len(host.exchanges))
                    self.assertEqual(not sound, host.is_closed)

    def test_close_of_a_process_that_ends_is_a_reset(self):
        # The kernel closes the connections of a killed process cleanly,
        # which would end an answer without a length as if it was whole.
        linger = []

        class _Socket(support._Socket):
            def setsockopt(self, *args):
                if args[1] == servers.connections.sockets.socket.SO_LINGER:
                    linger.append(args[2] != bytes(8))

        rows = ((b"1.0", forms.CHUNKED + b"\r\nf\r\n" + FIRST + b"\r\n",
                 b"0\r\n\r\n", None),
                (b"1.1", forms.unframed_head() + FIRST, b"", DONE))
        for version, begin, rest, end in rows:
            with self.subTest(version):
                linger.clear()
                host = _Host(True, version)
                host.transport.getHandle = _Socket
                host.receive([begin])
                self.assertEqual([True], linger)
                host.transport.dataBuffer = b"unsent"
                host.receive([rest], end)
                self.assertEqual([True], linger)
                host.transport.dataBuffer = b""
                host.gateway.reactor.advance(closing.LINGER_S)
                self.assertEqual([True, False], linger)


if __name__ == "__main__":
    unittest.main()
