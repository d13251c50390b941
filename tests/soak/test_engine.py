"""The stand-in of a server, as far as its crashes go."""

import random
import unittest

from tests.gateway import support
from tools.soak import engine as engines
from tools.soak import record as records
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

REQUEST = (b"POST /top/1 HTTP/1.1\r\nHost: desk\r\n"
           b"X-Crocuskeel-Request-Id: r1\r\n"
           b"X-Crocuskeel-Expect-Instance: s-1\r\n"
           b"X-Crocuskeel-Prefix-Hash: p1:4000\r\nContent-Length: 0\r\n\r\n")


def _new_engine():
    clock = testing.MemoryReactorClock()
    record = records.new_record()
    record.sent["r1"] = records.SentRequest(
        None, "127.1.1.1", 1, 0.0, 1, 1)
    engine = engines.Engine(
        clock, random.Random(1), "s-1", "engines", record, None)
    engine.faults = {}
    engine.listen("127.0.0.1")
    return engine, clock


def _send(engine):
    """Send a request; return the connection."""
    conn = engine.listener.buildProtocol(None)
    conn.makeConnection(support.Transport())
    conn.dataReceived(REQUEST)
    return conn


class CrashTest(unittest.TestCase):
    """Guards against a server that goes on after its crash."""

    def test_server_that_has_crashed_begins_no_stream(self):
        # The end of its connections is seen a turn of the loop later.
        for form in engines.CRASH_FORMS.values():
            with self.subTest(form=form):
                engine, clock = _new_engine()
                conn = _send(engine)
                engine.crash(form)
                clock.advance(1.0)
                self.assertEqual(b"", conn.transport.value())

    def test_stream_that_a_crash_cuts_is_known_beside_an_ended_run(self):
        # A request that was moved may come to the same server again, before
        # its former run has ended there.
        engine, clock = _new_engine()
        engine.ends_connections = True
        former = _send(engine)
        _send(engine)
        clock.advance(0.2)
        former.connectionLost(failure.Failure(error.ConnectionLost()))
        engine.crash(engines.CRASH_FORMS[b"closed"])
        self.assertEqual({"r1"}, engine.record.cut_unframed)


if __name__ == "__main__":
    unittest.main()
