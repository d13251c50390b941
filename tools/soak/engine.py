"""A stand-in of a backend server: streams and calls, with faults."""

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["EVENTS", "Engine", "USUAL"]

EVENTS = 12
EVENT_S = 0.03
CALL_S = 0.02
# Faults that servers always have, as shares of requests: a run of ten
# seconds must see each, or it proves nothing of what keeps them harmless.
USUAL = {"lost": 0.03, "torn": 0.03, "full": 0.03, "error": 0.02}
RID = b"x-crocuskeel-request-id"


class Engine:
    """Runs requests; ``runs`` of all engines by request id.

    ``faults`` maps a fault's name to its share of requests: ``lost``
    runs and resets, ``torn`` breaks a stream half way, ``full`` refuses,
    ``error`` answers 500.
    """

    def __init__(self, reactor, rng, sid, service, runs):
        self.reactor = reactor
        self.rng = rng
        self.sid = sid
        self.service = service
        self.runs = runs
        self.faults = dict(USUAL)
        self.port = None
        self.seen = []
        self.listener = callers.new_listener(reactor, self)

    def listen(self, ip):
        """Take connections on a free port; return the port."""
        self.port = self.reactor.listenTCP(0, self.listener, 50, ip)
        return self.port.getHost().port

    def crash(self):
        """End all connections and take no more."""
        self.port.stopListening()
        for conn in list(self.listener.open):
            conn.transport.abortConnection()

    def limits(self):
        """Return the limits on what hosts send."""
        return loop.DEFAULT_LIMITS

    def left(self, exchange):
        """A host closed the connection: its request is dropped."""

    def refused(self, status, why):
        """A request could not be read."""

    def arrived(self, exchange):
        """Run a request."""
        self.seen.append(exchange.head)
        rid = exchange.head.get(RID).decode()
        wanted = exchange.head.get(b"x-crocuskeel-expect-instance")
        if wanted != self.sid.encode():
            exchange.answer(421, [], b"")
            return
        if self._has("full"):
            exchange.answer(503, [(b"X-Crocuskeel-Not-Run", b"1")], b"")
            return
        self.runs.setdefault(rid, []).append(self.sid)
        if self._has("lost"):
            exchange.cut()
        elif self._has("error"):
            exchange.answer(500, self._headers(rid), b"failed")
        elif self.service == "engines":
            self._stream(exchange, rid)
        else:
            self.reactor.callLater(CALL_S, exchange.answer, 200,
                                   self._headers(rid),
                                   b"answer to " + rid.encode())

    def _has(self, fault):
        return self.rng.random() < self.faults.get(fault, 0.0)

    def _headers(self, rid):
        return [(b"X-Crocuskeel-Request-Id", rid.encode()),
                (b"X-Crocuskeel-Server-Stamp", b"stamp")]

    def _stream(self, exchange, rid):
        last = int(exchange.head.get(b"last-event-id") or 0)
        exchange.begin(200, self._headers(rid))
        torn = EVENTS // 2 if self._has("torn") else None
        self._event(exchange, rid, last + 1, torn)

    def _event(self, exchange, rid, number, torn):
        if exchange.over:
            return
        if number == torn:
            exchange.pass_on(b"id: %d\nda" % number)
            exchange.cut()
            return
        exchange.pass_on(b"id: %d\ndata: %s\n\n" % (number, rid.encode()))
        if number == EVENTS:
            exchange.end()
            return
        self.reactor.callLater(EVENT_S, self._event, exchange, rid,
                               number + 1, torn)
