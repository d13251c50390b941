"""Start and stop of a daemon: exit codes, and nothing cut off."""

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
from crocuskeel.runtime import door
from crocuskeel.runtime import eager
from crocuskeel.runtime import loop
from crocuskeel.runtime import program
from tests.runtime import support

BIG = b"data: " + b"x" * 900_000 + b"\n\n"
CHAT = (b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer one-token\r\nContent-Length: 74\r\n\r\n"
        b'{"model": "m", "stream": true, '
        b'"messages": [{"role": "u", "content": ""}]}')


class _Reactor(support.Reactor):
    """A reactor whose datagram port is taken."""

    def listenUDP(self, number, protocol, **_options):
        raise error.CannotListenError("127.0.0.1", number, "taken")

    def run(self, installSignalHandlers=True):
        """Return once the program has nothing left to do."""
        self.advance(0.0)


class Start(unittest.TestCase):
    """A daemon that can't start."""

    def test_taken_port_is_an_error(self):
        """Two daemons are set to the same port on one host.

        The second one ended with success, so that what supervises it
        took it for one that was stopped as planned.
        """
        logger.disable("crocuskeel")
        self.addCleanup(logger.enable, "crocuskeel")
        ctx = program.new_runtime(
            _Reactor(), support.new_cfg(), lambda: 1.8e9, None)
        self.assertEqual(program_daemon.serve(ctx), 1)
        self.assertTrue(ctx.reactor.hasStopped)


class Stop(unittest.TestCase):
    """The core has nothing left to do and lets the daemon exit."""

    def setUp(self):
        self.world = support.new_world()
        ctx = self.world.ctx
        site = bounded_request.new_site(
            self.world.reactor, door.new_app(ctx).resource())
        ctx.door_port = eager.new_port(
            self.world.reactor, 0, site, "127.0.0.1")
        self.exits = []
        ctx.on_exit = lambda: self.exits.append(1)
        ours, self.caller = socket.socketpair()
        self.addCleanup(ours.close)
        self.addCleanup(self.caller.close)
        for end in (ours, self.caller):
            end.setblocking(False)
        protocol = site.buildProtocol(None)
        self.conn = eager.new_conn(ours, protocol, ctx.door_port)
        place = address.IPv4Address("TCP", "127.0.0.1", 1)
        self.conn.getHost = self.conn.getPeer = lambda: place
        self.conn.setTcpNoDelay = lambda _: None
        protocol.makeConnection(self.conn)

    def _read(self):
        got = io.BytesIO()
        while eager.unsent(self.world.ctx.door_port):
            self.conn.doWrite()
            got.write(self._take())
        got.write(self._take())
        return got.getvalue()

    def _take(self):
        try:
            return self.caller.recv(len(BIG))
        except BlockingIOError:
            return b""

    def test_running_stream_is_not_cut_off(self):
        """A caller reads the end of its stream slower than it comes.

        The engine has ended, nothing is held for the core any more,
        and the daemon exits with megabytes of the answer still queued:
        the caller would find its stream broken by a planned stop.
        """
        self.world.script[events.RequestArrived] = support.opening
        self.world.script[events.DrainAsked] = lambda _: [effects.Exit()]
        self.caller.send(CHAT)
        self.conn.doRead()
        engine, _ = support.accept(self.world)
        engine.dataReceived(
            support.STREAM_HEAD + support.chunk(support.event(1)))
        self.assertIn(support.event(1), self._read())
        loop.feed(self.world.ctx, events.DrainAsked())
        self.world.reactor.advance(1.0)
        self.assertEqual(self.exits, [])
        engine.dataReceived(support.chunk(BIG) + b"0\r\n\r\n")
        for _ in range(20):
            self.world.reactor.advance(program.EXIT_CHECK_S)
        self.assertEqual(self.exits, [])
        self.assertTrue(self._read().endswith(b"0\r\n\r\n"))
        for _ in range(3):
            self.world.reactor.advance(program.EXIT_CHECK_S)
        self.assertEqual(self.exits, [1])

    def test_stop_is_bounded(self):
        """A caller that never reads can't keep the host from stopping."""
        self.conn.write(BIG)
        self.world.script[events.DrainAsked] = lambda _: [effects.Exit()]
        loop.feed(self.world.ctx, events.DrainAsked())
        self.world.reactor.pump([program.EXIT_CHECK_S] * 20)
        self.assertEqual(self.exits, [])
        self.world.reactor.advance(program.EXIT_MOST_S)
        self.world.reactor.advance(program.EXIT_CHECK_S)
        self.assertEqual(self.exits, [1])
