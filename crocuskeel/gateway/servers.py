"""HTTP/1.1 towards backend servers: one attempt, one connection."""

from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.gateway import connections
from crocuskeel.gateway import dialect
from crocuskeel.gateway import events_split

__all__ = ["Attempt", "begin"]

# Servers are at most some milliseconds away; one that takes no
# connection in this time is cut off or dark, s.
CONNECT_S = 0.3
# A plain answer is held until it is whole, up to this size, bytes: only
# then is it known to be complete.
ANSWER_MOST = 4 << 20
# Heads that are certain to be the server's own.
VOUCHED_FOR = (dialect.Verdict.ANSWER, dialect.Verdict.NOT_RUN)
OUTCOMES = {
    connections.Failure.UNREACHED: model.Outcome.UNREACHED,
    connections.Failure.REFUSED: model.Outcome.REFUSED,
    connections.Failure.BROKEN: model.Outcome.BROKEN,
    connections.Failure.GARBLED: model.Outcome.GARBLED,
}


class Attempt:
    """One attempt at a server. ``gateway`` takes events of the core."""

    def __init__(self, gateway, exchange, send):
        self.gateway = gateway
        self.exchange = exchange
        self.turn = send.turn
        self.send = send
        self.connection = None
        self.head = None
        self.splitter = None
        self.events = []
        self.body = []
        self.size = 0
        self.passing = False
        self.opened = False
        self.last_event = exchange.last_event

    @property
    def over(self):
        """Whether nothing more comes of it."""
        return self.connection.over

    def request(self):
        """Return what to send."""
        exchange = self.exchange
        head = exchange.head
        headers = self.gateway.dialect.server_headers(
            head, self.send, exchange.last_event)
        if exchange.body or head.method != b"GET":
            headers.append((b"Content-Length",
                            b"%d" % len(exchange.body)))
        return head.method, head.target, headers, exchange.body

    def failed(self, failure, detail):
        """The connection failed."""
        self._report(OUTCOMES[failure], detail,
                     torn=failure is connections.Failure.BROKEN)

    def took_head(self, status, headers):
        """Judge an answer by its head."""
        head = dialect.Head(headers, status=status)
        verdict = self.gateway.dialect.judge(self.exchange.request, head)
        if verdict in VOUCHED_FOR:
            self.gateway.feed(events.HintsSeen(
                self.exchange.key, self.turn,
                self.gateway.dialect.hints(head)))
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

    def took_data(self, data):
        """Take a piece of the answer."""
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

    def took_end(self):
        """Take the end of the answer."""
        if self.splitter is None:
            self.connection.close()
            self.gateway.feed(events.Answered(
                self.exchange.key, self.turn, self.head.status,
                self.gateway.dialect.load(self.head),
                self.gateway.dialect.stamped(self.head)))
            return
        if self.splitter.rest or not self.opened:
            self._fail(model.Outcome.GARBLED, "ends within an event")
            return
        self.connection.close()
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
        self.connection.close()

    def _fail(self, outcome, detail):
        self.connection.close()
        self._report(outcome, detail)

    def _report(self, outcome, detail, torn=False):
        self.gateway.feed(events.Broken(
            self.exchange.key, self.turn, outcome, detail, torn))


def begin(gateway, exchange, send):
    """Connect to the server of a Send effect; return the Attempt."""
    attempt = Attempt(gateway, exchange, send)
    attempt.connection = connections.connect(
        gateway.reactor, send.server.address, attempt, CONNECT_S)
    return attempt
