"""What is counted in a run, and the report of it."""

import dataclasses

from bench.policy import load
from crocuskeel.core.dispatch import floors
from crocuskeel.core.dispatch import state as states

__all__ = ["Tally", "enqueued", "granted", "inversions", "judge",
           "left", "new_tally", "refused", "report"]

TIER_WEIGHTS = {1: 4.0, 2: 2.0, 3: 1.0}
_SHED = ("deadline", "overload", "queue_full")
# Waits end at the next tick of a dispatcher and cross the network.
SLACK_S = 0.3
DEFAULT_SLOTS = 48


@dataclasses.dataclass(slots=True)
class Tally:
    """Waiting calls and gaps between grants, by (cell, class).

    ``floors`` maps a class to its tier and floor; ``slots`` a cell to
    the fewest usable slots seen.
    """

    floors: dict[str, tuple[int, float]]
    waiting: dict = dataclasses.field(default_factory=dict)
    since: dict = dataclasses.field(default_factory=dict)
    gaps: dict = dataclasses.field(default_factory=dict)
    slots: dict = dataclasses.field(default_factory=dict)
    held: dict = dataclasses.field(default_factory=dict)
    longest_s: dict = dataclasses.field(default_factory=dict)
    judged: list = dataclasses.field(default_factory=list)
    inversions: int = 0
    suspects: set = dataclasses.field(default_factory=set)
    quarantined: set = dataclasses.field(default_factory=set)


def new_tally(deployment):
    """Return an empty tally."""
    known = {}
    for name in deployment.mix:
        policy = load.conf.resolve(
            deployment.tree, deployment.workspaces[0], name)
        known[name] = (policy.tier, policy.floor)
    return Tally(known)


def enqueued(tally, cell, name, rid, now):
    """A call begins to wait."""
    group = tally.waiting.setdefault((cell, name), set())
    if not group:
        tally.since[(cell, name)] = now
    group.add(rid)


def left(tally, cell, name, rid):
    """A call waits no more without a grant."""
    tally.waiting.get((cell, name), set()).discard(rid)


def granted(tally, cell, name, rid, now):
    """A waiting call gets a slot: the class's gap ends."""
    key = (cell, name)
    if rid not in tally.waiting.get(key, ()):
        return
    gap = now - tally.since[key]
    tally.gaps[name] = max(gap, tally.gaps.get(name, 0.0))
    tally.since[key] = now
    tally.waiting[key].discard(rid)
    tally.held[rid] = (cell, now)


def ended(tally, rid, now):
    """A slot is free again."""
    cell, since = tally.held.pop(rid, ("", now))
    tally.longest_s[cell] = max(now - since, tally.longest_s.get(cell, 0))


def refused(tally, cell, name):
    """A call is refused: lower tiers may hold only their seats."""
    tier = tally.floors[name][0]
    for (other_cell, other), rids in tally.waiting.items():
        if other_cell != cell or tally.floors[other][0] <= tier:
            continue
        if len(rids) > _seats(tally, cell, other):
            tally.inversions += 1
            return


def _seats(tally, cell, name):
    tier, floor = tally.floors[name]
    group = states.ClassQueue(name, tier, floor)
    return floors.seats(group, tally.slots.get(cell, DEFAULT_SLOTS))


def judge(tally, out, now):
    """Take the records of one event of a daemon in."""
    for effect in out:
        kind = getattr(effect, "kind", "")
        if not hasattr(effect, "fields"):
            continue
        fields = dict(effect.fields)
        name, cell = fields.get("class", ""), fields.get("cell", "")
        if kind == "enqueued":
            enqueued(tally, cell, name, effect.rid, now)
        elif kind == "granted" and "batch" in fields:
            granted(tally, cell, name, effect.rid, now)
        elif kind == "closed":
            ended(tally, effect.rid, now)
        elif kind == "quarantined":
            tally.quarantined.add(fields["fingerprint"])
        elif kind == "suspect":
            tally.suspects.add(fields["fingerprint"])
        elif kind == "answered":
            left(tally, cell, name, effect.rid)
            if fields["reason"] in _SHED and not fields.get("engine"):
                tally.judged.append((cell, name))


