"""Hosts as processes and their peers, with real sockets."""

import json
import pathlib
import socket
import subprocess
import sys
import threading

from tests.entry import support

__all__ = ["CLOSED_PORT", "Server", "request", "start", "start_host",
           "stop_host"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Nothing listens there.
CLOSED_PORT = 1
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
