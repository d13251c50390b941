"""A stand-in of a backend server: streams and calls, with faults."""

import math

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["EVENTS", "Engine", "POISON", "USUAL"]

# A stream takes 1.8 s: work that goes on for a caller that left must
# still be seen when its end is checked.
EVENTS = 12
EVENT_S = 0.15
CALL_S = 0.02
# Prompts are read one after the other, at so many tokens a second.
READ_TOKENS_S = 40_000.0
# Faults that servers always have, as shares of requests: a run of ten
# seconds must see each, or it proves nothing of what keeps them harmless.
USUAL = {"lost": 0.03, "torn": 0.03, "full": 0.03, "error": 0.02}
# A body that begins so crashes the server that runs it.
POISON = b"poison"
RID = b"x-crocuskeel-request-id"


class Engine:
    """Runs requests and notes them in the record of the run.

    ``faults`` maps a fault's name to its share of requests: ``lost``
    runs and resets, ``torn`` breaks a stream half way, ``full`` refuses,
    ``error`` answers 500, ``mute`` runs and says nothing. Its answers
    name ``rate_limit``, requests a second, if it is set, and say that it
    is ``leaving``. With ``rest_s`` it refuses all and asks for so much.
    """

    def __init__(self, reactor, rng, sid, service, record, on_poison):
        self.reactor = reactor
        self.rng = rng
        self.sid = sid
        self.service = service
        self.record = record
        self.on_poison = on_poison
        self.faults = dict(USUAL)
        self.rate_limit = None
        self.leaving = False
        self.rest_s = None
        self.port = None
        self.address = None
        self.is_down = False
        # Milliseconds; tells its lives apart.
        self.born = int(reactor.seconds() * 1000)
        # When the prompts so far are read.
        self.read_at = 0.0
        self.parts = set()
        self.listener = callers.new_listener(reactor, self)

    def listen(self, ip):
        """Take connections on a free port; return the port."""
        self.port = self.reactor.listenTCP(0, self.listener, 50, ip)
        self.address = ip, self.port.getHost().port
        return self.address[1]

    def start_again(self):
        """Take connections once more, and know nothing of before."""
        self.born = int(self.reactor.seconds() * 1000)
        self.record.restarted[self.sid] = self.reactor.seconds()
        self.leaving = False
        self.rest_s = None
        self.name_rate(None)
        self.read_at = 0.0
        self.parts = set()
        self.is_down = False
        self.port = self.reactor.listenTCP(
            self.address[1], self.listener, 50, self.address[0])

    def crash(self):
        """End all connections and take no more."""
        self.is_down = True
        self.port.stopListening()
        for conn in list(self.listener.open_connections):
            conn.transport.abortConnection()

    def limits(self):
        """Return the limits on what hosts send."""
        return loop.DEFAULT_LIMITS

    def caller_disconnected(self, exchange):
        """A host closed the connection: its request is dropped."""
        self._rest(exchange)

    def request_rejected(self, status, why):
        """A request could not be read."""

    def request_received(self, exchange):
        """Run a request."""
        rid = exchange.head.get(RID).decode()
        self.record.reached.append((rid, self.sid, self.reactor.seconds()))
        wanted = exchange.head.get(b"x-crocuskeel-expect-instance")
        if wanted != self.sid.encode():
            exchange.answer(421, [], b"")
            return
        if self.rest_s is not None:
            self._refuse(exchange, rid, [
                (b"Retry-After", b"%g" % self.rest_s)])
            self.record.rests.append(
                (self.sid, self.record.seen[rid].ip, self.reactor.seconds(),
                 self.rest_s))
            return
        if self._has("full"):
            self._refuse(exchange, rid, [])
            return
        self.record.runs.setdefault(rid, []).append(self.sid)
        self.record.arrivals.append((rid, self.sid, self.reactor.seconds()))
        self._run(exchange, rid)

    def _run(self, exchange, rid):
        if exchange.body.startswith(POISON):
            self.record.spoiled.add(rid)
            self.record.crashes.append(
                (exchange.body, self.reactor.seconds()))
            self.on_poison()
            return
        if self._has("lost"):
            self.record.spoiled.add(rid)
            exchange.abort()
            return
        if self._has("error"):
            self.record.spoiled.add(rid)
            exchange.answer(500, self._headers(rid), b"failed")
            return
        self.record.working.add((rid, self.sid))
        if self._has("mute"):
            self.record.spoiled.add(rid)
        elif self.service == "engines":
            self._stream(exchange, rid)
        else:
            self.reactor.callLater(CALL_S, self._answer, exchange, rid)

    def _has(self, fault):
        return self.rng.random() < self.faults.get(fault, 0.0)

    def _headers(self, rid):
        return [(b"X-Crocuskeel-Request-Id", rid.encode()),
                (b"X-Crocuskeel-Server-Stamp", b"stamp"),
                *self._hints(rid)]

    def _refuse(self, exchange, rid, headers):
        exchange.answer(503, [(b"X-Crocuskeel-Not-Run", b"1"),
                              *headers, *self._hints(rid)], b"")

    def _hints(self, rid):
        where, now = (self.sid, self.record.seen[rid].ip), (
            self.reactor.seconds())
        found = []
        if self.rate_limit is not None:
            self.record.told.setdefault(where, now)
            found.append((b"Server-Limit", b"%g" % self.rate_limit))
        if self.leaving:
            self.record.told_leaving.setdefault(where, now)
            found.append((b"Server-Leaving", b"1"))
        return found

    def name_rate(self, rate):
        """Name a rate in all answers from now on, or none any more."""
        now = self.reactor.seconds()
        if self.rate_limit is not None:
            since, _, named = self.record.limits[self.sid]
            self.record.limits[self.sid] = since, now, named
        elif rate is not None:
            self.record.limits[self.sid] = now, math.inf, rate
        self.rate_limit = rate

    def _rest(self, exchange):
        rid = exchange.head.get(RID).decode()
        self.record.working.discard((rid, self.sid))

    def _answer(self, exchange, rid):
        self._rest(exchange)
        exchange.answer(200, self._headers(rid), b"answer to "
                        + rid.encode())

    def _stream(self, exchange, rid):
        now = self.reactor.seconds()
        tokens = self._fresh(exchange.head)
        self.read_at = max(now, self.read_at) + tokens / READ_TOKENS_S
        self.reactor.callLater(
            self.read_at - now, self._begin, exchange, rid)

    def _fresh(self, head):
        """Return how many tokens of a prompt have to be read."""
        fresh = 0
        text = head.get(b"x-crocuskeel-prefix-hash") or b""
        for row in text.split(b","):
            part, _, tokens = row.partition(b":")
            if part not in self.parts:
                fresh += int(tokens or 0)
            self.parts.add(part)
        return fresh

    def _begin(self, exchange, rid):
        if exchange.finished:
            return
        last = int(exchange.head.get(b"last-event-id") or 0)
        exchange.begin_answer(200, self._headers(rid))
        torn = EVENTS // 2 if self._has("torn") else None
        self._event(exchange, rid, last + 1, torn)

    def _event(self, exchange, rid, number, torn):
        if exchange.finished:
            return
        if number == torn:
            self.record.spoiled.add(rid)
            self._rest(exchange)
            exchange.send_data(b"id: %d\nda" % number)
            exchange.abort()
            return
        exchange.send_data(b"id: %d\ndata: %s\n\n" % (number, rid.encode()))
        if number == EVENTS:
            self._rest(exchange)
            exchange.end_answer()
            return
        self.reactor.callLater(EVENT_S, self._event, exchange, rid,
                               number + 1, torn)
