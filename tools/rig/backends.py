"""The platform's store and the backend servers, as one process.

``python -m tools.rig.backends STORE_IP IP``. Commands are lines of standard
input, JSON lists of a name in COMMANDS and its arguments. What happens is told
in lines of standard output, JSON objects with ``at``, the time by the steady
clock, and ``what``; the first one names the port of the store.

A request's body says what its server does, JSON: a stream of ``events``,
``gap_s`` apart, the first one after ``first_s``; a call has one answer. Each
event names its number, how many there are, and which version and server sent
it. A stream that ``repeats`` goes on with the last event that its caller has,
at every other server.
"""

import argparse
import json
import sys
import threading
import time

from crocuskeel.gateway import callers
from crocuskeel.gateway import loop
from tools.soak import store as stores

__all__ = ["EVENT", "RID", "STAMP", "body", "main"]

RID = "X-Crocuskeel-Request-Id"
STAMP = "X-Crocuskeel-Server-Stamp"
EVENT = "id: {number}\ndata: {number}/{events} {version} {sid}\n\n"
HEALTH = b"/health"
# An entry is gone as long after its server's crash, and a draining server
# ends so long after its entry says so, s.
EXPIRES_S = 1.5
# What was sent before a crash is carried by then, s.
SENT_S = 0.02
DRAIN_S = 4.0


def body(rid):
    """Return the answer to a call."""
    return b"answer to " + rid.encode()


def _tell(what, **fields):
    print(json.dumps({"at": time.monotonic(), "what": what, **fields}),
          flush=True)


