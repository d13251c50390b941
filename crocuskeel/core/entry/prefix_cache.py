"""Tracks which engines cache the parts of prompts, and fetches between them.

Prompts begin with parts that many of them share. An engine that caches
these prefills only the rest. One that doesn't can fetch them from an engine
that does, if the service's engines support it: a fetch takes a fraction of
the prefill time, so a prompt may go to the engine with the most free time
and have its shared parts fetched.
"""

import dataclasses

__all__ = ["CachedPart", "add_part", "cached_tokens", "can_fetch",
           "engine_config", "fetch_source", "fetchable_tokens", "note_cached",
           "note_fetchable", "prefill_tokens", "uncached_tokens"]

# Prefill speed of an engine, tokens a second: between the rated speeds of
# the engines of two deployments, 36,700 and 48,200.
PREFILL_TOKENS_PER_S = 40_000.0
# Share of an engine's memory that is assumed to cache parts: running
# requests use the rest.
CACHE_SHARE = 0.7
# Parts of an engine that are remembered: more than it caches of those with
# some hundred tokens. Requests may name any number of smaller ones.
MAX_PARTS = 4096
# Time for the messages between two engines before a fetch, s: parts whose
# fetch saves no more than this are prefilled instead.
FETCH_OVERHEAD_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class CachedPart:
    """A part at an engine: its size, and when its prefill ends, s."""

    tokens: int
    prefilled_at: float


def engine_config(host, service):
    """Return the configuration of a service's engines, or None.

    A newer configuration may have removed the service of a request that
    is still queued here.
    """
    known = host.catalog.services.get(service) if host.catalog else None
    return known.engine if known is not None else None


def cached_tokens(state, prompt):
    """Return how many tokens of a prompt's shared parts an engine caches.

    A part counts only if all parts before it are cached, too.
    """
    tokens = 0
    for part, count in prompt.parts[:-1]:
        if part not in state.parts:
            break
        tokens += count
    return tokens


def uncached_tokens(state, prompt):
    """Return how many tokens of a prompt an engine does not cache."""
    uncached = prompt.tokens
    for part, tokens in prompt.parts:
        if part not in state.parts:
            break
        uncached -= tokens
    return max(0, uncached)


def note_fetchable(pending, states, now):
    """Note the most shared tokens of a prompt that any engine can provide."""
    prompt = pending.request.prompt
    if prompt is None:
        return
    pending.cached_elsewhere_tokens = max(
        (_ready_tokens(state, prompt, now) for state in states), default=0)


def _ready_tokens(state, prompt, now):
    """Return how many tokens of the shared parts an engine can provide.

    A part can't be fetched before its prefill ends. If it counted earlier,
    a burst of prompts that share a new part would be spread over engines,
    each of which would prefill the part as well.
    """
    tokens = 0
    for part, count in prompt.parts[:-1]:
        if part not in state.parts or state.parts[part].prefilled_at > now:
            break
        tokens += count
    return tokens


def fetchable_tokens(host, pending, cached):
    """Return how many tokens an engine may fetch from another one.

    It caches ``cached`` tokens of the prompt's shared parts itself.
    """
    engine = engine_config(host, pending.service)
    if engine is None or not engine.fetch_token_s:
        return 0
    tokens = pending.cached_elsewhere_tokens - cached
    if tokens <= 0:
        return 0
    saved_s = tokens * (1 / PREFILL_TOKENS_PER_S - engine.fetch_token_s)
    return tokens if saved_s > FETCH_OVERHEAD_S else 0


def can_fetch(host, pending):
    """Say whether any engine may fetch a prompt's shared parts."""
    return fetchable_tokens(host, pending, 0) > 0


def prefill_tokens(host, state, pending):
    """Return the tokens to prefill before a request's first event.

    Fetched tokens count as the tokens that could be prefilled meanwhile.
    """
    prompt = pending.request.prompt
    uncached = uncached_tokens(state, prompt)
    tokens = fetchable_tokens(host, pending, cached_tokens(state, prompt))
    if not tokens:
        return uncached
    engine = engine_config(host, pending.service)
    return int(uncached - tokens
               + tokens * engine.fetch_token_s * PREFILL_TOKENS_PER_S)


def fetch_source(host, target, pending, states, now):
    """Return the engine that the target is to fetch from, or None.

    Of the engines of its software version that can provide the most tokens, a
    random one in the target's failure domain, else any: random, as an engine
    sends to only one other at a time.
    """
    prompt = pending.request.prompt
    if not fetchable_tokens(host, pending, cached_tokens(target, prompt)):
        return None
    sources = [state for state in states if state is not target
               and state.server.version == target.server.version
               and _ready_tokens(state, prompt,
                                 now) == pending.cached_elsewhere_tokens]
    same_domain = [state for state in sources
                   if state.server.domain == target.server.domain]
    return host.rng.choice(same_domain or sources) if sources else None


def note_cached(host, state, prompt, memory, now, prefilled_at):
    """Note that an engine caches a prompt's parts, and queue this for peers.

    Their prefill ends at ``prefilled_at``.
    """
    for part, tokens in prompt.parts[:-1]:
        if part not in state.parts:
            host.recent_parts.append((now, state.server.sid, part, tokens))
    for part, tokens in prompt.parts:
        add_part(state, part, tokens, memory, prefilled_at)


def add_part(state, part, tokens, memory, prefilled_at):
    """Note that an engine caches a part; evict the least recently used."""
    known = state.parts.pop(part, None)
    if known is not None:
        state.parts_tokens -= known.tokens
        prefilled_at = min(prefilled_at, known.prefilled_at)
    state.parts[part] = CachedPart(tokens, prefilled_at)
    state.parts_tokens += tokens
    while (state.parts_tokens > memory * CACHE_SHARE
           or len(state.parts) > MAX_PARTS):
        _, evicted = state.parts.popitem(last=False)
        state.parts_tokens -= evicted.tokens
