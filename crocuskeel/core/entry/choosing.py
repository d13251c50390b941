"""Which backend server a request goes to: the least expected wait.

The wait at an engine is estimated from tokens that it has to read before
the first token of this request: those of requests ahead, and those of
this prompt that it doesn't hold yet. Hosts tell each other what they
have under way at each engine and which parts they sent there, so that a
shared part is read once by the fleet and not once by each host. It goes
elsewhere only when waiting there costs more than reading it again.
"""

import dataclasses
import math

from crocuskeel.core.entry import health
from crocuskeel.core.entry import model
from crocuskeel.core.entry import pace
from crocuskeel.core.entry import parts
from crocuskeel.core.entry import pauses
from crocuskeel.core.entry import routing

__all__ = ["ahead_s", "ahead_tokens", "choose", "choose_with_room",
           "is_silent", "later_streams", "memory", "note_load", "read_s",
           "reading", "running", "sample", "slots", "sound"]

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
# A server with work that was not heard for this long on top of the time
# to read its prompts, s, is silent. Events come each 30 to 200 ms.
SILENT_S = 0.5
# Reading takes up to this many times as long while streams run, too.
READ_SLACK = 1.5
# Weight of a sample of what an engine does: four samples a second make
# a mean over the last second and a half.
BUSY_WEIGHT = 0.2
# All slots taken: waiting for one takes the better part of an answer.
FULL_S = 1.0
# A plain service's call takes some tens of milliseconds.
CALL_S = 0.05
# Between failure domains: one way 0.5 to 1.4 ms, and bytes are billed.
ACROSS_S = 0.004
# A server with this share of failures looks as slow as a full one.
FAILING_S = 1.0
# Of the connections that a server accepts, hosts use this share together:
# each hears of the others' with a delay of some ms, in which they could
# take the rest twice.
CONNECTIONS_SHARE = 0.9


def choose(host, pending, exclude, now):
    """Return the ServerState to send to, or None if there is none.

    Servers in ``exclude`` and suspect ones are taken only when no other
    is left: a suspect server may serve, and an excluded one has failed
    this very request.
    """
    usable = _usable(host, pending.service, now)
    for strict in (2, 1, 0):
        found = [state for state in usable
                 if _fits(state, strict, exclude, now)]
        if found:
            return _least(host, found, pending, now)
    return None


def choose_with_room(host, pending, has_room, now):
    """Return the best of the servers with room, or None.

    ``has_room(state)`` says which have any. One that is suspect has none:
    a dead engine has nothing before it and would look the best.
    """
    found = [state for state in sound(host, pending.service, now)
             if has_room(state)]
    return _least(host, found, pending, now) if found else None


def sound(host, service, now):
    """Return the servers that may get requests and seem well."""
    return [state for state in _usable(host, service, now)
            if _fits(state, 2, (), now)]


def _usable(host, service, now):
    most = _connections(host, service)
    return [state for state in host.by_service.get(service, ())
            if not (state.server.draining or state.misdirects)
            and running(state, now) < most]


def _connections(host, service):
    """Return how many requests a server may have under way at a time."""
    known = host.catalog.services.get(service)
    if known is None or not known.connections:
        return math.inf
    return known.connections * CONNECTIONS_SHARE


def _fits(state, strict, exclude, now):
    if state.server.sid in exclude:
        return strict == 0 and len(exclude) == 0
    if strict < 2:
        return True
    return state.suspect_until <= now and not is_silent(state, now)


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


def _least(host, states, pending, now):
    order = _order(host, states, pending, now)
    prompt = _prompt(host, states, pending, bool(order))
    return min(states, key=lambda state: (
        _wait(host, state, pending, prompt, now)
        + order.get(state.server.sid, 0.0),
        state.server.sid))


