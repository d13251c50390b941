"""A stub of a backend server: streams and calls, with injected faults."""

import dataclasses
import math

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop
from tools.soak import cut_answers

__all__ = ["BAD_PART", "BASE_FAULT_SHARES", "CRASH_FORMS", "CrashForm",
           "EVENTS", "Engine", "POISON", "RESET"]

# A stream takes 1.8 s, so that work that continues for a disconnected
# caller is still in progress when the request is checked.
EVENTS = 12
EVENT_S = 0.15
CALL_S = 0.02
# Prompts are prefilled one after the other, at so many tokens a second.
PREFILL_TOKENS_S = 40_000.0
# Faults that servers always have, as shares of requests. A run of ten
# seconds must see each of them, or it does not test their handling.
BASE_FAULT_SHARES = {"lost": 0.03, "torn": 0.03, "full": 0.03, "error": 0.02}
# A body with this prefix crashes the server that runs it, in the form that its
# second part names.
POISON = b"poison"
# So does each prompt, as the engine begins to answer it, with a part whose id
# has this prefix; the form is the second part of the body.
BAD_PART = b"bad"
RID = b"x-crocuskeel-request-id"
HEALTH_PATH = b"/health"


@dataclasses.dataclass(frozen=True)
class CrashForm:
    """How the connections of a crashing server end.

    The request that crashes it has got ``sent`` of its answer by then, None
    if not even its head. The connections are closed or, with ``resets``,
    reset; with ``goes_dark`` they stay open without a sign of life.
    """

    sent: bytes | None = None
    resets: bool = False
    goes_dark: bool = False


RESET = CrashForm(resets=True)
CRASH_FORMS = {
    b"reset": RESET, b"closed": CrashForm(), b"head": CrashForm(b""),
    b"event": CrashForm(b"id: 1\nda"),
    b"between": CrashForm(b"id: 1\n: v1\ndata: x\n\n"),
    b"cut": CrashForm(b"id: 1\nda", resets=True),
    b"dark": CrashForm(goes_dark=True)}


