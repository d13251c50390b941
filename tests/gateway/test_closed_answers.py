"""Answers that end with their connection, with real sockets."""

import socket
import unittest

from tests.gateway import answer_forms as forms
from tests.gateway import real_hosts

# More than the buffers of both sockets of a connection hold.
LARGE = b"0123456789abcdef" * (1 << 17)
SMALL_BUFFER_BYTES = 1 << 14
# For any answer of the host, s.
TIMEOUT_S = 8.0


class ClosedAnswersTest(unittest.TestCase):
    """Guards against short answers that look whole to their callers."""

    answer = b""

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
            conn.sendall(cls.answer)

    def _ask(self, kind, answer):
        """Return the answer to a request on a connection to be kept."""
        type(self).answer = answer.replace(
            b"X-Field: value\r\n", real_hosts.STAMPS)
        with socket.socket() as conn:
            conn.settimeout(TIMEOUT_S)
            conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
            conn.connect(("127.0.0.1", self.port))
            conn.sendall(real_hosts.request(f"/s-{kind}/1"))
            return real_hosts.read_answer(conn)

    def test_answer_without_length_ends_with_the_connection(self):
        for body in (b"", forms.HALF, LARGE):
            for kind in ("safe", "unsafe"):
                with self.subTest(kind=kind, size=len(body)):
                    received = self._ask(kind, forms.unframed_head() + body)
                    self.assertEqual(
                        forms.Received(200, body, False, True), received)

    def test_stream_without_length_ends_with_the_connection(self):
        received = self._ask("stream", forms.unframed_head() + forms.EVENTS)
        self.assertEqual(
            forms.Received(200, forms.EVENTS, False, True), received)


if __name__ == "__main__":
    unittest.main()