class _Server:
    """Runs some requests at a time, and refuses all others as not run."""

    def __init__(self, reactor, sid, slots, version):
        self.reactor = reactor
        self.sid = sid
        self.slots = slots
        self.version = version
        self.is_odd = int(sid.rpartition("-")[2]) % 2 == 1
        self.running = {}
        # The next event of each stream, by its exchange.
        self.next_events = {}
        self.silent_until = 0.0
        self.listener = callers.new_listener(reactor, self)
        self.port = None

    def limits(self):
        """Return the limits on requests."""
        return loop.DEFAULT_LIMITS

    def request_rejected(self, status, why):
        """Ignore a malformed request."""

    def caller_disconnected(self, exchange):
        """End the work for a host that has left."""
        self._end(exchange, "left")

    def _end(self, exchange, what):
        rid = self.running.pop(exchange.key, None)
        self.next_events.pop(exchange, None)
        if rid is not None:
            _tell(what, rid=rid, sid=self.sid)

    def request_received(self, exchange):
        """Run a request as its body says."""
        head = exchange.head
        rid = (head.get(RID.lower().encode()) or b"").decode()
        expected = head.get(b"x-crocuskeel-expect-instance")
        if expected is not None and expected.decode() != self.sid:
            self._refuse(exchange, rid, 421)
        elif len(self.running) >= self.slots:
            self._refuse(exchange, rid, 503)
        elif head.target == HEALTH:
            exchange.answer(200, [], b"")
        else:
            self.running[exchange.key] = rid
            last = int(head.get(b"last-event-id") or 0)
            _tell("began", rid=rid, sid=self.sid, version=self.version,
                  last_event=last)
            work = json.loads(exchange.body)
            self.reactor.callLater(work["first_s"], self._answer, exchange,
                                   rid, last, work)

    def _refuse(self, exchange, rid, status):
        if rid:
            _tell("refused", rid=rid, sid=self.sid)
        exchange.answer(status, [(b"X-Crocuskeel-Not-Run", b"1")], b"")

    def _waits(self, *call):
        """Return whether it is silent now, and make a call after that."""
        left_s = self.silent_until - self.reactor.seconds()
        if left_s > 0.0:
            self.reactor.callLater(left_s, *call)
        return left_s > 0.0

    def _answer(self, exchange, rid, last, work):
        if exchange.finished or self._waits(
                self._answer, exchange, rid, last, work):
            return
        headers = [(RID.encode(), rid.encode()),
                   (STAMP.encode(), b"stamp")]
        if "events" not in work:
            self._end(exchange, "ended")
            exchange.answer(200, headers, body(rid))
            return
        exchange.begin_answer(200, headers)
        is_repeated = last and work.get("repeats") and self.is_odd
        self._send_event(exchange, last + (not is_repeated), work)

    def _send_event(self, exchange, number, work):
        if exchange.finished or self._waits(
                self._send_event, exchange, number, work):
            return
        if number <= work["events"]:
            exchange.send_data(self._event(number, work))
        if number >= work["events"]:
            self._end(exchange, "ended")
            exchange.end_answer()
            return
        self.next_events[exchange] = self._event(number + 1, work)
        self.reactor.callLater(work["gap_s"], self._send_event, exchange,
                               number + 1, work)

    def _event(self, number, work):
        return EVENT.format(
            number=number, events=work["events"], version=self.version,
            sid=self.sid).encode()

    def crash(self, within=False):
        """End at once, also within events, and reset all connections."""
        self.port.stopListening()
        _tell("crashed", sid=self.sid, rids=list(self.running.values()))
        for exchange, event in self.next_events.items():
            if within:
                exchange.send_data(event[:len(event) // 2])
            exchange.finished = True
        self.running.clear()
        self.next_events.clear()
        self.reactor.callLater(SENT_S, self._reset)

    def _reset(self):
        for conn in list(self.listener.open_connections):
            conn.transport.abortConnection()


class _Platform:
    """The servers by their ids, and the store that lists them."""

    def __init__(self, reactor, ip):
        self.reactor = reactor
        self.ip = ip
        self.store = stores.Store(reactor)
        self.servers = {}
        self.drained = set()
        self.count = 0

    def add(self, service, version, slots):
        """Start a server and register it."""
        self.count += 1
        sid = f"{service}-{self.count}"
        server = _Server(self.reactor, sid, slots, version)
        server.port = self.reactor.listenTCP(
            0, server.listener, 200, self.ip)
        self.servers[sid] = server
        self._register(sid, service, "ready")
        _tell("added", sid=sid, service=service, version=version)

    def _register(self, sid, service, state):
        server = self.servers[sid]
        self.store.put("servers", sid, {
            "Service": service, "Zone": "zone-0", "Version": server.version,
            "Slots": server.slots, "State": state, "ColdLeftMs": 0, "Seq": 1,
            "Addr": f"{self.ip}:{server.port.getHost().port}", "born": 1})

    def release(self, service, version, slots):
        """Replace all servers of a service."""
        for sid in list(self.servers):
            if sid.startswith(f"{service}-") and sid not in self.drained:
                self.replace(service, version, slots)

    def replace(self, service, version, slots):
        """Drain the oldest server of a service; a newer one takes over."""
        self.add(service, version, slots)
        for sid in self.servers:
            if sid.startswith(f"{service}-") and sid not in self.drained:
                self.drained.add(sid)
                self._register(sid, service, "draining")
                self.reactor.callLater(DRAIN_S, self._leave, sid)
                return

    def _leave(self, sid):
        """End a server that was drained once nothing runs there."""
        self.store.remove("servers", sid)
        server = self.servers.get(sid)
        if server is not None and server.running:
            self.reactor.callLater(0.1, self._leave, sid)
        elif server is not None:
            del self.servers[sid]
            server.crash()

    def crash(self, service, slots, within=False):
        """Crash the newest server of a service; another one starts later."""
        sids = [sid for sid in self.servers if sid.startswith(f"{service}-")
                and sid not in self.drained]
        if len(sids) < 2:
            return
        server = self.servers.pop(sids[-1])
        server.crash(within)
        self.reactor.callLater(EXPIRES_S, self.store.remove, "servers",
                               server.sid)
        self.reactor.callLater(1.0, self.add, service, server.version, slots)

    def silence(self, service, span_s):
        """Have the oldest server of a service send nothing for a while."""
        sid = next(sid for sid in self.servers
                   if sid.startswith(f"{service}-"))
        self.servers[sid].silent_until = self.reactor.seconds() + span_s

    def configure(self, config):
        """Accept a configuration."""
        self.store.put("config", "main", config)
        _tell("configured", version=config["Version"])

    def set_store(self, fault, begins):
        """Begin or end an outage of the store: ``down`` or ``silent``."""
        if fault == "down":
            self.store.set_down(begins)
        else:
            self.store.set_silent(begins)

    def forget_history(self):
        """Have watches of the store fail with 410."""
        self.store.history = []
        self.store.history_from = self.store.revision + 1


COMMANDS = {"add": _Platform.add, "replace": _Platform.replace,
            "release": _Platform.release, "crash": _Platform.crash,
            "silence": _Platform.silence, "configure": _Platform.configure,
            "store": _Platform.set_store, "forget": _Platform.forget_history}


def _follow(reactor, platform):
    for line in sys.stdin:
        name, *args = json.loads(line)
        reactor.callFromThread(COMMANDS[name], platform, *args)


def main():
    """Serve until the process is ended."""
    from twisted.internet import reactor

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("store_ip")
    parser.add_argument("ip")
    args = parser.parse_args()
    platform = _Platform(reactor, args.ip)
    port = reactor.listenTCP(0, platform.store.listener, 50, args.store_ip)
    _tell("started", store=port.getHost().port)
    threading.Thread(target=_follow, daemon=True,
                     args=(reactor, platform)).start()
    reactor.run()


if __name__ == "__main__":
    sys.exit(main())
