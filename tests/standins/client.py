"""In-memory HTTP client of a stand-in's listener."""
import dataclasses
from http import client as http_client
import io
import json

from twisted.internet import testing


@dataclasses.dataclass(frozen=True)
class Response:
    """One response; ``complete`` is False if its body is still partial."""

    status: int
    headers: dict
    body: bytes
    complete: bool

    @property
    def json(self):
        """The body parsed as JSON."""
        return json.loads(self.body)

    @property
    def events(self):
        """The server-sent events as pairs of id and data."""
        pairs = []
        for event_text in self.body.decode().split("\n\n"):
            if event_text:
                id_line, data_line = event_text.split("\n")
                pairs.append((id_line.removeprefix("id: "),
                              data_line.removeprefix("data: ")))
        return pairs

    @property
    def text(self):
        """The joined content of the events."""
        chunks = [json.loads(data) for _, data in self.events
                  if data != "[DONE]"]
        return "".join(chunk["choices"][0]["delta"].get("content", "")
                       for chunk in chunks)


class Connection:
    """One connection; each request discards the data received before."""

    def __init__(self, listener):
        self.transport = testing.StringTransportWithDisconnection()
        self.protocol = listener.factory.buildProtocol(None)
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)

    @property
    def is_open(self):
        return self.transport.connected

    def send(self, method, path, body=None, **headers):
        """Send one request; header names have underscores for dashes."""
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
        """Close the connection from the client's side."""
        self.transport.loseConnection()

    def response(self):
        """Return the response to the last request, None if no data came."""
        if not self.transport.value():
            return None
        resp = http_client.HTTPResponse(_FakeSocket(self.transport.value()))
        resp.begin()
        complete = True
        try:
            body = resp.read()
        except http_client.IncompleteRead as exc:
            body = exc.partial
            complete = False
        return Response(resp.status, dict(resp.headers), body, complete)


class _FakeSocket:
    def __init__(self, data):
        self.data = data

    def makefile(self, _mode):
        return io.BytesIO(self.data)


def request(listener, method, path, body=None, **headers):
    """Send a request on a new connection; return the response."""
    return Connection(listener).send(method, path, body, **headers).response()
