"""Queues prompts at a host until an engine takes them, or rejects them.

The load: more prompts than engines can begin at once, for seconds. Each
prompt joins the waiting room of its service, and the room is looked
through in its order whenever an engine may have become free. What can't
be begun within the time that its caller waits is rejected at once, with
the time at which capacity is expected.
"""

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import class_minimums
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import server_choice
from crocuskeel.core.entry import server_load
from crocuskeel.core.scheduling import arrivals
from crocuskeel.core.scheduling import backlog
from crocuskeel.core.scheduling import engine_choice
from crocuskeel.core.scheduling import fleet_demand
from crocuskeel.core.scheduling import plan
from crocuskeel.core.scheduling import services
from crocuskeel.core.scheduling import settings
from crocuskeel.core.scheduling import waiting_room

__all__ = ["dispatch_all", "rows", "submit"]

# The room is looked through at most each this many seconds, s: placing one
# prompt among 30 engines takes 0.5 ms, and loads change 100 times a second.
DISPATCH_INTERVAL_S = 0.02
# A queued request's plan is checked again at this interval, s: engines may
# have been lost, or the backlog have grown.
PLAN_INTERVAL_S = 0.25
# Prompts of a class that may find no engine before the class is passed
# over: one whose shared parts no engine holds may fail where the next fits.
MAX_FAILURES = 2


def submit(host, schedule, pending, start, now):
    """Queue a prompt and look for engines; return effects.

    ``start(pending, state)`` returns the effects of sending a request to
    an engine.
    """
    waiting = _waiting(schedule, pending, now)
    displaced = waiting_room.join(schedule.room, waiting, now)
    if displaced == pending.key:
        return _reject(host, schedule, pending, "room_full",
                       _decide(host, schedule, pending, now), now)
    out = []
    if displaced is not None:
        other = host.pending[displaced]
        out += _reject(host, schedule, other, "room_full",
                       _decide(host, schedule, other, now), now)
    is_new = pending.key not in host.held
    if is_new:
        arrivals.note(schedule.arrivals, waiting.priority, waiting.tokens,
                      now)
    host.held.add(pending.key)
    out += dispatch(host, schedule, start, now)
    if pending.key not in host.held:
        return out
    return out + _plan(host, schedule, pending, is_new, now)


def _waiting(schedule, pending, now):
    """Return the entry of a request in the waiting room."""
    route = pending.route
    first_at = _first_arrived_at(pending)
    return waiting_room.Waiting(
        key=pending.key, route=route.name, priority=pending.rank,
        workspace=pending.workspace,
        tokens=max(1, pending.request.prompt.tokens
                   - pending.cached_elsewhere_tokens),
        target_at=first_at + route.target_s,
        give_up_at=pending.deadline_at, first_arrived_at=first_at)


def _first_arrived_at(pending):
    """Return when the first attempt of a request's caller arrived.

    A caller that retries after a refusal has less time left than its route
    allows. If its time counted from the retry, all callers that were
    rejected would be accepted together, and the backlog would grow without
    a bound.
    """
    if not admission.is_callers_retry(pending):
        return pending.arrived_at
    return pending.arrived_at - (
        pending.route.timeout_s - pending.request.deadline_s)


def dispatch_all(host, start, now):
    """Look through the waiting rooms of all services; return effects."""
    out = []
    for service in list(host.schedules):
        schedule = services.find(host, service)
        if (schedule is not None and waiting_room.size(schedule.room)
                and now >= schedule.dispatch_at + DISPATCH_INTERVAL_S):
            out += dispatch(host, schedule, start, now)
    return out


def dispatch(host, schedule, start, now):
    """Send the prompts of a room that engines take, in its order.

    A class that finds no engine holds up the less urgent ones, except a
    class below its minimum.
    """
    schedule.dispatch_at = now
    out = []
    failures = {}
    for key in waiting_room.order(schedule.room, now):
        pending = host.pending.get(key)
        if pending is None:
            waiting_room.leave(schedule.room, key)
            continue
        if _is_passed_over(host, pending, failures, now):
            continue
        tried = {attempt.sid for attempt in pending.attempts}
        state, limit = engine_choice.find_engine(
            host, schedule, pending, tried, now)
        if state is None:
            name = pending.route.name
            failures[name] = failures.get(name, 0) + 1
            if len(failures) == len(_classes(schedule)) and all(
                    count >= MAX_FAILURES for count in failures.values()):
                break
            pending.blocked_by = limit or "no_engine"
            continue
        waiting_room.placed(schedule.room, key, now)
        out += start(pending, state)
    return out


