"""The story of a request out of the logs of entry hosts."""

import json

from crocuskeel.ctl import tables

__all__ = ["find", "read", "tell"]

# What a host believed of its surroundings, told around a request.
CONTEXT = frozenset((
    "catalog", "peer_up", "reload", "server_added", "server_gone",
    "server_removed", "server_state", "started", "stopped", "stopping",
    "store_back", "store_left", "store_lost"))
# Changes this long before a request may explain it, s: servers that
# lapsed are kept for 1.6 s, a silent host is named for 1.3 s.
BEFORE_S = 3.0
# Fields that stand in columns of their own, or say the same on each line.
KNOWN = frozenset(("t", "wall", "host", "event", "rid"))
# How a request can end, and what to look at next.
ENDS = {
    "served": "the server's whole answer was passed on",
    "shed": "refused as not run: no server had room for its rank. See "
            "\"reading\" and \"ahead\" for what was before it",
    "refused": "the configuration doesn't allow it: see its version",
    "quarantined": "refused: servers went down under this very request",
    "caller_left": "its caller closed first",
    "gave_up": "given up: \"why\" says for what, \"ran\" whether a server "
               "may have run it",
}


def read(texts):
    """Return (rows in the order of time, lines that can't be read)."""
    rows, bad = [], 0
    for text in texts:
        for line in text.splitlines():
            try:
                row = json.loads(line)
                rows.append((float(row["wall"]), row["host"], row))
            except (ValueError, KeyError, TypeError):
                bad += 1
    rows.sort(key=lambda each: each[0])
    return [row for _, _, row in rows], bad


def find(rows, rid):
    """Return the rows of a request and what went on around it."""
    own = [row for row in rows if row.get("rid") == rid]
    if not own:
        return []
    hosts = {row["host"] for row in own}
    servers = {row["server"] for row in own if "server" in row}
    since, until = own[0]["wall"] - BEFORE_S, own[-1]["wall"]
    return [row for row in rows if row.get("rid") == rid
            or (since <= row["wall"] <= until
                and _concerns(row, hosts, servers))]


def _concerns(row, hosts, servers):
    if row["event"] not in CONTEXT:
        return False
    if "server" in row:
        return row["server"] in servers
    return row["host"] in hosts


def tell(rows, rid):
    """Return the story as text; ``rows`` are those of ``find``."""
    own = [row for row in rows if row.get("rid") == rid]
    began = own[0]["wall"]
    ends = [row for row in own if row["event"] in ENDS]
    head = f"request {rid}: "
    head += ENDS[ends[-1]["event"]] if ends else "no end in these logs"
    lines = [(f"{row['wall'] - began:+.3f}", row["host"],
              ("" if row.get("rid") == rid else "  meanwhile: ")
              + row["event"], _fields(row)) for row in rows]
    return head + "\n" + tables.table(
        ("AFTER S", "HOST", "EVENT", "INPUTS"), lines)


def _fields(row):
    return " ".join(f"{name}={value}" for name, value in row.items()
                    if name not in KNOWN)