def inversions(tally, cells):
    """Judge the refusals of one moment by the dispatchers' queues.

    ``cells(name)`` yields each dispatcher's cell and its slots.
    """
    for cell_name, name in tally.judged:
        tier = tally.floors[name][0]
        for cell, slots in cells(cell_name):
            if any(group.tier > tier
                   and group.waiting > floors.seats(group, slots)
                   for group in cell.classes.values()):
                tally.inversions += 1
    tally.judged.clear()


# The report.

def attained(call):
    """Tell whether a call's whole answer met its class's target."""
    policy = call.policy
    if not call.done_at or call.first_at - call.at > policy.target_ttft_s:
        return False
    if policy.kind == "engine" and call.itl_s > policy.target_itl_s:
        return False
    return not worthless(call)


def worthless(call):
    """Tell whether nobody wants the call's answer any more."""
    late = call.done_at - call.at > call.policy.deadline_s
    return not call.done_at or (call.policy.late == "drop" and late)


def is_wrong(call):
    """Tell whether a caller got other than its own whole answer.

    A caller that lost its entry host sends anew under another rid and
    throws the part that it had away.
    """
    if not call.done_at or call.policy.kind != "engine":
        return False
    relayed = [job for (rid, _), job in call.sources.items()
               if rid == call.rid and job.forwarded]
    return len(relayed) != 1 or relayed[0].forwarded != call.length or (
        relayed[0].call is not call)


def report(deployment, tally, calls, servers, seconds, bully, extra_s):
    """Return the figures of a run as a dict for JSON.

    ``bully(call)`` tells whether the call is of the workspace or class
    that bursts; ``extra_s`` is what a fault adds to the bounds of gaps.
    """
    classes = {}
    for name in deployment.mix:
        mine = [call for call in calls if call.policy.name == name]
        classes[name] = _class_row(deployment, tally, name, mine, extra_s)
        others = [call for call in mine if not bully(call)]
        if 0 < len(others) < len(mine):
            classes[name]["others_attainment"] = _attainment(others)
    top = [call for call in calls if call.policy.tier == 1]
    scored = sum(TIER_WEIGHTS[row["tier"]] * row["attainment"]
                 for row in classes.values())
    total = sum(TIER_WEIGHTS[row["tier"]] for row in classes.values())
    wasted_tokens, wasted_calls = _waste(calls, servers)
    hit = [call for call in calls if attained(call)]
    return {
        "classes": classes,
        "goodput": round(len(hit) / seconds, 3),
        "top_tier_attainment": _attainment(top),
        "weighted_attainment": round(scored / total, 4),
        "wasted_work": round(max(wasted_tokens, wasted_calls), 5),
        "wasted_tokens": round(wasted_tokens, 5),
        "wasted_calls": round(wasted_calls, 5),
        "duplicated_runs": sum(max(0, call.starts - 1) for call in calls
                               if not call.policy.repeatable),
        "wrong_answers": sum(map(is_wrong, calls)),
        "unanswered": sum(not call.over for call in calls),
        "tier_inversions": tally.inversions,
    }


def _attainment(calls):
    return round(sum(map(attained, calls)) / max(1, len(calls)), 4)


def _class_row(deployment, tally, name, calls, extra_s):
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
        row["wait_bound_s"] = round(deadline + SLACK_S, 3)
        row["gap_bound_s"] = round(
            _gap_bound(deployment, tally, policy) + extra_s, 3)
    return row


def _gap_bound(deployment, tally, policy):
    cells = [cell for cell in tally.slots
             if cell.startswith(policy.service + "/")]
    same = [name for name in deployment.mix if load.conf.resolve(
        deployment.tree, policy.workspace, name).service == policy.service]
    bounds = [floors.wait_bound(
        policy.floor, len(same), tally.slots[cell],
        tally.longest_s.get(cell, 0.0)) for cell in cells]
    return max(bounds, default=0.0)


def _waste(calls, servers):
    shares = []
    for kind in ("engine", "plain"):
        made = sum(server.made for server in servers.values()
                   if server.kind == kind)
        used = sum(call.length if kind == "engine" else 1
                   for call in calls if call.policy.kind == kind
                   and not worthless(call))
        shares.append((made - used) / made if made else 0.0)
    return shares
