"""Giving waiting work up: who, when, and when to come back.

One rule protects the tiers. Before an attempt of a tier is refused, all
lower tiers in the cell are cut down to their floors' seats: what is
beyond them would start only after the attempt that is given up, so it
has no hope either. A refusal is final and goes out at once.
"""

from crocuskeel.core.dispatch import choice
from crocuskeel.core.dispatch import floors
from crocuskeel.core.dispatch import meters
from crocuskeel.core.dispatch import queue
from crocuskeel.core import effects
from crocuskeel.core import messages
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["cut_below", "expire", "is_hopeless", "is_shut", "make_room",
           "refuse", "retry_after", "turn_away"]

MIN_RETRY_S = 0.5
MAX_RETRY_S = 120.0
# After a refusal, lower tiers stay cut down to their seats this long.
SHUT_S = 1.0


def retry_after(daemon, cell, tier, now):
    """Return the seconds until a newcomer of the tier should start.

    The work that goes before it over the measured rate of grants, with
    jitter, so that those refused together don't all come back together.
    """
    ahead = 1 + sum(group.waiting for group in cell.classes.values()
                    if group.tier <= tier)
    rate = meters.rate(cell.drain, now)
    span = ahead / rate if rate > 0.0 else MAX_RETRY_S
    span *= daemon.rng.uniform(1.0, 1.25)
    return min(max(span, MIN_RETRY_S), MAX_RETRY_S)


def refuse(daemon, cell, key, reason, now):
    """Give a waiting attempt up; return effects, lower tiers' first."""
    waiting = queue.entry(cell, key)
    if waiting is None:
        return []
    is_suspect = key in cell.suspects
    tier = waiting.ask.tier
    out = [] if is_suspect else cut_below(daemon, cell, tier, now)
    if not is_suspect:
        cell.refused_at[tier] = now
    return out + _give_up(daemon, cell, key, reason, now)


def _give_up(daemon, cell, key, reason, now):
    waiting = queue.remove(cell, key)
    return turn_away(daemon, cell, waiting.door, waiting.ask, reason, now,
                     now - waiting.since)


def turn_away(daemon, cell, door, ask, reason, now, waited_s=0.0):
    """Refuse an attempt that does not wait (any more); return effects."""
    span = 0.0
    if reason != problems.Reason.QUARANTINED:
        span = retry_after(daemon, cell, ask.tier, now)
    refusal = messages.Refusal(
        ask.rid, ask.attempt, cell.name, str(reason), span)
    record = effects.Record("shed", ask.rid, (
        ("cell", cell.name), ("reason", str(reason)),
        ("tier", ask.tier), ("class", ask.class_name),
        ("workspace", ask.workspace), ("waited_s", round(waited_s, 4)),
        ("suspect", bool(quarantine.verdict(daemon, ask.fingerprint))),
        ("retry_after_s", round(span, 3))))
    return [record, effects.Send(door, refusal),
            effects.Measure(f"dispatch.shed.tier{ask.tier}", 1)]


def cut_below(daemon, cell, tier, now):
    """Cut every lower tier down to its floors' seats."""
    out = []
    slots = choice.most_slots(daemon, cell)
    for key in [key for key, waiting in cell.suspects.items()
                if waiting.ask.tier > tier]:
        out += _give_up(daemon, cell, key, problems.Reason.OVERLOAD, now)
    for group in _lower(cell, tier):
        while group.waiting > floors.seats(group, slots):
            key = _worst_of(group)
            out += _give_up(
                daemon, cell, key, problems.Reason.OVERLOAD, now)
    return out


def _lower(cell, tier):
    groups = [group for group in cell.classes.values()
              if group.tier > tier and group.waiting]
    return sorted(groups, key=lambda g: (-g.tier, g.name))


def _worst_of(group):
    flow = max(
        (flow for flow in group.flows.values() if flow.fresh or flow.late),
        key=lambda f: (f.work / f.weight, f.workspace))
    return queue.newest(flow)


def make_room(daemon, cell, newcomer, most, now):
    """Refuse what is over the queue's bounds after an arrival."""
    out = []
    while queue.size(cell) > most:
        out += _shed_one(daemon, cell, newcomer, now)
    group = cell.classes.get(newcomer.ask.class_name)
    flow = group.flows.get(newcomer.ask.workspace) if group else None
    if flow is None:
        return out
    if len(flow.fresh) + len(flow.late) > newcomer.ask.queue_limit:
        # A workspace over its own limit may not push out more than the
        # one place it takes: one is shed, of a lower tier if there is.
        key = _victim(daemon, cell, newcomer.ask.tier)
        key = key or queue.newest(flow)
        out += refuse(
            daemon, cell, key, problems.Reason.QUEUE_FULL, now)
    return out


def _shed_one(daemon, cell, newcomer, now):
    key = _victim(daemon, cell, 0) or newcomer.key
    return refuse(daemon, cell, key, problems.Reason.QUEUE_FULL, now)


def _victim(daemon, cell, tier):
    """Return the key to shed of the lowest tier below ``tier``.

    Only work beyond the floors' seats counts, of the class that is most
    over its fair share; "" if there is none.
    """
    slots = choice.most_slots(daemon, cell)
    groups = [group for group in _lower(cell, tier)
              if group.waiting > floors.seats(group, slots)]
    if not groups:
        return None
    lowest = max(group.tier for group in groups)
    worst = max(
        (group for group in groups if group.tier == lowest),
        key=lambda g: (g.work / max(g.floor, floors.MIN_FLOOR), g.name))
    return _worst_of(worst)


def expire(daemon, cell, now):
    """Refuse all whose deadline has come, lowest tier first."""
    due = []
    for deadline, _seq, key in cell.deadlines:
        if deadline > now:
            break
        due.append(key)
    due.sort(key=lambda key: -queue.entry(cell, key).ask.tier)
    out = []
    for key in due:
        out += refuse(daemon, cell, key, problems.Reason.DEADLINE, now)
    return out


def is_hopeless(daemon, cell, waiting, now):
    """Tell whether an attempt past its target can't start in time.

    Judged by how many of its class are past theirs, against the rate
    at which these could be granted if nothing more came in its tier.
    """
    group = cell.classes[waiting.ask.class_name]
    rate = _late_rate(cell, group, now)
    if rate <= 0.0:
        return False
    late = sum(len(flow.late) for flow in group.flows.values())
    return now + late / rate > waiting.deadline


def _late_rate(cell, group, now):
    ends = meters.rate(cell.drain, now)
    above = sum(meters.rate(meter, now)
                for tier, meter in cell.granted.items()
                if tier < group.tier)
    share = max(group.floor, floors.MIN_FLOOR)
    rivals = sum(max(other.floor, floors.MIN_FLOOR)
                 for other in cell.classes.values()
                 if other.tier == group.tier and other.waiting)
    spare = (ends - above) * share / max(rivals, share)
    return max(spare, share * ends)


def is_shut(daemon, cell, ask, now):
    """Tell whether a newcomer would start only after work just refused.

    True while a higher tier was refused a moment ago and the class's
    floor seats are taken.
    """
    recent = any(tier < ask.tier and now - at < SHUT_S
                 for tier, at in cell.refused_at.items())
    if not recent:
        return False
    group = cell.classes.get(ask.class_name)
    slots = choice.most_slots(daemon, cell)
    return group is not None and (
        group.waiting >= floors.seats(group, slots))