def _classes(schedule):
    return waiting_room.backlog(schedule.room)


def _is_passed_over(host, pending, failures, now):
    if failures.get(pending.route.name, 0) >= MAX_FAILURES:
        return True
    blocked = any(count >= MAX_FAILURES for count in failures.values())
    return blocked and not class_minimums.is_below_minimum(
        host, pending, now)


def _plan(host, schedule, pending, is_new, now):
    """Keep a request in the room until its next check, or reject it."""
    decision = _decide(host, schedule, pending, now)
    if pending.may_have_run:
        due_at = pending.deadline_at
    elif decision.wait_s is None or decision.wait_s <= 0:
        return _reject(host, schedule, pending, decision.cause, decision, now)
    else:
        due_at = now + min(decision.wait_s, PLAN_INTERVAL_S)
    out = [effects.SetRequestTimer(
        pending.key, min(pending.deadline_at, due_at))]
    if is_new:
        out.append(ending.log_line(
            "held", pending.request, route=pending.route.name,
            cause=str(pending.blocked_by), rank=pending.rank,
            expected_s=round(decision.expected_s, 2),
            waiting=waiting_room.size(schedule.room)))
    return out


def _decide(host, schedule, pending, now):
    """Return the plan's Decision for a request that waits."""
    engines = server_choice.healthy(host, pending, now)
    route = pending.route
    own = sum(tokens for name, (_, tokens)
              in waiting_room.backlog(schedule.room).items()
              if _priority(host, name) <= pending.rank)
    others = fleet_demand.ahead(host.queued_elsewhere, pending.service,
                                pending.rank, now)
    own_tokens = max(1, pending.request.prompt.tokens
                     - pending.cached_elsewhere_tokens)
    work = plan.Work(
        tokens_ahead=max(0, own - own_tokens) + others,
        queued_tokens=sum(server_load.queued_tokens(state, now)
                          for state in engines),
        tokens_per_s=engine_choice.engines_rate(schedule, engines),
        urgent_tokens_per_s=_urgent_arrivals(host, schedule, pending, now),
        own_tokens=own_tokens, target_s=route.target_s,
        left_s=pending.deadline_at - now,
        waited_s=now - _first_arrived_at(pending),
        max_wait_s=host.scheduling.wait_share * route.timeout_s)
    gate = schedule.gate(route)
    floor = settings.floor(host.scheduling, route.name)
    is_below = class_minimums.is_below_floor(host, pending, floor, now)
    decision = plan.decide(work, gate.is_rejecting, host.rng.random(),
                           is_below)
    plan.update(gate, decision)
    return decision


def _priority(host, route_name):
    for routes in host.catalog.routes.values():
        for route in routes:
            if route.name == route_name:
                return route.priority
    return 0


def _urgent_arrivals(host, schedule, pending, now):
    """Return the tokens a second of more urgent classes at all hosts.

    Callers spread evenly over the serving hosts.
    """
    hosts = max(1, len(fleet.serving_hosts(host, now)))
    return hosts * arrivals.tokens_per_s(
        schedule.arrivals, pending.route.priority, now)


def _reject(host, schedule, pending, cause, decision, now):
    """Refuse a request that has not run, with the time to come back."""
    if pending.may_have_run:
        waiting_room.leave(schedule.room, pending.key)
        return ending.give_up(host, pending, cause, now)
    backlog.note_rejected(schedule, pending.request.prompt.tokens, now)
    line = ending.log_line(
        "shed", pending.request, route=pending.route.name, cause=cause,
        blocked_by=str(pending.blocked_by), rank=pending.rank,
        waited_s=round(now - pending.arrived_at, 3),
        expected_s=round(decision.expected_s, 2),
        retry_s=round(decision.retry_s, 2),
        waiting=waiting_room.size(schedule.room),
        back=admission.is_callers_retry(pending))
    ending.finish(host, pending)
    return [ending.refuse(pending.key, pending.deadline_at - now, "overload",
                          decision.retry_s), line]


def rows(host):
    """Return what waits here, as fleet_demand's rows."""
    found = []
    for service, schedule in host.schedules.items():
        for route, (count, tokens) in waiting_room.backlog(
                schedule.room).items():
            found.append((service, route, _priority(host, route), count,
                          tokens))
    return tuple(found)
