"""Single calls: their bytes and their deadline for sending."""

import unittest

from crocuskeel.gateway import calls
from crocuskeel.gateway import connections
from crocuskeel.gateway import exceptions
from tests.gateway import support
from twisted.internet import task


class _Reactor(task.Clock):
    """Keeps the connection until a test connects it."""

    def connectTCP(self, host, port, factory, timeout):
        self.connection = factory.buildProtocol(None)
        return self

    def disconnect(self):
        """Do nothing."""


class DeadlineTest(unittest.TestCase):
    """Calls that must not be sent after a deadline."""

    def setUp(self):
        self.reactor = _Reactor()
        self.transport = support.Transport()
        self.failed = []

    def _call(self, until):
        done = calls.call(self.reactor, ("10.0.0.1", 80), b"POST", b"/a",
                          1.0, b"{}", [(b"X-Fence", b"3")], until)
        done.addErrback(lambda failure: self.failed.append(failure.value))

    def test_call_before_its_deadline_is_sent(self):
        self._call(until=5.0)
        self.reactor.connection.makeConnection(self.transport)
        sent = self.transport.value()
        self.assertIn(b"Host: 10.0.0.1:80", sent)
        self.assertIn(b"X-Fence: 3", sent)

    def test_nothing_is_sent_after_a_pause_of_the_process(self):
        # Two hosts act for one duty: a process is paused while it connects,
        # the lease passes to another host, and the process resumes with the
        # connection established. The lease was checked only before that.
        self._call(until=5.0)
        self.reactor.rightNow = 5.0
        self.reactor.connection.makeConnection(self.transport)
        self.assertEqual(b"", self.transport.value())
        self.assertTrue(self.transport.aborted)
        self.assertIsInstance(self.failed[0], exceptions.CallFailed)

    def test_call_without_a_deadline_is_always_sent(self):
        self._call(until=None)
        self.reactor.rightNow = 500.0
        self.reactor.connection.makeConnection(self.transport)
        self.assertNotEqual(b"", self.transport.value())


class CloseTest(unittest.TestCase):
    """Undelivered bytes of a process that is killed."""

    def test_only_connections_with_a_deadline_reset_on_close(self):
        options = []

        class _Socket:
            def setsockopt(self, *args):
                options.append(args)

        class _Transport(support.Transport):
            def getHandle(self):
                return _Socket()

        for is_expired, expected in ((None, 0), (lambda: False, 1)):
            options.clear()
            connection = connections.Connection(
                calls._Call((b"GET", b"/", [(b"Host", b"h")], b""), None),
                is_expired)
            connection.makeConnection(_Transport())
            lingers = [row for row in options
                       if len(row) == 3 and isinstance(row[2], bytes)]
            self.assertEqual(expected, len(lingers))


if __name__ == "__main__":
    unittest.main()
