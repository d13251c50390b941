"""Load shedding: which attempts are refused, when, and when to retry.

One rule protects the tiers. Before an attempt of a tier is refused, all
lower tiers in the cell are cut down to the protected queue sizes of their
floors: what exceeds these would start only after the refused attempt, so
it could not start in time either. A refusal is final and sent at once.
"""

from crocuskeel.core.dispatch import engine_selection
from crocuskeel.core.dispatch import floors
from crocuskeel.core.dispatch import meters
from crocuskeel.core.dispatch import queue
from crocuskeel.core import effects
from crocuskeel.core import messages
from crocuskeel.core import problems
from crocuskeel.core import quarantine

__all__ = ["apply_queue_limits", "must_refuse", "refuse", "refuse_arrival",
           "refuse_expired", "retry_after", "shed_lower_tiers",
           "will_miss_deadline"]

MIN_RETRY_S = 0.5
MAX_RETRY_S = 120.0
# After a refusal, lower tiers are held to their protected queue sizes for
# this long.
RESTRICTED_S = 1.0


def retry_after(daemon, cell, tier, now):
    """Return the seconds until a new attempt of the tier should start.

    This is the number of attempts that go before it, divided by the
    measured completion rate, with jitter, so that callers refused together
    don't all retry together.
    """
    ahead = 1 + sum(class_queue.waiting_count
                    for class_queue in cell.class_queues.values()
                    if class_queue.tier <= tier)
    rate = meters.rate(cell.completions, now)
    span = ahead / rate if rate > 0.0 else MAX_RETRY_S
    span *= daemon.rng.uniform(1.0, 1.25)
    return min(max(span, MIN_RETRY_S), MAX_RETRY_S)


def refuse(daemon, cell, key, reason, now):
    """Refuse a waiting attempt; return effects, lower tiers' first."""
    waiting = queue.entry(cell, key)
    if waiting is None:
        return []
    is_suspect = key in cell.suspects
    tier = waiting.request.tier
    out = [] if is_suspect else shed_lower_tiers(daemon, cell, tier, now)
    if not is_suspect:
        cell.refused_at[tier] = now
    return out + _remove_and_refuse(daemon, cell, key, reason, now)


def _remove_and_refuse(daemon, cell, key, reason, now):
    waiting = queue.remove(cell, key)
    return refuse_arrival(
        daemon, cell, waiting.entry_host, waiting.request, reason, now,
        now - waiting.enqueued_at)


def refuse_arrival(daemon, cell, entry_host, request, reason, now,
                   waited_s=0.0):
    """Refuse an attempt that is not in a queue; return effects."""
    span = 0.0
    if reason != problems.Reason.QUARANTINED:
        span = retry_after(daemon, cell, request.tier, now)
    refusal = messages.Refusal(
        request.rid, request.attempt, cell.name, str(reason), span)
    record = effects.Record("shed", request.rid, (
        ("cell", cell.name), ("reason", str(reason)),
        ("tier", request.tier), ("class", request.class_name),
        ("workspace", request.workspace), ("waited_s", round(waited_s, 4)),
        ("suspect",
         bool(quarantine.verdict(daemon, request.fingerprint))),
        ("retry_after_s", round(span, 3))))
    return [record, effects.Send(entry_host, refusal),
            effects.Measure(f"dispatch.shed.tier{request.tier}", 1)]


def shed_lower_tiers(daemon, cell, tier, now):
    """Cut every lower tier down to its protected queue sizes."""
    out = []
    slots = engine_selection.max_slots(daemon, cell)
    for key in [key for key, waiting in cell.suspects.items()
                if waiting.request.tier > tier]:
        out += _remove_and_refuse(
            daemon, cell, key, problems.Reason.OVERLOAD, now)
    for class_queue in _lower_tiers(cell, tier):
        while class_queue.waiting_count > floors.protected_queue_size(
                class_queue, slots):
            key = _newest_of_largest_flow(class_queue)
            out += _remove_and_refuse(
                daemon, cell, key, problems.Reason.OVERLOAD, now)
    return out


def _lower_tiers(cell, tier):
    class_queues = [class_queue for class_queue in cell.class_queues.values()
                    if class_queue.tier > tier and class_queue.waiting_count]
    return sorted(class_queues, key=lambda q: (-q.tier, q.name))


