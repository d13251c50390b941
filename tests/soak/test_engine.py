"""The stand-in of a server, as far as its crashes go."""

import random
import unittest

from tests.gateway import support
from tools.soak import engine as engines
from tools.soak import record as records
from twisted.internet import testing

REQUEST = (b"POST /top/1 HTTP/1.1\r\nHost: desk\r\n"
           b"X-Crocuskeel-Request-Id: r1\r\n"
           b"X-Crocuskeel-Expect-Instance: s-1\r\n"
           b"X-Crocuskeel-Prefix-Hash: p1:4000\r\nContent-Length: 0\r\n\r\n")


class CrashTest(unittest.TestCase):
    """Guards against a server that goes on after its crash."""

    def test_server_that_has_crashed_begins_no_stream(self):
        # The end of its connections is seen a turn of the loop later.
        for form in engines.CRASH_FORMS.values():
            with self.subTest(form=form):
                clock = testing.MemoryReactorClock()
                record = records.new_record()
                record.sent["r1"] = records.SentRequest(
                    None, "127.1.1.1", 1, 0.0, 1, 1)
                engine = engines.Engine(clock, random.Random(1), "s-1",
                                        "engines", record, None)
                engine.faults = {}
                engine.listen("127.0.0.1")
                conn = engine.listener.buildProtocol(None)
                conn.makeConnection(support.Transport())
                conn.dataReceived(REQUEST)
                engine.crash(form)
                clock.advance(1.0)
                self.assertEqual(b"", conn.transport.value())


if __name__ == "__main__":
    unittest.main()
