"""Decides which large request bodies this host reads into its memory.

The load that it answers: callers that send large bodies at the same time,
each within the limits of one request, and together more than the memory of
the host. A process over its limit is killed, and what it had passed on to
servers is lost.

A large body gets its memory before any of it is read. While there is none it
waits with its connection unread, and it is refused, before it is read, if it
would wait for too long. Whatever the host holds besides is measured at each
tick; with too much of that new requests of any size are refused, those of the
most urgent class last.
"""

import dataclasses

from crocuskeel.core.entry import arrivals
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending

__all__ = ["BodyMemory", "SMALL_BODY_BYTES", "announced", "budget_bytes",
           "is_short", "measured", "released", "step"]

# A body up to this size is read at once, bytes. It is held like the others.
SMALL_BODY_BYTES = 1 << 16
# Part of the limit that this host plans to use; the rest is for what appears
# between two measurements.
USABLE_SHARE = 0.9
# Part of the limit for requests and answers if the process can't measure its
# memory, and the minimum if it can.
UNMEASURED_SHARE = 0.25
MIN_SHARE = 1 / 16
# Parts of the budget: for large bodies, and for answers that servers send
# faster than callers read them. The rest is for small bodies and for requests
# that callers send before they have their answer.
BODIES_SHARE = 0.5
ANSWERS_SHARE = 0.375
UNREAD_SHARE = 0.0625
# The most urgent class is refused only at this part of the limit above the
# budget.
URGENT_SHARE = 0.05
# Callers leave a host that reads nothing for a second, or for a third of their
# time left.
MAX_WAIT_S = 0.5
MAX_WAIT_SHARE = 0.2
# Each nth body that gets memory is the one that has waited longest, whatever
# its class.
OLDEST_EVERY = 4
# Weight of the last tick in the rate at which memory becomes free.
RATE_WEIGHT = 0.3
MAX_RETRY_S = 5.0
MIN_RETRY_S = 0.1


@dataclasses.dataclass(slots=True)
class _Body:
    """A body that waits for memory, or has it.

    ``size`` is what it has, and ``wanted`` what it waits for, bytes.
    """

    route: str
    rid: str
    priority: int
    wanted: int
    arrived_at: float
    waits_until: float
    left_s: float | None
    size: int = 0


@dataclasses.dataclass(slots=True)
class BodyMemory:
    """Memory of large bodies; all sizes in bytes.

    ``bodies`` and ``waiting`` map the key of a request to a body. ``total``
    is the budget of all that is held, ``held`` the last measurement of it,
    and ``unsent`` that of ended requests' answers that wait for callers.
    ``free_rate`` is the rate at which bodies are released, bytes a second,
    None before the first one.
    """

    limit: int = 0
    total: int = 1 << 62
    held: int = 0
    unsent: int = 0
    reserved: int = 0
    bodies: dict = dataclasses.field(default_factory=dict)
    waiting: dict = dataclasses.field(default_factory=dict)
    granted: int = 0
    released: int = 0
    released_since: float | None = None
    free_rate: float | None = None

    @property
    def is_exceeded(self):
        """Whether more is held than the budget."""
        return self.held > self.total

    @property
    def for_bodies(self):
        """Budget of large bodies."""
        return int(self.total * BODIES_SHARE)

    @property
    def for_answers(self):
        """Budget of answers that wait for their callers."""
        return int(self.total * ANSWERS_SHARE)

    @property
    def for_unread(self):
        """Budget of bytes that belong to requests not yet begun."""
        return int(self.total * UNREAD_SHARE)


def budget_bytes(limit, resident, held):
    """Return the budget of requests and answers, bytes.

    ``limit`` is that of the process, ``resident`` its measured memory, None
    if that is unknown, and ``held`` how much of this is the budget's own.
    """
    if resident is None:
        return int(limit * UNMEASURED_SHARE)
    others = max(0, resident - held)
    return int(max(limit * MIN_SHARE, limit * USABLE_SHARE - others))


def measured(host, event, now):
    """Handle a measurement of the process's memory."""
    memory = host.memory
    was_short = memory.is_exceeded
    memory.limit = event.limit
    memory.total = budget_bytes(event.limit, event.resident, event.held)
    memory.held = event.held
    memory.unsent = event.unsent
    out = []
    if was_short != memory.is_exceeded:
        out.append(effects.LogEvent("memory_short", {
            "short": not was_short, "held": memory.held,
            "budget": memory.total, "resident": event.resident}))
    return out + _grant(memory)


def is_short(memory, priority):
    """Return whether new requests of a class have to be refused."""
    excess = memory.held - memory.total
    if priority == 0:
        excess -= memory.limit * URGENT_SHARE
    return excess > 0


