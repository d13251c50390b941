"""Attempts on backend servers: opening, resuming, cancelling, ending."""

import dataclasses
import typing

from twisted.internet import error
from twisted.web import _newclient
from twisted.web import http_headers

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.runtime import callers
from crocuskeel.runtime import http_client
from crocuskeel.runtime import loop
from crocuskeel.runtime import parsing
from crocuskeel.runtime import relay
from crocuskeel.runtime import response_cache
from crocuskeel.runtime import stream_ids

__all__ = ["Attempt", "abort", "close", "handlers"]

End = events.AttemptEnd
_END_BY_STATUS = {429: End.BUSY, 503: End.UNREADY}
_NOT_FOUND = 404
_FIRST_FINAL = 200
_FIRST_SERVER_ERROR = 500
_NOT_SENT_ERRORS = (error.ConnectError, error.NoRouteError,
                    error.TimeoutError, error.DNSLookupError,
                    _newclient.RequestNotSent)
_CANCEL_TIMEOUT_S = 2.0
_CHAT_PATH = "/v1/chat/completions"
_SERVICES_PREFIX = "/services/"
_FORWARDED_HEADERS = (b"Content-Type", b"Accept")


@dataclasses.dataclass(slots=True)
class Attempt:
    """One running attempt.

    Times are the reactor's seconds. ``event_count`` counts the stream
    events relayed in this attempt. ``body_protocol`` is the relaying
    protocol, None until the response head has arrived.
    """

    rid: str
    number: int
    backend: str
    url: str
    request_id: str
    exchange: callers.Exchange
    opened_at: float
    last_data_at: float
    first_byte_s: float
    silence_s: float
    resumed: bool = False
    cancellable: bool = False
    cached_response: typing.Any = None
    first_data_at: float = 0.0
    event_count: int = 0
    reported_events: int = 0
    status: int = 0
    ended: bool = False
    pending_request: typing.Any = None
    body_protocol: typing.Any = None

    def pause(self):
        """Stop reading from the backend server."""
        if self.body_protocol is not None:
            self.body_protocol.transport.pauseProducing()

    def resume(self):
        """Resume reading; the pause doesn't count as server silence."""
        self.last_data_at = self.exchange.reactor.seconds()
        if self.body_protocol is not None:
            self.body_protocol.transport.resumeProducing()


def handlers():
    """Return the handlers of the attempt effects."""
    return {
        effects.OpenAttempt: _open,
        effects.ResumeAttempt: _resume,
        effects.CancelAttempt: _cancel,
    }


def _open(ctx, effect):
    exchange = ctx.exchanges.get(effect.rid)
    if exchange is None:
        return _report_not_sent(ctx, effect)
    proof = callers.caller_proof(ctx, exchange)
    request_id = stream_ids.attempt_id(
        effect.rid, effect.attempt, effect.backend, proof)
    exchange.request_id = request_id
    attempt = _new_attempt(
        ctx, effect, exchange, request_id, effect.first_byte_s)
    if exchange.stream_requested or effect.replayable:
        attempt.cached_response = response_cache.new_response(
            ctx, effect.rid, proof)
    req = exchange.req
    target = _target_path(req.uri)
    attempt.cancellable = target == _CHAT_PATH
    headers = _request_headers(req, request_id)
    headers.setRawHeaders(b"X-Priority", [b"%d" % effect.tier])
    body = exchange.body
    if effect.model:
        body = parsing.replace_model(body, effect.model)
    _send(ctx, attempt, req.method, effect.url + target,
          headers, body, _needs_new_connection(ctx, effect.rid))


def _needs_new_connection(ctx, rid):
    # The server may close a pooled connection just as a request is sent
    # on it, and the client can't tell whether the request ran. Requests
    # that must not be repeated use a new connection, which avoids this.
    req = ctx.daemon.frontend.requests.get(rid)
    return req is not None and not req.repeatable


def _report_not_sent(ctx, effect):
    # The caller disconnected before the grant arrived: nothing was sent.
    loop.feed(ctx, events.AttemptClosed(
        effect.rid, effect.attempt, End.REFUSED))


def _resume(ctx, effect):
    exchange = ctx.exchanges.get(effect.rid)
    if exchange is None:
        return _report_not_sent(ctx, effect)
    request_id = exchange.request_id
    if effect.stream:
        request_id = exchange.event_id.request_id
    attempt = _new_attempt(ctx, effect, exchange, request_id, effect.silence_s)
    attempt.resumed = True
    attempt.cancellable = True
    if not effect.stream:
        attempt.cached_response = response_cache.find(ctx, effect.rid)
    headers = http_headers.Headers({
        b"Last-Event-ID": [f"{request_id}:{exchange.event_count}".encode()]})
    url = f"{effect.url}/v1/streams/{request_id}"
    _send(ctx, attempt, b"GET", url, headers, b"", False)


def _new_attempt(ctx, effect, exchange, request_id, first_byte_s):
    now = ctx.reactor.seconds()
    attempt = Attempt(
        rid=effect.rid, number=effect.attempt, backend=effect.backend,
        url=effect.url, request_id=request_id, exchange=exchange,
        opened_at=now, last_data_at=now, first_byte_s=first_byte_s,
        silence_s=effect.silence_s)
    ctx.attempts[(effect.rid, effect.attempt)] = attempt
    exchange.source = attempt
    return attempt