def _newest_of_largest_flow(class_queue):
    flow = max(
        (flow for flow in class_queue.flows.values()
         if flow.on_time or flow.late),
        key=lambda f: (f.queued_cost / f.weight, f.workspace))
    return queue.newest_key(flow)


def apply_queue_limits(daemon, cell, newcomer, max_size, now):
    """Refuse what exceeds the queue limits after an arrival."""
    out = []
    while queue.size(cell) > max_size:
        out += _shed_one(daemon, cell, newcomer, now)
    class_queue = cell.class_queues.get(newcomer.request.class_name)
    flow = (class_queue.flows.get(newcomer.request.workspace) if class_queue
            else None)
    if flow is None:
        return out
    if len(flow.on_time) + len(flow.late) > newcomer.request.queue_limit:
        # A workspace over its own limit may displace no more than the
        # one entry it adds: one attempt is shed, of a lower tier if
        # there is one.
        key = _select_victim(daemon, cell, newcomer.request.tier)
        key = key or queue.newest_key(flow)
        out += refuse(
            daemon, cell, key, problems.Reason.QUEUE_FULL, now)
    return out


def _shed_one(daemon, cell, newcomer, now):
    key = _select_victim(daemon, cell, 0) or newcomer.key
    return refuse(daemon, cell, key, problems.Reason.QUEUE_FULL, now)


def _select_victim(daemon, cell, tier):
    """Return the key to shed of the lowest tier below ``tier``.

    Only attempts beyond the protected queue sizes are considered, of the
    class that most exceeds its fair share; None if there are none.
    """
    slots = engine_selection.max_slots(daemon, cell)
    class_queues = [
        class_queue for class_queue in _lower_tiers(cell, tier)
        if class_queue.waiting_count > floors.protected_queue_size(
            class_queue, slots)]
    if not class_queues:
        return None
    lowest = max(class_queue.tier for class_queue in class_queues)
    worst = max(
        (class_queue for class_queue in class_queues
         if class_queue.tier == lowest),
        key=lambda q: (
            q.queued_cost / max(q.floor, floors.MIN_FLOOR), q.name))
    return _newest_of_largest_flow(worst)


def refuse_expired(daemon, cell, now):
    """Refuse all whose deadline has passed, lowest tier first."""
    expired = []
    for deadline, _seq, key in cell.deadlines:
        if deadline > now:
            break
        expired.append(key)
    expired.sort(key=lambda key: -queue.entry(cell, key).request.tier)
    out = []
    for key in expired:
        out += refuse(daemon, cell, key, problems.Reason.DEADLINE, now)
    return out


def will_miss_deadline(daemon, cell, waiting, now):
    """Tell whether an attempt past its target can't start in time.

    Compares the number of late attempts of its class with the rate at
    which these could be granted if nothing more arrived in its tier.
    """
    class_queue = cell.class_queues[waiting.request.class_name]
    rate = _late_grant_rate(cell, class_queue, now)
    if rate <= 0.0:
        return False
    late = sum(len(flow.late) for flow in class_queue.flows.values())
    return now + late / rate > waiting.deadline


def _late_grant_rate(cell, class_queue, now):
    completion_rate = meters.rate(cell.completions, now)
    higher_tiers_rate = sum(meters.rate(meter, now)
                            for tier, meter in cell.grants_by_tier.items()
                            if tier < class_queue.tier)
    share = max(class_queue.floor, floors.MIN_FLOOR)
    competing = sum(max(other.floor, floors.MIN_FLOOR)
                    for other in cell.class_queues.values()
                    if other.tier == class_queue.tier and other.waiting_count)
    available = ((completion_rate - higher_tiers_rate) * share
                 / max(competing, share))
    return max(available, share * completion_rate)


def must_refuse(daemon, cell, request, now):
    """Tell whether an arrival would start only after work just refused.

    True if a higher tier was refused a moment ago and the class's
    protected queue is full.
    """
    recent = any(tier < request.tier and now - refused_at < RESTRICTED_S
                 for tier, refused_at in cell.refused_at.items())
    if not recent:
        return False
    class_queue = cell.class_queues.get(request.class_name)
    slots = engine_selection.max_slots(daemon, cell)
    return class_queue is not None and (
        class_queue.waiting_count >= floors.protected_queue_size(
            class_queue, slots))
