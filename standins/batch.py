"""Continuous batching of one engine as a small cost model.

Nothing here knows of HTTP or of a reactor: the caller passes the time in
and waits for the length of each step by itself.
"""
import dataclasses
import typing

from sortedcontainers import SortedDict

from standins import prefix_cache
from standins import texts

PREFILL_CHUNK = 512

# Above the knee, half of the slots, each step grows; a full batch takes
# GROWTH more than the time below the knee.
KNEE_SHARE = 0.5
GROWTH = 0.32


@dataclasses.dataclass(frozen=True, slots=True)
class BatchConfig:
    """Sizes and costs of one engine.

    ``tpot`` is the time between tokens below the knee, in seconds, and
    ``prefill_per_token`` the time of one prompt token, in seconds.
    """

    slots: int = 8
    tpot: float = 0.02
    prefill_per_token: float = 0.0002
    max_kv_tokens: int = 32768
    max_queue: int = 32


@dataclasses.dataclass(slots=True)
class Stream:
    """One request in the engine.

    ``reader`` and ``form`` belong to the HTTP side; ``key`` is the
    idempotency key. ``words`` is the whole answer, ``done`` of it made.
    """

    rid: str
    tier: int
    order: int
    prompt_tokens: int
    keys: list
    words: list
    finish_reason: str
    done: int = 0
    prefill_left: int = 0
    started: bool = False
    finished: bool = False
    reader: typing.Any = None
    form: typing.Any = None
    key: str | None = None


@dataclasses.dataclass(slots=True)
class Batch:
    """Running and waiting streams; ``kv_tokens`` counts the running."""

    cfg: BatchConfig
    cache: prefix_cache.PrefixCache
    running: dict
    waiting: SortedDict
    kv_tokens: int = 0
    preempted: int = 0


def new_batch(cfg, cache):
    """Return an empty batch."""
    return Batch(cfg, cache, {}, SortedDict())


def is_idle(batch):
    """Tell whether there is nothing to run."""
    return not batch.running and not batch.waiting


def is_full(batch):
    """Tell whether one more stream would overflow the queue."""
    backlog = len(batch.running) + len(batch.waiting)
    return backlog >= batch.cfg.slots + batch.cfg.max_queue


def enqueue(batch, stream):
    """Let a stream wait for a slot: lower tier numbers first."""
    batch.waiting[(stream.tier, stream.order)] = stream


def remove(batch, stream):
    """Take a stream out, wherever it is, and free what it held."""
    batch.waiting.pop((stream.tier, stream.order), None)
    if batch.running.pop(stream.rid, None) is not None:
        batch.kv_tokens -= stream.prompt_tokens + stream.done


def begin_step(batch, now):
    """Fill free slots and plan one step.

    :returns: the length of the step in seconds and the streams that got
              their first slot.
    """
    started = _admit(batch, now)
    prefilled = _prefill(batch, now)
    return _step_seconds(batch, prefilled), started


def end_step(batch):
    """Give one token to each stream past its prefill; return those."""
    emitted = [s for s in batch.running.values() if s.prefill_left == 0]
    for stream in emitted:
        stream.done += 1
    batch.kv_tokens += len(emitted)
    return emitted


def make_room(batch):
    """Preempt streams while the running ones exceed the KV memory.

    The lowest tier goes first and in it the newest; a preempted stream
    waits with what it has and is prefilled again.
    """
    while (batch.kv_tokens > batch.cfg.max_kv_tokens
           and len(batch.running) > 1):
        victim = max(batch.running.values(), key=lambda s: (s.tier, s.order))
        remove(batch, victim)
        enqueue(batch, victim)
        batch.preempted += 1


def kv_used(batch):
    """Return the share of the KV memory in use, prefix cache included."""
    cached = len(batch.cache.blocks) * texts.BLOCK_TOKENS
    return min(1.0, (batch.kv_tokens + cached) / batch.cfg.max_kv_tokens)


def _admit(batch, now):
    started = []
    while batch.waiting and len(batch.running) < batch.cfg.slots:
        stream = batch.waiting.peekitem(0)[1]
        need = stream.prompt_tokens + stream.done
        if batch.kv_tokens + need > batch.cfg.max_kv_tokens:
            break
        batch.waiting.popitem(0)
        batch.running[stream.rid] = stream
        batch.kv_tokens += need
        hit = prefix_cache.hit_tokens(batch.cache, stream.keys)
        stream.prefill_left = max(1, need - hit)
        if not stream.started:
            stream.started = True
            started.append(stream)
    return started


def _prefill(batch, now):
    left = PREFILL_CHUNK
    for stream in batch.running.values():
        if not stream.prefill_left:
            continue
        part = min(left, stream.prefill_left)
        stream.prefill_left -= part
        left -= part
        if not stream.prefill_left:
            prefix_cache.store(batch.cache, stream.keys, now)
        if not left:
            break
    free = batch.cfg.max_kv_tokens - batch.kv_tokens
    prefix_cache.shrink(batch.cache, free // texts.BLOCK_TOKENS, now)
    return PREFILL_CHUNK - left


def _step_seconds(batch, prefilled):
    knee = max(1.0, batch.cfg.slots * KNEE_SHARE)
    above = max(0.0, len(batch.running) / knee - 1.0)
    decode = batch.cfg.tpot * (1.0 + GROWTH * above)
    return decode + prefilled * batch.cfg.prefill_per_token
