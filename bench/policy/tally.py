"""Counts the events of a run and reports its figures."""

import dataclasses

from bench.policy import load
from crocuskeel.core.dispatch import floors
from crocuskeel.core.dispatch import state as states

__all__ = ["Tally", "count_inversions", "new_tally", "record_effects",
           "record_enqueue", "record_grant", "record_leave",
           "record_refusal", "report"]

TIER_WEIGHTS = {1: 4.0, 2: 2.0, 3: 1.0}
_SHED_REASONS = ("deadline", "overload", "queue_full")
# A wait ends at the next tick of a dispatcher, plus network latency.
WAIT_SLACK_S = 0.3
DEFAULT_SLOTS = 48


@dataclasses.dataclass(slots=True)
class Tally:
    """Waiting calls and gaps between grants, by (cell, class).

    ``floors`` maps a class to its tier and floor; ``slots`` maps a cell
    to the lowest number of usable slots observed; ``shed_calls`` lists
    the (cell, class) of refusals that are not yet checked.
    """

    floors: dict[str, tuple[int, float]]
    waiting: dict = dataclasses.field(default_factory=dict)
    gap_started_at: dict = dataclasses.field(default_factory=dict)
    gaps: dict = dataclasses.field(default_factory=dict)
    slots: dict = dataclasses.field(default_factory=dict)
    held_slots: dict = dataclasses.field(default_factory=dict)
    longest_hold_s: dict = dataclasses.field(default_factory=dict)
    shed_calls: list = dataclasses.field(default_factory=list)
    inversions: int = 0
    suspects: set = dataclasses.field(default_factory=set)
    quarantined: set = dataclasses.field(default_factory=set)


def new_tally(deployment):
    """Return an empty tally."""
    class_floors = {}
    for name in deployment.mix:
        policy = load.conf.resolve(
            deployment.tree, deployment.workspaces[0], name)
        class_floors[name] = (policy.tier, policy.floor)
    return Tally(class_floors)


def record_enqueue(tally, cell, name, rid, now):
    """Record that a call begins to wait."""
    group = tally.waiting.setdefault((cell, name), set())
    if not group:
        tally.gap_started_at[(cell, name)] = now
    group.add(rid)


def record_leave(tally, cell, name, rid):
    """Record that a call stops waiting without a grant."""
    tally.waiting.get((cell, name), set()).discard(rid)


def record_grant(tally, cell, name, rid, now):
    """Record a grant to a waiting call: the gap of its class ends."""
    key = (cell, name)
    if rid not in tally.waiting.get(key, ()):
        return
    gap = now - tally.gap_started_at[key]
    tally.gaps[name] = max(gap, tally.gaps.get(name, 0.0))
    tally.gap_started_at[key] = now
    tally.waiting[key].discard(rid)
    tally.held_slots[rid] = (cell, now)


def record_release(tally, rid, now):
    """Record that a slot is released."""
    cell, granted_at = tally.held_slots.pop(rid, ("", now))
    tally.longest_hold_s[cell] = max(
        now - granted_at, tally.longest_hold_s.get(cell, 0))


def record_refusal(tally, cell, name):
    """Record a refusal; count an inversion if a lower tier is favored.

    At that time the lower tiers may have no more waiting calls than
    their reserved slots.
    """
    tier = tally.floors[name][0]
    for (other_cell, other), rids in tally.waiting.items():
        if other_cell != cell or tally.floors[other][0] <= tier:
            continue
        if len(rids) > _reserved_slots(tally, cell, other):
            tally.inversions += 1
            return


def _reserved_slots(tally, cell, name):
    tier, floor = tally.floors[name]
    group = states.ClassQueue(name, tier, floor)
    return floors.protected_queue_size(
        group, tally.slots.get(cell, DEFAULT_SLOTS))


def record_effects(tally, out, now):
    """Record the effects of one event of a daemon."""
    for effect in out:
        kind = getattr(effect, "kind", "")
        if not hasattr(effect, "fields"):
            continue
        fields = dict(effect.fields)
        name, cell = fields.get("class", ""), fields.get("cell", "")
        if kind == "enqueued":
            record_enqueue(tally, cell, name, effect.rid, now)
        elif kind == "granted" and "batch" in fields:
            record_grant(tally, cell, name, effect.rid, now)
        elif kind == "closed":
            record_release(tally, effect.rid, now)
        elif kind == "quarantined":
            tally.quarantined.add(fields["fingerprint"])
        elif kind == "suspect":
            tally.suspects.add(fields["fingerprint"])
        elif kind == "answered":
            record_leave(tally, cell, name, effect.rid)
            if fields["reason"] in _SHED_REASONS and not fields.get("engine"):
                tally.shed_calls.append((cell, name))


