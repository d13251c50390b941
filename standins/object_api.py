"""HTTP interface of the stand-in platform: object API and host list."""
import collections
import dataclasses
import hmac
import typing

from twisted.internet import task

from standins import object_store
from standins import web

MAX_OBJECT_BYTES = 1_000_000
MAX_WATCH_SECONDS = 60.0
DEFAULT_WATCH_SECONDS = 30.0

FAULTS_SCHEMA = web.new_schema({
    "outage": {"type": "boolean"},
    "delay_s": {"type": "number", "minimum": 0},
    "lose_answers": {"type": "integer", "minimum": 0},
    "hang": {"type": "boolean"}})

HOST_SCHEMA = {
    "type": "object",
    "properties": {
        "name": {"type": "string"},
        "address": {"type": "string"},
        "port": {"type": "integer"},
        "domain": {"type": "string"},
        "region": {"type": "string"},
        "role": {"enum": ["entry", "engine", "service"]},
        "service": {"type": ["string", "null"]},
        "state": {"enum": ["live", "leaving"]}},
    "required": ["name", "address", "port", "domain", "role", "state"]}

HOSTS_SCHEMA = web.new_schema({
    "hosts": {"type": "array", "items": HOST_SCHEMA},
    "remove": {"type": "array", "items": {"type": "string"}}})


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults.

    ``lose_answers`` is the number of writes whose response is still to be
    dropped.
    """

    outage: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    hang: bool = False


@dataclasses.dataclass(slots=True)
class Platform:
    """One platform.

    ``watches`` maps a path to the requests that watch it, keyed by the
    Deferred of the response.
    """

    reactor: typing.Any
    token: str
    store: object_store.Store
    host_list: object_store.HostList
    faults: Faults
    counts: collections.Counter
    watches: dict
    listener: typing.Any = None


def new_platform(reactor, hosts=(), host_list_lag=0.0, token="token"):
    """Return a platform with an empty object store."""
    return Platform(
        reactor, token, object_store.new_store(),
        object_store.new_host_list(hosts, host_list_lag),
        Faults(), collections.Counter(), {})


def serve_platform(platform, address, port):
    """Start serving a platform."""
    platform.listener = web.listen(
        platform.reactor, new_platform_app(platform), address, port)


def new_platform_app(platform):
    """Return the HTTP application of a platform."""
    app = web.new_app()
    _add_objects(app, platform)
    _add_hosts(app, platform)
    _add_test_interface(app, platform)
    return app


def _add_objects(app, platform):
    @app.route("/objects", methods=["GET"])
    def list_objects(req):
        return _call(platform, req, "list", _list, None)

    @app.route("/objects/<path:path>", methods=["GET"])
    def get(req, path):
        if b"watch" in req.args:
            return _call(platform, req, "watch", _watch, path)
        return _call(platform, req, "get", _get, path)

    @app.route("/objects/<path:path>", methods=["PUT"])
    def put(req, path):
        return _call(platform, req, "put", _put, path)

    @app.route("/objects/<path:path>", methods=["DELETE"])
    def delete(req, path):
        return _call(platform, req, "delete", _delete, path)


def _add_hosts(app, platform):
    @app.route("/hosts", methods=["GET"])
    def get_hosts(req):
        return _call(platform, req, "hosts", _get_hosts, None)

    @app.route("/hosts", methods=["POST"])
    def set_hosts(req):
        body = web.read_json(req, HOSTS_SCHEMA)
        object_store.set_hosts(
            platform.host_list, body.get("hosts", []),
            body.get("remove", []), platform.reactor.seconds())
        return web.json_response(req, 200, {})


def _add_test_interface(app, platform):
    @app.route("/faults", methods=["POST"])
    def set_faults(req):
        web.set_fields(platform.faults, web.read_json(req, FAULTS_SCHEMA))
        if platform.faults.outage:
            _end_watches(platform)
        return web.fields_response(req, platform.faults)

    @app.route("/counts", methods=["GET"])
    def counts(req):
        return web.json_response(req, 200, platform.counts)


def _call(platform, req, kind, handler, path):
    """Count a call, apply the active faults and run its handler."""
    platform.counts[kind] += 1
    if platform.faults.hang:
        return web.no_response()
    if platform.faults.outage:
        return _unavailable(req)
    if not _is_authorized(platform, req):
        return web.error_response(req, 401, "unauthorized", "bad token")
    version_before = platform.store.version
    result = handler(platform, req, path)
    if (platform.store.version != version_before
            and platform.faults.lose_answers):
        platform.faults.lose_answers -= 1
        web.abort(req)
        return web.no_response()
    if platform.faults.delay_s:
        # The call has already taken effect; only the response is delayed.
        return task.deferLater(
            platform.reactor, platform.faults.delay_s, lambda: result)
    return result


def _is_authorized(platform, req):
    header = req.getHeader("Authorization") or ""
    expected = f"Bearer {platform.token}"
    return hmac.compare_digest(header.encode(), expected.encode())


def _unavailable(req):
    return web.error_response(req, 503, "unavailable", "outage")


def _etag(req, version):
    req.setHeader("ETag", f'"{version}"')


def _list(platform, req, _path):
    prefix = req.args.get(b"prefix", [b""])[0].decode()
    objects = [{"path": path, "version": obj.version}
               for path, obj in sorted(platform.store.objects.items())
               if path.startswith(prefix)]
    return web.json_response(req, 200, {"objects": objects})


def _get(platform, req, path):
    obj = platform.store.objects.get(path)
    if obj is None:
        return web.error_response(req, 404, "not_found", path)
    _etag(req, obj.version)
    req.setHeader("Content-Type", "application/octet-stream")
    return obj.body


def _put(platform, req, path):
    body = req.content.read()
    if len(body) > MAX_OBJECT_BYTES:
        return web.error_response(req, 413, "too_large", path)
    current = object_store.version_of(platform.store, path)
    refusal = _condition_refusal(req, current)
    if refusal is not None:
        return refusal
    version = object_store.put(platform.store, path, body)
    _notify_watches(platform, path)
    _etag(req, version)
    return web.json_response(
        req, 200 if current else 201, {"version": version})


def _delete(platform, req, path):
    current = object_store.version_of(platform.store, path)
    if not current:
        return web.error_response(req, 404, "not_found", path)
    refusal = _condition_refusal(req, current)
    if refusal is not None:
        return refusal
    version = object_store.delete(platform.store, path)
    _notify_watches(platform, path)
    _etag(req, version)
    return web.json_response(req, 200, {"version": version})


def _condition_refusal(req, current):
    """Return the error response of a failed precondition, or None."""
    match = req.getHeader("If-Match")
    none_match = req.getHeader("If-None-Match")
    if match is None and none_match is None:
        return web.error_response(
            req, 428, "precondition_required",
            "give a condition")
    holds = not current if match is None else match == f'"{current}"'
    if holds and (match is None or current):
        return None
    _etag(req, current)
    return web.error_response(req, 412, "precondition_failed", str(current))


def _watch(platform, req, path):
    known_version = web.int_arg(req, b"watch", 0)
    if object_store.version_of(platform.store, path) != known_version:
        return _get(platform, req, path)
    seconds = web.float_arg(req, b"timeout_s", DEFAULT_WATCH_SECONDS)
    watchers = platform.watches.setdefault(path, {})
    done = web.no_response()
    timer = platform.reactor.callLater(
        min(seconds, MAX_WATCH_SECONDS), _expire_watch,
        platform, req, done, known_version)
    watchers[done] = req
    done.addBoth(_remove_watch, platform, path, done, timer)
    return done


def _remove_watch(result, platform, path, done, timer):
    platform.watches.get(path, {}).pop(done, None)
    if timer.active():
        timer.cancel()
    return result


def _expire_watch(platform, req, done, known_version):
    if platform.faults.hang:
        return
    req.setResponseCode(304)
    _etag(req, known_version)
    done.callback(b"")


def _notify_watches(platform, path):
    watchers = platform.watches.pop(path, {})
    for done, req in list(watchers.items()):
        done.callback(_get(platform, req, path))


def _end_watches(platform):
    """Answer all open watches with the outage error."""
    for watchers in list(platform.watches.values()):
        for done, req in list(watchers.items()):
            done.callback(_unavailable(req))
    platform.watches.clear()


def _get_hosts(platform, req, _path):
    hosts = object_store.visible_hosts(
        platform.host_list, platform.reactor.seconds())
    return web.json_response(
        req, 200, {"at": platform.host_list.revision, "hosts": hosts})
