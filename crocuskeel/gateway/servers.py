"""HTTP/1.1 client of backend servers: one connection per attempt."""

from crocuskeel.core.entry import events
from crocuskeel.core.entry import memory_events
from crocuskeel.core.entry import model
from crocuskeel.gateway import connections
from crocuskeel.gateway import event_stream
from crocuskeel.gateway import header_codec

__all__ = ["Attempt", "start_attempt"]

# Servers are at most some milliseconds away; one that accepts no connection
# within this time is unreachable or down, s.
CONNECT_TIMEOUT_S = 0.3
# An answer that is not a stream is buffered up to this size, bytes: it is
# passed on only once it is known to be complete.
MAX_ANSWER_BYTES = 4 << 20
# Pieces of data in which an event may come.
PIECES_PER_EVENT = 4096
# Events of a stream without a known length, and those without tokens in one
# with: a server that sends more is broken.
MAX_EVENTS = 1 << 16
MAX_EMPTY_EVENTS = 1024
# Smaller parts of an answer aren't counted.
MIN_COUNTED_BYTES = 4096
# While a stream's first event waits to be forwarded, reading goes on up to so
# many bytes.
MAX_WAITING_BYTES = 1 << 16
# Verdicts on heads that were certainly sent by the server itself.
AUTHENTIC_VERDICTS = (header_codec.Verdict.ANSWER,
                      header_codec.Verdict.NOT_RUN)
OUTCOMES = {
    connections.Failure.UNREACHABLE: model.Outcome.UNREACHABLE,
    connections.Failure.REFUSED: model.Outcome.REFUSED,
    connections.Failure.DISCONNECTED: model.Outcome.DISCONNECTED,
    connections.Failure.MALFORMED: model.Outcome.MALFORMED,
}


def _max_events(request):
    """Return how many events a stream may have.

    An event has a token or more; some have none, as they are comments.
    """
    if request is None or request.prompt is None:
        return MAX_EVENTS
    return MAX_EMPTY_EVENTS + request.prompt.max_output_tokens


def _last_event_id(exchange, send):
    """Return the id of the last event that the caller has, or None."""
    if exchange.last_event_id is not None or not send.resume:
        return exchange.last_event_id
    return event_stream.to_number(
        exchange.request.last_event_id.encode("latin-1"))