def _request_headers(req, request_id):
    headers = http_headers.Headers({
        b"X-Request-Id": [request_id.encode()]})
    for name in _FORWARDED_HEADERS:
        values = req.requestHeaders.getRawHeaders(name)
        if values:
            headers.setRawHeaders(name, values)
    key = req.requestHeaders.getRawHeaders(b"Idempotency-Key")
    if key:
        headers.setRawHeaders(b"Idempotency-Key", key)
    return headers


def _target_path(uri):
    # /services/<service>/<rest> is forwarded to the service as /<rest>.
    target = uri.decode("latin-1")
    if not target.startswith(_SERVICES_PREFIX):
        return _CHAT_PATH
    _, _, rest = target[len(_SERVICES_PREFIX):].partition("/")
    return "/" + rest


def _send(ctx, attempt, method, url, headers, body, new_connection):
    attempt.pending_request = http_client.request(
        ctx, attempt.url, method.decode(), url, headers, body, new_connection)
    attempt.pending_request.addCallbacks(
        lambda response: _response_received(ctx, attempt, response),
        lambda failure: _request_failed(ctx, attempt, failure))
    attempt.pending_request.addErrback(
        lambda failure: _handler_failed(ctx, attempt, failure))


def _response_received(ctx, attempt, response):
    attempt.pending_request = None
    attempt.last_data_at = ctx.reactor.seconds()
    attempt.status = response.code
    end = _end_for_status(attempt, response.code)
    if end is not None:
        retry_after = response.headers.getRawHeaders("Retry-After", ["0"])[0]
        _discard_body(ctx, response)
        return close(ctx, attempt, end, _parse_retry_after(retry_after))
    relay.start(ctx, attempt, response, close)


def _end_for_status(attempt, status):
    if attempt.resumed:
        return None if status == 200 else End.STREAM_UNKNOWN
    if status in _END_BY_STATUS:
        return _END_BY_STATUS[status]
    # Twisted also accepts statuses that HTTP doesn't have, such as 000.
    if not _FIRST_FINAL <= status < _FIRST_SERVER_ERROR:
        return End.FAILED
    return None


def _parse_retry_after(text):
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def _discard_body(ctx, response):
    response.deliverBody(relay.DiscardBody(ctx.reactor))


def _request_failed(ctx, attempt, failure):
    attempt.pending_request = None
    if attempt.ended:
        return
    sent = not failure.check(*_NOT_SENT_ERRORS)
    close(ctx, attempt, End.CONNECTION_LOST if sent else End.REFUSED)


def _handler_failed(ctx, attempt, failure):
    if not attempt.ended:
        close(ctx, attempt, End.CONNECTION_LOST)
    failure.raiseException()


def close(ctx, attempt, end, retry_after_s=0.0):
    """End an attempt and report it to the core."""
    if attempt.ended:
        return
    attempt.ended = True
    ctx.attempts.pop((attempt.rid, attempt.number), None)
    exchange = attempt.exchange
    if exchange.source is attempt:
        exchange.source = None
    first_data_at = attempt.first_data_at
    ttft_s = first_data_at - attempt.opened_at if first_data_at else 0.0
    span_s = attempt.last_data_at - first_data_at if first_data_at else 0.0
    if attempt.cached_response is not None and end == End.DONE:
        response_cache.finish(ctx, attempt.cached_response)
    loop.feed(ctx, events.AttemptClosed(
        rid=attempt.rid, attempt=attempt.number, end=end,
        forwarded=exchange.event_count, tokens=attempt.event_count,
        ttft_s=ttft_s, itl_s=span_s / max(1, attempt.event_count - 1),
        http_status=attempt.status, retry_after_s=retry_after_s))


def abort(attempt):
    """Stop reading an attempt's response and close its connection."""
    if attempt.pending_request is not None:
        attempt.pending_request.cancel()
    if attempt.body_protocol is not None:
        attempt.body_protocol.transport.stopProducing()


def _cancel(ctx, effect):
    attempt = ctx.attempts.get((effect.rid, effect.attempt))
    if attempt is None:
        return
    attempt.ended = True
    ctx.attempts.pop((effect.rid, effect.attempt), None)
    if attempt.exchange.source is attempt:
        attempt.exchange.source = None
    abort(attempt)
    if attempt.cancellable:
        _cancel_at_engine(ctx, attempt)
    loop.feed(ctx, events.AttemptClosed(
        effect.rid, effect.attempt, End.CANCELLED,
        forwarded=attempt.exchange.event_count, tokens=attempt.event_count))


def _cancel_at_engine(ctx, attempt):
    url = f"{attempt.url}/v1/streams/{attempt.request_id}"
    deferred = http_client.request(ctx, attempt.url, "DELETE", url)
    deferred.addCallback(lambda response: _discard_body(ctx, response))
    deferred.addTimeout(_CANCEL_TIMEOUT_S, ctx.reactor)
    # If the cancel is lost, the engine ends the run after its grace period.
    deferred.addErrback(lambda _: None)
