"""The queue of a class: requests of one route by workspace.

Workspaces go by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM
1996): each has a virtual time, which a placed request advances by its charge
(its tokens divided by the weight), and the least virtual time goes first.
One that was idle continues at the virtual time of the last placed request,
or at its own if that is later. Within a workspace requests go by arrival.

Requests that can still be on time go before late ones, with two exceptions,
so that neither late requests nor workspaces starve. After three requests on
time a late one goes first, if its workspace isn't ahead of those with requests
on time: most requests of a workspace that sends many times its share are late,
and it would get a quarter of the class. And a late one goes first if its
workspace is behind by several requests: a workspace that sends many times its
share always has some on time, and would get what the others leave of theirs.

Indexes are sorted lists. Inserting moves a pointer for each later item (3 kB
for 400), which costs less than the comparisons.
"""

import bisect
import dataclasses
import heapq

__all__ = ["ClassQueue", "activate", "add", "forget", "last_key", "move_late",
           "new_queue", "note_placed", "remove", "replace",
           "requests_in_order"]

# A late request goes first after so many others.
PLACINGS_PER_LATE_TURN = 3
# Workspaces that are examined for a late turn; it bounds the cost if many
# are ahead of their share.
MAX_LATE_TRIES = 8
# A workspace may be behind those with requests on time by this many of its
# late requests; when it has some on time again, it goes before others for as
# many. In a replay of ten workspaces with capacity for half of their load, one
# with 8 times its load got 0.10 of the placings with 0 to 16, 0.12 without a
# bound, and 0.21 if a workspace that is behind lost its lag with the next
# request on time. Of all placings in the replay without that load 0.75 were
# late with 0, and 0.37 with 8 and 16.
MAX_LAG_REQUESTS = 8

# Indexes of a class, of which each workspace has at most one row:
# (virtual time, arrival, key, workspace) of its oldest request on time,
ON_TIME = 0
# the same of its oldest late request,
LATE = 1
# and (number of requests, arrival, key, workspace) of its newest request.
SIZES = 2


@dataclasses.dataclass(slots=True)
class _Workspace:
    """The waiting requests of a workspace in one class.

    ``arrivals`` holds (arrival, key), sorted, of requests on time and of late
    ones. ``virtual`` is its virtual time. ``rows`` are its rows in the
    indexes of the class.
    """

    name: str
    virtual: float = 0.0
    arrivals: tuple = dataclasses.field(default_factory=lambda: ([], []))
    rows: list = dataclasses.field(default_factory=lambda: [None] * 3)


@dataclasses.dataclass(slots=True)
class ClassQueue:
    """The waiting requests of a route.

    ``virtual`` is its virtual time among the classes of its priority; its
    owner maintains it. ``virtual_placed`` is the latest virtual time at which
    a request of one of its workspaces was placed. ``passed`` counts the
    requests on time that were placed since the last late one. ``waiting``
    maps keys to requests, and ``targets`` holds (target, key), sorted, of
    those on time.
    """

    priority: int
    route: str
    virtual: float = 0.0
    tokens: int = 0
    virtual_placed: float = 0.0
    passed: int = 0
    waiting: dict = dataclasses.field(default_factory=dict)
    targets: list = dataclasses.field(default_factory=list)
    workspaces: dict = dataclasses.field(default_factory=dict)
    indexes: tuple = dataclasses.field(default_factory=lambda: ([], [], []))


def new_queue(priority, route):
    """Return an empty queue."""
    return ClassQueue(priority, route)


def activate(queue, waiting):
    """Prepare the workspace of a request that is about to be added."""
    name = waiting.workspace
    if name not in queue.workspaces:
        queue.workspaces[name] = _Workspace(name)
    workspace = queue.workspaces[name]
    if not any(workspace.arrivals):
        workspace.virtual = max(workspace.virtual, queue.virtual_placed)


def add(queue, waiting, now):
    """Add a request; its workspace was activated."""
    workspace = queue.workspaces[waiting.workspace]
    number = LATE if waiting.target_at <= now else ON_TIME
    bisect.insort(workspace.arrivals[number], _arrival(waiting))
    if number == ON_TIME:
        bisect.insort(queue.targets, (waiting.target_at, waiting.key))
    queue.waiting[waiting.key] = waiting
    queue.tokens += waiting.tokens
    _reindex(queue, workspace)


def remove(queue, key):
    """Remove a request; return whether its workspace has no others."""
    waiting = queue.waiting.pop(key)
    workspace = queue.workspaces[waiting.workspace]
    number = _group(workspace, waiting)
    _discard(workspace.arrivals[number], _arrival(waiting))
    if number == ON_TIME:
        _discard(queue.targets, (waiting.target_at, key))
    queue.tokens -= waiting.tokens
    _reindex(queue, workspace)
    return not any(workspace.arrivals)


def replace(queue, waiting, now):
    """Replace a request of the same workspace and key in its place.

    Its arrival remains, and a later target doesn't make it on time again.
    """
    former = queue.waiting[waiting.key]
    waiting = dataclasses.replace(
        waiting, first_arrived_at=former.first_arrived_at,
        target_at=min(former.target_at, waiting.target_at))
    remove(queue, waiting.key)
    add(queue, waiting, now)


