"""A stub of the platform's store: objects, lists and watches."""

import json
import urllib.parse

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["Store"]

PREFIX = "/crocuskeel/objects/"
JSON = (b"Content-Type", b"application/json")


class Store:
    """Answers the calls of hosts, with 503 to all while it is ``down``.

    ``era`` rises when it comes back from an older copy. ``delay_s`` is added
    to each answer. With ``drops_answers`` writes are done but not answered.
    While it is ``silent``, it accepts calls and never answers them.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.revision = 1
        self.era = 1
        # (time, revision, kind, object, removed) of all changes.
        self.log = []
        self.objects = {}
        self.watches = []
        # (revision, kind, object, removed) since history_from.
        self.history = []
        self.history_from = 0
        self.down = False
        self.outages = 0
        self.delay_s = 0.0
        self.drops_answers = False
        self.silent = False
        self.listener = callers.new_listener(reactor, self)

    def limits(self):
        """Return the limits on the requests of hosts."""
        return loop.DEFAULT_LIMITS

    def caller_disconnected(self, exchange):
        """Drop the watches of a closed connection."""
        self.watches = [row for row in self.watches if row[0] != exchange]

    def request_rejected(self, status, why):
        """Ignore a malformed call."""

    def put(self, kind, name, spec):
        """Write an object without a condition, as operators and servers do."""
        self.revision += 1
        obj = {"Meta": {"Name": name, "Rev": self.revision}, "Spec": spec}
        self.objects[kind, name] = obj
        self._record_change(kind, obj, False)

    def expire(self, kind):
        """Remove all objects of a kind, as if their leases had expired."""
        names = [name for object_kind, name in self.objects
                 if object_kind == kind]
        for name in names:
            self.remove(kind, name)
        return names

    def restore(self):
        """End the faults that delay or drop answers."""
        self.delay_s = 0.0
        self.drops_answers = False

    def remove(self, kind, name):
        """Remove an object."""
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self._record_change(kind, obj, True)

    def return_from_copy(self, age_s):
        """Come back from a copy of ``age_s`` ago; what followed is lost."""
        taken_at = self.reactor.seconds() - age_s
        self.log = [row for row in self.log if row[0] <= taken_at]
        self.objects = {}
        for _, _, kind, obj, removed in self.log:
            self.objects[kind, obj["Meta"]["Name"]] = obj
            if removed:
                del self.objects[kind, obj["Meta"]["Name"]]
        self.history = [row[1:] for row in self.log]
        self.revision = self.log[-1][1] if self.log else 1
        # The history from before the copy is there again.
        self.history_from = 0
        self.era += 1
        self._abort_watches()

    def _record_change(self, kind, obj, removed):
        self.log.append((self.reactor.seconds(), self.revision, kind, obj,
                         removed))
        self.history.append((self.revision, kind, obj, removed))
        if self.down or self.silent:
            return
        self._answer_watches()

    def _answer_watches(self):
        waiting, self.watches = self.watches, []
        for exchange, kind, since in waiting:
            self._watch(exchange, kind, since)

    def set_silent(self, silent):
        """Stop answering and abort the watches, or answer again."""
        self.silent = silent
        if silent:
            self._abort_watches()

    def _abort_watches(self):
        waiting, self.watches = self.watches, []
        for exchange, _, _ in waiting:
            exchange.abort()

    def _watch(self, exchange, kind, since):
        """Answer a watch with the changes since then, or keep it open."""
        if since < self.history_from or since > self.revision:
            exchange.answer(410, self._headers(), b"")
            return
        rows = [{"Object": obj, "Removed": removed}
                for revision, object_kind, obj, removed in self.history
                if object_kind == kind and revision > since]
        if rows:
            self._answer(exchange, {
                "events": rows, "AsOf": self.revision})
            return
        self.watches.append((exchange, kind, since))

    def set_down(self, down):
        """Begin or end an outage, at whose start the history is discarded.

        Outages can overlap; the store is down until the last one ends.
        Otherwise entries that expired in the second outage would be back
        only 3 s after the store's return, and hosts would correctly treat
        their servers as gone.
        """
        self.outages += 1 if down else -1
        self.down = self.outages > 0
        if down:
            self._abort_watches()
            self.history = []
            self.history_from = self.revision + 1

    def request_received(self, exchange):
        """Answer a call."""
        if self.silent:
            return
        if self.down:
            exchange.answer(503, self._headers(), b"")
            return
        url = urllib.parse.urlsplit(exchange.head.target.decode())
        kind, _, name = map(
            urllib.parse.unquote,
            url.path.removeprefix(PREFIX).partition("/"))
        if exchange.head.method == b"GET":
            self._read(exchange, kind, name,
                       urllib.parse.parse_qs(url.query))
            return
        if exchange.head.method == b"DELETE":
            self._delete(exchange, kind, name,
                         urllib.parse.parse_qs(url.query).get("Rev"))
            return
        body = json.loads(exchange.body)
        name = name or body["Meta"]["Name"]
        current = self.objects.get((kind, name))
        if self._conflicts(exchange.head.method, body, current):
            exchange.answer(409, self._headers(),
                            json.dumps(current).encode())
            return
        self.put(kind, name, body["Spec"])
        if self.drops_answers:
            exchange.abort()
            return
        self._answer(exchange, self.objects[kind, name])

    def _delete(self, exchange, kind, name, expected):
        found = self.objects.get((kind, name))
        if found is None:
            exchange.answer(404, self._headers(), b"")
            return
        if expected not in (None, [str(found["Meta"]["Rev"])]):
            exchange.answer(409, self._headers(), json.dumps(found).encode())
            return
        self.remove(kind, name)
        self._answer(exchange, found)

    def _conflicts(self, method, body, current):
        """Return whether the condition of a write is not met."""
        if method == b"POST":
            return current is not None
        expected = body["Meta"].get("Rev")
        return expected is not None and (
            current is None or current["Meta"]["Rev"] != expected)

    def _read(self, exchange, kind, name, query):
        if name:
            found = self.objects.get((kind, name))
            if found is None:
                exchange.answer(404, self._headers(), b"")
            else:
                self._answer(exchange, found)
            return
        if "Watch" not in query:
            items = [obj for (object_kind, _), obj in self.objects.items()
                     if object_kind == kind]
            self._answer(exchange, {"Items": items, "More": False,
                                    "AsOf": self.revision})
            return
        wait_s = int(query["WaitMs"][0]) / 1000
        self.reactor.callLater(wait_s, self._end_watch, exchange)
        self._watch(exchange, kind, int(query["Watch"][0]))

    def _end_watch(self, exchange):
        """Answer a watch without changes whose wait time is over."""
        if self.silent or not any(
                row[0] is exchange for row in self.watches):
            return
        self.caller_disconnected(exchange)
        self._answer(exchange, {"events": [], "AsOf": self.revision})

    def _answer(self, exchange, page):
        body = json.dumps(page).encode()
        self.reactor.callLater(self.delay_s, exchange.answer, 200,
                               self._headers(), body)

    def _headers(self):
        return [JSON, (b"Store-Era", b"%d" % self.era)]
