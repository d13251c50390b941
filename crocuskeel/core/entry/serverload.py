"""What a backend server has under way, by all that this host knows.

Hosts tell each other of their requests at each server; sums over all of
them, and what a server was seen to do with them, are asked for here.
"""

from crocuskeel.core.entry import parts

__all__ = ["HEARD_S", "ahead_s", "ahead_tokens", "is_silent", "memory",
           "note_load", "note_work", "read_s", "reading", "running",
           "sample", "slots"]

# A server with work that was not heard for this long on top of the time
# to read its prompts, s, is silent. Events come each 30 to 200 ms.
SILENT_S = 0.5
# Reading takes up to this many times as long while streams run, too.
READ_SLACK = 1.5
# Weight of a sample of what an engine does: four samples a second make
# a mean over the last second and a half.
BUSY_WEIGHT = 0.2
# An idle engine's mean is taken for zero below this, after some 7 s.
BUSY_LEAST = 0.01
# What was heard of a server is told to others for this long, s.
HEARD_S = 1.0


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


def note_work(host, state):
    """Note that a server has work, or was heard of."""
    host.working[state.server.sid] = None


def sample(host, now):
    """Note which engines have prompts to read, once a tick.

    Only those with work are looked at: what an idle host costs must not
    grow with the servers.
    """
    for sid in list(host.working):
        state = host.servers[sid]
        busy = ahead_tokens(state, now) > 0
        state.busy += BUSY_WEIGHT * (busy - state.busy)
        if _rests(state, now):
            state.busy = 0.0
            del host.working[sid]


def _rests(state, now):
    return (not state.mine and not state.others.rows
            and state.busy < BUSY_LEAST
            and state.heard_at < now - HEARD_S)


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
