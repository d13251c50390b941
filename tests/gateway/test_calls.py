"""Single calls: what is sent, and when nothing may be sent any more."""

import unittest

from crocuskeel.gateway import calls
from crocuskeel.gateway import connections
from crocuskeel.gateway import exceptions
from tests.gateway import support
from twisted.internet import task


class _Reactor(task.Clock):
    """Connects when it is told to."""

    def connectTCP(self, host, port, factory, timeout):
        self.connection = factory.buildProtocol(None)
        return self

    def disconnect(self):
        """Do nothing."""


class UntilTest(unittest.TestCase):
    """A call that must not be sent from a moment on."""

    def setUp(self):
        self.reactor = _Reactor()
        self.transport = support.Transport()
        self.failed = []

    def _call(self, until):
        done = calls.call(self.reactor, ("10.0.0.1", 80), b"POST", b"/a",
                          1.0, b"{}", [(b"X-Fence", b"3")], until)
        done.addErrback(lambda failure: self.failed.append(failure.value))

    def test_a_call_in_time_is_sent_with_its_headers(self):
        self._call(until=5.0)
        self.reactor.connection.makeConnection(self.transport)
        sent = self.transport.value()
        self.assertIn(b"Host: 10.0.0.1:80", sent)
        self.assertIn(b"X-Fence: 3", sent)

    def test_nothing_is_sent_by_a_process_that_stood_still(self):
        # Two hosts act for one duty: the process is paused after it asked
        # for a connection, the lease passes on, and it wakes to find the
        # connection there. Cause: the lease is looked at only before.
        self._call(until=5.0)
        self.reactor.rightNow = 5.0
        self.reactor.connection.makeConnection(self.transport)
        self.assertEqual(b"", self.transport.value())
        self.assertTrue(self.transport.aborted)
        self.assertIsInstance(self.failed[0], exceptions.CallFailed)

    def test_other_calls_have_no_end_of_that_kind(self):
        self._call(until=None)
        self.reactor.rightNow = 500.0
        self.reactor.connection.makeConnection(self.transport)
        self.assertNotEqual(b"", self.transport.value())


class DropTest(unittest.TestCase):
    """What a killed process leaves to its system."""

    def test_a_call_of_a_duty_is_dropped_with_its_process(self):
        options = []

        class _Socket:
            def setsockopt(self, *args):
                options.append(args)

        class _Transport(support.Transport):
            def getHandle(self):
                return _Socket()

        for is_late, expected in ((None, 0), (lambda: False, 1)):
            options.clear()
            connection = connections.Connection(
                calls._Call((b"GET", b"/", [(b"Host", b"h")], b""), None),
                is_late)
            connection.makeConnection(_Transport())
            lingers = [row for row in options
                       if len(row) == 3 and isinstance(row[2], bytes)]
            self.assertEqual(expected, len(lingers))


if __name__ == "__main__":
    unittest.main()
