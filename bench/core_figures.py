"""Figures of the control work per request: CPU time and bytes.

Runs the reducers of two daemons without I/O: one is the entry host of the
callers, the other dispatches the cell. Each request passes through all
stages: it arrives, is queued, granted, opened, reports progress, closes
and is released. Prints one JSON object per figure: name, value, unit, n.

Run as ``python -m bench.core_figures``.
"""

import collections
import json
import time

from crocuskeel.conf import tree as conf_tree
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import factory
from crocuskeel.core import messages
from crocuskeel.core import placement
from crocuskeel.core import reducer
from crocuskeel.core import state as states
from crocuskeel import wire

CELL_SIZES = (4, 8, 16, 32, 64)
QUEUE_LENGTHS = (0, 100, 1000)
LOCATE_HOSTS = (9, 81, 470)
REQUESTS = 1500
PROGRESS_REPORTS = 4
SERVICE = "llm"
TOKEN_SHA256 = "a" * 64
SLOTS = 8
DOCUMENT = {
    "deployment": {"name": "d", "failure_domains": ["a", "b"]},
    "cell_size": 64,
    "services": {SERVICE: {"kind": "engine", "models": ["m"],
                           "max_slots_per_engine": SLOTS}},
    "classes": {"chat": {"service": SERVICE, "tier": 1,
                         "deadline_s": 3600.0, "queue_limit": 5000}},
    "workspaces": {
        "ws": {"tokens": [{"caller": "c", "sha256": TOKEN_SHA256}]}},
}


class DaemonPair:
    """Two daemons and the CPU time that each spent reducing."""

    def __init__(self, engines):
        seeds = (("h1", "127.0.0.1", 1), ("h2", "127.0.0.2", 1))
        self.now = 100.0
        self.cpu_s = collections.Counter()
        self.bytes = 0
        self.messages = 0
        self.opened_attempts = collections.deque()
        self.refused = 0
        document = DOCUMENT | {"cell_size": engines}
        tree = conf_tree.from_document(document, 1)
        self.daemons = {}
        for name, address, port in seeds:
            me = states.Identity("d", name, "a", "r", address, port, 2, 1,
                                 seeds)
            self.daemons[name] = factory.new_daemon(me, tree=tree)
        self.dispatcher_host = placement.owner(f"{SERVICE}/0", ("h1", "h2"))
        self.entry_host = "h2" if self.dispatcher_host == "h1" else "h1"
        servers = tuple(
            messages.Backend(f"e{n}", SERVICE, "http://x", "ab"[n % 2])
            for n in range(engines))
        for name in self.daemons:
            self.deliver(name, events.Started())
        for name in self.daemons:
            self.deliver(name, events.HostListSeen(1, (), servers))
        self.run_until_settled()

    def run_until_settled(self):
        """Run until the members know each other and the dispatcher settled."""
        for _ in range(60):
            self.now += 0.1
            for name, daemon in self.daemons.items():
                for key in list(self.pop_timers(daemon)):
                    self.deliver(name, events.TimerFired(key))

    def pop_timers(self, daemon):
        return self.pending_timers.pop(daemon.identity.host, ())

    pending_timers: dict = {}

    def deliver(self, name, event):
        """Reduce one event, measure the time, execute its effects."""
        before = time.perf_counter()
        out = reducer.reduce(self.daemons[name], event, self.now)
        self.cpu_s[name] += time.perf_counter() - before
        for effect in out:
            self._execute(name, effect)

    def _execute(self, name, effect):
        match effect:
            case effects.Send(host=host, message=message):
                self._send(name, host, message)
            case effects.Broadcast(message=message):
                for host in self.daemons:
                    if host != name:
                        self._send(name, host, message)
            case effects.SetTimer(key=key):
                self.pending_timers.setdefault(name, []).append(key)
            case effects.OpenAttempt():
                self.opened_attempts.append(effect)
            case effects.Answer():
                self.refused += 1

    def _send(self, name, host, message):
        if host not in self.daemons:
            return
        self.bytes += wire.to_frame(message).ByteSize()
        self.messages += 1
        self.deliver(host, events.Received(name, 1, message, 1))

    def arrive(self, number):
        """Deliver a caller's request to the entry host."""
        self.deliver(self.entry_host, events.RequestArrived(
            f"{self.entry_host}.1.{number}", TOKEN_SHA256, "POST",
            "/v1/chat/completions", "chat", "m", True, 200, 200, number % 50,
            f"d{number}", f"f{number}"))

    def run_attempt(self):
        """Run the oldest granted attempt to completion."""
        opened = self.opened_attempts.popleft()
        rid, attempt = opened.rid, opened.attempt
        self.deliver(self.entry_host, events.AttemptOpened(rid, attempt, 0.2))
        for number in range(PROGRESS_REPORTS):
            self.deliver(self.entry_host, events.AttemptProgress(
                rid, attempt, 50 * number))
        self.now += 0.001
        self.deliver(self.entry_host, events.AttemptClosed(
            rid, attempt, events.AttemptEnd.DONE, 200, 200, 0.2, 0.03))


