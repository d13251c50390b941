"""Start and stop of a daemon: exit codes and complete streams."""

import io
import socket
import unittest

from loguru import logger
from twisted.internet import address
from twisted.internet import error

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.programs import daemon as program_daemon
from crocuskeel.runtime import bounded_request
from crocuskeel.runtime import direct_writes
from crocuskeel.runtime import http_api
from crocuskeel.runtime import loop
from crocuskeel.runtime import program
from tests.runtime import support

LARGE_EVENT = b"data: " + b"x" * 900_000 + b"\n\n"
CHAT_REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer one-token\r\nContent-Length: 74\r\n\r\n"
    b'{"model": "m", "stream": true, '
    b'"messages": [{"role": "u", "content": ""}]}')


class _PortInUseReactor(support.Reactor):
    """A reactor whose datagram port is in use."""

    def listenUDP(self, number, protocol, **_options):
        raise error.CannotListenError("127.0.0.1", number, "taken")

    def run(self, installSignalHandlers=True):
        """Run the pending calls and return."""
        self.advance(0.0)


class Start(unittest.TestCase):
    """A daemon that can't start."""

    def test_port_in_use_is_an_error(self):
        """Two daemons on one host are configured with the same port.

        The second one exited with success, so its supervisor assumed a
        planned stop.
        """
        logger.disable("crocuskeel")
        self.addCleanup(logger.enable, "crocuskeel")
        ctx = program.new_runtime(
            _PortInUseReactor(), support.new_settings(), lambda: 1.8e9, None)
        self.assertEqual(program_daemon.serve(ctx), 1)
        self.assertTrue(ctx.reactor.hasStopped)


class Stop(unittest.TestCase):
    """The core has finished and lets the daemon exit."""

    def setUp(self):
        self.harness = support.new_harness()
        ctx = self.harness.ctx
        site = bounded_request.new_site(
            self.harness.reactor, http_api.new_app(ctx).resource())
        ctx.door_port = direct_writes.new_port(
            self.harness.reactor, 0, site, "127.0.0.1")
        self.exits = []
        ctx.on_exit = lambda: self.exits.append(1)
        daemon_socket, self.caller_socket = socket.socketpair()
        self.addCleanup(daemon_socket.close)
        self.addCleanup(self.caller_socket.close)
        for sock in (daemon_socket, self.caller_socket):
            sock.setblocking(False)
        protocol = site.buildProtocol(None)
        self.connection = direct_writes.new_connection(
            daemon_socket, protocol, ctx.door_port)
        endpoint = address.IPv4Address("TCP", "127.0.0.1", 1)
        self.connection.getHost = self.connection.getPeer = lambda: endpoint
        self.connection.setTcpNoDelay = lambda _: None
        protocol.makeConnection(self.connection)

    def _read_all(self):
        received = io.BytesIO()
        while direct_writes.count_unsent(self.harness.ctx.door_port):
            self.connection.doWrite()
            received.write(self._receive())
        received.write(self._receive())
        return received.getvalue()

    def _receive(self):
        try:
            return self.caller_socket.recv(len(LARGE_EVENT))
        except BlockingIOError:
            return b""

    def test_running_stream_is_not_truncated(self):
        """A caller reads the end of its stream more slowly than it arrives.

        The engine has finished and the core tracks no request, but much
        of the response is still queued, up to megabytes. If the daemon
        exited now, a planned stop would break the caller's stream.
        """
        self.harness.script[events.RequestArrived] = support.open_attempt
        self.harness.script[events.DrainAsked] = lambda _: [effects.Exit()]
        self.caller_socket.send(CHAT_REQUEST)
        self.connection.doRead()
        engine, _ = support.accept_connection(self.harness)
        engine.dataReceived(
            support.STREAM_HEAD + support.http_chunk(support.stream_event(1)))
        self.assertIn(support.stream_event(1), self._read_all())
        loop.feed(self.harness.ctx, events.DrainAsked())
        self.harness.reactor.advance(1.0)
        self.assertEqual(self.exits, [])
        engine.dataReceived(support.http_chunk(LARGE_EVENT) + b"0\r\n\r\n")
        for _ in range(20):
            self.harness.reactor.advance(program.EXIT_CHECK_INTERVAL_S)
        self.assertEqual(self.exits, [])
        self.assertTrue(self._read_all().endswith(b"0\r\n\r\n"))
        for _ in range(3):
            self.harness.reactor.advance(program.EXIT_CHECK_INTERVAL_S)
        self.assertEqual(self.exits, [1])

    def test_stop_is_bounded(self):
        """A caller that never reads must not prevent the exit."""
        self.connection.write(LARGE_EVENT)
        self.harness.script[events.DrainAsked] = lambda _: [effects.Exit()]
        loop.feed(self.harness.ctx, events.DrainAsked())
        self.harness.reactor.pump([program.EXIT_CHECK_INTERVAL_S] * 20)
        self.assertEqual(self.exits, [])
        self.harness.reactor.advance(program.EXIT_TIMEOUT_S)
        self.harness.reactor.advance(program.EXIT_CHECK_INTERVAL_S)
        self.assertEqual(self.exits, [1])
