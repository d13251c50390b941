"""Queues prompts at a host until an engine takes them, or rejects them.

The load: more prompts than engines can begin at once, for seconds. Each
prompt joins the waiting room of its service, and the room is looked
through in its order whenever an engine may have become free. What can't
be begun within the time that its caller waits is rejected on arrival, with
the time at which capacity is expected.
"""

from crocuskeel.core.entry import admission
from crocuskeel.core.entry import class_minimums
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import health
from crocuskeel.core.entry import server_choice
from crocuskeel.core.entry import server_load
from crocuskeel.core.scheduling import arrivals
from crocuskeel.core.scheduling import backlog
from crocuskeel.core.scheduling import engine_choice
from crocuskeel.core.scheduling import fleet_demand
from crocuskeel.core.scheduling import limits
from crocuskeel.core.scheduling import plan
from crocuskeel.core.scheduling import services
from crocuskeel.core.scheduling import settings
from crocuskeel.core.scheduling import waiting_room

__all__ = ["dispatch_all", "rows", "submit"]

# Minimum interval between two passes over a room, s: placing one prompt
# among 30 engines takes 0.5 ms, and loads change 100 times a second.
DISPATCH_INTERVAL_S = 0.02
# A queued request is looked at by a timer of its own at this interval, s, in
# case that no event tells of a free engine. All of them together are at most
# so many times a second.
RECHECK_S = 0.25
MIN_RECHECK_S = 0.002
MAX_RECHECKS_PER_S = 200.0
# Prompts of a class that may find no engine before the class is passed over
# in this pass.
MAX_FAILURES = 2
# Prompts that may find no engine in one pass for reasons of their own, such
# as the engines that they have tried.
MAX_TRIES = 16
# Limit of an expected wait in the log, s.
MAX_LOGGED_S = 999.0
# Limits that say something of the engines and not of the one prompt.
SHARED_LIMITS = (limits.Limit.SLOTS, limits.Limit.QUEUE, limits.Limit.PREFILL)


def submit(host, schedule, pending, start, now):
    """Queue a prompt and look for an engine; return effects.

    ``start(pending, state)`` returns the effects of sending a request to
    an engine.
    """
    is_new = pending.key not in host.held
    waiting = _waiting(schedule, pending, now)
    displaced = waiting_room.join(schedule.room, waiting, now)
    host.held.add(pending.key)
    out = []
    if displaced is not None:
        out = _displace(host, schedule, pending, displaced, now)
        if pending.key not in host.held:
            return out
    if is_new:
        arrivals.note(schedule.arrivals, pending.route.priority,
                      waiting.tokens, now)
    if now >= schedule.dispatched_at + DISPATCH_INTERVAL_S:
        out += _dispatch(host, schedule, start, now)
    elif is_new and _is_alone(schedule, pending):
        out += _try(host, schedule, pending, start, now)[0]
    if pending.key not in host.held:
        return out
    return out + _plan(host, schedule, pending, is_new, now)


def _displace(host, schedule, pending, displaced, now):
    """Reject the request that has to leave a full room.

    One that may have run can't be refused as not run: it stays, and the new
    one is rejected.
    """
    other = host.pending[displaced]
    if other.may_have_run and other is not pending:
        waiting_room.leave(schedule.room, pending.key)
        waiting_room.join(schedule.room, _waiting(schedule, other, now), now)
        other = pending
    return _reject(host, schedule, other, "room_full",
                   _decide(host, schedule, other, now), now)


def _is_alone(schedule, pending):
    """Say whether no other request as urgent or more waits."""
    return not any(
        count > (route == pending.route.name)
        for route, (count, _) in waiting_room.backlog(schedule.room).items()
        if schedule.priorities.get(route, 0) <= pending.route.priority)


def _waiting(schedule, pending, now):
    """Return the entry of a request in the waiting room."""
    route = pending.route
    first_at = _first_arrived_at(pending)
    return waiting_room.Waiting(
        key=pending.key, route=route.name, priority=pending.rank,
        workspace=pending.workspace, tokens=_own_tokens(pending),
        target_at=first_at + route.target_s,
        give_up_at=pending.deadline_at, first_arrived_at=first_at)


