"""Hosts as processes and their peers, with real sockets."""

import json
import pathlib
import socket
import subprocess
import sys
import threading
import unittest

from tests.entry import support
from tests.gateway import answer_forms

__all__ = ["CLOSED_PORT", "RelayCase", "STAMPS", "Server", "read_answer",
           "read_request", "request", "start", "start_host", "stop_host"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Nothing listens there.
CLOSED_PORT = 1
# Header fields of a server's answer to ``request``.
STAMPS = (b"X-Crocuskeel-Request-Id: r-1\r\n"
          b"X-Crocuskeel-Server-Stamp: stamp\r\n")
HOST_OPTIONS = {"probed": "", "relay": 0, "asyncio": False, "idle_s": 15.0,
                "send_buffer": 0}


class Server:
    """A server whose connections are handed to ``serve``, each in a thread.

    They stay open unless it closes them, until the server is closed.
    """

    def __init__(self, serve):
        self._serve = serve
        self._conns = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            self._conns.append(conn)
            threading.Thread(
                target=self._serve, args=(conn,), daemon=True).start()

    def close(self):
        """Stop listening and close all connections."""
        for sock in (self.listener, *self._conns):
            sock.close()


def start(module, *args):
    """Return (process, its port) of a module that prints its port."""
    process = subprocess.Popen(
        [sys.executable, "-m", module, *args],
        cwd=ROOT, stdout=subprocess.PIPE, text=True)
    return process, int(process.stdout.readline())


def start_host(services, **options):
    """Return (process, its port) of a host of tests.gateway.flood_host.

    ``services`` maps the names of services to the ports of their servers;
    ``options`` are further fields of its CONFIG.
    """
    return start("tests.gateway.flood_host", json.dumps(
        {**HOST_OPTIONS, "services": services, **options}))


def stop_host(process):
    """Kill a host and wait for its end."""
    process.kill()
    process.wait()
    process.stdout.close()


def request(path, *fields, rid="r-1", version="1.1", body=b"abc"):
    """Return the bytes of a request with further header fields."""
    lines = [f"POST {path} HTTP/{version}", f"Host: {support.HOST}",
             f"X-Crocuskeel-Request-Id: {rid}", *fields,
             f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def read_request(conn, end=b"abc"):
    """Read from a host's connection up to the end of a request's body."""
    received = b""
    while not received.endswith(end):
        received += conn.recv(65536)
    return received


def read_answer(conn):
    """Return the answer that a caller receives, up to its end or a reset."""
    got, closed = b"", False
    while True:
        received = answer_forms.read(got, closed, "POST")
        if received.framed or closed:
            return received
        try:
            data = conn.recv(1 << 20)
        except ConnectionResetError:
            return received
        got += data
        closed = not data


class RelayCase(unittest.TestCase):
    """A server, a host that sends to it, and one that relays to that host.

    ``ports`` are those of the hosts. Subclasses have ``serve(conn)``, a class
    method that answers a request; ``asyncio`` is as in start_host.
    """

    asyncio = False

    @classmethod
    def setUpClass(cls):
        cls.server = Server(cls.serve)
        cls.process, port = start_host(
            {"s": cls.server.port}, asyncio=cls.asyncio)
        cls.relay, relay_port = start_host(
            {"s": CLOSED_PORT}, relay=port, asyncio=cls.asyncio)
        cls.ports = {"direct": port, "relayed": relay_port}

    @classmethod
    def tearDownClass(cls):
        stop_host(cls.relay)
        stop_host(cls.process)
        cls.server.close()
