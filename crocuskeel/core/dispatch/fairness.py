"""Order within a tier: fair queueing among classes and workspaces, then slack.

Each class and workspace has a virtual time that grows by the cost of the
work granted to it, divided by its weight (start-time fair queueing). Among
those whose virtual time exceeds the smallest one by no more than an
allowed lead, the attempt with the least slack against its target goes
first. Attempts that missed their target follow after all that can still
meet it.
"""

from crocuskeel.core.dispatch import floors

__all__ = ["charge", "floor_key", "next_key"]

# How far a class or workspace may run ahead of its fair share before it
# is excluded from the comparison by slack: this many ordinary requests at
# weight 1.
MAX_LEAD = 4.0


def next_key(cell, tier, blocked):
    """Return the key to grant next in a tier, None if there is none.

    ``blocked`` are the pairs of class and workspace whose first waiting
    attempt fits no free engine.
    """
    for late in (False, True):
        found = _best_class(cell, tier, late, blocked)
        if found is not None:
            return found
    return None


def floor_key(class_queue, blocked):
    """Return the key that a floor's grant goes to, None if blocked."""
    flows = [flow for flow in class_queue.flows.values()
             if (flow.on_time or flow.late)
             and (class_queue.name, flow.workspace) not in blocked]
    if not flows:
        return None
    flow = min(flows, key=lambda f: (f.virtual_time, f.workspace))
    return (flow.late or flow.on_time)[0][2]


def _best_class(cell, tier, late, blocked):
    heads = []
    for class_queue in cell.class_queues.values():
        if class_queue.tier == tier and class_queue.waiting_count:
            head = _head(class_queue, late, blocked)
            if head is not None:
                heads.append((class_queue.virtual_time, head))
    return _least_slack(heads, MAX_LEAD)


def _head(class_queue, late, blocked):
    heads = []
    for flow in class_queue.flows.values():
        entries = flow.late if late else flow.on_time
        if entries and (class_queue.name, flow.workspace) not in blocked:
            heads.append((flow.virtual_time, entries[0]))
    if not heads:
        return None
    least = min(virtual_time for virtual_time, _ in heads)
    return min(entry for virtual_time, entry in heads
               if virtual_time <= least + MAX_LEAD)


def _least_slack(heads, max_lead):
    if not heads:
        return None
    least = min(virtual_time for virtual_time, _ in heads)
    entry = min(entry for virtual_time, entry in heads
                if virtual_time <= least + max_lead)
    return entry[2]


def charge(cell, waiting):
    """Add a grant's cost to the virtual time of its class and workspace."""
    class_queue = cell.class_queues[waiting.request.class_name]
    flow = class_queue.flows[waiting.request.workspace]
    cell.virtual_clocks[class_queue.tier] = max(
        cell.virtual_clocks.get(class_queue.tier, 0.0),
        class_queue.virtual_time)
    class_queue.virtual_clock = max(
        class_queue.virtual_clock, flow.virtual_time)
    flow.virtual_time += waiting.cost / flow.weight
    share = max(class_queue.floor, floors.MIN_FLOOR)
    class_queue.virtual_time += (
        waiting.cost * _least_share(cell, class_queue.tier) / share)


def _least_share(cell, tier):
    return min(max(q.floor, floors.MIN_FLOOR)
               for q in cell.class_queues.values() if q.tier == tier)