def _own_tokens(pending):
    """Return the tokens that the best engine has to read for a prompt."""
    return max(1, pending.request.prompt.tokens
               - pending.cached_elsewhere_tokens)


def _first_arrived_at(pending):
    """Return when the first attempt of a request's caller arrived.

    A caller that retries after a refusal has less time left than its route
    allows. It is ahead of those that came after its first attempt.
    """
    if pending.request.deadline_s is None:
        return pending.arrived_at
    return pending.arrived_at - max(
        0.0, pending.route.timeout_s - pending.request.deadline_s)


def dispatch_all(host, start, now):
    """Look through the waiting rooms of all services; return effects."""
    out = []
    for service in list(host.schedules):
        schedule = services.find(host, service)
        if (schedule is not None and waiting_room.size(schedule.room)
                and now >= schedule.dispatched_at + DISPATCH_INTERVAL_S):
            out += _dispatch(host, schedule, start, now)
    return out


def _dispatch(host, schedule, start, now):
    """Send the prompts of a room that engines take, in its order.

    A class that finds no engine holds up the less urgent ones, except a
    class below its minimum.
    """
    schedule.dispatched_at = now
    out = []
    failures = {}
    blocked = set()
    tries = 0
    for key in waiting_room.order(schedule.room, now, blocked):
        pending = host.pending[key]
        if _is_held_up(host, schedule, pending, blocked, now):
            blocked.add(pending.route.name)
            continue
        sent, limit = _try(host, schedule, pending, start, now)
        out += sent
        if limit is None:
            continue
        tries += 1
        if limit in SHARED_LIMITS:
            name = pending.route.name
            failures[name] = failures.get(name, 0) + 1
            if failures[name] >= MAX_FAILURES:
                blocked.add(name)
        if tries >= MAX_TRIES:
            break
    return out


def _try(host, schedule, pending, start, now):
    """Send a queued prompt if an engine takes it.

    Returns the effects, and the limit that keeps it or None.
    """
    tried = ending.tried_servers(pending)
    state, limit = engine_choice.find_engine(
        host, schedule, pending, tried, now)
    if state is not None:
        return start(pending, state), None
    pending.blocked_by = limit or "no_engine"
    return [], pending.blocked_by


def _is_held_up(host, schedule, pending, blocked, now):
    """Say whether a more urgent class finds no engine."""
    if not any(schedule.priorities.get(name, 0) < pending.route.priority
               for name in blocked):
        return False
    floor = settings.floor(host.scheduling, pending.route.name)
    return not (class_minimums.is_below_minimum(host, pending, now)
                or class_minimums.is_below_floor(host, pending, floor, now))


def _plan(host, schedule, pending, is_new, now):
    """Keep a request in the room until its next check, or reject it.

    Only a new one is rejected for the backlog: those that came later count
    in it, too, while the time that is left shrinks, so that the ones that
    have waited longest would be rejected first.
    """
    decision = _decide(host, schedule, pending, now)
    is_late = decision.wait_s is None and (
        is_new or decision.cause != "backlog")
    if is_late and not pending.may_have_run:
        return _reject(host, schedule, pending, decision.cause, decision, now)
    due_s = max(RECHECK_S, waiting_room.size(schedule.room)
                / MAX_RECHECKS_PER_S)
    if not pending.may_have_run:
        left_s = pending.arrived_at + _max_wait_s(host, pending) - now
        due_s = min(due_s, max(MIN_RECHECK_S, left_s))
    out = [effects.SetRequestTimer(
        pending.key, min(pending.deadline_at, now + due_s))]
    if is_new:
        out.append(ending.log_line(
            "held", pending.request, route=pending.route.name,
            cause=str(pending.blocked_by), rank=pending.rank,
            expected_s=_logged_s(decision),
            waiting=waiting_room.size(schedule.room)))
    return out


def _max_wait_s(host, pending):
    """Return how long a request may wait, of what its caller had left."""
    return host.scheduling.wait_share * ending.time_limit_s(pending)


