"""Waiting attempts of a cell: by class, by workspace, by due time."""

from crocuskeel.core.dispatch import state

__all__ = ["add", "entry", "is_waiting", "mark_late", "newest_key",
           "oldest_key", "purge", "remove", "size"]


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
    """Queue an attempt; a suspect is queued apart for an empty engine."""
    key = waiting.key
    cell.deadlines.add((waiting.deadline, waiting.seq, key))
    if suspect:
        cell.suspects[key] = waiting
        return
    cell.waiting[key] = waiting
    class_queue = _class_queue(cell, waiting.request)
    flow = _flow(class_queue, waiting.request)
    class_queue.waiting_count += 1
    class_queue.queued_cost += waiting.cost
    flow.queued_cost += waiting.cost
    _entries(flow, waiting).add(_sort_entry(waiting))
    if not waiting.late:
        cell.due_times.add(_sort_entry(waiting))


def remove(cell, key):
    """Remove an attempt and return it; None if it does not wait."""
    waiting = cell.suspects.pop(key, None)
    if waiting is not None:
        cell.deadlines.remove((waiting.deadline, waiting.seq, key))
        return waiting
    waiting = cell.waiting.pop(key, None)
    if waiting is None:
        return None
    cell.deadlines.remove((waiting.deadline, waiting.seq, key))
    class_queue = cell.class_queues[waiting.request.class_name]
    flow = class_queue.flows[waiting.request.workspace]
    class_queue.waiting_count -= 1
    class_queue.queued_cost -= waiting.cost
    flow.queued_cost -= waiting.cost
    _entries(flow, waiting).remove(_sort_entry(waiting))
    if not waiting.late:
        cell.due_times.remove(_sort_entry(waiting))
    return waiting


def mark_late(cell, now):
    """Mark attempts that missed their target as late; yield each."""
    while cell.due_times and cell.due_times[0][0] < now:
        key = cell.due_times.pop(0)[2]
        waiting = cell.waiting[key]
        class_queue = cell.class_queues[waiting.request.class_name]
        flow = class_queue.flows[waiting.request.workspace]
        flow.on_time.remove(_sort_entry(waiting))
        waiting.late = True
        flow.late.add(_sort_entry(waiting))
        yield waiting


def oldest_key(flow):
    """Return the key of the flow's attempt with the earliest due time."""
    entries = flow.late or flow.on_time
    return entries[0][2]


def newest_key(flow):
    """Return the key of the flow's attempt with the latest due time."""
    entries = flow.on_time or flow.late
    return entries[-1][2]


def purge(cell):
    """Delete idle flows that are not ahead of their share."""
    for class_queue in cell.class_queues.values():
        idle = [name for name, flow in class_queue.flows.items()
                if not flow.on_time and not flow.late
                and flow.virtual_time <= class_queue.virtual_clock]
        for name in idle:
            del class_queue.flows[name]


def _sort_entry(waiting):
    return waiting.due, waiting.seq, waiting.key


def _entries(flow, waiting):
    return flow.late if waiting.late else flow.on_time


def _class_queue(cell, request):
    class_queue = cell.class_queues.get(request.class_name)
    if class_queue is None:
        class_queue = state.ClassQueue(
            request.class_name, request.tier, request.floor)
        cell.class_queues[request.class_name] = class_queue
    if not class_queue.waiting_count:
        # An idle class accumulates no claim to past grants: it restarts
        # level with the others, otherwise it would crowd them out on its
        # return.
        clock = cell.virtual_clocks.get(request.tier, 0.0)
        class_queue.virtual_time = max(class_queue.virtual_time, clock)
        class_queue.tier = request.tier
    class_queue.floor = request.floor
    return class_queue


def _flow(class_queue, request):
    flow = class_queue.flows.get(request.workspace)
    if flow is None:
        flow = state.Flow(request.workspace, request.weight)
        class_queue.flows[request.workspace] = flow
    if not flow.on_time and not flow.late:
        flow.virtual_time = max(
            flow.virtual_time, class_queue.virtual_clock)
    flow.weight = max(request.weight, 1e-6)
    return flow
