"""What sending a request to a server is expected to cost, in seconds.

The wait at an engine is estimated from tokens that it has to read before
the first token of this request: those of requests ahead, and those of
this prompt that it doesn't hold yet. What a prompt does to the streams
that run there counts too.
"""

import dataclasses

from crocuskeel.core.entry import health
from crocuskeel.core.entry import model
from crocuskeel.core.entry import pace
from crocuskeel.core.entry import parts
from crocuskeel.core.entry import pauses
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import serverload

__all__ = ["least", "later_streams"]

# A stream that is late is worth a fraction of one on time: to spare one,
# another request may be expected to wait for so long, s. With streams'
# pauses weighed by this, 0.60 of what requests were worth came in over
# five days of trouble, 0.49 when only the time to read counted.
LATE_S = 2.0
# Streams that long prompts would make late take the engines in the same
# order at all hosts: an engine later in it counts so much for each place,
# s, about the time to read one short prompt.
ORDER_S = 0.02
# One more running request slows each step of an engine by 0.12 ms of
# 2.6 ms; over the some 100 steps of an answer that is 12 ms.
RUNNING_S = 0.012
# Reading a shared part once more takes an engine's time from every other
# request and is billed besides: it counts this many times its own time.
REREAD = 4.0
# What another engine sends takes both engines' links and is billed, too,
# some tenth to some quarter of reading it: it counts this share of it. On a
# day of high load with 70 engines 0.32 of what requests were worth came in
# with fetching, 0.22 without.
FETCH_SHARE = 0.2
# All slots taken: waiting for one takes the better part of an answer.
FULL_S = 1.0
# A plain service's call takes some tens of milliseconds.
CALL_S = 0.05
# Between failure domains: one way 0.5 to 1.4 ms, and bytes are billed.
ACROSS_S = 0.004
# A server with this share of failures looks as slow as a full one.
FAILING_S = 1.0


def least(host, states, pending, now):
    """Return the server that costs a request the least."""
    order = _order(host, states, pending, now)
    prompt = _prompt(host, states, pending, bool(order))
    return min(states, key=lambda state: (
        _wait(host, state, pending, prompt, now)
        + order.get(state.server.sid, 0.0),
        state.server.sid))


def later_streams(host, state, pending, now):
    """Return how many streams, as urgent or more, a prompt makes late."""
    fresh = parts.to_read(host, state, pending)
    seen = pace.of_service(host, pending.service)
    return pauses.harm(state, seen, serverload.ahead_s(state, now),
                       serverload.read_s(state, fresh), pending.route.priority)


@dataclasses.dataclass(frozen=True, slots=True)
class _Prompt:
    """What is the same of a prompt at each engine that it may go to.

    ``own`` tokens follow its ``shared`` ones. ``ordered``: streams in
    danger take the engines in order.
    """

    pending: object
    seen: pace.Pace
    own: int
    shared: int
    home: object
    ordered: bool


def _order(host, states, pending, now):
    """Return what taking an engine out of order counts, s.

    Streams that long prompts would make late fill the same engines at
    all hosts, one after the other, and leave the rest to long prompts.
    """
    if pending.request.prompt is None:
        return {}
    seen = pace.of_service(host, pending.service)
    if not pauses.sensitive(states, seen, pending.route, now):
        return {}
    ranked = sorted(states, key=lambda state: routing.name_hash(
        state.server.sid, "calm"))
    return {state.server.sid: place * ORDER_S
            for place, state in enumerate(ranked)}


def _prompt(host, states, pending, ordered):
    prompt = pending.request.prompt
    if prompt is None:
        return None
    shared = sum(tokens for _, tokens in prompt.parts[:-1])
    return _Prompt(pending, pace.of_service(host, pending.service),
                   prompt.tokens - shared, shared,
                   _home(states, pending.request), ordered)


def _home(states, request):
    """Return the engine where a prompt's shared parts go first.

    All hosts find the same one (highest random weight), so that two of
    them don't have a new part read twice.
    """
    if request.prompt is None or len(request.prompt.parts) < 2:
        return None
    shared = request.prompt.parts[-2][0]
    if any(shared in state.parts for state in states):
        return None
    return max(states, key=lambda state: routing.unit_hash(
        shared, state.server.sid))


def _wait(host, state, pending, prompt, now):
    if prompt is None:
        wait = _call_wait(state, now)
    else:
        wait = _engine_wait(host, state, prompt, now)
    wait *= state.slowness
    if state.server.domain != host.me.domain:
        wait += ACROSS_S
    failing = health.failing(state, now)
    if pending.route.kind is model.Kind.STREAM:
        # A stream that breaks off is lost as one that is late.
        wait += LATE_S * failing
    else:
        wait += FAILING_S * failing ** 2
    wait += max(0.0, state.cold_until - now)
    # Equal servers: hosts must not all take the same one.
    return wait + 0.001 * host.rng.random()


def _call_wait(state, now):
    slots = max(1, state.server.slots)
    busy = serverload.running(state, now)
    wait = CALL_S * busy / slots
    if busy >= slots:
        wait += CALL_S * (1 + busy - slots)
    return wait


def _engine_wait(host, state, prompt, now):
    ahead = serverload.ahead_tokens(state, now)
    held = parts.held(state, prompt.pending.request.prompt)
    fetched = parts.fetchable(host, prompt.pending, held)
    missing = prompt.shared - held - fetched
    tokens = ahead + prompt.own + FETCH_SHARE * fetched
    if state is not prompt.home:
        tokens += REREAD * missing
    busy = serverload.running(state, now)
    wait = tokens / parts.READ_TOKENS_S
    if not prompt.ordered:
        wait += RUNNING_S * busy
    ahead_s = serverload.read_s(state, ahead)
    wait += LATE_S * _late(state, prompt, ahead_s, prompt.own + missing, now)
    if busy >= serverload.slots(state, now):
        wait += FULL_S
    return wait


def _late(state, prompt, ahead, fresh, now):
    """Return how many streams a prompt is expected to make late."""
    fresh_s = serverload.read_s(state, fresh)
    harm = pauses.harm(state, prompt.seen, ahead, fresh_s)
    return harm + pauses.own_loss(
        state, prompt.seen, prompt.pending.route, now)
