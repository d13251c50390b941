"""Failures of servers that have run a request, with real sockets."""

import itertools
import socket
import unittest

from tests.gateway import real_hosts

RID = b"X-Crocuskeel-Request-Id: r-1\r\n"
OTHER_RID = b"X-Crocuskeel-Request-Id: r-2\r\n"
STAMP = b"X-Crocuskeel-Server-Stamp: stamp\r\n"
NOT_RUN = b"X-Crocuskeel-Not-Run: 1\r\n"
PATHS = ("direct", "relayed")
KINDS = ("safe", "unsafe", "stream")
# For any answer of the host, s.
TIMEOUT_S = 8.0


class FailedAnswersTest(real_hosts.RelayCase):
    """Guards against promises that a request which has run has not.

    Callers send a request that may run once again after 408, 421, 429, 503.
    """

    fields = b""

    @classmethod
    def serve(cls, conn):
        with conn:
            real_hosts.read_request(conn)
            conn.sendall(b"HTTP/1.1 %sContent-Length: 4\r\n\r\nbusy"
                         % cls.fields)

    def _ask(self, kind, status, fields, path="direct"):
        """Return the host's answer to a request that a server fails."""
        type(self).fields = f"{status} Failed\r\n".encode() + fields
        with socket.create_connection(
                ("127.0.0.1", self.ports[path]), TIMEOUT_S) as conn:
            conn.sendall(real_hosts.request(f"/s-{kind}/1"))
            received = real_hosts.read_answer(conn)
        self.assertTrue(received.framed)
        return received

    def test_an_own_failure_is_no_refusal(self):
        for status, fields, kind, path in itertools.product(
                (408, 429, 503), (RID + STAMP, RID, b""), KINDS, PATHS):
            with self.subTest(status=status, fields=fields, kind=kind,
                              path=path):
                received = self._ask(kind, status, fields, path)
                self.assertEqual(502, received.status)
                self.assertNotIn(b"x-crocuskeel-server-stamp",
                                 received.headers)

    def test_a_stamped_421_is_the_engines_own_failure(self):
        for kind, path in itertools.product(KINDS, PATHS):
            with self.subTest(kind=kind, path=path):
                self.assertEqual(
                    502, self._ask(kind, 421, RID + STAMP, path).status)

    def test_a_refusal_of_another_request_says_nothing_of_this_one(self):
        for kind, path in itertools.product(KINDS, PATHS):
            with self.subTest(kind=kind, path=path):
                received = self._ask(kind, 503, OTHER_RID + NOT_RUN, path)
                self.assertEqual(502, received.status)

    def test_a_success_that_says_not_run_is_no_refusal(self):
        for kind, path in itertools.product(KINDS, PATHS):
            with self.subTest(kind=kind, path=path):
                received = self._ask(
                    kind, 200, RID + STAMP + NOT_RUN, path)
                self.assertEqual(502, received.status)

    def test_a_servers_refusal_is_passed_on_as_one(self):
        for status, kind, path in itertools.product(
                (400, 429, 503), KINDS, PATHS):
            with self.subTest(status=status, kind=kind, path=path):
                received = self._ask(kind, status, RID + NOT_RUN, path)
                self.assertEqual(503, received.status)
                self.assertIn(b"retry-after", received.headers)

    def test_a_421_of_the_expected_server_leaves_it_in_use(self):
        # The host took it for a server that uses a former address, and
        # never sent it a request again.
        self.assertEqual(503, self._ask(
            "safe", 421, b"X-Crocuskeel-Instance: i-s\r\n").status)
        self.assertEqual(200, self._ask("safe", 200, RID + STAMP).status)

    def test_a_relayed_failure_is_known_as_the_engines(self):
        # The host that relays took one without an id for a refusal of the
        # other host, and refused the request as not run.
        for fields in (RID + STAMP, STAMP, b""):
            received = self._ask("unsafe", 404, fields, "relayed")
            self.assertEqual(404, received.status)
            self.assertEqual(
                b"r-1", received.headers[b"x-crocuskeel-request-id"])

    def test_status_that_http_does_not_have_is_no_answer(self):
        statuses = ("000", "099", 600, 700, 999, 0, 20, 2000, "-01", "2e2")
        for status, kind, path in itertools.product(statuses, KINDS, PATHS):
            with self.subTest(status=status, kind=kind, path=path):
                received = self._ask(kind, status, RID + STAMP, path)
                self.assertEqual(502, received.status)


if __name__ == "__main__":
    unittest.main()
