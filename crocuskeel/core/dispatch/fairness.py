"""Order within a tier: fair among classes and workspaces, then slack.

Classes and workspaces carry a virtual time that grows by the work they
were granted over their weight (start-time fair queueing). Among those
that are not ahead of the others by more than an allowance, the attempt
with the least slack against its target goes first. What has missed its
target goes after all that can still meet it.
"""

from crocuskeel.core.dispatch import floors

__all__ = ["charge", "floor_key", "next_key"]

# How far a class or workspace may run ahead of its fair share before
# slack no longer counts: this many ordinary requests at weight 1.
ALLOWANCE = 4.0


def next_key(cell, tier, blocked):
    """Return the key to grant next in a tier, None if there is none.

    ``blocked`` are classes and flows whose head fits no free engine.
    """
    for late in (False, True):
        found = _best_class(cell, tier, late, blocked)
        if found is not None:
            return found
    return None


def floor_key(group, blocked):
    """Return the key that a floor's grant goes to, None if blocked."""
    flows = [flow for flow in group.flows.values()
             if (flow.fresh or flow.late)
             and (group.name, flow.workspace) not in blocked]
    if not flows:
        return None
    flow = min(flows, key=lambda f: (f.virtual, f.workspace))
    return (flow.late or flow.fresh)[0][2]


def _best_class(cell, tier, late, blocked):
    heads = []
    for group in cell.classes.values():
        if group.tier == tier and group.waiting:
            head = _head(group, late, blocked)
            if head is not None:
                heads.append((group.virtual, head))
    return _least_slack(heads, ALLOWANCE)


def _head(group, late, blocked):
    heads = []
    for flow in group.flows.values():
        line = flow.late if late else flow.fresh
        if line and (group.name, flow.workspace) not in blocked:
            heads.append((flow.virtual, line[0]))
    if not heads:
        return None
    least = min(virtual for virtual, _ in heads)
    return min(place for virtual, place in heads
               if virtual <= least + ALLOWANCE)


def _least_slack(heads, allowance):
    if not heads:
        return None
    least = min(virtual for virtual, _ in heads)
    place = min(place for virtual, place in heads
                if virtual <= least + allowance)
    return place[2]


def charge(cell, waiting):
    """Count the work of a grant against its class and workspace."""
    group = cell.classes[waiting.ask.class_name]
    flow = group.flows[waiting.ask.workspace]
    cell.clocks[group.tier] = max(
        cell.clocks.get(group.tier, 0.0), group.virtual)
    group.clock = max(group.clock, flow.virtual)
    flow.virtual += waiting.cost / flow.weight
    share = max(group.floor, floors.MIN_FLOOR)
    group.virtual += waiting.cost * _least_share(cell, group.tier) / share


def _least_share(cell, tier):
    return min(max(g.floor, floors.MIN_FLOOR)
               for g in cell.classes.values() if g.tier == tier)