def _prompt(host, states, pending, ordered):
    prompt = pending.request.prompt
    if prompt is None:
        return None
    shared = sum(tokens for _, tokens in prompt.parts[:-1])
    return _Prompt(pending, pace.of_service(host, pending.service),
                   prompt.tokens - shared, shared,
                   _home(states, pending.request), ordered)


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
    busy = running(state, now)
    wait = CALL_S * busy / slots
    if busy >= slots:
        wait += CALL_S * (1 + busy - slots)
    return wait


def _engine_wait(host, state, prompt, now):
    ahead = ahead_tokens(state, now)
    held = parts.held(state, prompt.pending.request.prompt)
    fetched = parts.fetchable(host, prompt.pending, held)
    missing = prompt.shared - held - fetched
    tokens = ahead + prompt.own + FETCH_SHARE * fetched
    if state is not prompt.home:
        tokens += REREAD * missing
    busy = running(state, now)
    wait = tokens / parts.READ_TOKENS_S
    if not prompt.ordered:
        wait += RUNNING_S * busy
    wait += LATE_S * _late(
        state, prompt, read_s(state, ahead), prompt.own + missing, now)
    if busy >= slots(state, now):
        wait += FULL_S
    return wait


def _late(state, prompt, ahead, fresh, now):
    """Return how many streams a prompt is expected to make late."""
    harm = pauses.harm(state, prompt.seen, ahead, read_s(state, fresh))
    return harm + pauses.own_loss(
        state, prompt.seen, prompt.pending.route, now)


def is_silent(state, now):
    """Say whether a server that has work says nothing to any host.

    One that went dark keeps its connections open. One that works makes
    events for somebody, or reads what it was sent.
    """
    if not state.mine:
        return False
    limit = SILENT_S + READ_SLACK * (
        ahead_tokens(state, now) / parts.READ_TOKENS_S)
    return now - max(state.heard_at, state.asked_at) > limit


def ahead_tokens(state, now):
    """Return the tokens that all hosts wait for an engine to read."""
    state.others.expire(now)
    return state.others.tokens + sum(state.mine.values())


def later_streams(host, state, pending, now):
    """Return how many streams, as urgent or more, a prompt makes late."""
    fresh = parts.to_read(host, state, pending)
    seen = pace.of_service(host, pending.service)
    return pauses.harm(state, seen, ahead_s(state, now),
                       read_s(state, fresh), pending.route.priority)


def ahead_s(state, now):
    """Return how long an engine takes to read what waits there."""
    return read_s(state, ahead_tokens(state, now))


def read_s(state, tokens):
    """Return how long an engine takes to read so many tokens."""
    return tokens / parts.READ_TOKENS_S * state.slowness


def reading(state, now):
    """Return the requests whose prompts an engine has yet to read."""
    state.others.expire(now)
    return state.others.reading + sum(
        tokens > 0 for tokens in state.mine.values())


def sample(host, now):
    """Note which engines have prompts to read, once a tick."""
    for state in host.servers.values():
        busy = ahead_tokens(state, now) > 0
        state.busy += BUSY_WEIGHT * (busy - state.busy)


def running(state, now):
    """Return the requests at a server, of all hosts."""
    state.others.expire(now)
    return len(state.mine) + state.others.running


def slots(state, now):
    """Return how many requests this host counts on an engine to run.

    Hosts hear of each other's requests with a delay, and streams take
    engines in the same order at all hosts. Without room for one more of
    each other host that sends there, engines had all slots taken and up
    to five requests waiting: a more urgent one then puts back one that
    runs, which is read anew. In 14 s of a steady load on 70 engines 22
    were put back without this room, none with it.
    """
    state.others.expire(now)
    return max(1, state.server.slots - len(state.others.rows))


def memory(state, now):
    """Return the tokens that requests at an engine may come to hold."""
    state.others.expire(now)
    return state.memory + state.others.memory


def note_load(state, load, now):
    """Note what a server says of its own load."""
    if load is not None:
        active, waiting, _ = load
        state.load = active + waiting
        state.load_at = now
