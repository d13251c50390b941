"""Attempts on backend servers: open, resume, cancel, and their ends."""

import dataclasses
import typing

from twisted.internet import error
from twisted.web import _newclient
from twisted.web import http_headers

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.runtime import callers
from crocuskeel.runtime import http_client
from crocuskeel.runtime import kept
from crocuskeel.runtime import loop
from crocuskeel.runtime import parsing
from crocuskeel.runtime import relay
from crocuskeel.runtime import wire_ids

__all__ = ["Attempt", "abort", "close", "handlers"]

End = events.AttemptEnd
_NOT_RUN = {429: End.BUSY, 503: End.UNREADY}
_GONE = 404
_FIRST_SERVER_ERROR = 500
_NOT_SENT = (error.ConnectError, error.NoRouteError,
             error.TimeoutError, error.DNSLookupError,
             _newclient.RequestNotSent)
_CANCEL_S = 2.0
_CHAT_PATH = "/v1/chat/completions"
_SERVICES = "/services/"
_FORWARDED = (b"Content-Type", b"Accept")


@dataclasses.dataclass(slots=True)
class Attempt:
    """One running attempt.

    Times are the reactor's seconds. ``events`` are those relayed in
    this attempt. ``body`` is the relaying protocol once there is one.
    """

    rid: str
    number: int
    backend: str
    url: str
    request_id: str
    held: callers.Held
    opened_at: float
    last_at: float
    first_byte_s: float
    silence_s: float
    resumed: bool = False
    on_engine: bool = False
    keep: typing.Any = None
    first_at: float = 0.0
    events: int = 0
    reported: int = 0
    status: int = 0
    ended: bool = False
    call: typing.Any = None
    body: typing.Any = None

    def pause(self):
        """Stop reading from the backend server."""
        if self.body is not None:
            self.body.transport.pauseProducing()

    def resume(self):
        """Read on; the pause doesn't count as the server's silence."""
        self.last_at = self.held.reactor.seconds()
        if self.body is not None:
            self.body.transport.resumeProducing()


def handlers():
    """Return the handlers of attempts."""
    return {
        effects.OpenAttempt: _open,
        effects.ResumeAttempt: _resume,
        effects.CancelAttempt: _cancel,
    }


def _open(ctx, effect):
    held = ctx.held.get(effect.rid)
    if held is None:
        return _nothing_to_send(ctx, effect)
    code = callers.proof_of(ctx, held)
    request_id = wire_ids.attempt_id(
        effect.rid, effect.attempt, effect.backend, code)
    held.request_id = request_id
    attempt = _new(ctx, effect, held, request_id, effect.first_byte_s)
    if held.streamed or effect.replayable:
        attempt.keep = kept.new_answer(ctx, effect.rid, code)
    req = held.req
    target = _target(req.uri)
    attempt.on_engine = target == _CHAT_PATH
    headers = _request_headers(req, request_id)
    headers.setRawHeaders(b"X-Priority", [b"%d" % effect.tier])
    body = held.body
    if effect.model:
        body = parsing.with_model(body, effect.model)
    _send(ctx, attempt, req.method, effect.url + target,
          headers, body, _runs_once(ctx, effect.rid))


def _runs_once(ctx, rid):
    # A pooled connection may be closed by the server just as the
    # request goes out, and nothing tells whether it ran. What may not
    # be repeated goes over a new connection, where that is not so.
    req = ctx.daemon.door.requests.get(rid)
    return req is not None and not req.repeatable


def _nothing_to_send(ctx, effect):
    # The caller went while the grant was on its way: nothing was sent.
    loop.feed(ctx, events.AttemptClosed(
        effect.rid, effect.attempt, End.REFUSED))


def _resume(ctx, effect):
    held = ctx.held.get(effect.rid)
    if held is None:
        return _nothing_to_send(ctx, effect)
    request_id = held.request_id
    if effect.stream:
        request_id = held.wire_id.request_id
    attempt = _new(ctx, effect, held, request_id, effect.silence_s)
    attempt.resumed = True
    attempt.on_engine = True
    if not effect.stream:
        attempt.keep = kept.find(ctx, effect.rid)
    headers = http_headers.Headers({
        b"Last-Event-ID": [f"{request_id}:{held.events}".encode()]})
    url = f"{effect.url}/v1/streams/{request_id}"
    _send(ctx, attempt, b"GET", url, headers, b"", False)


def _new(ctx, effect, held, request_id, first_byte_s):
    now = ctx.reactor.seconds()
    attempt = Attempt(
        rid=effect.rid, number=effect.attempt, backend=effect.backend,
        url=effect.url, request_id=request_id, held=held, opened_at=now,
        last_at=now, first_byte_s=first_byte_s,
        silence_s=effect.silence_s)
    ctx.attempts[(effect.rid, effect.attempt)] = attempt
    held.source = attempt
    return attempt


