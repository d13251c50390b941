"""Callers that resend under the same key and record the answers.

A caller that is told ``not_run`` resends after the given delay, one that
lost its connection reconnects at once, and one that is told that its
request ran or may have run queries the stored answer a few more times.
"""

import dataclasses

from bench.policy import clock as clocks
from bench.policy import fleet as fleets
from bench.policy import load as loads
from crocuskeel.core import events
from crocuskeel.core import problems

__all__ = ["Caller", "ErrorAnswer", "handle_error", "handle_result",
           "is_finished", "new_caller", "reconnect_callers", "send",
           "started_rids"]

EPOCH_S = 1_800_000_000.0
RECONNECT_S = 0.3
MAX_RETRY_S = 20.0
MAX_SENDINGS = 10
MAX_RESULT_QUERIES = 2
RESULT_QUERY_DELAY_S = 1.0
DISCONNECT_WITHIN_S = 0.6
SERVED = "served"


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """An answer to the sending ``rid`` other than the result."""

    answered_at: float
    rid: str
    reason: str
    outcome: problems.Outcome


@dataclasses.dataclass(slots=True)
class Caller:
    """What one caller sent and received.

    ``rids`` lists the rids of all sendings in order. ``final_status`` is
    ``served`` or the outcome of the last answer, empty until ``final_at``.
    ``result_queries`` counts resends that only query the stored answer.
    """

    rids: list[str] = dataclasses.field(default_factory=list)
    errors: list[ErrorAnswer] = dataclasses.field(default_factory=list)
    result_queries: int = 0
    final_status: str = ""
    final_at: float = 0.0


def new_caller():
    """Return a caller that has sent nothing yet."""
    return Caller()


def is_finished(call):
    """Tell whether the caller has received its final answer."""
    return bool(call.driver_data.final_status)


def send(world, call):
    """Send or resend to the next entry host."""
    if is_finished(call):
        return
    fleet = world.fleet
    node = _next_host(fleet)
    if not node.up:
        clocks.call_later(fleet.clock, RECONNECT_S, send, world, call)
        return
    node.request_count += 1
    incarnation = node.daemon.identity.incarnation
    call.rid = f"{node.name}.{incarnation}.{node.request_count}"
    call.tries += 1
    call.driver_data.rids.append(call.rid)
    fleet.calls_by_rid[call.rid] = call
    if (not call.policy.repeatable
            and world.rng.random() < world.disconnect_share):
        clocks.call_later(
            fleet.clock, world.rng.uniform(0.0, DISCONNECT_WITHIN_S),
            _disconnect, world, node, call, call.rid)
    fleets.deliver(fleet, node, _request_event(call))


def _next_host(fleet):
    # ``locate`` still returns a dead host for a while.
    nodes = [node for node in fleet.nodes.values()
             if node.up
             or fleet.clock.now - node.died_at < fleets.LOCATE_LAG_S]
    fleet.next_node += 1
    return nodes[fleet.next_node % len(nodes)]


def _request_event(call):
    policy = call.policy
    is_engine = policy.kind == "engine"
    return events.RequestArrived(
        call.rid, loads.token_of(call.workspace), "POST", "/v1",
        policy.name, "", is_engine, call.prompt,
        policy.max_tokens if is_engine else 0, call.prefix, call.key,
        call.fingerprint, "" if policy.repeatable else call.key,
        not policy.repeatable, EPOCH_S + call.arrived_at)


def _disconnect(world, node, call, rid):
    """Disconnect the caller, which then reconnects to another host."""
    if is_finished(call) or call.rid != rid or not node.up:
        return
    call.rid = ""
    fleets.deliver(world.fleet, node, events.CallerGone(rid))
    clocks.call_later(world.fleet.clock, RECONNECT_S, send, world, call)


def reconnect_callers(world, host):
    """Reconnect all callers of a host that died to other hosts."""
    for rid, call in list(world.fleet.calls_by_rid.items()):
        is_affected = call.rid == rid and rid.startswith(f"{host}.")
        if is_affected and not is_finished(call):
            call.rid = ""
            clocks.call_later(
                world.fleet.clock, RECONNECT_S, send, world, call)


def handle_error(world, rid, problem):
    """Record a refusal or failure; schedule a resend if one is due."""
    call = world.fleet.calls_by_rid.get(rid)
    if call is None or call.rid != rid or is_finished(call):
        return
    now = world.fleet.clock.now
    call.driver_data.errors.append(
        ErrorAnswer(now, rid, str(problem.reason), problem.outcome))
    wait_s = _resend_delay(call, problem, now)
    if wait_s is None:
        call.driver_data.final_status = str(problem.outcome)
        call.driver_data.final_at = call.refused_at = now
        return
    call.rid = ""
    clocks.call_later(world.fleet.clock, wait_s, send, world, call)


def _resend_delay(call, problem, now):
    caller = call.driver_data
    if problem.outcome is problems.Outcome.NOT_RUN:
        may_retry = now - call.arrived_at + problem.retry_after_s < MAX_RETRY_S
        if problem.retry_after_s and may_retry and call.tries < MAX_SENDINGS:
            return problem.retry_after_s
        return None
    if caller.result_queries < MAX_RESULT_QUERIES:
        caller.result_queries += 1
        return max(RESULT_QUERY_DELAY_S, problem.retry_after_s)
    return None


def handle_result(world, rid, fields):
    """Record a complete answer, the original or a replayed one."""
    call = world.fleet.calls_by_rid.get(rid)
    if call is None or call.rid != rid or is_finished(call):
        return
    if fields.get("reason"):
        return
    call.driver_data.final_status = SERVED
    call.driver_data.final_at = call.done_at = world.fleet.clock.now
    call.itl_s = fields.get("itl_s", 0.0)


def started_rids(call):
    """Return the rids of sendings that a backend server accepted."""
    return {rid for (rid, _), job in call.jobs.items()
            if job.ended not in ("busy", "refused")}
