"""HTTP interface of a stand-in engine."""
from standins import batch as batching
from standins import engine_loop
from standins import engine_state
from standins import prefix_cache
from standins import stream_form
from standins import web

RETRY_AFTER_SECONDS = 1
MIN_ONE = {"type": "integer", "minimum": 1}
MIN_ZERO = {"type": "integer", "minimum": 0}
TEXT = {"type": "string"}

CHAT_SCHEMA = web.new_schema({
    "model": TEXT,
    "messages": {"type": "array", "items": {"type": "object"}},
    "stop_after": MIN_ONE,
    "max_tokens": MIN_ONE}, ["model", "messages"], strict=False)

ORDER_SCHEMA = web.new_schema({
    "order_id": TEXT,
    "kind": {"enum": ["load_model", "unload_model", "load_adapter",
                      "set_role"]},
    "model": TEXT,
    "version": {"type": ["string", "integer"]},
    "role": TEXT,
    "fence": MIN_ZERO}, ["order_id", "kind", "fence"])

FAULTS_SCHEMA = web.new_schema({
    "crash_on": {"type": ["string", "null"]},
    "straggle": {"type": "number", "exclusiveMinimum": 0},
    "silent": {"type": "boolean"},
    "silent_after": MIN_ZERO,
    "crash": {"type": "boolean"},
    "break_after": MIN_ZERO})


def serve_engine(reactor, cfg, address, port):
    """Start an engine and return it."""
    engine = engine_state.new_engine(reactor, cfg)
    app = new_engine_app(engine)
    engine.listener = web.listen(reactor, app, address, port)
    return engine


def new_engine_app(engine):
    """Return the application of an engine."""
    app = web.new_app()
    _add_streams(app, engine)
    _add_reports(app, engine)
    _add_orders(app, engine)
    _add_faults(app, engine)
    return app


def _add_streams(app, engine):
    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(req):
        return _complete(engine, req)

    @app.route("/v1/streams/<path:rid>", methods=["GET"])
    def resume(req, rid):
        engine_loop.purge_finished(engine)
        stream = engine.boot.streams.get(rid)
        if stream is None:
            return _unknown_stream(req, rid)
        after = _last_event(req, stream)
        if after is None:
            return web.answer_error(
                req, 400, "bad_event_id", "no event of this stream")
        return engine_loop.attach(engine, stream, req, True, after)

    @app.route("/v1/streams/<path:rid>", methods=["DELETE"])
    def cancel(req, rid):
        engine_loop.purge_finished(engine)
        stream = engine.boot.streams.get(rid)
        if stream is None:
            return _unknown_stream(req, rid)
        engine_loop.cancel(engine, stream)
        req.setResponseCode(204)
        return b""


def _add_reports(app, engine):
    @app.route("/load", methods=["GET"])
    def load(req):
        return web.answer(req, 200, engine_state.load_report(engine))

    @app.route("/state", methods=["GET"])
    def state(req):
        return web.answer(req, 200, engine_state.state_report(engine))

    @app.route("/cache/events", methods=["GET"])
    def cache_events(req):
        after = web.int_arg(req, b"after", 0)
        cache = engine.boot.batch.cache
        visible = engine.reactor.seconds() - engine.cfg.load_lag
        events = prefix_cache.events_after(cache, after, visible)
        last = events[-1].seq if events else after
        rows = [{"seq": e.seq, "op": e.op, "prefix": e.prefix}
                for e in events]
        return web.answer(req, 200, {"events": rows, "next": last})

    @app.route("/runs", methods=["GET"])
    def runs(req):
        return web.answer(req, 200, {
            "by_request_id": engine.runs.by_request_id,
            "by_idempotency_key": engine.runs.by_idempotency_key,
            "tokens_generated": engine.runs.tokens_generated,
            "tokens_cancelled": engine.runs.tokens_cancelled})


def _add_orders(app, engine):
    @app.route("/orders", methods=["POST"])
    def obey(req):
        order = web.read_json(req, ORDER_SCHEMA)
        if engine_state.is_stale(engine, order["fence"]):
            return web.answer_error(
                req, 409, "stale_fence",
                f"highest is {engine.boot.highest_fence}")
        engine_state.obey(engine, order)
        report = engine_state.state_report(engine)
        return web.answer(req, 200, {"state": report})


def _add_faults(app, engine):
    @app.route("/faults", methods=["POST"])
    def set_faults(req):
        body = web.read_json(req, FAULTS_SCHEMA)
        if body.pop("silent", False):
            web.silence_all(engine.listener, req)
        if body.pop("crash", False):
            engine.reactor.callLater(
                web.FAULT_ANSWER_SECONDS, engine_loop.crash, engine)
        web.set_fields(engine.faults, body)
        return web.answer_fields(req, engine.faults)


def _complete(engine, req):
    raw = req.content.read()
    body = web.parse_json(raw, CHAT_SCHEMA)
    rid = req.getHeader("X-Request-Id") or f"anonymous-{engine.arrivals}"
    key = req.getHeader("Idempotency-Key")
    crash_on = engine.faults.crash_on
    if crash_on and crash_on.encode() in raw:
        _crash_on_request(engine, rid, key)
        return web.never()
    refusal = _refusal(engine, req, rid, body["model"])
    if refusal is not None:
        return refusal
    stream = engine_state.new_stream(engine, rid, _tier(req), body)
    if not stream.words:
        return web.answer_error(
            req, 400, "context_length", "the prompt doesn't fit")
    stream.key = key
    stream.form = stream_form.new_form(rid, body["model"])
    engine_loop.submit(engine, stream)
    return engine_loop.attach(
        engine, stream, req, bool(body.get("stream")))


def _crash_on_request(engine, rid, key):
    engine.runs.by_request_id[rid] += 1
    if key:
        engine.runs.by_idempotency_key[key] += 1
    engine_loop.crash(engine)


def _refusal(engine, req, rid, model):
    """Return the refusal of a request that isn't run, or None."""
    if not engine_state.serves(engine.boot, model):
        return web.answer_error(req, 503, "model_not_loaded", model)
    if rid in engine.boot.streams:
        return web.answer_error(req, 409, "duplicate_request_id", rid)
    if batching.is_full(engine.boot.batch):
        req.setHeader("Retry-After", str(RETRY_AFTER_SECONDS))
        return web.answer_error(req, 429, "queue_full", engine.cfg.name)
    return None


def _tier(req):
    try:
        return int(req.getHeader("X-Priority"))
    except (TypeError, ValueError):
        return engine_state.LOWEST_TIER


def _last_event(req, stream):
    """Return the number in Last-Event-ID, 0 without, None if it is bad."""
    given = req.getHeader("Last-Event-ID")
    if given is None:
        return 0
    rid, _, number = given.rpartition(":")
    known = stream.done + (2 if stream.finished else 0)
    if rid != stream.rid or not number.isdecimal() or int(number) > known:
        return None
    return int(number)


def _unknown_stream(req, rid):
    return web.answer_error(req, 404, "unknown_stream", rid)