def _request_headers(req, request_id):
    headers = http_headers.Headers({
        b"X-Request-Id": [request_id.encode()]})
    for name in _FORWARDED:
        values = req.requestHeaders.getRawHeaders(name)
        if values:
            headers.setRawHeaders(name, values)
    key = req.requestHeaders.getRawHeaders(b"Idempotency-Key")
    if key:
        headers.setRawHeaders(b"Idempotency-Key", key)
    return headers


def _target(uri):
    # /services/<service>/<rest> is /<rest> at the service itself.
    target = uri.decode("latin-1")
    if not target.startswith(_SERVICES):
        return _CHAT_PATH
    _, _, rest = target[len(_SERVICES):].partition("/")
    return "/" + rest


def _send(ctx, attempt, method, url, headers, body, fresh):
    attempt.call = http_client.request(
        ctx, attempt.url, method.decode(), url, headers, body, fresh)
    attempt.call.addCallbacks(
        lambda rsp: _answered(ctx, attempt, rsp),
        lambda fail: _failed(ctx, attempt, fail))
    attempt.call.addErrback(lambda fail: _broken(ctx, attempt, fail))


def _answered(ctx, attempt, rsp):
    attempt.call = None
    attempt.last_at = ctx.reactor.seconds()
    attempt.status = rsp.code
    end = _refusal(attempt, rsp.code)
    if end is not None:
        retry = rsp.headers.getRawHeaders("Retry-After", ["0"])[0]
        _drop(rsp)
        return close(ctx, attempt, end, _seconds(retry))
    relay.start(ctx, attempt, rsp, close)


def _refusal(attempt, status):
    if attempt.resumed:
        return None if status == 200 else End.GONE
    if status in _NOT_RUN:
        return _NOT_RUN[status]
    if status >= _FIRST_SERVER_ERROR:
        return End.FAILED
    return None


def _seconds(text):
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0


def _drop(rsp):
    rsp.deliverBody(relay.Discard())


def _failed(ctx, attempt, fail):
    attempt.call = None
    if attempt.ended:
        return
    sent = not fail.check(*_NOT_SENT)
    close(ctx, attempt, End.BROKEN if sent else End.REFUSED)


def _broken(ctx, attempt, fail):
    if not attempt.ended:
        close(ctx, attempt, End.BROKEN)
    fail.raiseException()


def close(ctx, attempt, end, retry_after_s=0.0):
    """End an attempt and tell the core."""
    if attempt.ended:
        return
    attempt.ended = True
    ctx.attempts.pop((attempt.rid, attempt.number), None)
    held = attempt.held
    if held.source is attempt:
        held.source = None
    first = attempt.first_at
    ttft_s = first - attempt.opened_at if first else 0.0
    span_s = attempt.last_at - first if first else 0.0
    if attempt.keep is not None and end == End.DONE:
        kept.finish(ctx, attempt.keep)
    loop.feed(ctx, events.AttemptClosed(
        rid=attempt.rid, attempt=attempt.number, end=end,
        forwarded=held.events, tokens=attempt.events, ttft_s=ttft_s,
        itl_s=span_s / max(1, attempt.events - 1),
        http_status=attempt.status, retry_after_s=retry_after_s))


def abort(attempt):
    """Stop reading an attempt and drop its connection."""
    if attempt.call is not None:
        attempt.call.cancel()
    if attempt.body is not None:
        attempt.body.transport.stopProducing()


def _cancel(ctx, effect):
    attempt = ctx.attempts.get((effect.rid, effect.attempt))
    if attempt is None:
        return
    attempt.ended = True
    ctx.attempts.pop((effect.rid, effect.attempt), None)
    if attempt.held.source is attempt:
        attempt.held.source = None
    abort(attempt)
    if attempt.on_engine:
        _cancel_at_engine(ctx, attempt)
    loop.feed(ctx, events.AttemptClosed(
        effect.rid, effect.attempt, End.CANCELLED,
        forwarded=attempt.held.events, tokens=attempt.events))


def _cancel_at_engine(ctx, attempt):
    url = f"{attempt.url}/v1/streams/{attempt.request_id}"
    fut = http_client.request(ctx, attempt.url, "DELETE", url)
    fut.addCallback(_drop)
    fut.addTimeout(_CANCEL_S, ctx.reactor)
    # A cancel that is lost costs the engine its grace span and no more.
    fut.addErrback(lambda _: None)
