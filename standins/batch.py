"""Cost model of the continuous batching of one engine.

It is independent of HTTP and of the reactor: the code that uses it passes
the current time in and schedules the end of each step.
"""
import dataclasses
import typing

from sortedcontainers import SortedDict

from standins import prefix_cache
from standins import texts

PREFILL_CHUNK = 512

# Step time is constant up to the knee, at half of the slots, and grows
# linearly above it: with all slots in use it is 1 + GROWTH times as long.
KNEE_SHARE = 0.5
GROWTH = 0.32


@dataclasses.dataclass(frozen=True, slots=True)
class BatchConfig:
    """Limits and costs of one engine.

    ``tpot`` is the time per output token below the knee, and
    ``prefill_per_token`` the time per prompt token, both in seconds.
    """

    slots: int = 8
    tpot: float = 0.02
    prefill_per_token: float = 0.0002
    max_kv_tokens: int = 32768
    max_queue: int = 32


@dataclasses.dataclass(slots=True)
class Stream:
    """One request in the engine.

    ``reader`` and ``template`` are used by the HTTP interface; ``key`` is
    the idempotency key. ``words`` is the complete answer, one word per
    token, of which the first ``generated`` have been generated.
    """

    rid: str
    tier: int
    arrival_number: int
    prompt_tokens: int
    prefix_keys: list
    words: list
    finish_reason: str
    generated: int = 0
    prefill_left: int = 0
    started: bool = False
    finished: bool = False
    reader: typing.Any = None
    template: typing.Any = None
    key: str | None = None


@dataclasses.dataclass(slots=True)
class Batch:
    """Running and waiting streams.

    ``kv_tokens`` is the number of KV tokens that running streams hold.
    """

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
    """Tell whether no stream is running or waiting."""
    return not batch.running and not batch.waiting


def is_full(batch):
    """Tell whether slots and queue have no room for another stream."""
    backlog = len(batch.running) + len(batch.waiting)
    return backlog >= batch.cfg.slots + batch.cfg.max_queue


def enqueue(batch, stream):
    """Queue a stream for a slot, in order of tier number and arrival."""
    batch.waiting[(stream.tier, stream.arrival_number)] = stream


def remove(batch, stream):
    """Remove a running or waiting stream and free its slot and KV tokens."""
    batch.waiting.pop((stream.tier, stream.arrival_number), None)
    if batch.running.pop(stream.rid, None) is not None:
        batch.kv_tokens -= stream.prompt_tokens + stream.generated


def begin_step(batch, now):
    """Assign free slots and schedule the prefill of one step.

    :returns: the duration of the step in seconds and the streams that
              were given a slot for the first time.
    """
    started = _admit(batch, now)
    prefilled = _prefill(batch, now)
    return _step_seconds(batch, prefilled), started


def end_step(batch):
    """Generate a token for each prefilled stream; return these streams."""
    emitted = [s for s in batch.running.values() if s.prefill_left == 0]
    for stream in emitted:
        stream.generated += 1
    batch.kv_tokens += len(emitted)
    return emitted


def preempt_over_limit(batch):
    """Preempt streams while the running ones exceed the KV memory.

    The highest tier number is preempted first and within it the latest
    arrival. A preempted stream keeps its generated words, returns to the
    queue and is prefilled again.
    """
    while (batch.kv_tokens > batch.cfg.max_kv_tokens
           and len(batch.running) > 1):
        victim = max(batch.running.values(),
                     key=lambda s: (s.tier, s.arrival_number))
        remove(batch, victim)
        enqueue(batch, victim)
        batch.preempted += 1


def kv_used(batch):
    """Return the share of KV memory in use, prefix cache included."""
    cached = len(batch.cache.blocks) * texts.BLOCK_TOKENS
    return min(1.0, (batch.kv_tokens + cached) / batch.cfg.max_kv_tokens)


def _admit(batch, now):
    started = []
    while batch.waiting and len(batch.running) < batch.cfg.slots:
        stream = batch.waiting.peekitem(0)[1]
        needed_tokens = stream.prompt_tokens + stream.generated
        if batch.kv_tokens + needed_tokens > batch.cfg.max_kv_tokens:
            break
        batch.waiting.popitem(0)
        batch.running[stream.rid] = stream
        batch.kv_tokens += needed_tokens
        cached_tokens = prefix_cache.use_cached_prefix(
            batch.cache, stream.prefix_keys)
        stream.prefill_left = max(1, needed_tokens - cached_tokens)
        if not stream.started:
            stream.started = True
            started.append(stream)
    return started


def _prefill(batch, now):
    budget = PREFILL_CHUNK
    for stream in batch.running.values():
        if not stream.prefill_left:
            continue
        chunk = min(budget, stream.prefill_left)
        stream.prefill_left -= chunk
        budget -= chunk
        if not stream.prefill_left:
            prefix_cache.store(batch.cache, stream.prefix_keys, now)
        if not budget:
            break
    free_tokens = batch.cfg.max_kv_tokens - batch.kv_tokens
    prefix_cache.shrink(batch.cache, free_tokens // texts.BLOCK_TOKENS, now)
    return PREFILL_CHUNK - budget


def _step_seconds(batch, prefilled):
    knee_streams = max(1.0, batch.cfg.slots * KNEE_SHARE)
    load_above_knee = max(0.0, len(batch.running) / knee_streams - 1.0)
    decode_s = batch.cfg.tpot * (1.0 + GROWTH * load_above_knee)
    return decode_s + prefilled * batch.cfg.prefill_per_token
