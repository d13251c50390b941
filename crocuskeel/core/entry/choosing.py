"""Which backend server a request goes to: the least expected wait.

The wait at an engine is estimated from tokens that it has to read before
the first token of this request: those of requests ahead, and those of
this prompt that it doesn't hold yet. Every host expects a prompt's
shared parts at the same engine (highest random weight), so a part is
read once by the fleet and not once by each host, and goes elsewhere only
when waiting there would cost more than reading it again.
"""

from crocuskeel.core.entry import routing

__all__ = ["choose", "fresh_tokens", "note_load", "remember",
           "running"]

# Reading speed of an engine, tokens a second: between the 36,700 and
# 48,200 that the two deployments' engines are rated at.
PREFILL_TOKENS_S = 40_000.0
# One more running request slows each step of an engine by 0.12 ms of
# 2.6 ms; over the some 100 steps of an answer that is 12 ms.
RUNNING_S = 0.012
# A request of another host that waits, in tokens: the mean prompt less
# what is shared, by the deployments' sheets.
WAITING_TOKENS = 4_000
# All slots taken: waiting for one takes the better part of an answer.
FULL_S = 1.0
# A plain service's call takes some tens of milliseconds.
CALL_S = 0.05
# Between failure domains: one way 0.5 to 1.4 ms, and bytes are billed.
ACROSS_S = 0.004
# A server with this share of failures looks as slow as a full one.
FAILING_S = 1.0
# Reports of other hosts' load fade: half of it is gone after this, s.
LOAD_HALF_S = 0.5
# Parts that this host remembers at a server, as a share of its memory:
# the rest is taken by running requests and other hosts' parts.
PARTS_SHARE = 0.6


def choose(host, service, request, exclude, now):
    """Return the ServerState to send to, or None if there is none.

    Servers in ``exclude`` and suspect ones are taken only when no other
    is left: a suspect server may serve, and an excluded one has failed
    this very request.
    """
    usable = [state for state in host.by_service.get(service, ())
              if not state.server.draining]
    for strict in (2, 1, 0):
        found = [state for state in usable
                 if _fits(state, strict, exclude, now)]
        if found:
            return _least(host, found, request, now)
    return None


def _fits(state, strict, exclude, now):
    if state.server.sid in exclude:
        return strict == 0 and len(exclude) == 0
    return strict < 2 or state.suspect_until <= now


def _least(host, states, request, now):
    home = _home(states, request)
    return min(states, key=lambda state: (
        _wait(host, state, request, state is home, now),
        state.server.sid))


def _home(states, request):
    """Return the engine where all hosts expect the shared parts."""
    if request.prompt is None or len(request.prompt.parts) < 2:
        return None
    shared = request.prompt.parts[-2][0]
    return max(states, key=lambda state: routing.unit_hash(
        shared, state.server.sid))


def _wait(host, state, request, at_home, now):
    if request.prompt is None:
        wait = _call_wait(state, now)
    else:
        wait = _engine_wait(state, request, at_home, now)
    wait *= state.slowness
    if state.server.domain != host.me.domain:
        wait += ACROSS_S
    wait += FAILING_S * state.failing ** 2
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


def _engine_wait(state, request, at_home, now):
    ahead = sum(state.mine.values())
    waiting = max(0.0, running(state, now) - state.server.slots)
    ahead += waiting * WAITING_TOKENS
    tokens = ahead + fresh_tokens(state, request.prompt, at_home)
    wait = tokens / PREFILL_TOKENS_S
    wait += RUNNING_S * running(state, now)
    if waiting:
        wait += FULL_S
    return wait


def fresh_tokens(state, prompt, at_home):
    """Return how many tokens of a prompt an engine has yet to read.

    A part counts as held only if all parts before it are. The last part
    is the request's own; it is held only if this host sent it there.
    """
    fresh = prompt.tokens
    last = len(prompt.parts) - 1
    for place, (part, tokens) in enumerate(prompt.parts):
        held = part in state.parts or (at_home and place < last)
        if not held:
            break
        fresh -= tokens
    return max(0, fresh)


def running(state, now):
    """Return the estimate of requests at a server, of all hosts."""
    age = max(0.0, now - state.load_at)
    return len(state.mine) + state.others * 0.5 ** (age / LOAD_HALF_S / 4)


def note_load(state, load, now):
    """Learn of other hosts' requests from a server's own count."""
    if load is None:
        return
    active, waiting, _ = load
    state.others = max(0.0, active + waiting - len(state.mine))
    state.load_at = now


def remember(state, prompt, memory):
    """Note that an engine holds the parts of a prompt from now on."""
    for part, tokens in prompt.parts:
        if part in state.parts:
            state.parts_tokens -= state.parts.pop(part)
        state.parts[part] = tokens
        state.parts_tokens += tokens
    while state.parts_tokens > memory * PARTS_SHARE:
        _, tokens = state.parts.popitem(last=False)
        state.parts_tokens -= tokens
