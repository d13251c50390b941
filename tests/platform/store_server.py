"""A simulated store with the HTTP interface of the platform's, and hosts."""

import json
import random
import urllib.parse

from crocuskeel.core import entry
from crocuskeel.core.entry import events
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from tests.entry import support
from twisted.internet import defer

ANSWER_DELAY_S = 0.004
OK = 200
CREATED = 201
GONE = 410


class StoreServer:
    """Simulates the HTTP interface of the platform's store.

    While it is ``unresponsive`` it accepts connections, but never answers the
    requests of that time. While it is ``down`` it resets them. ``era`` rises
    with each restore from a copy.
    """

    def __init__(self, clock):
        self.clock = clock
        self.revision = 3
        self.oldest = 0
        self.unresponsive = False
        self.down = False
        self.era = 1
        self.call_count = 0
        self.rows = []
        self.waiting = []

    def write(self, kind, name, spec):
        """Change an object, or remove it if ``spec`` is None."""
        self.revision += 1
        meta = {"Name": name, "Rev": self.revision}
        self.rows.append((self.revision, kind, spec is None, {
            "Meta": meta, "Spec": spec}))
        if not (self.unresponsive or self.down):
            self._answer_waiting()

    def copy(self):
        """Return a copy from which the store may be restored."""
        return self.revision, list(self.rows)

    def stop(self):
        """Reset all connections, old and new."""
        self.down = True
        self.cut()

    def restore(self, copy):
        """Come back from a copy: what was written since then is lost."""
        self.revision, self.rows = copy[0], list(copy[1])
        self.era += 1
        self.down = False
        self.cut()

    def drop_history(self):
        """Drop the history of changes and reset all open watches."""
        self.oldest = self.revision
        self.cut()

    def cut(self):
        """Reset the connections of all open watches."""
        waiting, self.waiting = self.waiting, []
        for _, _, deferred in waiting:
            _fail(deferred, "ConnectionLost", cut=True)

    def resume(self):
        """Answer again."""
        self.unresponsive = False
        self._answer_waiting()

    def call(self, reactor, address, method, target, timeout_s, body=b""):
        """Replace calls.call."""
        self.call_count += 1
        deferred = defer.Deferred(lambda _: None)
        self.clock.callLater(timeout_s, _fail, deferred, "timeout")
        if self.unresponsive:
            return deferred
        if self.down:
            self.clock.callLater(ANSWER_DELAY_S, _fail, deferred, "reset")
            return deferred
        path, _, query = target.decode().partition("?")
        kind = path.split("/")[3]
        parameters = dict(urllib.parse.parse_qsl(query))
        if method != b"GET":
            row = json.loads(body)
            self.write(kind, row["Meta"]["Name"], row["Spec"])
            self._reply(deferred, CREATED, {"Meta": {"Rev": self.revision}})
        elif "Watch" in parameters:
            self._start_watch(kind, int(parameters["Watch"]),
                              int(parameters["WaitMs"]) / 1000, deferred)
        else:
            self._reply(deferred, OK, {"Items": self._items(kind),
                                       "AsOf": self.revision})
        return deferred

    def _items(self, kind):
        last = {row[3]["Meta"]["Name"]: row for row in self.rows
                if row[1] == kind}
        return [row[3] for row in last.values() if not row[2]]

    def _start_watch(self, kind, since, wait_s, deferred):
        if since < self.oldest or since > self.revision:
            self._reply(deferred, GONE, {})
            return
        waiting = (kind, since, deferred)
        self.waiting.append(waiting)
        self.clock.callLater(wait_s, self._end_watch, waiting)
        self._answer_waiting()

    def _end_watch(self, waiting):
        if waiting in self.waiting and not self.unresponsive:
            self.waiting.remove(waiting)
            self._reply(waiting[2], OK, {
                "events": [], "AsOf": self.revision})

    def _answer_waiting(self):
        for waiting in list(self.waiting):
            kind, since, deferred = waiting
            found = [{"Object": row[3], "Removed": row[2]}
                     for row in self.rows
                     if row[1] == kind and row[0] > since]
            if found:
                self.waiting.remove(waiting)
                self._reply(deferred, OK, {
                    "events": found, "AsOf": self.revision})

    def _reply(self, deferred, status, page):
        reply = calls.Reply(status, json.dumps(page).encode(),
                            ((b"Store-Era", b"%d" % self.era),))
        self.clock.callLater(ANSWER_DELAY_S, self._deliver, deferred, reply)

    def _deliver(self, deferred, reply):
        if not deferred.called:
            deferred.callback(reply)


def _fail(deferred, why, cut=False):
    if not deferred.called:
        deferred.errback(gateway_exceptions.CallFailed(why, cut))


class Gateway:
    """Feeds events to a host."""

    def __init__(self, clock, seed, name="me"):
        self.clock = clock
        self.crashes = []
        self.host = entry.new_host(entry.Settings(), random.Random(seed))
        self.feed(events.Started(support.peer(name)))

    def feed(self, event):
        entry.reduce(self.host, event, self.clock.seconds())

    def log(self, event, fields):
        if event == "follower_died":
            self.crashes.append(fields)
