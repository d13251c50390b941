"""HTTP/1.1 towards backend servers: one attempt, one connection."""

from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.gateway import dialect
from crocuskeel.gateway import events_split
from crocuskeel.gateway import sockets
import h11
from twisted.internet import error
from twisted.internet import protocol

__all__ = ["Attempt", "begin"]

# Servers are at most some milliseconds away; one that takes no
# connection in this time is cut off or dark, s.
CONNECT_S = 0.3
# A plain answer is held until it is whole, up to this size, bytes: only
# then is it known to be complete.
ANSWER_MOST = 4 << 20


class Attempt(protocol.Protocol):
    """One attempt at a server. ``gateway`` takes events of the core."""

    def __init__(self, gateway, exchange, send):
        self.gateway = gateway
        self.exchange = exchange
        self.turn = send.turn
        self.send = send
        self.connector = None
        self.h11 = h11.Connection(h11.CLIENT)
        self.head = None
        self.splitter = None
        self.events = []
        self.body = []
        self.size = 0
        self.passing = False
        self.opened = False
        self.over = False
        self.last_event = exchange.last_event

    def connectionMade(self):
        sockets.tune(self.transport)
        if self.over:
            self.transport.abortConnection()
            return
        exchange = self.exchange
        headers = self.gateway.dialect.server_headers(
            exchange.head, self.send, exchange.last_event)
        if exchange.body or exchange.head.method != b"GET":
            headers.append((b"Content-Length",
                            b"%d" % len(exchange.body)))
        data = self.h11.send(h11.Request(
            method=exchange.head.method, target=exchange.head.target,
            headers=headers))
        if exchange.body:
            data += self.h11.send(h11.Data(data=exchange.body))
        data += self.h11.send(h11.EndOfMessage())
        self.transport.write(data)

    def dataReceived(self, data):
        if not self.over:
            self.h11.receive_data(data)
            self._pump()

    def connectionLost(self, reason):
        if self.over:
            return
        # A clean close ends an answer without a length; a reset means
        # that its rest was lost.
        if reason.check(error.ConnectionDone) and self.head is not None:
            self.h11.receive_data(b"")
            self._pump()
        if not self.over:
            self._fail(model.Outcome.BROKEN,
                       reason.type.__name__, torn=True)

    def not_connected(self, reason):
        """No connection could be had."""
        if not self.over:
            self._fail(model.Outcome.UNREACHED, reason.type.__name__)

    def _pump(self):
        while not self.over:
            try:
                event = self.h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._fail(model.Outcome.GARBLED, str(exc))
                return
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event):
        match event:
            case h11.Response():
                self._take_head(event)
            case h11.Data():
                self._take_data(bytes(event.data))
            case h11.EndOfMessage():
                self._take_end()
            case h11.ConnectionClosed():
                self._fail(model.Outcome.BROKEN, "closed", torn=True)

    def _take_head(self, event):
        head = dialect.Head(tuple(event.headers.raw_items()),
                            status=event.status_code)
        verdict = self.gateway.dialect.judge(self.exchange.request, head)
        match verdict:
            case dialect.Verdict.NOT_RUN:
                self._fail(model.Outcome.NOT_RUN, str(head.status))
            case dialect.Verdict.MISDIRECTED:
                self._fail(model.Outcome.MISDIRECTED, str(head.status))
            case dialect.Verdict.FOREIGN | dialect.Verdict.GARBLED:
                self._fail(model.Outcome.GARBLED, verdict.value)
            case dialect.Verdict.ANSWER:
                self.head = head
                if self.send.stream and head.status == 200:
                    self.splitter = events_split.Splitter()

    def _take_data(self, data):
        if self.splitter is None:
            self._collect(data)
            return
        try:
            found = self.splitter.feed(data)
        except ValueError as exc:
            self._fail(model.Outcome.GARBLED, str(exc))
            return
        if found and self._are_next(found):
            self._take_events(found)

    def _collect(self, data):
        self.size += len(data)
        if self.size > ANSWER_MOST:
            self._fail(model.Outcome.GARBLED, "answer too large")
            return
        self.body.append(data)

    def _are_next(self, found):
        """Check that ids go on from the last one; a stream may resume."""
        for event in found:
            number = events_split.event_id(event)
            if number is None:
                continue
            if self.last_event is not None and number <= self.last_event:
                self._fail(model.Outcome.GARBLED, "event out of order")
                return False
            self.last_event = number
        return True

    def _take_events(self, found):
        self.events += found
        if not self.opened:
            self.opened = True
            self.gateway.feed(events.Opened(
                self.exchange.key, self.turn,
                self.gateway.dialect.load(self.head)))
            return
        if self.passing:
            self._flush()
        self.gateway.feed(events.Progressed(self.exchange.key, self.turn))

    def _flush(self):
        data, self.events = b"".join(self.events), []
        if data:
            self.exchange.last_event = self.last_event
            self.exchange.pass_on(data)

    def _take_end(self):
        if self.splitter is None:
            self._close()
            self.gateway.feed(events.Answered(
                self.exchange.key, self.turn, self.head.status,
                self.gateway.dialect.load(self.head),
                self.gateway.dialect.stamped(self.head)))
            return
        if self.splitter.rest or not self.opened:
            self._fail(model.Outcome.GARBLED, "ends within an event")
            return
        self._close()
        self.gateway.feed(events.Ended(self.exchange.key, self.turn))
        self.exchange.end()
        self.gateway.forget(self.exchange)

    def pass_on(self):
        """Let the caller have this answer, now and as it comes."""
        self.passing = True
        headers = self.gateway.dialect.answer_headers(self.head, True)
        if self.splitter is None:
            self.exchange.answer(self.head.status, headers,
                                 b"".join(self.body))
            return
        self.exchange.begin(self.head.status, headers)
        self._flush()

    def cancel(self):
        """End the attempt; its server notices the close."""
        self.over = True
        self._drop()

    def _fail(self, outcome, detail, torn=False):
        self._close()
        self.gateway.feed(events.Broken(
            self.exchange.key, self.turn, outcome, detail, torn))

    def _close(self):
        self.over = True
        self._drop()

    def _drop(self):
        if self.transport is not None:
            self.transport.abortConnection()
        elif self.connector is not None:
            # Nothing happens if the connection has failed already.
            self.connector.disconnect()


class _Dialer(protocol.ClientFactory):
    noisy = False

    def __init__(self, attempt):
        self.attempt = attempt

    def buildProtocol(self, addr):
        return self.attempt

    def clientConnectionFailed(self, connector, reason):
        self.attempt.not_connected(reason)


def begin(gateway, exchange, send):
    """Connect to the server of a Send effect; return the Attempt."""
    attempt = Attempt(gateway, exchange, send)
    host, port = send.server.address
    attempt.connector = gateway.reactor.connectTCP(
        host, port, _Dialer(attempt), timeout=CONNECT_S)
    return attempt