def announced(host, event, now):
    """Handle the head of a request with a large body, or its growth.

    ``size`` is the memory that the body needs from now on. The reader waits
    until ReadBody or RefuseBody.
    """
    memory = host.memory
    body = memory.bodies.pop(event.key, None)
    if body is not None:
        # Its size is not known beforehand.
        body.wanted = event.size - body.size
        body.waits_until = now + _wait_s(body.left_s)
    else:
        found = arrivals.find_destination(host, event.request, now)
        if found.is_err():
            # The body would change nothing in this answer.
            refused = found.unwrap_err()
            return [effects.RefuseBody(event.key, refused.status,
                                       refused.reason, refused.retry_delay_s),
                    *refused.lines]
        body = _new_body(event, found.unwrap(), now)
    memory.waiting[event.key] = body
    out = _grant(memory)
    if event.key not in memory.waiting:
        return out
    if _expected_wait_s(memory, body) > body.waits_until - now:
        return out + _refuse(memory, event.key, now)
    return [*out, ending.log_line(
        "held", event.request, route=body.route, cause="host_memory",
        size=body.wanted, waiting=len(memory.waiting))]


def _new_body(event, destination, now):
    left_s = event.request.deadline_s
    return _Body(destination.route.name, event.request.rid,
                 destination.priority, event.size, now,
                 now + _wait_s(left_s), left_s)


def _wait_s(left_s):
    if left_s is None:
        return MAX_WAIT_S
    return min(MAX_WAIT_S, left_s * MAX_WAIT_SHARE)


def _grant(memory):
    """Give memory to waiting bodies while there is some."""
    out = []
    while memory.waiting:
        key = _next(memory)
        body = memory.waiting[key]
        fits = memory.reserved + body.wanted <= memory.for_bodies
        if not fits and memory.reserved:
            break
        # A body that exceeds the budget is read alone.
        del memory.waiting[key]
        memory.granted += 1
        memory.reserved += body.wanted
        body.size += body.wanted
        memory.bodies[key] = body
        out.append(effects.ReadBody(key))
    return out


def _next(memory):
    """Return the key of the body that gets memory next."""
    oldest_first = memory.granted % OLDEST_EVERY == 0

    def order(key):
        body = memory.waiting[key]
        # A body that has been read in part occupies memory meanwhile.
        return (not body.size, 0 if oldest_first else body.priority,
                body.arrived_at)

    return min(memory.waiting, key=order)


def _expected_wait_s(memory, body):
    """Return how long a body will wait at the current rate, s."""
    if memory.free_rate is None:
        return 0.0
    ahead = sum(other.wanted for other in memory.waiting.values()
                if other.priority <= body.priority)
    missing = memory.reserved + ahead - memory.for_bodies
    return max(0, missing) / max(1.0, memory.free_rate)


def _refuse(memory, key, now):
    body = memory.waiting[key]
    retry_s = min(MAX_RETRY_S, max(
        MIN_RETRY_S, _expected_wait_s(memory, body)))
    del memory.waiting[key]
    waited_s = now - body.arrived_at
    retry_s = ending.limit_retry_delay(
        retry_s, None if body.left_s is None else body.left_s - waited_s)
    memory.reserved -= body.size
    return [effects.RefuseBody(key, ending.UNAVAILABLE, "host memory",
                               retry_s),
            effects.LogEvent("shed", {
                "rid": body.rid, "route": body.route,
                "priority": body.priority, "cause": "host_memory",
                "size": body.size + body.wanted, "reserved": memory.reserved,
                "budget": memory.for_bodies,
                "waited_s": round(waited_s, 3),
                "retry_s": round(retry_s, 3)})]


def released(host, event, now):
    """Handle the end of a request with a large body."""
    memory = host.memory
    body = memory.bodies.pop(event.key, None)
    if body is None:
        body = memory.waiting.pop(event.key, None)
    if body is None:
        return []
    memory.reserved -= body.size
    memory.released += body.size
    return _grant(memory)


def step(host, now):
    """Refuse bodies that have waited long enough; learn the rate."""
    memory = host.memory
    _learn_rate(memory, now)
    overdue = [key for key, body in memory.waiting.items()
               if now >= body.waits_until]
    return [effect for key in overdue
            for effect in _refuse(memory, key, now)]


def _learn_rate(memory, now):
    since, memory.released_since = memory.released_since, now
    if since is None or now <= since:
        return
    if not (memory.bodies or memory.waiting or memory.released):
        # Nothing uses the memory: the last rate stays.
        return
    rate = memory.released / (now - since)
    if memory.free_rate is not None:
        rate = RATE_WEIGHT * rate + (1 - RATE_WEIGHT) * memory.free_rate
    if memory.released or memory.free_rate is not None:
        memory.free_rate = rate
    memory.released = 0
