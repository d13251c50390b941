"""Chooses an engine by learned rates, for services that are scheduled.

The load: bursts of long prompts at engines of different speeds. With a
fixed prefill rate the queues of engines that read three times as fast look
three times as long: engines idle while prompts are rejected. With parts of
prompts sent to the engine that the hash prefers, whatever waits there, some
engines have a second of prefill queued while others have none.

A prompt goes where its first event comes soonest, as far as its caller
notices: a fetch of shared parts from another engine occupies two engines'
links and memory, so it has to bring the first event forward by a share of
the target.
"""

from crocuskeel.core.entry import health
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import server_load
from crocuskeel.core.scheduling import groups
from crocuskeel.core.scheduling import rates as learned

__all__ = ["cheapest", "prefill_s", "prefill_tokens", "queued_s"]

# A fetch of shared parts has to save this share of the request's target.
FETCH_TARGET_SHARE = 0.15
# Prefilling a shared part again takes engine time from all other requests:
# it counts this many times its own time.
REPEATED_PREFILL_FACTOR = 5.0
# A long prompt makes each interactive stream at an engine late, and such a
# stream is late at an engine that prefills without a pause: each counts as
# so much waiting, s.
LATE_STREAM_S = 0.1
BUSY_ENGINE_S = 0.5
# One more running request slows each step of an engine by 0.1 ms; over the
# some 100 steps of an answer that is 10 ms.
RUNNING_REQUEST_S = 0.01
# All slots are in use: waiting for one takes most of the time of an answer.
FULL_ENGINE_S = 1.0
# Cost of an engine whose requests all fail: a broken stream that may not be
# retried loses more than one that is late by this.
FAILING_S = 2.0
# A prompt and its events cross a link between failure domains only if that
# brings the first event forward by this share of the target.
CROSS_DOMAIN_TARGET_SHARE = 0.05


def queued_s(rates, state, now):
    """Return how long an engine takes to prefill what is queued there."""
    return (server_load.queued_tokens(state, now)
            / learned.tokens_per_s(rates, state.server.sid))


def prefill_s(rates, state, tokens, now):
    """Return how long a prompt and those queued before it take."""
    return queued_s(rates, state, now) + (
        tokens / learned.tokens_per_s(rates, state.server.sid))


def prefill_tokens(host, state, pending):
    """Return the (read, fetched, repeated) tokens of a prompt at an engine.

    ``read`` are to be prefilled; ``repeated`` of them are parts that
    another engine holds or is prefilling and that this one can't fetch.
    """
    prompt = pending.request.prompt
    held = prefix_cache.cached_tokens(state, prompt)
    fetched = prefix_cache.fetchable_tokens(host, pending, held)
    uncached = prefix_cache.uncached_tokens(state, prompt)
    repeated = max(0, pending.known_tokens - held - fetched)
    return uncached - fetched, fetched, repeated


def cheapest(host, schedule, states, pending, is_interactive, now):
    """Return the engine with the lowest expected cost for a prompt."""
    rates, gap_s = schedule.rates, schedule.gap_s
    preferred = _preferred(pending.candidates, pending.request.prompt)
    engine = prefix_cache.engine_config(host, pending.service)
    fetch_token_s = engine.fetch_token_s if engine is not None else 0.0
    fetch_s = FETCH_TARGET_SHARE * pending.route.target_s
    cross_s = CROSS_DOMAIN_TARGET_SHARE * pending.route.target_s

    shared = sum(tokens for _, tokens in pending.request.prompt.parts[:-1])

    def cost_s(state):
        read, fetched, repeated = prefill_tokens(host, state, pending)
        rate = learned.tokens_per_s(rates, state.server.sid)
        if preferred is not None and state is not preferred:
            repeated = shared
        read += (REPEATED_PREFILL_FACTOR - 1.0) * repeated
        cost = (server_load.queued_tokens(state, now) + read) / rate
        if fetched:
            cost += fetch_s + fetched * fetch_token_s
        running = server_load.running_requests(state, now)
        cost += RUNNING_REQUEST_S * running
        if running >= server_load.usable_slots(state, now):
            cost += FULL_ENGINE_S
        if state.server.domain != host.self_peer.domain:
            cost += cross_s
        if is_interactive:
            cost += BUSY_ENGINE_S * state.prefill_share
        elif gap_s is not None:
            cost += LATE_STREAM_S * groups.interactive_streams(state, gap_s)
        cost += FAILING_S * health.current_failure_rate(state, now)
        cost += max(0.0, state.warm_at - now)
        # Hosts must not all choose the same of equal engines.
        return cost + 0.002 * host.rng.random(), state.server.sid

    return min(states, key=cost_s)


def _preferred(states, prompt):
    """Return the engine for a shared part that no engine is known to hold.

    All hosts choose the same one: in a large fleet a host hears of most
    parts that others sent to engines, but not of all. None if it is known.
    """
    if len(prompt.parts) < 2:
        return None
    shared = prompt.parts[-2][0]
    if any(shared in state.parts for state in states):
        return None
    return max(states, key=lambda state: routing.unit_hash(
        shared, state.server.sid))