def _decide(host, schedule, pending, now):
    """Return the plan's Decision for a request that waits.

    It goes by the engines that have been heard since they failed. The others
    are tried again, but most of them are still down.
    """
    engines = [state for state in server_choice.healthy(host, pending, now)
               if health.is_proven(state)]
    route = pending.route
    work = plan.Work(
        tokens_ahead=_tokens_ahead(host, schedule, pending, now),
        queued_tokens=sum(server_load.queued_tokens(state, now)
                          for state in engines),
        tokens_per_s=engine_choice.engines_rate(schedule, engines),
        urgent_tokens_per_s=_urgent_arrivals(host, schedule, pending, now),
        own_tokens=_own_tokens(pending), target_s=route.target_s,
        left_s=pending.deadline_at - now,
        waited_s=now - pending.arrived_at,
        max_wait_s=_max_wait_s(host, pending))
    gate = schedule.gate(route)
    floor = settings.floor(host.scheduling, route.name)
    decision = plan.decide(
        work, gate.is_rejecting, host.rng.random(),
        class_minimums.is_below_floor(host, pending, floor, now))
    plan.update(gate, decision)
    return decision


def _tokens_ahead(host, schedule, pending, now):
    """Return the tokens of waiting prompts that go before this one.

    Those of more urgent classes, and in its own class of each workspace as
    many as its own one has: workspaces take turns, so one that sends many
    times its usual does not get the others' requests rejected.
    """
    queued = waiting_room.backlog(schedule.room)
    priority = pending.route.priority
    ahead = sum(tokens for route, (_, tokens) in queued.items()
                if schedule.priorities.get(route, 0) < priority)
    elsewhere = fleet_demand.ahead(
        host.queued_elsewhere, pending.service, priority - 1, now)
    own_class = queued.get(pending.route.name, (0, 0))[1]
    by_workspace = waiting_room.workspace_backlog(
        schedule.room, pending.route.name)
    mine = by_workspace.get(pending.workspace, 0)
    weights = host.scheduling
    weight = settings.workspace_weight(weights, pending.workspace)
    before = sum(min(tokens, mine * settings.workspace_weight(
        weights, name) / weight) for name, tokens in by_workspace.items())
    same_elsewhere = fleet_demand.ahead(
        host.queued_elsewhere, pending.service, priority, now) - elsewhere
    share = before / own_class if own_class else 1.0
    return max(0.0, ahead + elsewhere + before - _own_tokens(pending)
               + share * same_elsewhere)


def _urgent_arrivals(host, schedule, pending, now):
    """Return the tokens a second of more urgent classes at all hosts.

    Callers spread evenly over the serving hosts.
    """
    hosts = max(1, len(fleet.serving_hosts(host, now)))
    return hosts * arrivals.tokens_per_s(
        schedule.arrivals, pending.route.priority, now)


def _reject(host, schedule, pending, cause, decision, now):
    """Refuse a request, with the time to come back if it has not run."""
    out = ending.cancel_all(host, pending)
    if pending.may_have_run:
        return out + ending.give_up(host, pending, cause, now)
    retry_s = decision.retry_s
    if retry_s is None:
        retry_s = admission.retry_delay_s(host, pending, now)
    backlog.note_rejected(schedule, _own_tokens(pending), now)
    line = ending.log_line(
        "shed", pending.request, route=pending.route.name, cause=cause,
        blocked_by=str(pending.blocked_by), rank=pending.rank,
        waited_s=round(now - pending.arrived_at, 3),
        expected_s=_logged_s(decision), retry_s=round(retry_s, 2),
        waiting=waiting_room.size(schedule.room),
        back=admission.is_callers_retry(pending))
    ending.finish(host, pending)
    return [*out, ending.refuse(pending.key, pending.deadline_at - now,
                                "overload", retry_s), line]


def _logged_s(decision):
    """Return the expected wait for the log, which has no infinite numbers."""
    return round(min(decision.expected_s, MAX_LOGGED_S), 2)


def rows(host):
    """Return what waits here, as fleet_demand's rows."""
    return tuple(
        (service, route, schedule.priorities.get(route, 0), count, tokens)
        for service, schedule in host.schedules.items()
        for route, (count, tokens) in waiting_room.backlog(
            schedule.room).items())
