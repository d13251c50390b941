"""The order of the requests that wait at one host for one service.

Classes (the requests of a route) go by priority. Classes of one priority go
by start-time fair queueing over tokens divided by the class's weight, and
the requests of a class as :mod:`class_queue` describes.
"""

import dataclasses
import heapq
import itertools

from crocuskeel.core.scheduling import class_queue

__all__ = ["Room", "Waiting", "backlog", "join", "leave", "new_room", "order",
           "placed", "set_weights", "size", "workspace_backlog"]

# A workspace without waiting requests is forgotten after this long, s. Time
# limits are up to 12 s: all that waited with its requests are gone by then.
IDLE_S = 60.0
# Idle workspaces that are examined at each join, which adds at most two.
MAX_FORGOTTEN = 4
# Least weight; the settings may contain a weight of 0.
MIN_WEIGHT = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits; times in s.

    Its first event is on time if it comes before ``target_at``. ``tokens``
    are those of its prompt that have to be read. ``first_arrived_at`` is the
    arrival of the caller's first attempt. Keys can be ordered; priority 0 is
    the most urgent. The room doesn't enforce ``give_up_at``.
    """

    key: int
    route: str
    priority: int
    workspace: str
    tokens: int
    target_at: float
    give_up_at: float
    first_arrived_at: float


@dataclasses.dataclass(slots=True)
class Room:
    """State of a waiting room.

    ``queues`` maps (priority, route) to the queues of classes, and
    ``places`` the key of each request to (priority, route, workspace).
    ``virtual_placed`` maps a priority to the latest virtual time at which a
    request of one of its classes was placed. ``idle`` maps (priority, route,
    workspace) to the time since which none of its requests waits, oldest
    first. ``latest`` is the latest time that was passed in.
    """

    max_waiting: int
    class_weights: dict
    workspace_weights: dict
    queues: dict = dataclasses.field(default_factory=dict)
    places: dict = dataclasses.field(default_factory=dict)
    virtual_placed: dict = dataclasses.field(default_factory=dict)
    idle: dict = dataclasses.field(default_factory=dict)
    latest: float = 0.0


def new_room(max_waiting, class_weights=None, workspace_weights=None):
    """Return an empty room for at most ``max_waiting`` requests.

    The weights map routes and workspaces to numbers; the default is 1.
    """
    return Room(max_waiting, class_weights or {}, workspace_weights or {})


def set_weights(room, class_weights, workspace_weights):
    """Replace the weights; they apply to requests placed from now on."""
    room.class_weights = class_weights or {}
    room.workspace_weights = workspace_weights or {}


def size(room):
    """Return the number of waiting requests."""
    return len(room.places)


def backlog(room):
    """Return {route: (requests, tokens)} of the waiting requests."""
    found = {}
    for queue in room.queues.values():
        if queue.waiting:
            requests, tokens = found.get(queue.route, (0, 0))
            found[queue.route] = (
                requests + len(queue.waiting), tokens + queue.tokens)
    return found


def join(room, waiting, now):
    """Add a request; return the key that was removed for it, or None.

    If the room is full, that is the newest request of the workspace with
    the most requests in the least urgent class, possibly the new one. A
    request with a known key replaces the former one and keeps its place:
    its arrival remains, and a later target doesn't make it on time again.
    """
    room.latest = max(room.latest, now)
    _forget_idle(room, now)
    place = waiting.priority, waiting.route, waiting.workspace
    if room.places.get(waiting.key) == place:
        class_queue.replace(room.queues[place[:2]], waiting, now)
        return None
    leave(room, waiting.key)
    queue = _activated(room, place)
    class_queue.activate(queue, waiting)
    class_queue.add(queue, waiting, now)
    room.places[waiting.key] = place
    room.idle.pop(place, None)
    if len(room.places) <= room.max_waiting:
        return None
    last = _last_key(room)
    leave(room, last)
    return last


def leave(room, key):
    """Remove a request that waits no longer; unknown keys are ignored."""
    place = room.places.pop(key, None)
    if place is None:
        return
    if class_queue.remove(room.queues[place[:2]], key):
        room.idle[place] = room.latest


def placed(room, key, now):
    """Remove a request that was sent and charge its class and workspace.

    Unknown keys are ignored.
    """
    room.latest = max(room.latest, now)
    place = room.places.get(key)
    if place is None:
        return
    queue = room.queues[place[:2]]
    waiting = queue.waiting[key]
    room.virtual_placed[queue.priority] = max(
        room.virtual_placed.get(queue.priority, 0.0), queue.virtual)
    queue.virtual += _class_charge(room, waiting)
    class_queue.note_placed(queue, key, _workspace_charge(room, waiting))
    leave(room, key)


def workspace_backlog(room, route):
    """Return {workspace: tokens} of the waiting requests of a route."""
    found = {}
    for queue in room.queues.values():
        if queue.route == route:
            for waiting in queue.waiting.values():
                name = waiting.workspace
                found[name] = found.get(name, 0) + waiting.tokens
    return found


def order(room, now, blocked=frozenset()):
    """Yield the keys in the order in which to try them.

    Routes that are in ``blocked``, which may grow meanwhile, are left out.

    Keys that were yielded may be placed or leave meanwhile, and late turns
    follow the requests that were placed. Among workspaces and among classes
    of one priority it continues as if each yielded request were placed, so
    that requests that can't be placed don't hold up all others. Requests
    that join during the iteration may be missing.
    """
    room.latest = max(room.latest, now)
    for queue in room.queues.values():
        class_queue.move_late(queue, now)
    tried = set()
    for priority in sorted({queue.priority for queue in room.queues.values()
                            if queue.waiting}):
        for waiting in _of_priority(room, priority, tried, blocked):
            tried.add(waiting.key)
            yield waiting.key


def _of_priority(room, priority, tried, blocked):
    def charge_of(waiting):
        return _workspace_charge(room, waiting)

    heap = [(queue.virtual, queue.route, class_queue.requests_in_order(
        queue, charge_of, tried)) for queue in room.queues.values()
        if queue.priority == priority and queue.waiting]
    heapq.heapify(heap)
    while heap:
        virtual, route, requests = heap[0]
        waiting = None if route in blocked else next(requests, None)
        if waiting is None:
            heapq.heappop(heap)
            continue
        virtual += _class_charge(room, waiting)
        heapq.heapreplace(heap, (virtual, route, requests))
        yield waiting


def _activated(room, place):
    """Return the queue of a class; if it was idle, it begins anew."""
    priority, route, _ = place
    if (priority, route) not in room.queues:
        room.queues[priority, route] = class_queue.new_queue(priority, route)
    queue = room.queues[priority, route]
    if not queue.waiting:
        queue.virtual = max(
            queue.virtual, room.virtual_placed.get(priority, 0.0))
    return queue


def _forget_idle(room, now):
    for place, since in list(
            itertools.islice(room.idle.items(), MAX_FORGOTTEN)):
        if since + IDLE_S > now:
            return
        del room.idle[place]
        queue = room.queues[place[:2]]
        if not class_queue.forget(queue, place[2]):
            room.idle[place] = now
        elif not queue.workspaces:
            del room.queues[place[:2]]


def _last_key(room):
    """Return the key that has to leave a full room."""
    def end(queue):
        weight = _weight(room.class_weights, queue.route)
        return queue.priority, queue.virtual + queue.tokens / weight

    return class_queue.last_key(max(
        (queue for queue in room.queues.values() if queue.waiting), key=end))


def _class_charge(room, waiting):
    return max(1, waiting.tokens) / _weight(room.class_weights, waiting.route)


def _workspace_charge(room, waiting):
    return max(1, waiting.tokens) / _weight(
        room.workspace_weights, waiting.workspace)


def _weight(weights, name):
    return max(MIN_WEIGHT, weights.get(name, 1.0))