def count_inversions(tally, cells):
    """Check the latest refusals against the dispatchers' queues.

    ``cells(name)`` yields each dispatcher's cell and its slots.
    """
    for cell_name, name in tally.shed_calls:
        tier = tally.floors[name][0]
        for cell, slots in cells(cell_name):
            if any(group.tier > tier
                   and group.waiting_count > floors.protected_queue_size(
                       group, slots)
                   for group in cell.class_queues.values()):
                tally.inversions += 1
    tally.shed_calls.clear()


# The report.

def attained(call):
    """Tell whether a call's complete answer met the target of its class."""
    policy = call.policy
    if (not call.done_at
            or call.first_at - call.arrived_at > policy.target_ttft_s):
        return False
    if policy.kind == "engine" and call.itl_s > policy.target_itl_s:
        return False
    return not is_worthless(call)


def is_worthless(call):
    """Tell whether the call has no answer or one that came too late."""
    late = call.done_at - call.arrived_at > call.policy.deadline_s
    return not call.done_at or (call.policy.late == "drop" and late)


def is_wrong(call):
    """Tell whether a caller got anything but its own complete answer.

    A caller that lost its entry host resends under another rid and
    discards the partial answer.
    """
    if not call.done_at or call.policy.kind != "engine":
        return False
    relayed = [job for (rid, _), job in call.jobs.items()
               if rid == call.rid and job.forwarded]
    return len(relayed) != 1 or relayed[0].forwarded != call.length or (
        relayed[0].call is not call)


def report(deployment, tally, calls, servers, seconds, is_noisy, takeover_s):
    """Return the figures of a run as a dict for JSON.

    ``is_noisy(call)`` tells whether the call is of the workspace that
    sends the burst; ``takeover_s`` is what a fault adds to the bounds of
    gaps.
    """
    classes = {}
    for name in deployment.mix:
        class_calls = [call for call in calls if call.policy.name == name]
        classes[name] = _class_row(
            deployment, tally, name, class_calls, takeover_s)
        others = [call for call in class_calls if not is_noisy(call)]
        if 0 < len(others) < len(class_calls):
            classes[name]["others_attainment"] = _attainment(others)
    top_tier = [call for call in calls if call.policy.tier == 1]
    weighted_sum = sum(TIER_WEIGHTS[row["tier"]] * row["attainment"]
                       for row in classes.values())
    total = sum(TIER_WEIGHTS[row["tier"]] for row in classes.values())
    wasted_tokens, wasted_calls = _waste(calls, servers)
    attained_calls = [call for call in calls if attained(call)]
    return {
        "classes": classes,
        "goodput": round(len(attained_calls) / seconds, 3),
        "top_tier_attainment": _attainment(top_tier),
        "weighted_attainment": round(weighted_sum / total, 4),
        "wasted_work": round(max(wasted_tokens, wasted_calls), 5),
        "wasted_tokens": round(wasted_tokens, 5),
        "wasted_calls": round(wasted_calls, 5),
        "duplicated_runs": sum(max(0, call.starts - 1) for call in calls
                               if not call.policy.repeatable),
        "wrong_answers": sum(map(is_wrong, calls)),
        "unanswered": sum(not call.is_finished for call in calls),
        "tier_inversions": tally.inversions,
    }


def _attainment(calls):
    return round(sum(map(attained, calls)) / max(1, len(calls)), 4)


def _class_row(deployment, tally, name, calls, takeover_s):
    policy = calls[0].policy if calls else None
    waits = [call.waited_s for call in calls] or [0.0]
    row = {
        "tier": tally.floors[name][0],
        "sent": len(calls),
        "answered": sum(bool(call.done_at) for call in calls),
        "attained": sum(map(attained, calls)),
        "attainment": _attainment(calls),
        "refused": sum(bool(call.refused_at) for call in calls),
        "longest_wait_s": round(max(waits), 3),
        "longest_gap_s": round(tally.gaps.get(name, 0.0), 3),
    }
    if policy is not None:
        deadline = max(call.policy.deadline_s for call in calls)
        row["wait_bound_s"] = round(deadline + WAIT_SLACK_S, 3)
        row["gap_bound_s"] = round(
            _gap_bound(deployment, tally, policy) + takeover_s, 3)
    return row


def _gap_bound(deployment, tally, policy):
    cells = [cell for cell in tally.slots
             if cell.startswith(policy.service + "/")]
    service_classes = [name for name in deployment.mix if load.conf.resolve(
        deployment.tree, policy.workspace, name).service == policy.service]
    bounds = [floors.max_grant_gap_s(
        policy.floor, len(service_classes), tally.slots[cell],
        tally.longest_hold_s.get(cell, 0.0)) for cell in cells]
    return max(bounds, default=0.0)


def _waste(calls, servers):
    shares = []
    for kind in ("engine", "plain"):
        work_done = sum(server.work_done for server in servers.values()
                        if server.kind == kind)
        useful = sum(call.length if kind == "engine" else 1
                     for call in calls if call.policy.kind == kind
                     and not is_worthless(call))
        shares.append((work_done - useful) / work_done if work_done else 0.0)
    return shares
