"""Closes of connections whose answers are still being read."""

import signal
import socket
import time
import unittest

from tests.gateway import answer_forms as forms
from tests.gateway import real_hosts

# Of each side. The host hands an answer of this size to its transport, and
# the kernel can't hold it.
BUFFER_BYTES = 1 << 13
BODY = b"".join(b"id: %d\ndata: %s\n\n" % (number, b"x" * 1000)
                for number in range(1, 61))
KINDS = ("safe", "unsafe", "stream")
FRAMINGS = {"length": (b"Content-Length: %d\r\n" % len(BODY), BODY),
            "chunks": (b"Transfer-Encoding: chunked\r\n",
                       b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)),
            "no length": (b"", BODY)}
IDLE_S = 0.3
# Until the answer has ended for the host, s.
ANSWERED_S = 0.3
# For any answer of the host, s.
TIMEOUT_S = 8.0


class SlowClosesTest(unittest.TestCase):
    """Guards against closes that lose the end of an answer.

    A connection counted as idle once the end of its answer was handed to the
    socket, also while its caller was still reading.
    """

    head = body = b""

    @classmethod
    def setUpClass(cls):
        cls.server = real_hosts.Server(cls._serve)

    @classmethod
    def tearDownClass(cls):
        cls.server.close()

    @classmethod
    def _serve(cls, conn):
        with conn:
            real_hosts.read_request(conn)
            conn.sendall(b"HTTP/1.1 200 OK\r\n%s%s\r\n%s"
                         % (real_hosts.STAMPS, cls.head, cls.body))

    def _start(self, **options):
        process, self.port = real_hosts.start_host(
            {"s": self.server.port}, asyncio=True, send_buffer=BUFFER_BYTES,
            **options)
        self.addCleanup(real_hosts.stop_host, process)
        return process

    def _ask(self, kind, framing):
        """Send a request; return its connection, with nothing read."""
        type(self).head, type(self).body = FRAMINGS[framing]
        conn = socket.socket()
        self.addCleanup(conn.close)
        conn.settimeout(TIMEOUT_S)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        conn.connect(("127.0.0.1", self.port))
        conn.sendall(real_hosts.request(f"/s-{kind}/1"))
        time.sleep(ANSWERED_S)
        return conn

    def _check_whole(self, conn):
        """Check that an answer is whole, and the connection ends after it."""
        got = b""
        while data := conn.recv(1 << 20):
            got += data
        self.assertEqual(BODY, forms.read(got, True, "POST").body)

    def test_planned_stop(self):
        for kind in KINDS:
            for framing in FRAMINGS:
                with self.subTest(kind=kind, framing=framing):
                    process = self._start()
                    conn = self._ask(kind, framing)
                    process.send_signal(signal.SIGUSR1)
                    time.sleep(0.1)
                    self._check_whole(conn)

    def test_idle_timeout(self):
        self._start(idle_s=IDLE_S)
        for kind in KINDS:
            for framing in FRAMINGS:
                with self.subTest(kind=kind, framing=framing):
                    conn = self._ask(kind, framing)
                    time.sleep(2 * IDLE_S)
                    self._check_whole(conn)


if __name__ == "__main__":
    unittest.main()
