"""LRU prefix cache of one engine, with a capacity in tokens."""
import collections
import dataclasses
import random

from standins import texts

MAX_EVENTS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One change of the cache; ``at`` is its time in seconds."""

    seq: int
    op: str
    prefix: str
    at: float


@dataclasses.dataclass(slots=True)
class PrefixCache:
    """Cached block keys, least recently used first, and change events."""

    capacity_blocks: int
    event_loss: float
    rng: random.Random
    blocks: collections.OrderedDict
    events: collections.deque
    seq: int = 0


def new_prefix_cache(capacity_tokens, event_loss, seed):
    """Return an empty cache.

    :param event_loss: share of the events that are never reported, 0 to 1.
    """
    return PrefixCache(
        capacity_blocks=capacity_tokens // texts.BLOCK_TOKENS,
        event_loss=event_loss,
        rng=random.Random(seed),
        blocks=collections.OrderedDict(),
        events=collections.deque(maxlen=MAX_EVENTS))


def use_cached_prefix(cache, keys):
    """Return the number of leading tokens cached; mark them as used."""
    hits = 0
    for key in keys:
        if key not in cache.blocks:
            break
        cache.blocks.move_to_end(key)
        hits += 1
    return hits * texts.BLOCK_TOKENS


def store(cache, keys, now):
    """Cache the blocks of a prompt; evict the least recently used."""
    for key in keys:
        if key not in cache.blocks:
            _add_event(cache, "stored", key, now)
        cache.blocks[key] = None
        cache.blocks.move_to_end(key)
    shrink(cache, cache.capacity_blocks, now)


def shrink(cache, max_blocks, now):
    """Evict the least recently used blocks beyond max_blocks."""
    while len(cache.blocks) > max(0, max_blocks):
        key, _ = cache.blocks.popitem(last=False)
        _add_event(cache, "removed", key, now)


def events_after(cache, seq, visible_until):
    """Return the events after seq that happened by visible_until."""
    return [event for event in cache.events
            if event.seq > seq and event.at <= visible_until]


def _add_event(cache, op, key, now):
    cache.seq += 1
    # A lost event leaves a gap in the sequence numbers, as with real
    # engines.
    if cache.rng.random() >= cache.event_loss:
        cache.events.append(CacheEvent(cache.seq, op, key, now))
