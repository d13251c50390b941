"""HTTP client of the platform's store."""

import dataclasses
import json
import urllib.parse

from crocuskeel.core import revisions
from crocuskeel import decoding
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects

__all__ = ["Changes", "Listing", "Store", "new_store"]

PATH = "/crocuskeel/objects/"
# Timeout of a call, s. The store answers in 4 ms, and in some hundred
# milliseconds when it is slow.
CALL_TIMEOUT_S = 2.0
# A watch that has not returned this long after its own timeout is dead, s.
WATCH_GRACE_S = 0.7
MAX_PAGES = 1000
# What a list may hold: a host has little memory. Snapshots hold no more.
MAX_OBJECTS = 1 << 15
MAX_LIST_BYTES = 32 << 20
OK = 200
CREATED = 201
CONFLICT = 409
GONE = 410
NOT_FOUND = 404
# Header of every answer: a number that rises when the store is restored from
# a copy. Compared in lower case.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a kind, as of a revision (core.revisions)."""

    items: tuple
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Changes as (object, is removed), up to a revision."""

    rows: tuple
    revision: int


class Store:
    """Makes calls to the store; revisions are those of core.revisions.

    ``call_counts`` holds their number by name. ``era`` is the newest known
    one, 0 while none is; ``on_restored`` is called when it rises.
    """

    def __init__(self, reactor, address):
        self.reactor = reactor
        self.address = address
        self.call_counts = {}
        self.era = 0
        self.on_restored = lambda: None

    def note_era(self, era):
        """Record an era that an answer of the store or a host reported."""
        if era > self.era:
            self.era = era
            self.on_restored()

    async def list(self, kind, keep=lambda obj: obj):
        """Return the Listing of a kind; raises StoreError.

        Its items are what ``keep(obj)`` returns of each object, without None:
        all objects as they are may take more memory than this host has. A list
        of too many or too large objects is an error.
        Its revision is that of the first page: an object of it may change
        before the last page is read, and a watch from there on shows that.
        """
        items = []
        size = 0
        after = ""
        era = first_number = None
        for _ in range(MAX_PAGES):
            page, page_bytes = await self._get("list", kind, after)
            size += page_bytes
            if era is not None and era != self.era:
                raise exceptions.StoreError(
                    GONE, f"list {kind}: the store was restored")
            era = self.era
            if first_number is None:
                first_number = page["AsOf"]
            rows = _list_field(page, "Items")
            items += [kept for kept in map(keep, rows) if kept is not None]
            if len(items) > MAX_OBJECTS or size > MAX_LIST_BYTES:
                raise exceptions.StoreError(0, f"list {kind}: too large")
            if not page.get("More"):
                break
            following = f"?AfterRev={_quote(_last_readable_name(rows))}"
            if following == after:
                raise exceptions.StoreError(
                    0, f"list {kind}: a page has no object with a name")
            after = following
        return Listing(tuple(items),
                       revisions.combine(self.era, first_number))

    async def watch(self, kind, revision, wait_s):
        """Wait for changes after a revision, ``wait_s`` at most.

        Returns Changes. Raises StoreError; its status is 410 if the
        store no longer keeps the changes after ``revision``, has too many of
        them for one answer, or was restored since: it may have the same number
        again.
        """
        self._check_era(kind, revision)
        query = (f"?Watch={revisions.number(revision)}"
                 f"&WaitMs={int(wait_s * 1000)}")
        try:
            page, _ = await self._get(
                "watch", kind, query, wait_s + WATCH_GRACE_S)
        except exceptions.StoreError as exc:
            if not exc.too_large:
                raise
            # It would be as large again; a list comes in pages.
            raise exceptions.StoreError(
                GONE, f"watch {kind}: too many changes") from exc
        self._check_era(kind, revision)
        rows = tuple((row["Object"], bool(row.get("Removed")))
                     for row in _list_field(page, "events")
                     if isinstance(row, dict) and "Object" in row)
        return Changes(rows, revisions.combine(self.era, page["AsOf"]))

    def _check_era(self, kind, revision):
        if revisions.era(revision) != self.era:
            raise exceptions.StoreError(
                GONE, f"watch {kind}: the store was restored")

    async def read(self, kind, name, allow_stale=False):
        """Return (revision, object) of a name.

        If there is no such object it is None, and the revision is that of an
        object that doesn't exist in the store's era. With ``allow_stale`` it
        may be as of some seconds ago. Raises StoreError.
        """
        query = "?AllowStale=1" if allow_stale else ""
        reply = await self._call(
            "read", b"GET", f"{kind}/{_quote(name)}{query}", None)
        if reply.status == NOT_FOUND:
            return revisions.combine(self.era, 0), None
        found = _object(reply, "read")
        return revisions.combine(self.era, found["Meta"]["Rev"]), found

    async def write(self, kind, name, spec, revision,
                    timeout_s=CALL_TIMEOUT_S):
        """Replace an object of this revision, or create it.

        A revision with the number 0 is of an object that doesn't exist.
        Returns the new revision, or None if the object has another one,
        already exists, or the revision is of a former era. Raises StoreError;
        its status is 0 if the write may have taken effect, or may do so later.
        """
        if revisions.era(revision) != self.era:
            return None
        meta = {"Name": name}
        if revisions.number(revision):
            meta["Rev"] = revisions.number(revision)
            method, target = b"PUT", f"{kind}/{_quote(name)}"
        else:
            method, target = b"POST", kind
        reply = await self._call("write", method, target,
                                 {"Meta": meta, "Spec": spec}, timeout_s)
        if reply.status in (CONFLICT, NOT_FOUND):
            return None
        return revisions.combine(
            self.era, _object(reply, "write")["Meta"]["Rev"])

    async def put(self, kind, name, spec):
        """Create an object or replace its content; raises StoreError.

        An object with this content is left unchanged, as each call is
        billed.
        """
        body = {"Meta": {"Name": name}, "Spec": spec}
        reply = await self._call("create", b"POST", kind, body)
        if reply.status == CONFLICT and not _has_spec(reply.body, spec):
            reply = await self._call(
                "put", b"PUT", f"{kind}/{_quote(name)}", body)
        elif reply.status == CONFLICT:
            return
        if reply.status not in (OK, CREATED):
            raise exceptions.StoreError(
                reply.status, "store rejected the write")

    async def delete(self, kind, name, revision=0):
        """Remove an object, if there is one; raises StoreError.

        With a revision one that has another one stays, as do all if it is of
        a former era.
        """
        target = f"{kind}/{_quote(name)}"
        if revision:
            if revisions.era(revision) != self.era:
                return
            target += f"?Rev={revisions.number(revision)}"
        reply = await self._call("delete", b"DELETE", target, None)
        if reply.status not in (OK, NOT_FOUND, CONFLICT):
            raise exceptions.StoreError(reply.status, "delete")

    async def _get(self, operation, kind, query, timeout_s=CALL_TIMEOUT_S):
        """Return (a page of objects, its size in bytes)."""
        reply = await self._call(operation, b"GET", kind + query, None,
                                 timeout_s)
        if reply.status != OK:
            raise exceptions.StoreError(reply.status, f"{operation} {kind}")
        try:
            page = decoding.loads(reply.body, decoding.MAX_VALUES)
            _check_revision(page["AsOf"])
        except decoding.DECODING_ERRORS as exc:
            raise exceptions.StoreError(
                0, f"{operation} {kind}: {exc!r}",
                too_large=isinstance(exc, decoding.TooManyValues)) from exc
        return page, len(reply.body)

    async def _call(self, operation, method, target, body,
                    timeout_s=CALL_TIMEOUT_S):
        self.call_counts[operation] = self.call_counts.get(operation, 0) + 1
        data = json.dumps(body).encode() if body is not None else b""
        try:
            reply = await calls.call(
                self.reactor, self.address, method,
                (PATH + target).encode(), timeout_s, data)
        except gateway_exceptions.CallFailed as exc:
            raise exceptions.StoreError(
                0, f"{operation}: {exc}", exc.cut, exc.too_large) from exc
        era = _era(reply, self.era)
        if era < self.era:
            raise exceptions.StoreError(
                0, f"{operation}: answered before the store was restored")
        self.note_era(era)
        return reply


def _era(reply, default):
    """Return the era in an answer, or ``default`` if it has no valid one."""
    for name, value in reply.headers:
        if (name.lower() == ERA_HEADER and value.isdigit()
                and len(value) <= MAX_ERA_DIGITS):
            era = int(value)
            return era if era <= revisions.MAX_ERA else default
    return default


def _object(reply, operation):
    """Return the object in an answer; raises StoreError."""
    if reply.status not in (OK, CREATED):
        raise exceptions.StoreError(reply.status, operation)
    try:
        found = decoding.loads(reply.body, decoding.MAX_VALUES)
        _check_revision(found["Meta"]["Rev"])
    except decoding.DECODING_ERRORS as exc:
        raise exceptions.StoreError(0, f"{operation}: {exc!r}") from exc
    return found


def _check_revision(number):
    if type(number) is not int or not 0 <= number == revisions.number(number):
        raise ValueError(f"invalid revision {number!r}")


def _list_field(page, field):
    rows = page.get(field)
    return rows if isinstance(rows, list) else []


def _last_readable_name(items):
    """Return the name to continue the list after; raises StoreError.

    The store continues after any name, so the last readable one of the page
    is used.
    """
    for obj in reversed(items):
        try:
            return objects.name(obj)
        except exceptions.InvalidObjectError:
            continue
    raise exceptions.StoreError(0, "list: no object of the page has a name")


def _has_spec(body, spec):
    """Return whether the object in an answer has this content."""
    try:
        found = decoding.loads(body, decoding.MAX_VALUES)
        return found["Spec"] == spec
    except decoding.DECODING_ERRORS:
        return False


def _quote(text):
    return urllib.parse.quote(text, safe="")


def new_store(reactor, address):
    """Return a client of the store at (ip, port)."""
    return Store(reactor, address)
