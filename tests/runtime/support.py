"""A runtime on a paused clock, with a scripted core.

Callers and backend servers are the test itself: it writes the bytes of
one side and reads those of the other, so that nothing waits or races.
"""

import dataclasses
import hashlib
import typing

from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from crocuskeel import conf
from crocuskeel.core import effects
from crocuskeel.runtime import bounded_request
from crocuskeel.runtime import door
from crocuskeel.runtime import program
from crocuskeel.runtime import settings
from crocuskeel.runtime import watchdog
from crocuskeel.runtime import wire_ids

KEY = b"k" * 32
URL = "http://127.0.0.1:9"
STREAM_HEAD = (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
               b"Transfer-Encoding: chunked\r\n\r\n")
TREE = """{
  "deployment": {"name": "d", "failure_domains": ["a"]},
  "services": {"llm": {"kind": "engine", "models": ["m"]}},
  "defaults": {"service": "llm"}, "classes": {"ask": {}},
  "workspaces": {
    "one": {"tokens": [{"caller": "desk", "sha256": "%s"}]},
    "two": {"tokens": [{"caller": "desk", "sha256": "%s"}]}}}
""" % tuple(hashlib.sha256(name).hexdigest()
            for name in (b"one-token", b"two-token"))


class Reactor(testing.MemoryReactorClock):
    """A paused reactor that opens datagram ports too."""

    def listenUDP(self, _number, protocol, **_options):
        protocol.transport = testing.StringTransport()
        return protocol


class Conn(testing.StringTransport):
    """One end of a connection; tells whether it was dropped."""

    dropped = False

    def abortConnection(self):
        self.dropped = True

    def loseConnection(self):
        self.dropped = True
        super().loseConnection()

    def take(self):
        """Return the bytes written since the last call."""
        data = self.value()
        self.clear()
        return data


@dataclasses.dataclass(slots=True)
class World:
    """A runtime, its recorded events and the effects still to give.

    ``script`` maps an event's class to ``fn(event)``, which returns
    effects.
    """

    reactor: typing.Any
    ctx: typing.Any = None
    events: list = dataclasses.field(default_factory=list)
    script: dict = dataclasses.field(default_factory=dict)

    def seen(self, kind):
        """Return the recorded events of a class."""
        return [each for each in self.events if type(each) is kind]


def new_cfg(host="entry-1", deployment="d", key=KEY):
    """Return process settings without platform or files."""
    return settings.ProcessSettings(
        deployment=deployment, host=host, domain="a", region="r",
        address="127.0.0.1", door_port=1, peer_port=2, key=key)


def new_world(cfg=None):
    """Return a world at rest; its core does nothing by itself."""
    world = World(Reactor())
    world.reactor.advance(1000.0)

    def reduce(_daemon, event, _now):
        world.events.append(event)
        return world.script.get(type(event), lambda _: [])(event)

    world.ctx = program.new_runtime(
        world.reactor, cfg or new_cfg(), lambda: 1.8e9, reduce)
    world.ctx.daemon.follower.tree = conf.parse(TREE).unwrap()
    return world


def call(world, head, body=b"", token="one-token"):
    """Send a caller's request; return its channel and connection."""
    site = bounded_request.new_site(
        world.reactor, door.new_app(world.ctx).resource(), 1000)
    channel = site.buildProtocol(None)
    conn = Conn()
    channel.makeConnection(conn)
    channel.dataReceived(
        head.encode() + f"\r\nHost: x\r\nAuthorization: Bearer {token}"
        f"\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    return channel, conn


def ask(world, **extra):
    """Send a chat request for a stream; return channel and conn."""
    head = "POST /v1/chat/completions HTTP/1.1"
    for name, value in extra.items():
        head += f"\r\n{name.replace('_', '-')}: {value}"
    return call(world, head, b'{"model": "m", "stream": true, '
                b'"messages": [{"role": "user", "content": "x"}]}')


def resume(world, token, workspace):
    """Come back for the rest of a workspace's stream with a token."""
    rid = "entry-2.5.7"
    code = wire_ids.proof(KEY, workspace, "desk", rid)
    name = wire_ids.attempt_id(rid, 3, "llm.1", code)
    return call(
        world, f"GET /v1/streams/{name} HTTP/1.1"
        f"\r\nLast-Event-ID: {name}:4", token=token)


def opening(event):
    """Return the effects of a core that opens an attempt at once."""
    return [effects.OpenAttempt(
        event.rid, 1, "llm-1", URL, 1, first_byte_s=2.0, silence_s=1.0)]


def accept(world, number=-1):
    """Take the daemon's connection to a backend server."""
    factory = world.reactor.tcpClients[number][2]
    protocol = factory.buildProtocol(None)
    conn = Conn()
    conn.protocol = protocol
    protocol.makeConnection(conn)
    return protocol, conn


def refuse(world, reason, number=-1):
    """Refuse the daemon's connection to a backend server."""
    factory = world.reactor.tcpClients[number][2]
    factory.clientConnectionFailed(None, failure.Failure(reason))


def lose(protocol):
    """End a connection as the other side would."""
    protocol.connectionLost(failure.Failure(error.ConnectionLost()))


def chunk(data):
    """Return one HTTP chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number):
    """Return one event of a stream."""
    return b"id: s:%d\ndata: t%d\n\n" % (number, number)


def body_of(data):
    """Return the decoded chunks of an answer's bytes."""
    _, _, rest = data.partition(b"\r\n\r\n")
    out = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        count = int(size, 16)
        out += rest[:count]
        rest = rest[count + 2:]
    return out


def pass_time(world, seconds):
    """Advance the clock as the watchdog sees it."""
    for _ in range(int(seconds / watchdog.EVERY_S)):
        world.reactor.advance(watchdog.EVERY_S)
        watchdog.check(world.ctx)
