"""Transports without sockets, and a gateway that keeps its events."""

from crocuskeel.core.entry import model
from crocuskeel.gateway import dialect
from twisted.internet import task
from twisted.internet import testing


class _Socket:
    def setsockopt(self, *args):
        """Take any option."""


class Transport(testing.StringTransport):
    """A transport that keeps what was written and how it ended."""

    dataBuffer = b""
    offset = 0
    _tempDataLen = 0
    aborted = False
    write_closed = False

    def writeSomeData(self, data):
        """Take all of it."""
        self.write(data)
        return len(data)

    def setTcpNoDelay(self, enabled):
        """Do nothing."""

    def setTcpKeepAlive(self, enabled):
        """Do nothing."""

    def getHandle(self):
        """Return something that takes socket options."""
        return _Socket()

    def abortConnection(self):
        """Note the abort."""
        self.aborted = True

    def loseWriteConnection(self):
        """Note that no more is written."""
        self.write_closed = True


def new_dialect():
    """Return a dialect of few words, for tests of the I/O alone."""
    def read_request(head, body):
        if head.get(b"bad"):
            raise ValueError("bad header")
        return model.Request("r1", "POST", "h", "/")

    def judge(request, head):
        word = (head.get(b"verdict") or b"answer").decode()
        return dialect.Verdict(word)

    def hints(head):
        return model.Hints(float(head.get(b"rate") or 0) or None)

    return dialect.Dialect(
        read_request=read_request,
        server_headers=lambda head, send, last: [(b"Host", b"h")],
        judge=judge, load=lambda head: None, hints=hints,
        stamped=lambda head: True,
        answer_headers=lambda head, keep: [(b"X-Kept", b"1")])


class Gateway:
    """Keeps events in place of reducing them."""

    def __init__(self):
        self.reactor = task.Clock()
        self.dialect = new_dialect()
        self.events = []
        self.forgotten = []
        self.on_event = lambda event: None

    def feed(self, event):
        """Keep an event."""
        self.events.append(event)
        self.on_event(event)

    def forget(self, exchange):
        """Note an exchange that is over."""
        self.forgotten.append(exchange)
