"""The operators' HTTP interface of a daemon, under ``/ops/``.

Answers are JSON; refusals are problem details (RFC 9457) with a
``code``. Every route needs an operator's token, and its role.
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
from crocuskeel.ops import history
from crocuskeel.ops import overview
from crocuskeel.ops import ring as rings
from crocuskeel.ops import store
from crocuskeel.ops import stories
from crocuskeel.ops import values as settings
from crocuskeel.runtime import parsing
from crocuskeel import timeline

__all__ = ["Runtime", "register"]

LOG_LIMIT = 20
_JSON = "application/json"
_PROBLEM = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class Runtime:
    """What the routes need of a daemon's runtime.

    ``ring()`` returns the recent events in their JSON form, oldest
    first; ``feed(event)`` reduces a core event; ``record(effect)``
    writes a ``Record`` to the time line; ``platform()`` returns the
    platform client or None.
    """

    reactor: typing.Any
    daemon: typing.Any
    ring: typing.Callable[[], typing.Iterable[dict]]
    feed: typing.Callable
    record: typing.Callable
    platform: typing.Callable = lambda: None


@dataclasses.dataclass(frozen=True, slots=True)
class _Problem:
    """A refusal: HTTP status, stable code, words for people."""

    status: int
    code: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Ask:
    """One operator's request."""

    req: typing.Any
    author: str
    name: str = ""

    def arg(self, name, default=""):
        """Return the query argument of that name."""
        return self.args().get(name, [default])[0]

    def args(self):
        """Return all query arguments, a list of values a name."""
        return {name.decode("latin-1"): [value.decode("latin-1")
                                         for value in values]
                for name, values in self.req.args.items()}


def register(app, runtime):
    """Mount the routes on a klein app; ``runtime``: Runtime."""
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
            return _write(req, _denied(checked.unwrap_err()))
        author = access.author_of(checked.unwrap())
        try:
            reply = await handler(runtime, _Ask(req, author, name))
        except exceptions.BadQuery as exc:
            reply = _Problem(400, "bad_request", str(exc))
        except Exception:
            logger.exception("operators' request failed: {}", path)
            reply = _Problem(500, "fault", "see the daemon's log")
        return _write(req, reply)


def _denied(denied):
    return _Problem(denied.status, denied.code, denied.detail)


def _write(req, reply):
    body = dataclasses.asdict(reply)
    kind = _PROBLEM if isinstance(reply, _Problem) else _JSON
    if isinstance(reply, _Problem):
        req.setResponseCode(reply.status)
    elif isinstance(reply, changes.Rejected):
        req.setResponseCode(409)
    req.setHeader("Content-Type", kind)
    return json.dumps(body).encode()


def _events(runtime):
    parsed = timeline.parse_ring(runtime.ring(), runtime.daemon.me.host)
    return timeline.merge(parsed.events)


def _count(ask, name, default):
    text = ask.arg(name, str(default))
    if not text.isdecimal():
        raise exceptions.BadQuery(f"{name}: not a count")
    return int(text)


async def _status(runtime, ask):
    now = runtime.reactor.seconds()
    if ask.arg("brief"):
        return overview.brief(runtime.daemon, now)
    return overview.status(runtime.daemon, _events(runtime), now)


async def _explain(runtime, ask):
    story = stories.explain(_events(runtime), ask.name)
    if story is not None:
        return story
    host = stories.host_of(ask.name)
    return _Problem(
        404, "not_found", f"no event of request {ask.name} in the ring of "
        f"{runtime.daemon.me.host}; it was taken by "
        f"{host or 'no host (is the id whole?)'}")


async def _timeline(runtime, ask):
    wanted = rings.selection(ask.args())
    limit = _count(ask, "limit", rings.MAX_EVENTS)
    return rings.query(
        runtime.daemon.me.host, _events(runtime), wanted, limit)


async def _values(runtime, ask):
    workspace, name = ask.arg("workspace"), ask.arg("class")
    found = settings.values(
        runtime.daemon.follower.tree, workspace, name)
    if found is not None:
        return found
    return _Problem(
        404, "not_found", f"no workspace {workspace!r} or no class "
        f"{name!r} in generation {runtime.daemon.follower.tree.generation}")


async def _document(runtime, ask):
    workspace = ask.arg("workspace")
    found = settings.document(runtime.daemon.follower.tree, workspace)
    if found is not None:
        return found
    return _Problem(404, "not_found", f"no workspace {workspace!r}")


async def _log(runtime, ask):
    limit = _count(ask, "limit", LOG_LIMIT)
    return await history.log(runtime.daemon, runtime.platform(), limit)


async def _reversal(runtime, ask):
    if not ask.name.isdecimal():
        raise exceptions.BadQuery("generation: not a number")
    found = await history.reversal(
        runtime.daemon, runtime.platform(), int(ask.name))
    if found.is_ok():
        return found.unwrap()
    return _Problem(404, "not_found", found.unwrap_err())


async def _batch(runtime, ask):
    try:
        body = json.loads(ask.req.content.read())
    except ValueError as exc:
        raise exceptions.BadQuery(f"the body is no JSON: {exc}") from exc
    batch = changes.new_batch(body, ask.author)
    client = runtime.platform()
    if client is None:
        return _Problem(503, "no_platform", "this host has no platform; "
                        "ask another host")
    ended = await store.run_commit(
        runtime.reactor, client, batch, runtime.daemon.follower.tree,
        resent=bool(body.get("resent")))
    runtime.record(_committed(batch, ended))
    return changes.answer(batch, ended)


def _committed(batch, ended):
    fields = [("batch", batch.id), ("author", batch.author),
              ("edits", len(batch.edits))]
    if isinstance(ended, commit.Done):
        fields.append(("to", ended.generation))
        return effects.Record("settings_committed", "", tuple(fields))
    fields.append(("reason", ended.reason.value))
    return effects.Record("settings_rejected", "", tuple(fields))


@dataclasses.dataclass(frozen=True, slots=True)
class _Draining:
    """The asked host has begun to drain."""

    host: str
    requests: int


async def _drain(runtime, ask):
    daemon = runtime.daemon
    runtime.record(effects.Record(
        "drain_asked", "", (("author", ask.author),)))
    # An idle host exits at once: the answer has to be written first.
    runtime.reactor.callLater(0, runtime.feed, events.DrainAsked())
    return _Draining(daemon.me.host, len(daemon.door.requests))
