"""Prefix cache of one engine: least recently used, limited in tokens."""
import collections
import dataclasses
import random

from standins import texts

MAX_EVENTS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache; ``at`` is when it happened, in seconds."""

    seq: int
    op: str
    prefix: str
    at: float


@dataclasses.dataclass(slots=True)
class PrefixCache:
    """State of the cache: block keys, oldest use first, and its events."""

    limit_blocks: int
    loss: float
    rng: random.Random
    blocks: collections.OrderedDict
    events: collections.deque
    seq: int = 0


def new_prefix_cache(limit_tokens, loss, seed):
    """Return an empty cache.

    :param loss: share of the events that callers never see, 0 to 1.
    """
    return PrefixCache(
        limit_blocks=limit_tokens // texts.BLOCK_TOKENS,
        loss=loss,
        rng=random.Random(seed),
        blocks=collections.OrderedDict(),
        events=collections.deque(maxlen=MAX_EVENTS))


def hit_tokens(cache, keys):
    """Return how many leading tokens are cached, and mark them as used."""
    hits = 0
    for key in keys:
        if key not in cache.blocks:
            break
        cache.blocks.move_to_end(key)
        hits += 1
    return hits * texts.BLOCK_TOKENS


def store(cache, keys, now):
    """Keep the blocks of a prompt; the least recently used ones go."""
    for key in keys:
        if key not in cache.blocks:
            _record(cache, "stored", key, now)
        cache.blocks[key] = None
        cache.blocks.move_to_end(key)
    shrink(cache, cache.limit_blocks, now)


def shrink(cache, max_blocks, now):
    """Remove the least recently used blocks beyond max_blocks."""
    while len(cache.blocks) > max(0, max_blocks):
        key, _ = cache.blocks.popitem(last=False)
        _record(cache, "removed", key, now)


def events_after(cache, seq, visible_until):
    """Return the events after seq that happened by visible_until."""
    return [event for event in cache.events
            if event.seq > seq and event.at <= visible_until]


def _record(cache, op, key, now):
    cache.seq += 1
    # A lost event leaves a gap in the sequence, as real engines do.
    if cache.rng.random() >= cache.loss:
        cache.events.append(CacheEvent(cache.seq, op, key, now))
