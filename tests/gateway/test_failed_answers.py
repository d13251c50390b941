"""Failures of servers that have run a request, with real sockets."""

import socket
import unittest

from tests.gateway import answer_forms as forms
from tests.gateway import real_hosts

RID = b"X-Crocuskeel-Request-Id: r-1\r\n"
OTHER_RID = b"X-Crocuskeel-Request-Id: r-2\r\n"
STAMP = b"X-Crocuskeel-Server-Stamp: stamp\r\n"
NOT_RUN = b"X-Crocuskeel-Not-Run: 1\r\n"
RELAYED = "X-Crocuskeel-Relay-Servers: 1"
KINDS = ("safe", "unsafe", "stream")
# For any answer of the host, s.
TIMEOUT_S = 8.0


class FailedAnswersTest(unittest.TestCase):
    """Guards against promises that a request which has run has not.

    Callers send a request that may run once again after 408, 421, 429, 503.
    """

    fields = b""

    @classmethod
    def setUpClass(cls):
        cls.server = real_hosts.Server(cls._serve)
        cls.process, cls.port = real_hosts.start_host({"s": cls.server.port})

    @classmethod
    def tearDownClass(cls):
        real_hosts.stop_host(cls.process)
        cls.server.close()

    @classmethod
    def _serve(cls, conn):
        with conn:
            received = b""
            while not received.endswith(b"abc"):
                received += conn.recv(65536)
            conn.sendall(b"HTTP/1.1 %sContent-Length: 4\r\n\r\nbusy"
                         % cls.fields)

    def _ask(self, kind, status, fields, *more):
        """Return the host's answer to a request that a server fails."""
        type(self).fields = b"%d Failed\r\n" % status + fields
        with socket.create_connection(
                ("127.0.0.1", self.port), TIMEOUT_S) as conn:
            conn.sendall(real_hosts.request(f"/s-{kind}/1", *more))
            got = b""
            while not forms.read(got, False, "POST").framed:
                got += conn.recv(65536)
        return forms.read(got, False, "POST")

    def test_an_own_failure_is_no_refusal(self):
        for status, fields, kind, more in (
                (status, fields, kind, more)
                for status in (408, 429, 503)
                for fields in (RID + STAMP, RID, b"")
                for kind in KINDS for more in ((), (RELAYED, ))):
            with self.subTest(status=status, fields=fields, kind=kind,
                              more=more):
                received = self._ask(kind, status, fields, *more)
                self.assertEqual(502, received.status)
                self.assertNotIn(b"x-crocuskeel-server-stamp",
                                 received.headers)

    def test_a_stamped_421_is_the_engines_own_failure(self):
        for kind in KINDS:
            with self.subTest(kind):
                self.assertEqual(
                    502, self._ask(kind, 421, RID + STAMP).status)

    def test_a_refusal_of_another_request_says_nothing_of_this_one(self):
        for kind in KINDS:
            with self.subTest(kind):
                received = self._ask(kind, 503, OTHER_RID + NOT_RUN)
                self.assertEqual(502, received.status)

    def test_a_success_that_says_not_run_is_no_refusal(self):
        for kind in KINDS:
            with self.subTest(kind):
                received = self._ask(kind, 200, RID + STAMP + NOT_RUN)
                self.assertEqual(502, received.status)

    def test_a_servers_refusal_is_passed_on_as_one(self):
        for status in (400, 429, 503):
            for kind in KINDS:
                with self.subTest(status=status, kind=kind):
                    received = self._ask(kind, status, RID + NOT_RUN)
                    self.assertEqual(503, received.status)
                    self.assertIn(b"retry-after", received.headers)

    def test_a_421_of_the_expected_server_leaves_it_in_use(self):
        # The host took it for a server that uses a former address, and
        # never sent it a request again.
        self.assertEqual(503, self._ask(
            "safe", 421, b"X-Crocuskeel-Instance: i-s\r\n").status)
        self.assertEqual(200, self._ask("safe", 200, RID + STAMP).status)

    def test_a_relayed_failure_is_known_as_the_engines(self):
        # The host that relays takes one without an id for a refusal of the
        # other host, and sends the request again.
        for fields in (RID + STAMP, STAMP, b""):
            received = self._ask("unsafe", 404, fields, RELAYED)
            self.assertEqual(404, received.status)
            self.assertEqual(
                b"r-1", received.headers[b"x-crocuskeel-request-id"])


if __name__ == "__main__":
    unittest.main()