def emit(name, value, unit, n):
    """Print one figure."""
    print(json.dumps({"name": name, "value": round(value, 3),
                      "unit": unit, "n": n}), flush=True)


def measure(engines, queued):
    """Emit the costs of a request with ``queued`` waiting requests."""
    pair = DaemonPair(engines)
    total = 0
    while len(pair.opened_attempts) < 1 or total < queued + engines:
        pair.arrive(total)
        total += 1
    if not pair.opened_attempts:
        raise RuntimeError("no request was granted")
    pair.cpu_s.clear()
    pair.bytes = pair.messages = 0
    for _ in range(REQUESTS):
        pair.run_attempt()
        pair.arrive(total)
        total += 1
    suffix = f"_queue_{queued}"
    emit("door_cpu_a_request" + suffix,
         pair.cpu_s[pair.entry_host] / REQUESTS * 1e6, "us", engines)
    emit("dispatcher_cpu_a_request" + suffix,
         pair.cpu_s[pair.dispatcher_host] / REQUESTS * 1e6, "us", engines)
    emit("grant_bytes_a_request" + suffix, pair.bytes / REQUESTS, "B",
         engines)
    emit("grant_messages_a_request" + suffix, pair.messages / REQUESTS,
         "count", engines)
    if pair.refused:
        emit("refused" + suffix, pair.refused, "count", engines)


def measure_locate(hosts):
    """Emit the CPU time of one answer to ``GET locate``."""
    me = states.Identity("d", "h000", "a", "r", "127.0.0.1", 1, 2, 1)
    daemon = factory.new_daemon(
        me, tree=conf_tree.from_document(DOCUMENT, 1))
    reducer.reduce(daemon, events.Started(), 0.0)
    for number in range(1, hosts):
        update = messages.MemberUpdate(
            f"h{number:03d}", 1, "alive", f"127.0.{number >> 8}."
            f"{number & 255}", 1, 2, f"z{number % 8}", f"r{number % 3}")
        reducer.reduce(daemon, events.Received(
            update.host, 1, messages.Probe(1, (update,)), 0,
            update.address), 1.0)
    iterations = 300
    answered = 0
    before = time.perf_counter()
    for number in range(iterations):
        ask = events.LocateAsked(
            f"h000.1.{number}", TOKEN_SHA256, "z1", "chat")
        out = reducer.reduce(daemon, ask, 2.0)
        answered += sum(type(effect) is effects.AnswerLocate for effect in out)
    cpu_s = time.perf_counter() - before
    if answered != iterations:
        raise RuntimeError(
            f"{answered} answers to {iterations} locate requests")
    emit("locate_cpu_an_answer", cpu_s / iterations * 1e6, "us", hosts)


def measure_wire():
    """Emit the CPU time of encoding and decoding one message."""
    message = messages.Enqueue("h1.1.1", 1, "llm/0", SERVICE, "chat", "ws",
                               1, fingerprint="f" * 32)
    iterations = 5000
    before = time.perf_counter()
    for _ in range(iterations):
        wire.from_frame(wire.to_frame(message))
    cpu_s = time.perf_counter() - before
    emit("wire_cpu_a_message_both_ends", cpu_s / iterations * 1e6, "us", 1)


def main():
    """Measure all sizes."""
    for engines in CELL_SIZES:
        measure(engines, 0)
    for queued in QUEUE_LENGTHS[1:]:
        measure(8, queued)
    for hosts in LOCATE_HOSTS:
        measure_locate(hosts)
    measure_wire()


if __name__ == "__main__":
    main()
