"""HTTP interface of a stand-in engine."""
from standins import answer_encoding
from standins import batch as batching
from standins import engine_loop
from standins import engine_state
from standins import prefix_cache
from standins import web

RETRY_AFTER_SECONDS = 1
POSITIVE_INTEGER = {"type": "integer", "minimum": 1}
NON_NEGATIVE_INTEGER = {"type": "integer", "minimum": 0}
STRING = {"type": "string"}

CHAT_SCHEMA = web.new_schema({
    "model": STRING,
    "messages": {"type": "array", "items": {"type": "object"}},
    "stop_after": POSITIVE_INTEGER,
    "max_tokens": POSITIVE_INTEGER}, ["model", "messages"], strict=False)

ORDER_SCHEMA = web.new_schema({
    "order_id": STRING,
    "kind": {"enum": ["load_model", "unload_model", "load_adapter",
                      "set_role"]},
    "model": STRING,
    "version": {"type": ["string", "integer"]},
    "role": STRING,
    "fence": NON_NEGATIVE_INTEGER}, ["order_id", "kind", "fence"])

FAULTS_SCHEMA = web.new_schema({
    "crash_on": {"type": ["string", "null"]},
    "straggle": {"type": "number", "exclusiveMinimum": 0},
    "silent": {"type": "boolean"},
    "silent_after": NON_NEGATIVE_INTEGER,
    "crash": {"type": "boolean"},
    "break_after": NON_NEGATIVE_INTEGER})


def serve_engine(reactor, cfg, address, port):
    """Create an engine, start serving it and return it."""
    engine = engine_state.new_engine(reactor, cfg)
    app = new_engine_app(engine)
    engine.listener = web.listen(reactor, app, address, port)
    return engine


def new_engine_app(engine):
    """Return the HTTP application of an engine."""
    app = web.new_app()
    _add_streams(app, engine)
    _add_reports(app, engine)
    _add_orders(app, engine)
    _add_faults(app, engine)
    return app


def _add_streams(app, engine):
    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(req):
        return _start_completion(engine, req)

    @app.route("/v1/streams/<path:rid>", methods=["GET"])
    def resume(req, rid):
        engine_loop.purge_finished(engine)
        stream = engine.boot.streams.get(rid)
        if stream is None:
            return _unknown_stream(req, rid)
        after = _last_event_number(req, stream)
        if after is None:
            return web.error_response(
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
        return web.json_response(req, 200, engine_state.load_report(engine))

    @app.route("/state", methods=["GET"])
    def state(req):
        return web.json_response(req, 200, engine_state.state_report(engine))

    @app.route("/cache/events", methods=["GET"])
    def cache_events(req):
        after = web.int_arg(req, b"after", 0)
        cache = engine.boot.batch.cache
        visible = engine.reactor.seconds() - engine.cfg.load_lag
        events = prefix_cache.events_after(cache, after, visible)
        last = events[-1].seq if events else after
        rows = [{"seq": e.seq, "op": e.op, "prefix": e.prefix}
                for e in events]
        return web.json_response(req, 200, {"events": rows, "next": last})

    @app.route("/runs", methods=["GET"])
    def runs(req):
        return web.json_response(req, 200, {
            "by_request_id": engine.runs.by_request_id,
            "by_idempotency_key": engine.runs.by_idempotency_key,
            "tokens_generated": engine.runs.tokens_generated,
            "tokens_cancelled": engine.runs.tokens_cancelled})


def _add_orders(app, engine):
    @app.route("/orders", methods=["POST"])
    def post_order(req):
        order = web.read_json(req, ORDER_SCHEMA)
        if engine_state.is_stale_fence(engine, order["fence"]):
            return web.error_response(
                req, 409, "stale_fence",
                f"highest is {engine.boot.highest_fence}")
        engine_state.execute_order(engine, order)
        report = engine_state.state_report(engine)
        return web.json_response(req, 200, {"state": report})


def _add_faults(app, engine):
    @app.route("/faults", methods=["POST"])
    def set_faults(req):
        body = web.read_json(req, FAULTS_SCHEMA)
        if body.pop("silent", False):
            web.silence_connections(engine.listener, req)
        if body.pop("crash", False):
            engine.reactor.callLater(
                web.CRASH_DELAY_SECONDS, engine_loop.crash, engine)
        web.set_fields(engine.faults, body)
        return web.fields_response(req, engine.faults)


def _start_completion(engine, req):
    raw = req.content.read()
    body = web.parse_json(raw, CHAT_SCHEMA)
    rid = req.getHeader("X-Request-Id") or f"anonymous-{engine.arrivals}"
    key = req.getHeader("Idempotency-Key")
    crash_on = engine.faults.crash_on
    if crash_on and crash_on.encode() in raw:
        _crash_on_request(engine, rid, key)
        return web.no_response()
    refusal = _refusal(engine, req, rid, body["model"])
    if refusal is not None:
        return refusal
    stream = engine_state.new_stream(engine, rid, _tier(req), body)
    if not stream.words:
        return web.error_response(
            req, 400, "context_length", "the prompt doesn't fit")
    stream.key = key
    stream.template = answer_encoding.new_template(rid, body["model"])
    engine_loop.submit(engine, stream)
    return engine_loop.attach(
        engine, stream, req, bool(body.get("stream")))


def _crash_on_request(engine, rid, key):
    engine.runs.by_request_id[rid] += 1
    if key:
        engine.runs.by_idempotency_key[key] += 1
    engine_loop.crash(engine)


def _refusal(engine, req, rid, model):
    """Return the error response if the request can't be run, else None."""
    if not engine_state.serves(engine.boot, model):
        return web.error_response(req, 503, "model_not_loaded", model)
    if rid in engine.boot.streams:
        return web.error_response(req, 409, "duplicate_request_id", rid)
    if batching.is_full(engine.boot.batch):
        req.setHeader("Retry-After", str(RETRY_AFTER_SECONDS))
        return web.error_response(req, 429, "queue_full", engine.cfg.name)
    return None


def _tier(req):
    try:
        return int(req.getHeader("X-Priority"))
    except (TypeError, ValueError):
        return engine_state.LOWEST_TIER


def _last_event_number(req, stream):
    """Return the Last-Event-ID number, 0 if not given, None if invalid."""
    header = req.getHeader("Last-Event-ID")
    if header is None:
        return 0
    rid, _, number = header.rpartition(":")
    last_number = stream.generated + (2 if stream.finished else 0)
    if (rid != stream.rid or not number.isdecimal()
            or int(number) > last_number):
        return None
    return int(number)


def _unknown_stream(req, rid):
    return web.error_response(req, 404, "unknown_stream", rid)
