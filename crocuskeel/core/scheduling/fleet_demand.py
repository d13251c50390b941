"""Requests that wait at other hosts, by service and class.

Each host sends rows (service, route, priority, requests, tokens) while
requests wait there, and for a moment after the last one. Only totals over
all other hosts are read. They are maintained, as each request reads them.
"""

import collections
import dataclasses
import math

__all__ = ["Demand", "MAX_ROWS", "Sender", "ahead", "due", "expire", "merge",
           "new_demand", "new_sender", "queued", "requests_ahead"]

# Rows of a host that is silent for this long expire, s: two of its datagrams
# are missing then.
ROWS_TTL_S = 1.0
# Limit of rows in one datagram, which holds 64 kB.
MAX_ROWS = 200
# Minimum interval between datagrams, s. A queue changes with each request
# and would otherwise be sent as often.
MIN_INTERVAL_S = 0.1
# A count that deviates by more than this fraction from that last sent is
# sent again. The expected wait is known less precisely than that.
CHANGED_SHARE = 0.1
# Unchanged rows are repeated at this interval, s, so that other hosts keep
# them when one datagram is lost.
REPEAT_INTERVAL_S = 0.4
# How often it is sent that nothing waits any more, and the interval, s.
EMPTY_COUNT = 2
EMPTY_INTERVAL_S = 0.3


@dataclasses.dataclass(slots=True)
class _Total:
    """Sums over the rows of a class; ``rows`` is their number."""

    rows: int = 0
    requests: float = 0
    tokens: float = 0


@dataclasses.dataclass(slots=True)
class Demand:
    """What other hosts report as queued.

    ``hosts`` maps a host's name to (rows, when received, s), the oldest
    first. ``totals`` maps a service to {(route, priority): _Total}.
    """

    hosts: collections.OrderedDict = dataclasses.field(
        default_factory=collections.OrderedDict)
    totals: dict = dataclasses.field(default_factory=dict)
    # When the oldest rows expire, or earlier.
    next_expiry_at: float = math.inf


def new_demand():
    """Return the state in which no other host has reported anything."""
    return Demand()


def merge(demand, host_name, rows, now):
    """Replace the rows of a host; ``now``, in s, never goes back."""
    expire(demand, now)
    former = demand.hosts.pop(host_name, None)
    if former is not None:
        _add(demand, former[0], -1)
    rows = tuple(rows)
    if rows:
        demand.hosts[host_name] = rows, now
        _add(demand, rows, 1)
        demand.next_expiry_at = min(demand.next_expiry_at, now + ROWS_TTL_S)


def expire(demand, now):
    """Remove rows that are older than ROWS_TTL_S."""
    if now < demand.next_expiry_at:
        return
    while demand.hosts:
        name, (rows, received_at) = next(iter(demand.hosts.items()))
        demand.next_expiry_at = received_at + ROWS_TTL_S
        if now < demand.next_expiry_at:
            return
        del demand.hosts[name]
        _add(demand, rows, -1)
    demand.next_expiry_at = math.inf


def _add(demand, rows, sign):
    for service, route, priority, requests, tokens in rows:
        classes = demand.totals.setdefault(service, {})
        total = classes.setdefault((route, priority), _Total())
        total.rows += sign
        total.requests += sign * requests
        total.tokens += sign * tokens
        if total.rows:
            continue
        # This also drops the rounding errors of sums of fractions.
        del classes[route, priority]
        if not classes:
            del demand.totals[service]


def ahead(demand, service, priority, now):
    """Return the tokens queued at other hosts in classes as urgent or more.

    These are the classes of the service with at most that ``priority``.
    """
    expire(demand, now)
    classes = demand.totals.get(service)
    if not classes:
        return 0
    return max(0, sum(total.tokens for (_, other), total in classes.items()
                      if other <= priority))


def requests_ahead(demand, service, priority, now):
    """Return the requests queued elsewhere in classes as urgent or more."""
    expire(demand, now)
    classes = demand.totals.get(service)
    if not classes:
        return 0
    return max(0, sum(total.requests for (_, other), total in classes.items()
                      if other <= priority))


def queued(demand, service, now):
    """Return {route: (requests, tokens)} queued at other hosts."""
    expire(demand, now)
    found = {}
    for (route, _), total in demand.totals.get(service, {}).items():
        # Hosts may know different priorities of a route for a moment.
        requests, tokens = found.get(route, (0, 0))
        found[route] = (requests + max(0, total.requests),
                        tokens + max(0, total.tokens))
    return found


@dataclasses.dataclass(slots=True)
class Sender:
    """What this host last sent of its own queue, and when.

    ``empty_count`` says how often it was sent that nothing waits any more.
    """

    rows: tuple = ()
    sent_at: float = -math.inf
    empty_count: int = EMPTY_COUNT


def new_sender():
    """Return the state of a host that has sent nothing."""
    return Sender()


def due(sender, rows, now):
    """Return the rows to send now, () if nothing waits any more, or None.

    It is asked whenever the queue has changed and at each tick. What it
    returns counts as sent. If there are too many rows for a datagram, it
    returns those of the most urgent and of the largest classes.
    """
    rows = _limited(rows)
    if now < sender.sent_at + _interval_s(sender, rows):
        return None
    if rows:
        sender.empty_count = 0
    elif sender.empty_count >= EMPTY_COUNT:
        return None
    else:
        sender.empty_count += 1
    sender.rows = rows
    sender.sent_at = now
    return rows


def _limited(rows):
    if len(rows) > MAX_ROWS:
        rows = sorted(rows, key=lambda row: (row[2], -row[4]))[:MAX_ROWS]
    return tuple(rows)


def _interval_s(sender, rows):
    """Return the time from the last datagram to one with these rows, s."""
    if not rows and not sender.rows:
        return EMPTY_INTERVAL_S
    if not rows or _has_changed(sender.rows, rows):
        return MIN_INTERVAL_S
    return REPEAT_INTERVAL_S


def _has_changed(former, rows):
    """Say whether a count differs by more than CHANGED_SHARE."""
    before = {row[:3]: row[3:] for row in former}
    after = {row[:3]: row[3:] for row in rows}
    return any(
        abs(new - old) > CHANGED_SHARE * old
        for key in before.keys() | after.keys()
        for old, new in zip(before.get(key, (0, 0)), after.get(key, (0, 0))))
