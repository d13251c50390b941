"""Waiting work of a cell: by class, by workspace, by due time."""

from crocuskeel.core.dispatch import state

__all__ = ["add", "entry", "is_waiting", "make_late", "newest", "oldest",
           "purge", "remove", "size"]


def size(cell):
    """Return how many attempts wait, suspects included."""
    return len(cell.waiting) + len(cell.suspects)


def is_waiting(cell, key):
    """Tell whether the attempt waits in this cell."""
    return key in cell.waiting or key in cell.suspects


def entry(cell, key):
    """Return the waiting attempt of that key or None."""
    return cell.waiting.get(key) or cell.suspects.get(key)


def add(cell, waiting, suspect=False):
    """Let an attempt wait; a suspect waits apart for an empty engine."""
    key = waiting.key
    cell.deadlines.add((waiting.deadline, waiting.seq, key))
    if suspect:
        cell.suspects[key] = waiting
        return
    cell.waiting[key] = waiting
    group = _class_of(cell, waiting.ask)
    flow = _flow_of(group, waiting.ask)
    group.waiting += 1
    group.work += waiting.cost
    flow.work += waiting.cost
    _line(flow, waiting).add(_place(waiting))
    if not waiting.late:
        cell.dues.add(_place(waiting))


def remove(cell, key):
    """Take an attempt out; returns it, None if it does not wait."""
    waiting = cell.suspects.pop(key, None)
    if waiting is not None:
        cell.deadlines.remove((waiting.deadline, waiting.seq, key))
        return waiting
    waiting = cell.waiting.pop(key, None)
    if waiting is None:
        return None
    cell.deadlines.remove((waiting.deadline, waiting.seq, key))
    group = cell.classes[waiting.ask.class_name]
    flow = group.flows[waiting.ask.workspace]
    group.waiting -= 1
    group.work -= waiting.cost
    flow.work -= waiting.cost
    _line(flow, waiting).remove(_place(waiting))
    if not waiting.late:
        cell.dues.remove(_place(waiting))
    return waiting


def make_late(cell, now):
    """Move what missed its target to the late lines; yield each."""
    while cell.dues and cell.dues[0][0] < now:
        key = cell.dues.pop(0)[2]
        waiting = cell.waiting[key]
        group = cell.classes[waiting.ask.class_name]
        flow = group.flows[waiting.ask.workspace]
        flow.fresh.remove(_place(waiting))
        waiting.late = True
        flow.late.add(_place(waiting))
        yield waiting


def oldest(flow):
    """Return the key of the flow's longest-waiting attempt."""
    line = flow.late or flow.fresh
    return line[0][2]


def newest(flow):
    """Return the key of the flow's latest attempt."""
    line = flow.fresh or flow.late
    return line[-1][2]


def purge(cell):
    """Forget idle flows that are not ahead of their share."""
    for group in cell.classes.values():
        idle = [name for name, flow in group.flows.items()
                if not flow.fresh and not flow.late
                and flow.virtual <= group.clock]
        for name in idle:
            del group.flows[name]


def _place(waiting):
    return waiting.due, waiting.seq, waiting.key


def _line(flow, waiting):
    return flow.late if waiting.late else flow.fresh


def _class_of(cell, ask):
    group = cell.classes.get(ask.class_name)
    if group is None:
        group = state.ClassQueue(ask.class_name, ask.tier, ask.floor)
        cell.classes[ask.class_name] = group
    if not group.waiting:
        # An idle class earns no claim on the past: it starts level with
        # the others, else it would crowd them out when it comes back.
        clock = cell.clocks.get(ask.tier, 0.0)
        group.virtual = max(group.virtual, clock)
        group.tier = ask.tier
    group.floor = ask.floor
    return group


def _flow_of(group, ask):
    flow = group.flows.get(ask.workspace)
    if flow is None:
        flow = state.Flow(ask.workspace, ask.weight)
        group.flows[ask.workspace] = flow
    if not flow.fresh and not flow.late:
        flow.virtual = max(flow.virtual, group.clock)
    flow.weight = max(ask.weight, 1e-6)
    return flow
