"""Callers that send again under the same key, and judge what they heard.

A caller that is told ``not_run`` comes back after the time it was told,
one that lost its connection at once, one told that its request ran or
may have run asks a few times more for the kept answer.
"""

import dataclasses

from bench.policy import clock as clocks
from bench.policy import fleet as fleets
from bench.policy import load as loads
from crocuskeel.core import events
from crocuskeel.core import problems

__all__ = ["Caller", "Said", "answered", "finished", "is_over", "lost_host",
           "new_caller", "ran", "send"]

EPOCH_S = 1_800_000_000.0
RECONNECT_S = 0.3
PATIENCE_S = 20.0
MAX_SENT = 10
MAX_ASKED = 2
ASK_AGAIN_S = 1.0
CUT_WITHIN_S = 0.6
SERVED = "served"


@dataclasses.dataclass(frozen=True, slots=True)
class Said:
    """One answer to the sending ``rid`` that is not the result."""

    at: float
    rid: str
    reason: str
    outcome: problems.Outcome


@dataclasses.dataclass(slots=True)
class Caller:
    """What one caller did and heard.

    ``sent`` holds the rids of all sendings in order; ``ended`` is
    ``served`` or the outcome of the last answer, empty until then, at
    ``ended_at``.
    """

    sent: list[str] = dataclasses.field(default_factory=list)
    said: list[Said] = dataclasses.field(default_factory=list)
    asked: int = 0
    ended: str = ""
    ended_at: float = 0.0


def new_caller():
    """Return a caller that has sent nothing."""
    return Caller()


def is_over(call):
    """Tell whether the caller has its final answer."""
    return bool(call.extra.ended)


def send(world, call):
    """Send, or send again, to the next entry host."""
    if is_over(call):
        return
    fleet = world.fleet
    node = _next_host(fleet)
    if not node.up:
        clocks.at(fleet.clock, RECONNECT_S, send, world, call)
        return
    node.count += 1
    incarnation = node.daemon.me.incarnation
    call.rid = f"{node.name}.{incarnation}.{node.count}"
    call.tries += 1
    call.extra.sent.append(call.rid)
    fleet.rids[call.rid] = call
    if not call.policy.repeatable and world.rng.random() < world.cut_share:
        clocks.at(fleet.clock, world.rng.uniform(0.0, CUT_WITHIN_S), _cut,
                  world, node, call, call.rid)
    fleets.deliver(fleet, node, _arrival(call))


def _next_host(fleet):
    # ``locate`` names a dead host for a while.
    nodes = [node for node in fleet.nodes.values()
             if node.up or fleet.clock.now - node.died_at < fleets.LOCATE_S]
    fleet.turn += 1
    return nodes[fleet.turn % len(nodes)]


def _arrival(call):
    policy = call.policy
    is_engine = policy.kind == "engine"
    return events.RequestArrived(
        call.rid, loads.token_of(call.workspace), "POST", "/v1",
        policy.name, "", is_engine, call.prompt,
        policy.max_tokens if is_engine else 0, call.prefix, call.key,
        call.fingerprint, "" if policy.repeatable else call.key,
        not policy.repeatable, EPOCH_S + call.at)


def _cut(world, node, call, rid):
    """The caller's connection is lost; it comes to another host."""
    if is_over(call) or call.rid != rid or not node.up:
        return
    call.rid = ""
    fleets.deliver(world.fleet, node, events.CallerGone(rid))
    clocks.at(world.fleet.clock, RECONNECT_S, send, world, call)


def lost_host(world, host):
    """All callers of a host that died come to another one."""
    for rid, call in list(world.fleet.rids.items()):
        is_here = call.rid == rid and rid.startswith(f"{host}.")
        if is_here and not is_over(call):
            call.rid = ""
            clocks.at(world.fleet.clock, RECONNECT_S, send, world, call)


def answered(world, rid, problem):
    """Take a refusal or failure."""
    call = world.fleet.rids.get(rid)
    if call is None or call.rid != rid or is_over(call):
        return
    now = world.fleet.clock.now
    call.extra.said.append(
        Said(now, rid, str(problem.reason), problem.outcome))
    wait_s = _comes_back_after(call, problem, now)
    if wait_s is None:
        call.extra.ended = str(problem.outcome)
        call.extra.ended_at = call.refused_at = now
        return
    call.rid = ""
    clocks.at(world.fleet.clock, wait_s, send, world, call)


def _comes_back_after(call, problem, now):
    caller = call.extra
    if problem.outcome is problems.Outcome.NOT_RUN:
        patient = now - call.at + problem.retry_after_s < PATIENCE_S
        if problem.retry_after_s and patient and call.tries < MAX_SENT:
            return problem.retry_after_s
        return None
    if caller.asked < MAX_ASKED:
        caller.asked += 1
        return max(ASK_AGAIN_S, problem.retry_after_s)
    return None


def finished(world, rid, fields):
    """Take a whole answer, the first or a kept one."""
    call = world.fleet.rids.get(rid)
    if call is None or call.rid != rid or is_over(call):
        return
    if fields.get("reason"):
        return
    call.extra.ended = SERVED
    call.extra.ended_at = call.done_at = world.fleet.clock.now
    call.itl_s = fields.get("itl_s", 0.0)


def ran(call):
    """Return the sendings that a backend server took."""
    return {rid for (rid, _), job in call.sources.items()
            if job.ended not in ("busy", "refused")}
