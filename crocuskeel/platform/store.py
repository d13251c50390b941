"""The one client of the platform's store."""

import dataclasses
import json
import urllib.parse

from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.platform import exceptions

__all__ = ["Changes", "Listing", "Store", "new_store"]

PATH = "/crocuskeel/objects/"
# The store answers in 4 ms, when slow in some hundred, s.
CALL_S = 2.0
# A watch that has not ended by itself this much later is dead, s.
LATE_S = 0.7
PAGES_MOST = 1000
OK = 200
CREATED = 201
CONFLICT = 409
GONE = 410
MISSING = 404


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, as of a revision."""

    items: tuple
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changed objects as (object, removed), up to a revision."""

    rows: tuple
    revision: int


class Store:
    """Calls to the store. ``counts`` of calls by name, for metrics."""

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.counts = {}

    async def list(self, kind):
        """Return the Listing of a kind; raises StoreError."""
        items = []
        after = ""
        for _ in range(PAGES_MOST):
            page = await self._get("list", kind, after)
            items += _rows(page, "Items")
            if not page.get("More"):
                break
            after = f"?AfterRev={_quote(_last_name(items))}"
        return Listing(tuple(items), page["AsOf"])

    async def watch(self, kind, revision, span_s):
        """Wait for changes after a revision, ``span_s`` at most.

        Returns Changes. Raises StoreError; its status is 410 if the
        history is gone.
        """
        query = f"?Watch={revision}&WaitMs={int(span_s * 1000)}"
        page = await self._get("watch", kind, query, span_s + LATE_S)
        rows = tuple((row["Object"], bool(row.get("Removed")))
                     for row in _rows(page, "events")
                     if isinstance(row, dict) and "Object" in row)
        return Changes(rows, page["AsOf"])

    async def read(self, kind, name):
        """Return one object, or None if there is none.

        Raises StoreError.
        """
        reply = await self._call("read", b"GET", f"{kind}/{_quote(name)}",
                                 None)
        if reply.status == MISSING:
            return None
        return _object(reply, "read")

    async def write(self, kind, name, spec, revision, timeout_s=CALL_S):
        """Replace an object of this revision; 0: create it.

        Returns the new revision, or None if the object has another one or
        is there already. Raises StoreError; its status is 0 if the write
        may have taken effect, or may do so later.
        """
        meta = {"Name": name}
        if revision:
            meta["Rev"] = revision
            method, target = b"PUT", f"{kind}/{_quote(name)}"
        else:
            method, target = b"POST", kind
        reply = await self._call("write", method, target,
                                 {"Meta": meta, "Spec": spec}, timeout_s)
        if reply.status in (CONFLICT, MISSING):
            return None
        return _object(reply, "write")["Meta"]["Rev"]

    async def put(self, kind, name, spec):
        """Create an object or replace its content; raises StoreError.

        One that has this content already is left as it is: each call is
        billed.
        """
        body = {"Meta": {"Name": name}, "Spec": spec}
        reply = await self._call("create", b"POST", kind, body)
        if reply.status == CONFLICT and not _holds(reply.body, spec):
            reply = await self._call(
                "put", b"PUT", f"{kind}/{_quote(name)}", body)
        elif reply.status == CONFLICT:
            return
        if reply.status not in (OK, CREATED):
            raise exceptions.StoreError(reply.status, "not written")

    async def _get(self, what, kind, query, timeout_s=CALL_S):
        reply = await self._call(what, b"GET", kind + query, None,
                                 timeout_s)
        if reply.status != OK:
            raise exceptions.StoreError(reply.status, f"{what} {kind}")
        try:
            # One object's bytes that are no text must not hide the others.
            page = json.loads(reply.body.decode("utf-8", "replace"))
            page["AsOf"] + 0
        except (ValueError, KeyError, TypeError, RecursionError) as exc:
            raise exceptions.StoreError(
                0, f"{what} {kind}: {exc!r}") from exc
        return page

    async def _call(self, what, method, target, body, timeout_s=CALL_S):
        self.counts[what] = self.counts.get(what, 0) + 1
        data = json.dumps(body).encode() if body is not None else b""
        try:
            return await calls.call(
                self.reactor, self.address, method,
                (PATH + target).encode(), timeout_s, data)
        except gateway_exceptions.CallFailed as exc:
            raise exceptions.StoreError(0, f"{what}: {exc}") from exc


def _object(reply, what):
    """Return the object in an answer; raises StoreError."""
    if reply.status not in (OK, CREATED):
        raise exceptions.StoreError(reply.status, what)
    try:
        found = json.loads(reply.body)
        found["Meta"]["Rev"] + 0
    except (ValueError, KeyError, TypeError) as exc:
        raise exceptions.StoreError(0, f"{what}: {exc!r}") from exc
    return found


def _rows(page, field):
    rows = page.get(field)
    return rows if isinstance(rows, list) else []


def _last_name(items):
    """Return the name to go on after; raises StoreError without any.

    The store continues after a name, also after one that its entry
    doesn't show rightly: the last that can be read is taken.
    """
    for obj in reversed(items):
        try:
            return obj["Meta"]["Name"] + ""
        except (KeyError, TypeError):
            continue
    raise exceptions.StoreError(0, "list: a page without a name")


def _holds(body, spec):
    """Say whether the object in an answer has this content."""
    try:
        return json.loads(body)["Spec"] == spec
    except (ValueError, KeyError, TypeError):
        return False


def _quote(text):
    return urllib.parse.quote(text, safe="")


def new_store(reactor, address):
    """Return a client of the store at (ip, port)."""
    return Store(reactor, address)
