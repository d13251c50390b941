"""Which engines hold the parts of a prompt, and what one gets of another.

Prompts begin with parts that many of them share. An engine that holds
these reads only the rest. One that doesn't can have them from an engine
that does, where engines hand each other what they hold: that takes a
fraction of the time to read them anew, so that a prompt may go to the
engine with the most time, and its shared parts follow.
"""

import dataclasses

__all__ = ["Part", "engine_of", "fetchable", "follow", "fresh_tokens", "held",
           "look", "place", "remember", "source", "to_read"]

# Reading speed of an engine, tokens a second: between the 36,700 and
# 48,200 that the two deployments' engines are rated at.
READ_TOKENS_S = 40_000.0
# Parts that a server is thought to hold, as a share of its memory: the
# rest is taken by running requests.
PARTS_SHARE = 0.7
# Before one engine sends another what it holds, they exchange some
# messages, s: parts that are read in that time are not asked for.
FETCH_LEAST_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """A part at an engine: its size, and when it is read, s."""

    tokens: int
    read_at: float


def engine_of(host, service):
    """Return what is configured of a service's engines, or None.

    A newer configuration may have dropped the service of a request that
    still waits here.
    """
    known = host.catalog.services.get(service) if host.catalog else None
    return known.engine if known is not None else None


def held(state, prompt):
    """Return how many tokens of its shared parts an engine holds.

    A part counts only if all parts before it are held, too.
    """
    tokens = 0
    for part, count in prompt.parts[:-1]:
        if part not in state.parts:
            break
        tokens += count
    return tokens


def fresh_tokens(state, prompt):
    """Return how many tokens of a prompt an engine does not hold."""
    fresh = prompt.tokens
    for part, tokens in prompt.parts:
        if part not in state.parts:
            break
        fresh -= tokens
    return max(0, fresh)


def look(pending, states, now):
    """Note the most of a prompt's shared parts that one may fetch."""
    prompt = pending.request.prompt
    if prompt is None:
        return
    pending.elsewhere = max(
        (_read(state, prompt, now) for state in states), default=0)


def _read(state, prompt, now):
    """Return how many tokens of its shared parts an engine has read.

    A part that it holds but still reads can't be had from it: in a burst
    of prompts that share a new part all would go elsewhere, to have it
    read there, too.
    """
    tokens = 0
    for part, count in prompt.parts[:-1]:
        if part not in state.parts or state.parts[part].read_at > now:
            break
        tokens += count
    return tokens


def fetchable(host, pending, have):
    """Return how many tokens an engine may get of another one.

    It has ``have`` tokens of the prompt's shared parts itself.
    """
    engine = engine_of(host, pending.service)
    if engine is None or not engine.fetch_token_s:
        return 0
    tokens = pending.elsewhere - have
    if tokens <= 0:
        return 0
    saved_s = tokens * (1 / READ_TOKENS_S - engine.fetch_token_s)
    return tokens if saved_s > FETCH_LEAST_S else 0


def follow(host, pending):
    """Say whether a prompt's shared parts can be had at any engine."""
    return fetchable(host, pending, 0) > 0


def to_read(host, state, pending):
    """Return the tokens to read before a request's first event.

    Those that are fetched count by the time that this takes.
    """
    prompt = pending.request.prompt
    fresh = fresh_tokens(state, prompt)
    tokens = fetchable(host, pending, held(state, prompt))
    if not tokens:
        return fresh
    engine = engine_of(host, pending.service)
    return int(fresh - tokens
               + tokens * engine.fetch_token_s * READ_TOKENS_S)


def source(host, target, pending, states, now):
    """Return the engine that the target is to fetch from, or None.

    Of those that hold the most, one in the target's failure domain; else
    any, as an engine sends to one other at a time.
    """
    prompt = pending.request.prompt
    if not fetchable(host, pending, held(target, prompt)):
        return None
    found = [state for state in states if state is not target
             and _read(state, prompt, now) == pending.elsewhere]
    near = [state for state in found
            if state.server.domain == target.server.domain]
    return host.rng.choice(near or found) if found else None


def place(host, state, prompt, memory, now, read_at):
    """Note that an engine holds a prompt's parts, and tell the others.

    It has read them at ``read_at``.
    """
    for part, tokens in prompt.parts[:-1]:
        if part not in state.parts:
            host.placed.append((now, state.server.sid, part, tokens))
    for part, tokens in prompt.parts:
        remember(state, part, tokens, memory, read_at)


def remember(state, part, tokens, memory, read_at):
    """Note that an engine holds a part, read at a time."""
    known = state.parts.pop(part, None)
    if known is not None:
        state.parts_tokens -= known.tokens
        read_at = min(read_at, known.read_at)
    state.parts[part] = Part(tokens, read_at)
    state.parts_tokens += tokens
    while state.parts_tokens > memory * PARTS_SHARE:
        _, dropped = state.parts.popitem(last=False)
        state.parts_tokens -= dropped.tokens
