"""Fake backend servers: batching engines and plain services.

An engine makes one token a step for each running answer; a step takes
longer above a knee of the batch and by the prompts it takes in. A plain
service takes a hidden time a call, longer above its knee.
"""

import collections
import dataclasses
import typing

from bench.policy import clock as clocks

__all__ = ["Engine", "Job", "cancel", "crash", "find", "new_engine",
           "submit"]

KNEE = 5
SLOPE = 0.12
TOKEN_S = 0.025
PREFILL_S = 0.0002
HIT_SHARE = 0.2
PREFIXES = 24
MAX_QUEUE = 32
PLAIN_KNEE = 3
POISON_TOKENS = 3
PROGRESS_TOKENS = 8
KEPT_JOBS = 512


@dataclasses.dataclass(slots=True)
class Job:
    """One attempt on a server; ``tell(kind, job)`` reports of it."""

    call: typing.Any
    rid: str
    attempt: int
    host: str
    tier: int
    tell: typing.Callable
    sent_at: float
    tokens: int = 0
    prefill: float = 0.0
    first_at: float = 0.0
    ended: str = ""
    silent: bool = False
    forwarded: int = 0


@dataclasses.dataclass(slots=True)
class Engine:
    """One server; ``slow`` multiplies its times."""

    name: str
    service: str
    domain: str
    kind: str
    slots: int
    clock: clocks.Clock
    slow: float = 1.0
    up: bool = True
    boot: int = 1
    leaving: bool = False
    stepping: bool = False
    order: int = 0
    running: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    kept: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    prefixes: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    made: int = 0
    crashes: int = 0
    stored: list = dataclasses.field(default_factory=list)
    removed: list = dataclasses.field(default_factory=list)


def new_engine(name, service, domain, kind, slots, clock):
    """Return an idle server."""
    return Engine(name, service, domain, kind, slots, clock)


def submit(engine, job):
    """Start an attempt or let it wait; reports through ``job.tell``."""
    if not engine.up:
        job.tell("refused", job)
    elif len(engine.waiting) >= MAX_QUEUE:
        job.tell("busy", job)
    else:
        engine.order += 1
        job.call.starts += 1
        key = (job.tier, engine.order)
        engine.waiting[key] = job
        _admit(engine)


def find(engine, rid, attempt):
    """Return the job of an attempt, also a lately ended one, or None."""
    key = (rid, attempt)
    jobs = [job for job in (*engine.running.values(),
                            *engine.waiting.values())
            if (job.rid, job.attempt) == key]
    return jobs[0] if jobs else engine.kept.get(key)


def cancel(engine, rid, attempt):
    """Stop an attempt."""
    engine.running.pop((rid, attempt), None)
    for key, job in list(engine.waiting.items()):
        if (job.rid, job.attempt) == (rid, attempt):
            del engine.waiting[key]
    _admit(engine)


def crash(engine, back_after_s):
    """Lose everything; come back empty after a while."""
    lost = [*engine.running.values(), *engine.waiting.values()]
    engine.running.clear()
    engine.waiting.clear()
    engine.kept.clear()
    engine.prefixes.clear()
    engine.up = False
    engine.crashes += 1
    for job in lost:
        job.tell("broken", job)
    clocks.at(engine.clock, back_after_s, _restart, engine)


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
    crowd = max(1.0, len(engine.running) / PLAIN_KNEE)
    span = job.call.length * crowd * engine.slow
    clocks.at(engine.clock, span, _end_plain, engine, job, engine.boot)


def _end_plain(engine, job, boot):
    key = (job.rid, job.attempt)
    if boot == engine.boot and engine.running.get(key) is job:
        engine.made += 1
        job.first_at = engine.clock.now
        job.tell("first", job)
        _end(engine, job)
        _admit(engine)


def _prefill(engine, job):
    prefix = job.call.prefix
    share = HIT_SHARE if prefix in engine.prefixes else 1.0
    if prefix not in engine.prefixes:
        engine.stored.append(prefix)
    engine.prefixes[prefix] = True
    engine.prefixes.move_to_end(prefix)
    if len(engine.prefixes) > PREFIXES:
        engine.removed.append(engine.prefixes.popitem(last=False)[0])
    return job.call.prompt * PREFILL_S * share


def _begin_step(engine):
    engine.stepping = True
    jobs = list(engine.running.values())
    crowd = 1.0 + SLOPE * max(0, len(jobs) - KNEE)
    span = TOKEN_S * crowd + sum(job.prefill for job in jobs)
    for job in jobs:
        job.prefill = 0.0
    clocks.at(engine.clock, span * engine.slow, _end_step, engine, jobs,
              engine.boot)


def _end_step(engine, jobs, boot):
    engine.stepping = False
    if boot != engine.boot or not engine.up:
        if engine.up:
            _admit(engine)
        return
    for job in jobs:
        if engine.running.get((job.rid, job.attempt)) is job:
            _token(engine, job)
        if not engine.up:
            return
    _admit(engine)


def _token(engine, job):
    job.tokens += 1
    engine.made += 1
    if job.tokens == 1:
        job.first_at = engine.clock.now
        job.tell("first", job)
    elif job.tokens % PROGRESS_TOKENS == 0:
        job.tell("progress", job)
    if job.call.poison and job.tokens == POISON_TOKENS:
        crash(engine, 2.0)
    elif job.tokens >= job.call.length:
        _end(engine, job)


def _end(engine, job):
    key = (job.rid, job.attempt)
    engine.running.pop(key, None)
    job.ended = "done"
    engine.kept[key] = job
    if len(engine.kept) > KEPT_JOBS:
        engine.kept.popitem(last=False)
    job.tell("done", job)