class Attempt:
    """One attempt at a server; feeds its events to ``gateway``."""

    def __init__(self, gateway, exchange, send):
        self.gateway = gateway
        self.exchange = exchange
        self.attempt_number = send.attempt_number
        self.send = send
        self.connection = None
        self.head = None
        self.splitter = None
        self.events = []
        # Bytes of the events that wait for the first one to be forwarded.
        self.waiting = 0
        self.body = bytearray()
        self.size = 0
        self.forwarding = False
        self.has_events = False
        self.is_complete = False
        self.last_event_id = _last_event_id(exchange, send)
        # The caller may have had the last event before.
        self.may_be_empty = self.last_event_id is not None
        # Ids of the first and the last event that was forwarded.
        self.first_forwarded = self.last_forwarded = None
        self.is_logged = False
        self.event_count = 0
        self.max_events = _max_events(exchange.request)

    @property
    def finished(self):
        """Whether the attempt has ended."""
        return self.connection.closed

    def request(self):
        """Return the parts of the request, which is sent now."""
        self.gateway.memory.paused_readers.add(self.connection)
        exchange = self.exchange
        head = exchange.head
        headers = self.gateway.codec.server_headers(
            head, self.send, exchange.last_event_id)
        if exchange.body or head.method != b"GET":
            headers.append((b"Content-Length",
                            b"%d" % len(exchange.body)))
        return head.method, head.target, headers, exchange.body

    def failed(self, failure, detail):
        """Report a failed connection."""
        self._report(OUTCOMES[failure], detail)

    def head_received(self, status, headers):
        """Classify an answer by its head."""
        head = header_codec.Head(headers, status=status)
        codec = self.gateway.codec
        relayed = self.send.relay_servers is not None
        classify = codec.classify_relayed if relayed else codec.classify
        verdict = classify(self.exchange.request, head)
        if verdict in AUTHENTIC_VERDICTS and not relayed:
            self.gateway.feed(events.HintsReceived(
                self.exchange.key, self.attempt_number,
                self.gateway.codec.hints(head)))
        match verdict:
            case header_codec.Verdict.NOT_RUN:
                self._fail(model.Outcome.NOT_RUN, str(head.status))
            case header_codec.Verdict.MISDIRECTED:
                # A server that is the expected one still has its address.
                is_own = codec.server_id(head) == self.send.server.sid
                self._fail(model.Outcome.NOT_RUN if is_own
                           else model.Outcome.MISDIRECTED, str(head.status))
            case (header_codec.Verdict.WRONG_REQUEST
                  | header_codec.Verdict.MALFORMED):
                self._fail(model.Outcome.MALFORMED, verdict.value)
            case header_codec.Verdict.ANSWER:
                self.head = head
                if self.send.stream and head.status == 200:
                    self.splitter = event_stream.EventSplitter()
                    self.connection.pieces_left = PIECES_PER_EVENT
                else:
                    self.connection.parsed_bytes = (
                        connections.PARSED_BODY_BYTES)

    def data_received(self, data):
        """Process a piece of the answer."""
        if self.splitter is None:
            self._collect_body(data)
            return
        try:
            found = self.splitter.feed(data)
        except ValueError as exc:
            self._fail(model.Outcome.MALFORMED, str(exc))
            return
        self._hold_unsent()
        if not found:
            return
        # Each event may come in as many pieces.
        self.connection.pieces_left = PIECES_PER_EVENT
        self.event_count += len(found)
        if self.event_count > self.max_events:
            self._fail(model.Outcome.MALFORMED, "stream without end")
        elif self._ids_increase(found):
            self._handle_events(found)

    def _hold_unsent(self):
        """Count what isn't forwarded yet of a stream, if it is large."""
        size = len(self.splitter.partial) + self.waiting
        if size <= MIN_COUNTED_BYTES:
            size = 0
        if size or self.size:
            self.size = size
            self.gateway.memory.hold_answer(self, size)

    def _collect_body(self, data):
        self.size += len(data)
        if self.size > MAX_ANSWER_BYTES:
            self._fail(model.Outcome.MALFORMED, "answer too large")
            return
        self.body += data
        self.gateway.memory.hold_answer(self, self.size)

    def pause_reading(self, cause):
        """Read no more of the answer until each cause has resumed it."""
        if not self.finished:
            self.connection.pause(cause)
            self._report_pause(True)

    def resume_reading(self, cause):
        """Read on, unless there is another cause not to."""
        if not self.finished:
            self.connection.resume(cause)
            self._report_pause(bool(self.connection.pauses))

    def _report_pause(self, paused):
        if self.splitter is not None:
            # The event that led to this may not have been handled yet.
            self.gateway.reactor.callLater(
                0, self.gateway.feed, memory_events.StreamPaused(
                    self.exchange.key, self.attempt_number, paused))

    def _ids_increase(self, found):
        """Check that event ids increase, also in a resumed stream."""
        for event in found:
            number = event_stream.event_id(event)
            if number is None:
                continue
            if self.last_event_id is not None and number <= self.last_event_id:
                self._fail(model.Outcome.MALFORMED, "event out of order")
                return False
            self.last_event_id = number
        return True

    def _handle_events(self, found):
        self.events += found
        if not self.has_events:
            self.has_events = True
            self.gateway.feed(events.StreamOpened(
                self.exchange.key, self.attempt_number,
                self.gateway.codec.load(self.head)))
        else:
            if self.forwarding:
                self._flush()
            self.gateway.feed(events.StreamProgressed(
                self.exchange.key, self.attempt_number, len(found)))
        if not (self.forwarding or self.finished):
            self._hold_waiting(found)

    def _hold_waiting(self, found):
        """Count events that wait, and read no more if they are large."""
        self.waiting += sum(map(len, found))
        self._hold_unsent()
        if self.waiting > MAX_WAITING_BYTES:
            self.pause_reading(self)

    def _forward_waiting(self):
        self._flush()
        if not self.waiting:
            return
        self.waiting = 0
        self._hold_unsent()
        if not self.finished and self in self.connection.pauses:
            self.resume_reading(self)

    def _flush(self):
        found, self.events = self.events, []
        if found:
            if self.first_forwarded is None:
                self.first_forwarded = event_stream.event_id(found[0])
            self.last_forwarded = self.last_event_id
            self.exchange.last_event_id = self.last_event_id
            self.exchange.send_data(b"".join(found))

    def end_received(self):
        """Process the end of the answer."""
        if self.splitter is None:
            self.connection.close()
            self.gateway.feed(events.ResponseReceived(
                self.exchange.key, self.attempt_number, self.head.status,
                self.gateway.codec.load(self.head),
                self.gateway.codec.stamped(self.head),
                closed=self.connection.unframed))
            return
        if self.splitter.partial or not (
                self.has_events or self._may_end_empty()):
            self._fail(model.Outcome.MALFORMED, "stream ended within an event")
            return
        if not self.has_events:
            self._handle_events([])
        self.is_complete = True
        if self.forwarding:
            self._end_stream()
        else:
            self.connection.close()

    def _may_end_empty(self):
        """Return whether nothing was left of a stream that goes on here.

        A server that crashed before its first event may have closed a
        connection that has no other end.
        """
        return self.may_be_empty and not self.connection.unframed

    def _end_stream(self):
        if self.exchange.finished:
            return
        if self.connection.unframed and not self.exchange.unframed:
            # The last chunk would claim that the stream is complete. Without
            # it, the caller or this host goes on after the last event.
            self._fail(model.Outcome.DISCONNECTED, "end without a length")
            return
        self.connection.close()
        self._log_part("complete")
        self.gateway.feed(
            events.StreamEnded(self.exchange.key, self.attempt_number,
                               closed=self.connection.unframed))
        self.exchange.end_answer()
        self.gateway.release(self.exchange)

    def forward(self):
        """Forward this answer to the caller, now and as it arrives."""
        self.forwarding = True
        codec = self.gateway.codec
        headers = [*codec.answer_headers(self.head, True),
                   *codec.id_headers(self.exchange.request, self.head)]
        if self.splitter is None:
            self.exchange.answer(self.head.status, headers,
                                 bytes(self.body), self._framing())
            return
        self.exchange.begin_answer(self.head.status, headers, self,
                                   self.connection.unframed)
        self._forward_waiting()
        if self.is_complete:
            # It ended while its first event waited to be forwarded.
            self.gateway.reactor.callLater(0, self._end_stream)

    def _framing(self):
        """Return the headers of a whole answer's length, None for its own.

        None is sent for an answer that isn't known to be complete, and the
        server's for a body that isn't sent.
        """
        if self.connection.unframed:
            return []
        if not connections.has_no_body(
                self.exchange.head.method, self.head.status):
            return None
        length = self.head.get(b"content-length")
        return [] if length is None else [(b"Content-Length", length)]

    def cancel(self):
        """End the attempt by aborting its connection."""
        self._log_part("cancelled")
        self.connection.close()

    def release(self):
        """End the attempt, and free what it holds of the answer."""
        self._log_part("released")
        self.connection.close()
        self.gateway.memory.drop_answer(self)
        self.body = b""
        self.events = []
        self.splitter = None

    def _fail(self, outcome, detail):
        self.connection.close()
        self._report(outcome, detail)

    def _log_part(self, ended):
        """Log what a stream's caller got of this attempt.

        Not of a stream that came whole from one server.
        """
        request = self.exchange.request
        is_whole = (ended == "complete" and not request.is_taken_up
                    and not self.send.resume)
        if (self.is_logged or is_whole or self.splitter is None
                or not self.forwarding):
            return
        self.is_logged = True
        self.gateway.log("stream_part", {
            "rid": request.rid, "turn": self.attempt_number,
            "server": self.send.server.sid,
            "software": self.send.server.version,
            "resumes": request.resumes, "after": request.last_event_id,
            "first_event": self.first_forwarded,
            "last_event": self.last_forwarded, "ended": ended})

    def _report(self, outcome, detail):
        self._log_part(detail)
        self.gateway.feed(events.AttemptFailed(
            self.exchange.key, self.attempt_number, outcome, detail,
            disconnected=self.connection.lost))


def start_attempt(gateway, exchange, send):
    """Connect to the server of a SendRequest effect; return the Attempt."""
    attempt = Attempt(gateway, exchange, send)
    attempt.connection = connections.connect(
        gateway.reactor, send.server.address, attempt, CONNECT_TIMEOUT_S,
        turns=gateway.turns)
    return attempt
