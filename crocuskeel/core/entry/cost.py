"""The expected cost of sending a request to a server, in seconds.

The wait at an engine is estimated from the tokens that it has to prefill
before the first token of this request: those of queued requests, and those
of this prompt that it doesn't cache yet. Delays of the streams that run
there are part of the cost.
"""

import dataclasses

from crocuskeel.core.entry import health
from crocuskeel.core.entry import model
from crocuskeel.core.entry import pause_estimate
from crocuskeel.core.entry import prefill_pauses
from crocuskeel.core.entry import prefix_cache
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import server_load

__all__ = ["cheapest", "late_streams"]

# A late stream has a fraction of the value of one on time: keeping one on
# time is worth this wait of another request, s. With this weight for
# streams' pauses goodput was 0.60 over five days with faults, 0.49 with the
# prefill time alone.
LATE_STREAM_S = 2.0
# Streams that long prompts would make late fill the engines in the same
# order on all hosts: each position in it adds this cost, s, about the time
# to prefill one short prompt.
ORDER_STEP_S = 0.02
# One more running request slows each step of an engine by 0.12 ms of
# 2.6 ms; over the some 100 steps of an answer that is 12 ms.
RUNNING_REQUEST_S = 0.012
# Prefilling a shared part again takes engine time from all other requests
# and is billed: it counts this many times its own time.
REPEATED_PREFILL_FACTOR = 4.0
# Fetching a part uses both engines' links and is billed at a tenth to a
# quarter of its prefill: it counts this share of it. On a day of high load
# with 70 engines goodput was 0.32 with fetching, 0.22 without.
FETCH_COST_SHARE = 0.2
# All slots are in use: waiting for one takes most of the time of an answer.
FULL_ENGINE_S = 1.0
# Duration of a call to a plain service: some tens of milliseconds.
CALL_S = 0.05
# Sending to another failure domain: 0.5 to 1.4 ms one way, and traffic is
# billed.
CROSS_DOMAIN_S = 0.004
# Cost of a server whose requests all fail, the same as of a full engine; it
# grows with the square of the share that fails.
FAILING_S = 1.0


def cheapest(host, states, pending, now):
    """Return the server with the lowest cost for a request."""
    order = _order(host, states, pending, now)
    prompt = _prompt(host, states, pending, bool(order))
    return min(states, key=lambda state: (
        _cost_s(host, state, pending, prompt, now)
        + order.get(state.server.sid, 0.0),
        state.server.sid))


def late_streams(host, state, pending, now):
    """Return how many streams, as urgent or more, a prompt makes late."""
    tokens = prefix_cache.prefill_tokens(host, state, pending)
    estimate = pause_estimate.estimate_of(host, pending.service)
    return prefill_pauses.late_streams(
        state, estimate, server_load.queued_prefill_s(state, now),
        server_load.prefill_s(state, tokens), pending.route.priority)


@dataclasses.dataclass(frozen=True, slots=True)
class _Prompt:
    """The inputs of a prompt's cost that are the same at all engines.

    ``own`` and ``shared`` are token counts; the shared tokens come first.
    ``preferred`` is the engine that a new shared part is sent to.
    ``ordered``: streams fill the engines in a common order.
    """

    pending: object
    estimate: pause_estimate.PauseEstimate
    own: int
    shared: int
    preferred: object
    ordered: bool


def _order(host, states, pending, now):
    """Return the cost of each engine's position in the common order, s.

    Streams that long prompts would make late fill the same engines on
    all hosts, one after the other, and leave the rest to long prompts.
    Empty if the request is not such a stream.
    """
    if pending.request.prompt is None:
        return {}
    estimate = pause_estimate.estimate_of(host, pending.service)
    if not prefill_pauses.is_at_risk(states, estimate, pending.route, now):
        return {}
    ranked = sorted(states, key=lambda state: routing.cached_unit_hash(
        state.server.sid, "calm"))
    return {state.server.sid: position * ORDER_STEP_S
            for position, state in enumerate(ranked)}


def _prompt(host, states, pending, ordered):
    prompt = pending.request.prompt
    if prompt is None:
        return None
    shared = sum(tokens for _, tokens in prompt.parts[:-1])
    return _Prompt(pending, pause_estimate.estimate_of(host, pending.service),
                   prompt.tokens - shared, shared,
                   _preferred(states, pending.request), ordered)


def _preferred(states, request):
    """Return the engine that a new shared part of a prompt is sent to.

    All hosts select the same one by rendezvous hashing (highest random
    weight), so that a new part is not prefilled once for each host. None if
    an engine caches the part, or the prompt has no shared part.
    """
    if request.prompt is None or len(request.prompt.parts) < 2:
        return None
    shared = request.prompt.parts[-2][0]
    if any(shared in state.parts for state in states):
        return None
    return max(states, key=lambda state: routing.unit_hash(
        shared, state.server.sid))


def _cost_s(host, state, pending, prompt, now):
    if prompt is None:
        cost_s = _call_cost_s(state, now)
    else:
        cost_s = _engine_cost_s(host, state, prompt, now)
    cost_s *= state.slowness
    if state.server.domain != host.self_peer.domain:
        cost_s += CROSS_DOMAIN_S
    failing = health.current_failure_rate(state, now)
    if pending.route.kind is model.Kind.STREAM:
        # A broken stream loses as much value as a late one.
        cost_s += LATE_STREAM_S * failing
    else:
        cost_s += FAILING_S * failing ** 2
    cost_s += max(0.0, state.warm_at - now)
    # Random tie-break: hosts must not all choose the same of equal servers.
    return cost_s + 0.001 * host.rng.random()


def _call_cost_s(state, now):
    slots = max(1, state.server.slots)
    running = server_load.running_requests(state, now)
    cost_s = CALL_S * running / slots
    if running >= slots:
        cost_s += CALL_S * (1 + running - slots)
    return cost_s


def _engine_cost_s(host, state, prompt, now):
    ahead = server_load.queued_tokens(state, now)
    cached = prefix_cache.cached_tokens(state, prompt.pending.request.prompt)
    fetched = prefix_cache.fetchable_tokens(host, prompt.pending, cached)
    missing = prompt.shared - cached - fetched
    tokens = ahead + prompt.own + FETCH_COST_SHARE * fetched
    if state is not prompt.preferred:
        tokens += REPEATED_PREFILL_FACTOR * missing
    running = server_load.running_requests(state, now)
    cost_s = tokens / prefix_cache.PREFILL_TOKENS_PER_S
    if not prompt.ordered:
        cost_s += RUNNING_REQUEST_S * running
    ahead_s = server_load.prefill_s(state, ahead)
    cost_s += LATE_STREAM_S * _expected_late(
        state, prompt, ahead_s, prompt.own + missing, now)
    if running >= server_load.usable_slots(state, now):
        cost_s += FULL_ENGINE_S
    return cost_s


def _expected_late(state, prompt, ahead_s, tokens, now):
    """Return how many streams a prompt is expected to make late.

    Its own stream counts with the probability that it is late.
    """
    prefill_s = server_load.prefill_s(state, tokens)
    others = prefill_pauses.late_streams(
        state, prompt.estimate, ahead_s, prefill_s)
    return others + prefill_pauses.late_probability(
        state, prompt.estimate, prompt.pending.route, now)
