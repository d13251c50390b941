"""Checks of what datagrams of other hosts hold.

Each check returns whether a value is valid. Anything may arrive at the port
of a host, and a value of another type would raise an error in the middle of
a change of the host's state.
"""

import math

__all__ = ["is_age", "is_count", "is_demand", "is_flag", "is_load_rows",
           "is_number", "is_pairs", "is_part_rows", "is_peer", "is_revision",
           "is_text", "is_texts", "is_usage_rows", "is_wall"]

# Sums of thousands of counts fit the 64-bit integers of a datagram.
MAX_COUNT = 1 << 52
MAX_REVISION = 1 << 63
MAX_PORT = 65535
# Maximum of requests and of tokens in a row of queued requests: the sum of
# much larger numbers may be infinite.
MAX_QUEUED = 1e15
# Latest time of day, s since 1970: hosts number windows and age by it.
MAX_WALL_S = 1e11


def is_text(value):
    """Check a text."""
    return type(value) is str


def is_flag(value):
    """Check a truth value; None stands for false."""
    return value is None or type(value) is bool


def is_count(value):
    """Check an integer that may be added to others."""
    return type(value) is int and -MAX_COUNT <= value <= MAX_COUNT


def is_revision(value):
    """Check a revision or version; a negative one stands for none."""
    return type(value) is int and -MAX_REVISION <= value < MAX_REVISION


def is_number(value):
    """Check a finite number."""
    return (type(value) is float and math.isfinite(value)
            or is_count(value))


def is_age(value):
    """Check an age, which may be infinite."""
    return is_number(value) or value == math.inf


def is_wall(value):
    """Check a time of day; None stands for none."""
    return value is None or is_number(value) and 0 <= value <= MAX_WALL_S


def is_texts(values):
    """Check a row of texts."""
    return type(values) is tuple and all(map(is_text, values))


def is_pairs(rows):
    """Check rows of two texts."""
    return type(rows) is tuple and all(
        is_texts(row) and len(row) == 2 for row in rows)


def is_load_rows(rows):
    """Check rows of loads, see events.PeerLoadsReceived."""
    return type(rows) is tuple and all(map(_is_load_row, rows))


def _is_load_row(row):
    if type(row) is not tuple or len(row) != 7:
        return False
    sid, *counts, gaps, memory = row
    return (type(sid) is str and all(map(is_count, counts))
            and is_count(memory) and type(gaps) is tuple
            and all(type(gap) is tuple and len(gap) == 3
                    and all(map(is_count, gap)) for gap in gaps))


def is_part_rows(rows):
    """Check rows of (server id, part, tokens)."""
    return type(rows) is tuple and all(
        type(row) is tuple and len(row) == 3 and type(row[0]) is str
        and type(row[1]) is str and is_count(row[2]) and row[2] >= 0
        for row in rows)


def is_usage_rows(rows):
    """Check rows of (window, ((workspace, count), ...))."""
    return type(rows) is tuple and all(
        type(row) is tuple and len(row) == 2 and is_count(row[0])
        and type(row[1]) is tuple and all(
            type(cell) is tuple and len(cell) == 2
            and type(cell[0]) is str and is_count(cell[1])
            for cell in row[1]) for row in rows)


def is_demand(rows, max_rows):
    """Check rows of (service, route, priority, requests, tokens)."""
    return (type(rows) is tuple and len(rows) <= max_rows
            and all(map(_is_demand_row, rows)))


def _is_demand_row(row):
    if type(row) is not tuple or len(row) != 5:
        return False
    service, route, priority, requests, tokens = row
    return (is_texts((service, route)) and type(priority) is int
            and all(type(value) is not bool and 0 <= value <= MAX_QUEUED
                    for value in (priority, requests, tokens)))


def is_peer(fields):
    """Check the fields of a host, see model.Peer."""
    if type(fields) is not tuple or len(fields) != 7:
        return False
    name, boot, domain, public_address, control, gossip, capacity = fields
    if not (is_texts((name, domain, public_address)) and name
            and is_revision(boot) and is_number(capacity) and capacity >= 0):
        return False
    front, _, port = public_address.rpartition(":")
    return (_is_address(control) and _is_address(gossip)
            and port.isascii() and port.isdigit() and len(port) <= 5
            and _is_address((front, int(port))))


def _is_address(value):
    return (type(value) is tuple and len(value) == 2
            and type(value[0]) is str and value[0] != ""
            and type(value[1]) is int and 0 <= value[1] <= MAX_PORT)