def move_late(queue, now):
    """Move the requests whose target has passed to the late ones."""
    count = bisect.bisect_right(queue.targets, now, key=lambda row: row[0])
    for _, key in queue.targets[:count]:
        waiting = queue.waiting[key]
        workspace = queue.workspaces[waiting.workspace]
        on_time, late = workspace.arrivals
        _discard(on_time, _arrival(waiting))
        bisect.insort(late, _arrival(waiting))
        _reindex(queue, workspace)
    del queue.targets[:count]


def note_placed(queue, key, charge):
    """Charge the workspace of a request that was sent."""
    waiting = queue.waiting[key]
    workspace = queue.workspaces[waiting.workspace]
    queue.virtual_placed = max(queue.virtual_placed, workspace.virtual)
    workspace.virtual += charge
    if _group(workspace, waiting) == LATE:
        queue.passed = 0
    elif queue.indexes[LATE]:
        queue.passed += 1
    _reindex(queue, workspace)


def forget(queue, name):
    """Forget an idle workspace; return whether that was possible.

    One that is ahead while others wait would gain by it.
    """
    workspace = queue.workspaces[name]
    if queue.waiting and workspace.virtual > queue.virtual_placed:
        return False
    del queue.workspaces[name]
    return True


def last_key(queue):
    """Return the newest request of the workspace with the most requests."""
    return queue.indexes[SIZES][-1][2]


def requests_in_order(queue, charge_of, tried):
    """Yield the requests in the order in which to try them.

    ``charge_of`` returns the charge of a request. ``tried`` is a set that
    the caller updates: keys that were yielded.
    """
    on_time = _group_in_order(queue, ON_TIME, charge_of, tried)
    while True:
        # If no late request can be placed, those on time are not held up.
        late = _late_turn(queue, charge_of, tried)
        if late is not None:
            yield late
        waiting = next(on_time, None)
        if waiting is None:
            break
        yield waiting
    yield from _group_in_order(queue, LATE, charge_of, tried)


def _late_turn(queue, charge_of, tried):
    """Return the late request that goes before those on time, or None."""
    on_time, late, _ = queue.indexes
    if not on_time:
        return None
    first = on_time[0][0]
    # The workspace with the least virtual time may have no request that can
    # be placed; what others have reached counts then.
    reached = max(queue.virtual_placed, first)
    is_due = queue.passed >= PLACINGS_PER_LATE_TURN
    for virtual, _, key, _ in late[:MAX_LATE_TRIES]:
        if virtual > reached:
            break
        waiting = queue.waiting[key]
        lag = MAX_LAG_REQUESTS * charge_of(waiting)
        if key not in tried and (is_due or virtual + lag < first):
            return waiting
    return None


def _group_in_order(queue, number, charge_of, tried):
    """Yield the requests on time or the late ones.

    It continues as if each yielded request were placed. Positions are looked
    up again after each, as requests may have been removed meanwhile.
    """
    index = queue.indexes[number]
    last = None
    begun = set()
    heap = []
    while True:
        row = _next_row(index, last, begun)
        if row is not None and (not heap or row < heap[0]):
            last = row
            begun.add(row[3])
        elif heap:
            row = heapq.heappop(heap)
        else:
            return
        virtual, arrived_at, key, name = row
        waiting = queue.waiting.get(key)
        if waiting is not None and key not in tried:
            virtual += charge_of(waiting)
            yield waiting
        workspace = queue.workspaces.get(name)
        if workspace is not None:
            arrivals = workspace.arrivals[number]
            position = bisect.bisect_right(arrivals, (arrived_at, key))
            if position < len(arrivals):
                heapq.heappush(heap, (virtual, *arrivals[position], name))


def _next_row(index, last, begun):
    position = 0 if last is None else bisect.bisect_right(index, last)
    while position < len(index) and index[position][3] in begun:
        position += 1
    return index[position] if position < len(index) else None


def _group(workspace, waiting):
    on_time = workspace.arrivals[ON_TIME]
    position = bisect.bisect_left(on_time, _arrival(waiting))
    found = on_time[position:position + 1] == [_arrival(waiting)]
    return ON_TIME if found else LATE


def _reindex(queue, workspace):
    on_time, late = workspace.arrivals
    name = workspace.name
    rows = [None, None, None]
    if on_time:
        rows[ON_TIME] = (workspace.virtual, *on_time[0], name)
    if late:
        rows[LATE] = (workspace.virtual, *late[0], name)
    if on_time or late:
        newest = max(items[-1] for items in workspace.arrivals if items)
        rows[SIZES] = (len(on_time) + len(late), *newest, name)
    for index, former, row in zip(queue.indexes, workspace.rows, rows):
        if former != row:
            if former is not None:
                _discard(index, former)
            if row is not None:
                bisect.insort(index, row)
    workspace.rows = rows


def _discard(items, item):
    del items[bisect.bisect_left(items, item)]


def _arrival(waiting):
    return waiting.first_arrived_at, waiting.key
