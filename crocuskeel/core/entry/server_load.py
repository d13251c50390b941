"""The load of a backend server, as far as this host knows it.

Hosts tell each other of their requests at each server. The functions here
return the sums over all hosts, and what was observed of the server.
"""

from crocuskeel.core.entry import prefix_cache

__all__ = ["REPORT_HEARD_S", "is_silent", "note_load", "note_work",
           "prefill_s", "queued_prefill_s", "queued_prompts", "queued_tokens",
           "reserved_memory", "running_requests", "sample_prefill",
           "usable_slots"]

# A server with work is silent if it sent nothing for this long on top of the
# prefill time of its prompts, s. Events come every 30 to 200 ms.
SILENT_S = 0.5
# Prefill takes up to this many times as long beside running streams.
PREFILL_SLOWDOWN = 1.5
# Weight of a sample in the mean of an engine's prefill share: with four
# samples a second the mean covers the last second and a half.
BUSY_WEIGHT = 0.2
# Below this the mean of an idle engine is set to zero, after some 7 s.
MIN_BUSY = 0.01
# Peers are told for this long that something was heard of a server, s.
REPORT_HEARD_S = 1.0


def is_silent(state, now):
    """Say whether a server that has work sends nothing to any host.

    The connections of a hung or unreachable server stay open. A server that
    works sends events to some host, or prefills the prompts it was sent.
    """
    if not state.own_attempts:
        return False
    limit = SILENT_S + PREFILL_SLOWDOWN * (
        queued_tokens(state, now) / prefix_cache.PREFILL_TOKENS_PER_S)
    return now - max(state.last_seen_at, state.busy_since) > limit


def queued_tokens(state, now):
    """Return the tokens of all hosts that are queued for prefill."""
    state.peer_loads.expire(now)
    return state.peer_loads.queued_tokens + sum(state.own_attempts.values())


def queued_prefill_s(state, now):
    """Return how long an engine takes to prefill what is queued there."""
    return prefill_s(state, queued_tokens(state, now))


def prefill_s(state, tokens):
    """Return how long an engine takes to prefill so many tokens."""
    return tokens / prefix_cache.PREFILL_TOKENS_PER_S * state.slowness


def queued_prompts(state, now):
    """Return the number of prompts that an engine has yet to prefill."""
    state.peer_loads.expire(now)
    return state.peer_loads.queued_prompts + sum(
        tokens > 0 for tokens in state.own_attempts.values())


def note_work(host, state):
    """Note that a server has work, or that a host reported on it."""
    host.active_servers[state.server.sid] = None


def sample_prefill(host, now):
    """Sample which engines have prompts to prefill, once a tick.

    Only engines with work are sampled: the cost of an idle host must not
    grow with the number of servers.
    """
    for sid in list(host.active_servers):
        state = host.servers[sid]
        busy = queued_tokens(state, now) > 0
        state.prefill_share += BUSY_WEIGHT * (busy - state.prefill_share)
        if _is_idle(state, now):
            state.prefill_share = 0.0
            del host.active_servers[sid]


def _is_idle(state, now):
    return (not state.own_attempts and not state.peer_loads.rows
            and state.prefill_share < MIN_BUSY
            and state.last_seen_at < now - REPORT_HEARD_S)


def running_requests(state, now):
    """Return the number of requests of all hosts at a server."""
    state.peer_loads.expire(now)
    return len(state.own_attempts) + state.peer_loads.request_count


def usable_slots(state, now):
    """Return the number of an engine's slots that this host may use.

    One slot is reserved for each other host that sends there. Hosts learn
    of each other's requests with a delay, and streams fill the engines in
    the same order on all hosts. Without the reserve, engines had all slots
    in use and up to five requests queued: a more urgent request then
    preempts a running one, whose prompt is prefilled again. In 14 s of a
    steady load on 70 engines 22 requests were preempted without the
    reserve, none with it.
    """
    state.peer_loads.expire(now)
    return max(1, state.server.slots - len(state.peer_loads.rows))


def reserved_memory(state, now):
    """Return the tokens that an engine's requests may come to use."""
    state.peer_loads.expire(now)
    return state.memory_tokens + state.peer_loads.memory_tokens


def note_load(state, load, now):
    """Note the load that a server reports itself.

    ``load`` is (running, waiting, slots, work_percent), without the last one
    if the server works at its usual speed, or None.
    """
    if load is not None:
        active, waiting, _, *rest = load
        state.work_percent = rest[0] if rest else 100
        state.reported_load = active + waiting
        state.reported_at = now
