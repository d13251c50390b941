"""The treq transport tells what was sent from what was not."""

import unittest

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from crocuskeel import objectapi


class TransportTest(unittest.TestCase):
    """Faults of the connection, on a reactor in memory."""

    def setUp(self):
        self.reactor = testing.MemoryReactorClock()
        self.send = objectapi.new_treq_send(self.reactor)
        self.fired = []

    def start(self, method="PUT"):
        """Begin a call; its outcome goes to ``fired``."""
        fut = self.send(
            method, "http://127.0.0.1:9/objects/a", {"If-Match": '"1"'},
            b"x" if method == "PUT" else None, 1.0)
        fut.addBoth(self.fired.append)

    def connect(self):
        """Make the connection; return its protocol and transport."""
        factory = self.reactor.tcpClients[-1][2]
        proto = factory.buildProtocol(None)
        transport = testing.StringTransportWithDisconnection()
        transport.protocol = proto
        proto.makeConnection(transport)
        return proto, transport

    def test_answer(self):
        self.start()
        proto, transport = self.connect()
        self.assertIn(b'If-Match: "1"', transport.value())
        proto.dataReceived(
            b'HTTP/1.1 200 OK\r\nETag: "8"\r\nContent-Length: 2\r\n'
            b'\r\nok')
        (answer,) = self.fired
        self.assertEqual((200, b"ok"), (answer.status, answer.body))
        self.assertEqual('"8"', answer.headers["etag"])

    def test_refused_is_not_sent(self):
        self.start()
        factory = self.reactor.tcpClients[-1][2]
        factory.clientConnectionFailed(
            None, failure.Failure(error.ConnectionRefusedError()))
        self.reactor.advance(0.5)
        self.assertTrue(self.fired[0].check(objectapi.NotSent))

    def test_lost_delete_is_not_repeated(self):
        """A finished delete is reported as a conflict.

        The API deletes, the answer is lost with the connection, and
        twisted's pool sends the DELETE again on a new connection: it
        finds the version gone. Cause: a pool that repeats by itself.
        """
        self.start("DELETE")
        first, transport = self.connect()
        first.dataReceived(
            b'HTTP/1.1 200 OK\r\nETag: "8"\r\nContent-Length: 0\r\n\r\n')
        self.start("DELETE")
        transport.loseConnection()
        self.assertEqual(1, len(self.reactor.tcpClients))
        self.assertTrue(self.fired[1].check(objectapi.AnswerLost))

    def test_silent_connection_is_bounded(self):
        self.start()
        self.connect()
        self.reactor.advance(1.01)
        self.assertTrue(self.fired[0].check(objectapi.AnswerLost))
