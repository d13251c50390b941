"""The operator API of a daemon over HTTP, under ``/ops/``.

Responses are JSON; errors are problem details (RFC 9457) with a
``code``. Every route requires an operator's token that has its role.
"""

import dataclasses
import json
import typing

from loguru import logger

from crocuskeel.conf import commit
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.ops import access
from crocuskeel.ops import changes
from crocuskeel.ops import exceptions
from crocuskeel.ops import explanations
from crocuskeel.ops import history
from crocuskeel.ops import overview
from crocuskeel.ops import ring as rings
from crocuskeel.ops import store
from crocuskeel.ops import values as settings
from crocuskeel.runtime import parsing
from crocuskeel import timeline

__all__ = ["Runtime", "register"]

DEFAULT_LOG_LIMIT = 20
_JSON = "application/json"
_PROBLEM = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class Runtime:
    """The parts of a daemon's runtime that the routes use.

    ``ring()`` returns the recent events in their JSON form, oldest
    first; ``feed(event)`` passes an event to the core's reducer;
    ``record(effect)`` writes a ``Record`` to the timeline;
    ``platform()`` returns the platform client or None.
    """

    reactor: typing.Any
    daemon: typing.Any
    ring: typing.Callable[[], typing.Iterable[dict]]
    feed: typing.Callable
    record: typing.Callable
    platform: typing.Callable = lambda: None


@dataclasses.dataclass(frozen=True, slots=True)
class _Problem:
    """An error response: HTTP status, stable code and description."""

    status: int
    code: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Request:
    """An authorized operator's request."""

    req: typing.Any
    author: str
    name: str = ""

    def arg(self, name, default=""):
        """Return the query argument of that name."""
        return self.args().get(name, [default])[0]

    def args(self):
        """Return all query arguments as lists of values by name."""
        return {name.decode("latin-1"): [value.decode("latin-1")
                                         for value in values]
                for name, values in self.req.args.items()}


def register(app, runtime):
    """Mount the routes for a :class:`Runtime` on a klein app."""
    read, change = access.Role.READ, access.Role.CHANGE
    for path, method, role, handler in (
            ("/ops/status", "GET", read, _status),
            ("/ops/explain/<name>", "GET", read, _explain),
            ("/ops/timeline", "GET", read, _timeline),
            ("/ops/settings", "GET", read, _values),
            ("/ops/settings/document", "GET", read, _document),
            ("/ops/settings/log", "GET", read, _log),
            ("/ops/settings/reversal/<name>", "GET", read, _reversal),
            ("/ops/settings/batches", "POST", change, _batch),
            ("/ops/drain", "POST", change, _drain)):
        _mount(app, runtime, path, method, role, handler)


def _mount(app, runtime, path, method, role, handler):
    @app.route(path, methods=[method], endpoint=path)
    async def serve(req, name=""):
        checked = access.check(
            runtime.daemon, parsing.token_hash(req), role)
        if checked.is_err():
            return _write_response(req, _access_problem(checked.unwrap_err()))
        author = access.author_of(checked.unwrap())
        try:
            response = await handler(runtime, _Request(req, author, name))
        except exceptions.InvalidQueryError as exc:
            response = _Problem(400, "bad_request", str(exc))
        except Exception:
            logger.exception("operator request failed: {}", path)
            response = _Problem(500, "fault", "see the daemon's log")
        return _write_response(req, response)


def _access_problem(denied):
    return _Problem(denied.status, denied.code, denied.detail)


def _write_response(req, response):
    body = dataclasses.asdict(response)
    kind = _PROBLEM if isinstance(response, _Problem) else _JSON
    if isinstance(response, _Problem):
        req.setResponseCode(response.status)
    elif isinstance(response, changes.Rejected):
        req.setResponseCode(409)
    req.setHeader("Content-Type", kind)
    return json.dumps(body).encode()


def _events(runtime):
    parsed = timeline.parse_ring(runtime.ring(), runtime.daemon.identity.host)
    return timeline.merge(parsed.events)


def _parse_count(request, name, default):
    text = request.arg(name, str(default))
    if not text.isdecimal():
        raise exceptions.InvalidQueryError(
            f"{name}: not a non-negative integer")
    return int(text)


async def _status(runtime, request):
    now = runtime.reactor.seconds()
    if request.arg("brief"):
        return overview.brief(runtime.daemon, now)
    return overview.status(runtime.daemon, _events(runtime), now)


async def _explain(runtime, request):
    explanation = explanations.explain(_events(runtime), request.name)
    if explanation is not None:
        return explanation
    host = explanations.host_of(request.name)
    return _Problem(
        404, "not_found", f"no recent event of request {request.name} on host "
        f"{runtime.daemon.identity.host}; the request was received by "
        f"{host or 'an unknown host (is the id complete?)'}")


async def _timeline(runtime, request):
    selection = rings.parse_selection(request.args())
    limit = _parse_count(request, "limit", rings.MAX_EVENTS)
    return rings.query(
        runtime.daemon.identity.host, _events(runtime), selection, limit)


async def _values(runtime, request):
    workspace, name = request.arg("workspace"), request.arg("class")
    found = settings.values(
        runtime.daemon.follower.tree, workspace, name)
    if found is not None:
        return found
    return _Problem(
        404, "not_found", f"no workspace {workspace!r} or no class "
        f"{name!r} in generation {runtime.daemon.follower.tree.generation}")


async def _document(runtime, request):
    workspace = request.arg("workspace")
    found = settings.document(runtime.daemon.follower.tree, workspace)
    if found is not None:
        return found
    return _Problem(404, "not_found", f"no workspace {workspace!r}")


async def _log(runtime, request):
    limit = _parse_count(request, "limit", DEFAULT_LOG_LIMIT)
    return await history.log(runtime.daemon, runtime.platform(), limit)


async def _reversal(runtime, request):
    if not request.name.isdecimal():
        raise exceptions.InvalidQueryError("generation: not a number")
    found = await history.reversal(
        runtime.daemon, runtime.platform(), int(request.name))
    if found.is_ok():
        return found.unwrap()
    return _Problem(404, "not_found", found.unwrap_err())


async def _batch(runtime, request):
    try:
        body = json.loads(request.req.content.read())
    except ValueError as exc:
        raise exceptions.InvalidQueryError(
            f"the body is not JSON: {exc}") from exc
    batch = changes.new_batch(body, request.author)
    client = runtime.platform()
    if client is None:
        return _Problem(503, "no_platform", "this host has no platform "
                        "client; ask another host")
    result = await store.run_commit(
        runtime.reactor, client, batch, runtime.daemon.follower.tree,
        resent=bool(body.get("resent")))
    runtime.record(_commit_record(batch, result))
    return changes.new_response(batch, result)


def _commit_record(batch, result):
    fields = [("batch", batch.id), ("author", batch.author),
              ("edits", len(batch.edits))]
    if isinstance(result, commit.Committed):
        fields.append(("to", result.generation))
        return effects.Record("settings_committed", "", tuple(fields))
    fields.append(("reason", result.reason.value))
    return effects.Record("settings_rejected", "", tuple(fields))


@dataclasses.dataclass(frozen=True, slots=True)
class _DrainStarted:
    """The host has begun to drain."""

    host: str
    requests: int


async def _drain(runtime, request):
    daemon = runtime.daemon
    runtime.record(effects.Record(
        "drain_asked", "", (("author", request.author),)))
    # An idle host exits at once, so the response is written first.
    runtime.reactor.callLater(0, runtime.feed, events.DrainAsked())
    return _DrainStarted(daemon.identity.host, len(daemon.frontend.requests))
