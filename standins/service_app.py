"""Stand-in plain service: runs any request and counts runs by key."""
import collections
import dataclasses
import typing
import uuid

from standins import web

FAULTS_SCHEMA = web.new_schema({
    "delay_s": {"type": "number", "minimum": 0},
    "silent": {"type": "boolean"},
    "crash": {"type": "boolean"},
    "crash_on": {"type": ["string", "null"]},
    "drop_answer": {"type": ["boolean", "integer"], "minimum": 0}})


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Settings of a service; ``work_seconds`` is the duration of a call."""

    name: str
    slots: int = 16
    work_seconds: float = 0.02


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults.

    ``drop_answer`` is the number of responses to drop, or True for all.
    """

    delay_s: float = 0.0
    crash_on: str | None = None
    drop_answer: int | bool = False


@dataclasses.dataclass(slots=True)
class Service:
    """One service.

    ``runs`` counts runs by idempotency key; simulated crashes keep it.
    """

    reactor: typing.Any
    cfg: ServiceConfig
    faults: Faults
    runs: collections.Counter
    boot_id: str
    waiting: collections.deque
    running: int = 0
    listener: typing.Any = None


def serve_service(reactor, cfg, address, port):
    """Create a service, start serving it and return it."""
    service = Service(
        reactor, cfg, Faults(), collections.Counter(), uuid.uuid4().hex,
        collections.deque())
    app = new_service_app(service)
    service.listener = web.listen(reactor, app, address, port)
    return service


def new_service_app(service):
    """Return the HTTP application of a service."""
    app = web.new_app()
    _add_reports(app, service)
    _add_faults(app, service)

    @app.route("/", branch=True)
    def call(req):
        return _call(service, req)

    return app


def _add_reports(app, service):
    @app.route("/runs", methods=["GET"])
    def runs(req):
        return web.json_response(req, 200, service.runs)

    @app.route("/load", methods=["GET"])
    def load(req):
        return web.json_response(req, 200, {
            "boot_id": service.boot_id,
            "running": service.running,
            "waiting": len(service.waiting),
            "slots": service.cfg.slots,
            "kv_used": 0.0,
            "at": service.reactor.seconds()})


def _add_faults(app, service):
    @app.route("/faults", methods=["POST"])
    def set_faults(req):
        body = web.read_json(req, FAULTS_SCHEMA)
        if body.pop("silent", False):
            web.silence_connections(service.listener, req)
        if body.pop("crash", False):
            service.reactor.callLater(
                web.CRASH_DELAY_SECONDS, _crash, service)
        web.set_fields(service.faults, body)
        return web.fields_response(req, service.faults)


def _call(service, req):
    crash_on = service.faults.crash_on
    if crash_on and crash_on.encode() in req.content.read():
        _count_run(service, req)
        _crash(service)
        return web.no_response()
    done = web.no_response()
    service.waiting.append((req, done))
    _start_waiting(service)
    return done


def _start_waiting(service):
    while service.waiting and service.running < service.cfg.slots:
        req, done = service.waiting.popleft()
        # The caller disconnected before the call started: don't run it.
        if done.called:
            continue
        service.running += 1
        _count_run(service, req)
        service.reactor.callLater(
            service.cfg.work_seconds + service.faults.delay_s,
            _finish, service, service.boot_id, req, done)


def _count_run(service, req):
    key = req.getHeader("Idempotency-Key")
    if key:
        service.runs[key] += 1


def _finish(service, boot_id, req, done):
    if boot_id != service.boot_id:
        return
    service.running -= 1
    _start_waiting(service)
    if done.called:
        return
    if service.faults.drop_answer:
        _decrement_drop_answer(service.faults)
        web.abort(req)
        return
    done.callback(web.json_response(req, 200, {
        "service": service.cfg.name,
        "method": req.method.decode(),
        "path": req.path.decode(),
        "idempotency_key": req.getHeader("Idempotency-Key"),
        "request_id": req.getHeader("X-Request-Id")}))


def _decrement_drop_answer(faults):
    if faults.drop_answer is not True:
        faults.drop_answer -= 1


def _crash(service):
    service.boot_id = uuid.uuid4().hex
    service.running = 0
    service.waiting.clear()
    web.restart(service.listener)
