"""Figures of the claims ledger on a virtual clock.

For several batch windows and loads of one slot: claims a second, writes
a claim, time to a grant, and the processor time of a commit. Prints one
JSON object a line: ``name``, ``value``, ``unit``, ``n``. The store here
takes ``STORE_S`` a call; only processor times depend on the machine.
"""

import heapq
import json
import random
import statistics
import time

from crocuskeel.core import claims
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core.claims.state import Ask
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

SPAN_S = 60.0
STORE_S = 0.005
SERVICE_S = 0.5
WINDOWS_S = (0.1, 1 / 3, 1.0)
LOADS = (0.1, 1.0, 10.0, 50.0)
STATUS = events.StoreStatus


class Run:
    """One slot, its owner, a store and open-loop doors, by event time."""

    def __init__(self, window_s, load, seed=1):
        cfg = claims.ClaimsConfig(
            slots=1, writes_s=1 / window_s, settle_wait_s=window_s,
            max_bytes=1_000_000)
        self.rng = random.Random(seed)
        self.state = claims.new_state("h0", 1, self.rng, cfg)
        self.load = load
        self.queue = []
        self.order = 0
        self.now = 0.0
        self.timers = {}
        self.asked_at = {}
        self.waits = []
        self.writes = 0
        self.version = 0
        self.body = b""
        self.cpu_s = 0.0

    def at(self, when, event):
        """Schedule an event."""
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, event))

    def go(self):
        """Run the load for the span; return self."""
        when = 0.0
        while when < SPAN_S:
            when += self.rng.expovariate(self.load)
            self._ask(when)
        while self.queue and self.now < SPAN_S:
            self.now, _, event = heapq.heappop(self.queue)
            self._take(event)
        return self

    def _ask(self, when):
        rid = f"perth-a-1:1:{len(self.asked_at)}"
        key = claims.key_digest("w", "c", rid)
        self.asked_at[rid] = (when, key)
        self.at(when, events.Received("perth-a-1", 1, messages.ClaimAsk(
            rid, 0, key, "0123456789abcdef", 30.0, 1.7e9 + when)))

    def _take(self, event):
        if isinstance(event, events.TimerFired):
            if self.timers.get(event.key) != self.now:
                return
        begun = time.perf_counter()
        out = claims.handle(self.state, event, self.now)
        self.cpu_s += time.perf_counter() - begun
        for effect in out:
            self._do(effect)

    def _do(self, effect):
        match effect:
            case effects.Send(message=answer):
                self._answered(answer)
            case effects.SetTimer(key=key, after_s=after_s):
                self.timers[key] = self.now + after_s
                self.at(self.now + after_s, events.TimerFired(key))
            case effects.StoreGet(op=op):
                status = (STATUS.FOUND if self.version
                          else STATUS.NOT_FOUND)
                self.at(self.now + STORE_S, events.StoreAnswered(
                    op, status, self.version, self.body))
            case effects.StorePut(op=op, body=body):
                self.writes += 1
                self.version += 1
                self.body = body
                self.at(self.now + STORE_S, events.StoreAnswered(
                    op, STATUS.WRITTEN, self.version))

    def _answered(self, answer):
        if answer.status != "granted":
            return
        asked, key = self.asked_at[answer.rid]
        self.waits.append(self.now - asked)
        self.at(self.now + SERVICE_S, events.Received(
            "perth-a-1", 1, messages.ClaimSettle(
                answer.rid, 0, key, "ran")))


def report(name, value, unit, n):
    """Print one figure."""
    print(json.dumps({
        "name": name, "value": round(value, 6), "unit": unit, "n": n}))


def full_ledger(count):
    """Print the cost of taking over and committing a large ledger."""
    run = Run(1 / 3, 1.0)
    ledger = ledgers.empty()
    for at in range(count):
        key = claims.key_digest("w", "c", str(at))
        ledgers.claim(ledger, Ask(
            f"perth-a-1:1:{at}", key, "0123456789abcdef", "perth-a-1",
            1, 1.7e9, 0.0))
    run.version, run.body = 1, ledgers.encode(ledger, "n")
    run.go()
    prefix = f"claims.entries_{count}"
    report(f"{prefix}.body", len(run.body), "bytes", count)
    report(f"{prefix}.cpu_a_commit", run.cpu_s / run.writes, "s",
           run.writes)


def main():
    """Print all figures."""
    for count in (1000, 4900):
        full_ledger(count)
    for window_s in WINDOWS_S:
        for load in LOADS:
            run = Run(window_s, load).go()
            figures(f"claims.window_{window_s:.2f}s.load_{load:g}", run)


def figures(prefix, run):
    """Print the figures of one run; ``n`` is its granted claims."""
    n = len(run.waits)
    quantiles = statistics.quantiles(run.waits, n=20)
    report(f"{prefix}.granted", n / SPAN_S, "claims/s", n)
    report(f"{prefix}.writes", run.writes / SPAN_S, "writes/s", n)
    report(f"{prefix}.writes_a_claim", run.writes / n, "writes", n)
    report(f"{prefix}.wait_p50", statistics.median(run.waits), "s", n)
    report(f"{prefix}.wait_p95", quantiles[18], "s", n)
    entries = len(run.state.slots[0].ledger.entries)
    report(f"{prefix}.bytes_an_entry", len(run.body) / entries,
           "bytes", entries)
    report(f"{prefix}.cpu_a_commit", run.cpu_s / run.writes, "s",
           run.writes)


if __name__ == "__main__":
    main()
