"""A stand-in of the platform's store: objects, lists and watches."""

import json
import urllib.parse

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop

__all__ = ["Store"]

PREFIX = "/crocuskeel/objects/"
JSON = [(b"Content-Type", b"application/json")]


class Store:
    """Answers hosts' calls; ``down`` makes it answer 503 to all.

    ``delay_s`` is added to each answer; ``loses`` has writes done and
    not answered. While it is ``silent`` it takes calls that it will never
    answer.
    """

    def __init__(self, reactor):
        self.reactor = reactor
        self.revision = 1
        self.objects = {}
        self.watches = []
        # (revision, kind, object, removed); what is older is gone.
        self.history = []
        self.history_from = 0
        self.down = False
        self.outages = 0
        self.delay_s = 0.0
        self.loses = False
        self.silent = False
        self.listener = callers.new_listener(reactor, self)

    def limits(self):
        """Return the limits on what hosts send."""
        return loop.DEFAULT_LIMITS

    def caller_disconnected(self, exchange):
        """A host's connection is gone."""
        self.watches = [row for row in self.watches if row[0] != exchange]

    def request_rejected(self, status, why):
        """A call could not be read."""

    def put(self, kind, name, spec):
        """Write an object, as operators and servers do."""
        self.revision += 1
        obj = {"Meta": {"Name": name, "Rev": self.revision}, "Spec": spec}
        self.objects[kind, name] = obj
        self._tell(kind, obj, False)

    def lapse(self, kind):
        """Remove all objects of a kind, as if their leases ran out."""
        names = [name for where, name in self.objects if where == kind]
        for name in names:
            self.remove(kind, name)
        return names

    def mend(self):
        """Answer at once and always again."""
        self.delay_s = 0.0
        self.loses = False

    def remove(self, kind, name):
        """Remove an object."""
        obj = self.objects.pop((kind, name), None)
        if obj is not None:
            self.revision += 1
            self._tell(kind, obj, True)

    def _tell(self, kind, obj, removed):
        self.history.append((self.revision, kind, obj, removed))
        if self.down or self.silent:
            return
        self._tell_waiting()

    def _tell_waiting(self):
        waiting, self.watches = self.watches, []
        for exchange, wanted, since in waiting:
            self._watch(exchange, wanted, since)

    def set_silent(self, silent):
        """Answer nothing, and cut the watches; or answer again."""
        self.silent = silent
        if silent:
            self._cut_watches()

    def _cut_watches(self):
        waiting, self.watches = self.watches, []
        for exchange, _, _ in waiting:
            exchange.abort()

    def _watch(self, exchange, kind, since):
        """Answer a watch with what changed, or have it wait."""
        if since < self.history_from:
            exchange.answer(410, [], b"")
            return
        rows = [{"Object": obj, "Removed": removed}
                for revision, where, obj, removed in self.history
                if where == kind and revision > since]
        if rows:
            self._answer(exchange, {
                "events": rows, "AsOf": self.revision})
            return
        self.watches.append((exchange, kind, since))

    def set_down(self, down):
        """Begin or end an outage; its history is gone afterwards.

        Outages overlap: the end of one does not end another. Entries that
        lapsed in the second would be back 3 s after the store's return,
        and hosts would rightly take their servers for gone.
        """
        self.outages += 1 if down else -1
        self.down = self.outages > 0
        if down:
            self._cut_watches()
            self.history = []
            self.history_from = self.revision + 1

    def request_received(self, exchange):
        """Answer a call."""
        if self.silent:
            return
        if self.down:
            exchange.answer(503, [], b"")
            return
        url = urllib.parse.urlsplit(exchange.head.target.decode())
        kind, _, name = url.path.removeprefix(PREFIX).partition("/")
        if exchange.head.method == b"GET":
            self._read(exchange, kind, name,
                       urllib.parse.parse_qs(url.query))
            return
        body = json.loads(exchange.body)
        name = name or body["Meta"]["Name"]
        current = self.objects.get((kind, name))
        if self._conflicts(exchange.head.method, body, current):
            exchange.answer(409, JSON, json.dumps(current).encode())
            return
        self.put(kind, name, body["Spec"])
        if self.loses:
            exchange.abort()
            return
        self._answer(exchange, self.objects[kind, name])

    def _conflicts(self, method, body, current):
        """Say whether a write's condition does not hold."""
        if method == b"POST":
            return current is not None
        wanted = body["Meta"].get("Rev")
        return wanted is not None and (
            current is None or current["Meta"]["Rev"] != wanted)

    def _read(self, exchange, kind, name, query):
        if name:
            found = self.objects.get((kind, name))
            if found is None:
                exchange.answer(404, [], b"")
            else:
                self._answer(exchange, found)
            return
        if "Watch" not in query:
            items = [obj for (where, _), obj in self.objects.items()
                     if where == kind]
            self._answer(exchange, {"Items": items, "More": False,
                                    "AsOf": self.revision})
            return
        wait_s = int(query["WaitMs"][0]) / 1000
        self.reactor.callLater(wait_s, self._end_watch, exchange)
        self._watch(exchange, kind, int(query["Watch"][0]))

    def _end_watch(self, exchange):
        """Answer a watch that has waited for its time."""
        if self.silent or not any(
                row[0] is exchange for row in self.watches):
            return
        self.caller_disconnected(exchange)
        self._answer(exchange, {"events": [], "AsOf": self.revision})

    def _answer(self, exchange, page):
        body = json.dumps(page).encode()
        self.reactor.callLater(self.delay_s, exchange.answer, 200, JSON,
                               body)