class Engine:
    """Runs requests and adds them to the record of the run.

    ``faults`` maps a fault's name to its share of requests: 'lost' runs
    the request and resets the connection, 'torn' breaks a stream halfway,
    'full' refuses, 'error' answers 500, 'mute' runs it without a response,
    'cut' stops within the response.
    Responses carry ``rate_limit``, requests a second, if it is set, and the
    ``leaving`` flag. With ``backoff_s`` it refuses all requests and asks for
    that backoff. With ``ends_connections`` its streams have neither a length
    nor chunks.
    """

    def __init__(self, reactor, rng, sid, service, record, on_poison,
                 version="v1"):
        self.reactor = reactor
        self.rng = rng
        self.sid = sid
        self.service = service
        self.record = record
        self.on_poison = on_poison
        self.version = version
        self.event_s = EVENT_S
        # Seconds between two events by kind of request, in place of that.
        self.event_spans = {}
        self.faults = dict(BASE_FAULT_SHARES)
        self.rate_limit = None
        self.leaving = False
        self.backoff_s = None
        self.ends_connections = False
        # Streams in progress that end with their connection, by request id.
        self.unframed = {}
        self.port = None
        self.address = None
        self.is_down = False
        # Start time in milliseconds; distinguishes restarts under one id.
        self.born = int(reactor.seconds() * 1000)
        # When the prefill of all prompts so far is done.
        self.prefilled_at = 0.0
        self.parts = set()
        self.listener = callers.new_listener(reactor, self)

    def listen(self, ip):
        """Listen on a free port; return the port."""
        self.port = self.reactor.listenTCP(0, self.listener, 50, ip)
        self.address = ip, self.port.getHost().port
        return self.address[1]

    def restart(self):
        """Listen again with all earlier state discarded."""
        self.born = int(self.reactor.seconds() * 1000)
        self.record.restarted[self.sid] = self.reactor.seconds()
        self.leaving = False
        self.backoff_s = None
        self.set_rate_limit(None)
        self.prefilled_at = 0.0
        self.parts = set()
        self.is_down = False
        self.port = self.reactor.listenTCP(
            self.address[1], self.listener, 50, self.address[0])

    def crash(self, form=RESET):
        """End all connections in the given form and stop listening."""
        self.is_down = True
        if not form.goes_dark:
            self.record.cut_unframed.update(self.unframed)
        self.port.stopListening()
        for conn in list(self.listener.open_connections):
            if form.resets:
                conn.transport.abortConnection()
            elif not form.goes_dark:
                conn.transport.loseConnection()

    def limits(self):
        """Return the limits on the requests of hosts."""
        return loop.DEFAULT_LIMITS

    def caller_disconnected(self, exchange):
        """Drop the request of a closed connection."""
        self._end_work(exchange)

    def request_rejected(self, status, why):
        """Ignore a malformed request."""

    def request_received(self, exchange):
        """Run a request, or report the health."""
        if exchange.head.target == HEALTH_PATH:
            exchange.answer(200, [], b"")
            return
        rid = exchange.head.get(RID).decode()
        self.record.reached.append((rid, self.sid, self.reactor.seconds()))
        part = _bad_part(exchange.head)
        if part:
            self.record.part_arrivals.append(
                (part, rid, self.reactor.seconds()))
        expected = exchange.head.get(b"x-crocuskeel-expect-instance")
        if expected != self.sid.encode():
            exchange.answer(421, [], b"")
            return
        if self.backoff_s is not None:
            self._refuse(exchange, rid, [
                (b"Retry-After", b"%g" % self.backoff_s)])
            self.record.backoffs.append(
                (self.sid, self.record.sent[rid].ip, self.reactor.seconds(),
                 self.backoff_s))
            return
        if self._draw_fault("full"):
            self._refuse(exchange, rid, [])
            return
        self.record.runs.setdefault(rid, []).append(self.sid)
        self.record.arrivals.append((rid, self.sid, self.reactor.seconds()))
        self._run(exchange, rid)

    def _run(self, exchange, rid):
        if exchange.body.startswith(POISON):
            self.record.failed_by_server.add(rid)
            self.record.crashes.append(
                (exchange.body, self.reactor.seconds()))
            self._crash_under(exchange, rid)
            return
        if self._draw_fault("lost"):
            self.record.failed_by_server.add(rid)
            exchange.abort()
            return
        if self._draw_fault("error"):
            self.record.failed_by_server.add(rid)
            exchange.answer(500, self._headers(rid), b"failed")
            return
        if cut_answers.CUT in self.faults and (
                self._draw_fault(cut_answers.CUT)):
            self._cut_answer(exchange, rid)
            return
        self.record.working.add((rid, self.sid))
        if self._draw_fault("mute"):
            self.record.failed_by_server.add(rid)
        elif self.service == "engines":
            self._stream(exchange, rid)
        else:
            self.reactor.callLater(CALL_S, self._answer, exchange, rid)

    def _cut_answer(self, exchange, rid):
        """Send a part of an answer and close the connection."""
        self.record.failed_by_server.add(rid)
        body = self._body(rid)
        if self.service == "engines":
            last = int(exchange.head.get(b"last-event-id") or 0)
            body = b"".join(self._event(rid, number)
                            for number in range(last + 1, EVENTS + 1))
        data, is_open = cut_answers.new_cut(
            self.rng, self._headers(rid), body)
        if is_open:
            self.record.cut_open.add(rid)
        cut_answers.cut_answer(
            self.reactor, self.rng, exchange.connection.transport, data)

    def _body(self, rid):
        return b"answer to " + rid.encode()

    def _event(self, rid, number):
        return b"id: %d\n: %s\ndata: %s\n\n" % (
            number, self.version.encode(), rid.encode())

    def _crash_under(self, exchange, rid):
        name = exchange.body.split(b":")[1:2]
        form = CRASH_FORMS[name[0]] if name else RESET
        if form.sent is not None:
            self._begin(exchange, rid)
        if form.sent:
            self._send(exchange, rid, form.sent)
        self.on_poison(form)

    def _begin(self, exchange, rid):
        """Begin a stream, in chunks or to the end of its connection."""
        headers = self._headers(rid)
        if not self.ends_connections:
            exchange.begin_answer(200, headers)
            return
        self.unframed[rid] = exchange
        exchange.connection.transport.write(b"".join((
            b"HTTP/1.1 200 OK\r\n",
            *(b"%s: %s\r\n" % header for header in headers), b"\r\n")))

    def _send(self, exchange, rid, data):
        if rid in self.unframed:
            exchange.connection.transport.write(data)
        else:
            exchange.send_data(data)

    def _draw_fault(self, fault):
        return self.rng.random() < self.faults.get(fault, 0.0)

    def _headers(self, rid):
        return [(b"X-Crocuskeel-Request-Id", rid.encode()),
                (b"X-Crocuskeel-Server-Stamp", b"stamp"),
                *self._hints(rid)]

    def _refuse(self, exchange, rid, headers):
        exchange.answer(503, [(b"X-Crocuskeel-Not-Run", b"1"),
                              *headers, *self._hints(rid)], b"")

    def _hints(self, rid):
        pair, now = (self.sid, self.record.sent[rid].ip), (
            self.reactor.seconds())
        headers = []
        if self.rate_limit is not None:
            self.record.rate_sent.setdefault(pair, now)
            headers.append((b"Server-Limit", b"%g" % self.rate_limit))
        if self.leaving:
            self.record.leaving_sent.setdefault(pair, now)
            headers.append((b"Server-Leaving", b"1"))
        return headers

    def set_rate_limit(self, rate):
        """Set the rate limit that responses carry, or None for none."""
        now = self.reactor.seconds()
        if self.rate_limit is not None:
            since, _, limit = self.record.limits[self.sid]
            self.record.limits[self.sid] = since, now, limit
        elif rate is not None:
            self.record.limits[self.sid] = now, math.inf, rate
        self.rate_limit = rate

    def _end_work(self, exchange):
        rid = (exchange.head.get(RID) or b"").decode()
        if exchange.finished and self.unframed.get(rid) is exchange:
            # Another run of the request may be in progress here.
            del self.unframed[rid]
        self.record.working.discard((rid, self.sid))

    def _answer(self, exchange, rid):
        self._end_work(exchange)
        exchange.answer(200, self._headers(rid), self._body(rid))

    def _stream(self, exchange, rid):
        now = self.reactor.seconds()
        tokens = self._uncached_tokens(exchange.head)
        self.prefilled_at = (
            max(now, self.prefilled_at) + tokens / PREFILL_TOKENS_S)
        self.reactor.callLater(
            self.prefilled_at - now, self._begin_stream, exchange, rid)

    def _uncached_tokens(self, head):
        """Return the number of prompt tokens that have to be prefilled."""
        uncached = 0
        text = head.get(b"x-crocuskeel-prefix-hash") or b""
        for row in text.split(b","):
            part, _, tokens = row.partition(b":")
            if part not in self.parts:
                uncached += int(tokens or 0)
            self.parts.add(part)
        return uncached

    def _begin_stream(self, exchange, rid):
        # The end of a crash's connections is seen a turn of the loop later.
        if exchange.finished or self.is_down:
            return
        last = int(exchange.head.get(b"last-event-id") or 0)
        part = _bad_part(exchange.head)
        if part:
            self.record.failed_by_server.add(rid)
            self.record.part_crashes.append((part, self.reactor.seconds()))
            self._crash_under(exchange, rid)
            return
        self._begin(exchange, rid)
        break_at = EVENTS // 2 if self._draw_fault("torn") else None
        self._send_event(exchange, rid, last + 1, break_at)

    def _send_event(self, exchange, rid, number, break_at):
        if exchange.finished:
            return
        if number == break_at:
            self.record.failed_by_server.add(rid)
            self._end_work(exchange)
            self._send(exchange, rid, b"id: %d\nda" % number)
            exchange.abort()
            return
        self._send(exchange, rid, self._event(rid, number))
        if number == EVENTS:
            self._end_work(exchange)
            if self.unframed.pop(rid, None) is None:
                exchange.end_answer()
            else:
                exchange.connection.transport.loseConnection()
            return
        event_s = self.event_s
        if self.event_spans:
            event_s = self.event_spans[self.record.sent[rid].request.kind]
        self.reactor.callLater(event_s, self._send_event, exchange, rid,
                               number + 1, break_at)


def _bad_part(head):
    """Return the id of the prompt part that crashes engines, if any."""
    text = head.get(b"x-crocuskeel-prefix-hash") or b""
    parts = [row.partition(b":")[0] for row in text.split(b",")]
    return next((part for part in parts if part.startswith(BAD_PART)), None)
