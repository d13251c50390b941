"""Answers that begin before their request was read, with real sockets."""

import itertools
import socket
import time
import unittest

from crocuskeel.gateway import sockets
from tests.gateway import answer_forms as forms
from tests.gateway import real_hosts

PATHS = ("direct", "relayed")
# With the host's own buffer, more than those of both sockets hold.
SIZES = (600_000, 4_000_000)
SMALL_BUFFER_BYTES = 1 << 14
KINDS = ("safe", "unsafe", "stream")
PART = b"id: 1\ndata: a\n\n"
LENGTH = b"Content-Length: 4000\r\n"
CHUNKS = b"Transfer-Encoding: chunked\r\n"
# Name: framing, and what of the body comes before the connection ends.
CUT_FORMS = {
    "no length": (b"", PART),
    "length": (LENGTH, PART),
    "chunks": (CHUNKS, b"%x\r\n%s\r\n" % (len(PART), PART)),
}
# For any answer of the host, s.
TIMEOUT_S = 8.0


class EarlyAnswersTest(real_hosts.RelayCase):
    """Guards against parts of answers that look whole to their callers.

    A server answers a long upload at once, sends a part of its body and ends
    the connection while the host is still writing the upload.
    """

    head = part = b""
    ending = "reset"
    delay_s = 0.0
    asyncio = True

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.server.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)

    @classmethod
    def serve(cls, conn):
        with conn:
            conn.recv(1024)
            conn.sendall(b"HTTP/1.1 200 OK\r\n%s%s\r\n%s" % (
                real_hosts.STAMPS, cls.head, cls.part))
            time.sleep(cls.delay_s)
            match cls.ending:
                case "reset":
                    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    sockets.ZERO_LINGER)
                case "half-closed":
                    # What comes later is answered by resets.
                    conn.shutdown(socket.SHUT_WR)
                    time.sleep(0.02)
                case "read":
                    while not cls._received(conn).endswith(b"end"):
                        pass

    @staticmethod
    def _received(conn):
        try:
            return conn.recv(1 << 20) or b"end"
        except ConnectionError:
            return b"end"

    def _ask(self, kind, size, path="direct"):
        """Return what the caller receives for an upload."""
        body = b"x" * (size - 3) + b"end"
        with socket.create_connection(
                ("127.0.0.1", self.ports[path]), TIMEOUT_S) as conn:
            conn.sendall(real_hosts.request(f"/s-{kind}/1", body=body))
            return real_hosts.read_answer(conn)

    def _check_cut(self, received):
        """Check that a caller can't take a part for a whole answer."""
        if received.status == 200:
            self.assertFalse(received.framed or received.closed, received)
        else:
            self.assertEqual(502, received.status)

    def _test_ending(self, ending, *delays):
        for delay_s, name, kind, size, path in itertools.product(
                delays, CUT_FORMS, KINDS, SIZES, PATHS):
            with self.subTest(name, kind=kind, size=size, path=path,
                              delay_s=delay_s):
                cls = type(self)
                cls.ending, cls.delay_s = ending, delay_s
                cls.head, cls.part = CUT_FORMS[name]
                self._check_cut(self._ask(kind, size, path))

    def test_reset_while_the_upload_is_written(self):
        self._test_ending("reset", 0.0, 0.02)

    def test_crash_with_unread_bytes_while_the_upload_is_written(self):
        self._test_ending("closed", 0.0, 0.02)

    def test_close_in_order_before_the_upload_has_arrived(self):
        self._test_ending("half-closed", 0.0, 0.02)

    def test_whole_answer_after_the_whole_upload(self):
        cls = type(self)
        cls.ending, cls.delay_s, cls.head = "read", 0.0, b""
        cls.part = forms.EVENTS
        for kind, size, path in itertools.product(KINDS, SIZES, PATHS):
            with self.subTest(kind=kind, size=size, path=path):
                self.assertEqual(
                    forms.Received(200, forms.EVENTS, False, True),
                    self._ask(kind, size, path))


class PolledEarlyAnswersTest(EarlyAnswersTest):
    """The same on Twisted's default reactor, which reports resets otherwise.

    A reset without anything to be read is a clean close there.
    """

    asyncio = False


if __name__ == "__main__":
    unittest.main()
