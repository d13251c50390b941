"""A runtime with a simulated clock and a scripted core.

The test itself acts as callers and backend servers: it writes the bytes
of one side and reads those of the other, so no test waits or races.
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
from crocuskeel.runtime import http_api
from crocuskeel.runtime import program
from crocuskeel.runtime import settings
from crocuskeel.runtime import stream_ids
from crocuskeel.runtime import watchdog

KEY = b"k" * 32
URL = "http://127.0.0.1:9"
STREAM_HEAD = (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
               b"Transfer-Encoding: chunked\r\n\r\n")
SETTINGS_TREE = """{
  "deployment": {"name": "d", "failure_domains": ["a"]},
  "services": {"llm": {"kind": "engine", "models": ["m"]}},
  "defaults": {"service": "llm"}, "classes": {"ask": {}},
  "workspaces": {
    "one": {"tokens": [{"caller": "desk", "sha256": "%s"}]},
    "two": {"tokens": [{"caller": "desk", "sha256": "%s"}]}}}
""" % tuple(hashlib.sha256(name).hexdigest()
            for name in (b"one-token", b"two-token"))


class Reactor(testing.MemoryReactorClock):
    """A simulated reactor that also supports datagram ports."""

    def listenUDP(self, _number, protocol, **_options):
        protocol.transport = testing.StringTransport()
        return protocol


class Connection(testing.StringTransport):
    """One end of a connection; records whether it was dropped."""

    dropped = False

    def abortConnection(self):
        self.dropped = True

    def loseConnection(self):
        self.dropped = True
        super().loseConnection()

    def take_written(self):
        """Return the bytes written since the last call."""
        data = self.value()
        self.clear()
        return data


@dataclasses.dataclass(slots=True)
class Harness:
    """A runtime, its recorded events and its scripted effects.

    ``script`` maps an event class to ``fn(event)``, which returns the
    effects of the event.
    """

    reactor: typing.Any
    ctx: typing.Any = None
    events: list = dataclasses.field(default_factory=list)
    script: dict = dataclasses.field(default_factory=dict)

    def recorded(self, kind):
        """Return the recorded events of a class."""
        return [event for event in self.events if type(event) is kind]


def new_settings(host="entry-1", deployment="d", key=KEY):
    """Return process settings without a platform or files."""
    return settings.ProcessSettings(
        deployment=deployment, host=host, domain="a", region="r",
        address="127.0.0.1", door_port=1, peer_port=2, key=key)


def new_harness(cfg=None):
    """Return a harness whose core does nothing unless scripted."""
    harness = Harness(Reactor())
    harness.reactor.advance(1000.0)

    def reduce(_daemon, event, _now):
        harness.events.append(event)
        return harness.script.get(type(event), lambda _: [])(event)

    harness.ctx = program.new_runtime(
        harness.reactor, cfg or new_settings(), lambda: 1.8e9, reduce)
    harness.ctx.daemon.follower.tree = conf.parse(SETTINGS_TREE).unwrap()
    return harness


def send_request(harness, head, body=b"", token="one-token"):
    """Send a caller's request; return its channel and connection."""
    site = bounded_request.new_site(
        harness.reactor, http_api.new_app(harness.ctx).resource(), 1000)
    channel = site.buildProtocol(None)
    connection = Connection()
    channel.makeConnection(connection)
    channel.dataReceived(
        head.encode() + f"\r\nHost: x\r\nAuthorization: Bearer {token}"
        f"\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    return channel, connection


def send_chat_request(harness, **extra):
    """Send a streaming chat request; return channel and connection."""
    head = "POST /v1/chat/completions HTTP/1.1"
    for name, value in extra.items():
        head += f"\r\n{name.replace('_', '-')}: {value}"
    return send_request(
        harness, head, b'{"model": "m", "stream": true, '
        b'"messages": [{"role": "user", "content": "x"}]}')


def send_resume_request(harness, token, workspace):
    """Resume a workspace's stream with a caller's token."""
    rid = "entry-2.5.7"
    proof = stream_ids.proof(KEY, workspace, "desk", rid)
    request_id = stream_ids.attempt_id(rid, 3, "llm.1", proof)
    return send_request(
        harness, f"GET /v1/streams/{request_id} HTTP/1.1"
        f"\r\nLast-Event-ID: {request_id}:4", token=token)


def open_attempt(event):
    """Return the effects of a core that opens an attempt at once."""
    return [effects.OpenAttempt(
        event.rid, 1, "llm-1", URL, 1, first_byte_s=2.0, silence_s=1.0)]


def accept_connection(harness, number=-1):
    """Accept the daemon's connection to a backend server."""
    factory = harness.reactor.tcpClients[number][2]
    protocol = factory.buildProtocol(None)
    connection = Connection()
    connection.protocol = protocol
    protocol.makeConnection(connection)
    return protocol, connection


def refuse_connection(harness, reason, number=-1):
    """Refuse the daemon's connection to a backend server."""
    factory = harness.reactor.tcpClients[number][2]
    factory.clientConnectionFailed(None, failure.Failure(reason))


def lose_connection(protocol):
    """End a connection as if the other side had closed it."""
    protocol.connectionLost(failure.Failure(error.ConnectionLost()))


def http_chunk(data):
    """Return one HTTP chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream_event(number):
    """Return one stream event."""
    return b"id: s:%d\ndata: t%d\n\n" % (number, number)


def decode_body(data):
    """Return the decoded body of a chunked response."""
    _, _, remaining = data.partition(b"\r\n\r\n")
    body = b""
    while remaining:
        size, _, remaining = remaining.partition(b"\r\n")
        count = int(size, 16)
        body += remaining[:count]
        remaining = remaining[count + 2:]
    return body


def advance_time(harness, seconds):
    """Advance the clock and run the watchdog at each interval."""
    for _ in range(int(seconds / watchdog.INTERVAL_S)):
        harness.reactor.advance(watchdog.INTERVAL_S)
        watchdog.check(harness.ctx)
