"""Fake backend servers: batching engines and plain services.

An engine generates one token per step for each running answer; a step
takes longer for batches above a knee and for each prompt that it
prefills. A plain service takes a time per call that the policy does not
know, longer above its own knee.
"""

import collections
import dataclasses
import typing

from bench.policy import clock as clocks

__all__ = ["Engine", "Job", "cancel", "crash", "find_job", "new_engine",
           "submit"]

BATCH_KNEE = 5
BATCH_SLOPE = 0.12
TOKEN_STEP_S = 0.025
PREFILL_S_PER_TOKEN = 0.0002
PREFIX_HIT_COST_SHARE = 0.2
MAX_CACHED_PREFIXES = 24
MAX_QUEUE = 32
PLAIN_KNEE = 3
POISON_TOKENS = 3
PROGRESS_TOKENS = 8
MAX_FINISHED_JOBS = 512


@dataclasses.dataclass(slots=True)
class Job:
    """One attempt on a server; ``notify(kind, job)`` reports on it."""

    call: typing.Any
    rid: str
    attempt: int
    host: str
    tier: int
    notify: typing.Callable
    sent_at: float
    tokens: int = 0
    prefill: float = 0.0
    first_at: float = 0.0
    ended: str = ""
    silent: bool = False
    forwarded: int = 0


@dataclasses.dataclass(slots=True)
class Engine:
    """One server; ``time_factor`` multiplies its processing times."""

    name: str
    service: str
    domain: str
    kind: str
    slots: int
    clock: clocks.Clock
    time_factor: float = 1.0
    up: bool = True
    boot: int = 1
    leaving: bool = False
    stepping: bool = False
    next_order: int = 0
    running: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    finished: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    prefixes: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    work_done: int = 0
    crashes: int = 0
    new_prefixes: list = dataclasses.field(default_factory=list)
    evicted_prefixes: list = dataclasses.field(default_factory=list)


def new_engine(name, service, domain, kind, slots, clock):
    """Return an idle server."""
    return Engine(name, service, domain, kind, slots, clock)


def submit(engine, job):
    """Start or queue an attempt; it reports through ``job.notify``."""
    if not engine.up:
        job.notify("refused", job)
    elif len(engine.waiting) >= MAX_QUEUE:
        job.notify("busy", job)
    else:
        engine.next_order += 1
        job.call.starts += 1
        key = (job.tier, engine.next_order)
        engine.waiting[key] = job
        _admit(engine)


def find_job(engine, rid, attempt):
    """Return an attempt's job, running or recently ended, or None."""
    key = (rid, attempt)
    jobs = [job for job in (*engine.running.values(),
                            *engine.waiting.values())
            if (job.rid, job.attempt) == key]
    return jobs[0] if jobs else engine.finished.get(key)


def cancel(engine, rid, attempt):
    """Cancel an attempt."""
    engine.running.pop((rid, attempt), None)
    for key, job in list(engine.waiting.items()):
        if (job.rid, job.attempt) == (rid, attempt):
            del engine.waiting[key]
    _admit(engine)


def crash(engine, restart_after_s):
    """Lose all state; restart empty after ``restart_after_s``."""
    lost_jobs = [*engine.running.values(), *engine.waiting.values()]
    engine.running.clear()
    engine.waiting.clear()
    engine.finished.clear()
    engine.prefixes.clear()
    engine.up = False
    engine.crashes += 1
    for job in lost_jobs:
        job.notify("broken", job)
    clocks.call_later(engine.clock, restart_after_s, _restart, engine)


def _restart(engine):
    engine.up = True
    engine.boot += 1


def _admit(engine):
    while engine.waiting and len(engine.running) < engine.slots:
        job = engine.waiting.pop(min(engine.waiting))
        engine.running[(job.rid, job.attempt)] = job
        if engine.kind == "plain":
            _start_plain(engine, job)
        else:
            job.prefill = _prefill(engine, job)
    if engine.kind == "engine" and engine.running and not engine.stepping:
        _begin_step(engine)


def _start_plain(engine, job):
    load_factor = max(1.0, len(engine.running) / PLAIN_KNEE)
    duration_s = job.call.length * load_factor * engine.time_factor
    clocks.call_later(
        engine.clock, duration_s, _finish_plain, engine, job, engine.boot)


def _finish_plain(engine, job, boot):
    key = (job.rid, job.attempt)
    if boot == engine.boot and engine.running.get(key) is job:
        engine.work_done += 1
        job.first_at = engine.clock.now
        job.notify("first", job)
        _finish(engine, job)
        _admit(engine)


def _prefill(engine, job):
    prefix = job.call.prefix
    cost_share = PREFIX_HIT_COST_SHARE if prefix in engine.prefixes else 1.0
    if prefix not in engine.prefixes:
        engine.new_prefixes.append(prefix)
    engine.prefixes[prefix] = True
    engine.prefixes.move_to_end(prefix)
    if len(engine.prefixes) > MAX_CACHED_PREFIXES:
        engine.evicted_prefixes.append(engine.prefixes.popitem(last=False)[0])
    return job.call.prompt * PREFILL_S_PER_TOKEN * cost_share


def _begin_step(engine):
    engine.stepping = True
    jobs = list(engine.running.values())
    load_factor = 1.0 + BATCH_SLOPE * max(0, len(jobs) - BATCH_KNEE)
    duration_s = TOKEN_STEP_S * load_factor + sum(job.prefill for job in jobs)
    for job in jobs:
        job.prefill = 0.0
    clocks.call_later(
        engine.clock, duration_s * engine.time_factor, _end_step, engine, jobs,
        engine.boot)


def _end_step(engine, jobs, boot):
    engine.stepping = False
    if boot != engine.boot or not engine.up:
        if engine.up:
            _admit(engine)
        return
    for job in jobs:
        if engine.running.get((job.rid, job.attempt)) is job:
            _generate_token(engine, job)
        if not engine.up:
            return
    _admit(engine)


def _generate_token(engine, job):
    job.tokens += 1
    engine.work_done += 1
    if job.tokens == 1:
        job.first_at = engine.clock.now
        job.notify("first", job)
    elif job.tokens % PROGRESS_TOKENS == 0:
        job.notify("progress", job)
    if job.call.poison and job.tokens == POISON_TOKENS:
        crash(engine, 2.0)
    elif job.tokens >= job.call.length:
        _finish(engine, job)


def _finish(engine, job):
    key = (job.rid, job.attempt)
    engine.running.pop(key, None)
    job.ended = "done"
    engine.finished[key] = job
    if len(engine.finished) > MAX_FINISHED_JOBS:
        engine.finished.popitem(last=False)
    job.notify("done", job)
