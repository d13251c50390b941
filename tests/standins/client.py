"""An HTTP client in memory, on the factory of a stand-in's listener."""
import dataclasses
from http import client as http_client
import io
import json

from twisted.internet import testing


@dataclasses.dataclass(frozen=True)
class Answer:
    """One answer; ``whole`` is False while its body isn't at its end."""

    status: int
    headers: dict
    body: bytes
    whole: bool

    @property
    def json(self):
        """Return the body as JSON."""
        return json.loads(self.body)

    @property
    def events(self):
        """Return the server-sent events as pairs of id and data."""
        pairs = []
        for block in self.body.decode().split("\n\n"):
            if block:
                first, second = block.split("\n")
                pairs.append((first.removeprefix("id: "),
                              second.removeprefix("data: ")))
        return pairs

    @property
    def text(self):
        """Return the joined content of the events."""
        chunks = [json.loads(data) for _, data in self.events
                  if data != "[DONE]"]
        return "".join(chunk["choices"][0]["delta"].get("content", "")
                       for chunk in chunks)


class Conn:
    """One connection; each request clears what was received."""

    def __init__(self, listener):
        self.transport = testing.StringTransportWithDisconnection()
        self.protocol = listener.factory.buildProtocol(None)
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    @property
    def is_open(self):
        return self.transport.connected

    def send(self, method, path, body=None, **headers):
        """Send one request; header names have _ for -."""
        self.transport.clear()
        raw = body if isinstance(body, bytes) else b""
        if body is not None and raw is not body:
            raw = json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Host: test",
                 f"Content-Length: {len(raw)}"]
        lines += [f"{name.replace('_', '-')}: {value}"
                  for name, value in headers.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.protocol.dataReceived(head.encode() + raw)
        return self

    def close(self):
        """Close from the client's side."""
        self.transport.loseConnection()

    def answer(self):
        """Return what came since the last request, None if nothing."""
        if not self.transport.value():
            return None
        resp = http_client.HTTPResponse(_Socket(self.transport.value()))
        resp.begin()
        whole = True
        try:
            body = resp.read()
        except http_client.IncompleteRead as exc:
            body = exc.partial
            whole = False
        return Answer(resp.status, dict(resp.headers), body, whole)


class _Socket:
    def __init__(self, data):
        self.data = data

    def makefile(self, _mode):
        return io.BytesIO(self.data)


def call(listener, method, path, body=None, **headers):
    """Send a request on a connection of its own; return its answer."""
    return Conn(listener).send(method, path, body, **headers).answer()
