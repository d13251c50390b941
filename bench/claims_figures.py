"""Figures of the claims ledger on a virtual clock.

Measures, for several batch windows and loads of one slot, the claims per
second, the writes per claim, the time to a grant, and the CPU time per
commit. Prints one JSON object per figure: ``name``, ``value``, ``unit``,
``n``. Each call of the simulated store takes ``STORE_LATENCY_S``; only
CPU times depend on the machine.
"""

import heapq
import json
import random
import statistics
import time

from crocuskeel.core import claims
from crocuskeel.core.claims import ledger as ledgers
from crocuskeel.core.claims.state import ClaimRequest
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages

DURATION_S = 60.0
STORE_LATENCY_S = 0.005
SERVICE_S = 0.5
WINDOWS_S = (0.1, 1 / 3, 1.0)
LOADS = (0.1, 1.0, 10.0, 50.0)
STATUS = events.StoreStatus


class ClaimsSimulation:
    """A simulation of one slot, its owner, a store and open-loop callers."""

    def __init__(self, window_s, load, seed=1):
        cfg = claims.ClaimsConfig(
            slots=1, commits_per_s=1 / window_s, outcome_delay_s=window_s,
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

    def schedule(self, at, event):
        """Schedule an event."""
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, event))

    def run(self):
        """Run the load for ``DURATION_S``; return self."""
        at = 0.0
        while at < DURATION_S:
            at += self.rng.expovariate(self.load)
            self._schedule_claim(at)
        while self.queue and self.now < DURATION_S:
            self.now, _, event = heapq.heappop(self.queue)
            self._handle_event(event)
        return self

    def _schedule_claim(self, at):
        rid = f"perth-a-1:1:{len(self.asked_at)}"
        key = claims.key_digest("w", "c", rid)
        self.asked_at[rid] = (at, key)
        self.schedule(at, events.Received("perth-a-1", 1, messages.ClaimAsk(
            rid, 0, key, "0123456789abcdef", 30.0, 1.7e9 + at)))

    def _handle_event(self, event):
        if isinstance(event, events.TimerFired):
            if self.timers.get(event.key) != self.now:
                return
        started_at = time.perf_counter()
        effects_out = claims.handle(self.state, event, self.now)
        self.cpu_s += time.perf_counter() - started_at
        for effect in effects_out:
            self._execute(effect)

    def _execute(self, effect):
        match effect:
            case effects.Send(message=answer):
                self._handle_answer(answer)
            case effects.SetTimer(key=key, after_s=after_s):
                self.timers[key] = self.now + after_s
                self.schedule(self.now + after_s, events.TimerFired(key))
            case effects.StoreGet(op=op):
                status = (STATUS.FOUND if self.version
                          else STATUS.NOT_FOUND)
                self.schedule(self.now + STORE_LATENCY_S, events.StoreAnswered(
                    op, status, self.version, self.body))
            case effects.StorePut(op=op, body=body):
                self.writes += 1
                self.version += 1
                self.body = body
                self.schedule(self.now + STORE_LATENCY_S, events.StoreAnswered(
                    op, STATUS.WRITTEN, self.version))

    def _handle_answer(self, answer):
        if answer.status != "granted":
            return
        asked_at, key = self.asked_at[answer.rid]
        self.waits.append(self.now - asked_at)
        self.schedule(self.now + SERVICE_S, events.Received(
            "perth-a-1", 1, messages.ClaimSettle(
                answer.rid, 0, key, "ran")))


def emit(name, value, unit, n):
    """Print one figure."""
    print(json.dumps({
        "name": name, "value": round(value, 6), "unit": unit, "n": n}))


def measure_full_ledger(count):
    """Print the costs of taking over and committing a large ledger."""
    run = ClaimsSimulation(1 / 3, 1.0)
    ledger = ledgers.empty()
    for number in range(count):
        key = claims.key_digest("w", "c", str(number))
        ledgers.add_claim(ledger, ClaimRequest(
            f"perth-a-1:1:{number}", key, "0123456789abcdef", "perth-a-1",
            1, 1.7e9, 0.0))
    run.version, run.body = 1, ledgers.encode(ledger, "n")
    run.run()
    prefix = f"claims.entries_{count}"
    emit(f"{prefix}.body", len(run.body), "bytes", count)
    emit(f"{prefix}.cpu_a_commit", run.cpu_s / run.writes, "s",
         run.writes)


def main():
    """Print all figures."""
    for count in (1000, 4900):
        measure_full_ledger(count)
    for window_s in WINDOWS_S:
        for load in LOADS:
            run = ClaimsSimulation(window_s, load).run()
            emit_figures(f"claims.window_{window_s:.2f}s.load_{load:g}", run)


def emit_figures(prefix, run):
    """Print the figures of one run; ``n`` is its granted claims."""
    n = len(run.waits)
    quantiles = statistics.quantiles(run.waits, n=20)
    emit(f"{prefix}.granted", n / DURATION_S, "claims/s", n)
    emit(f"{prefix}.writes", run.writes / DURATION_S, "writes/s", n)
    emit(f"{prefix}.writes_a_claim", run.writes / n, "writes", n)
    emit(f"{prefix}.wait_p50", statistics.median(run.waits), "s", n)
    emit(f"{prefix}.wait_p95", quantiles[18], "s", n)
    entries = len(run.state.slots[0].ledger.entries)
    emit(f"{prefix}.bytes_an_entry", len(run.body) / entries,
         "bytes", entries)
    emit(f"{prefix}.cpu_a_commit", run.cpu_s / run.writes, "s",
         run.writes)


if __name__ == "__main__":
    main()
