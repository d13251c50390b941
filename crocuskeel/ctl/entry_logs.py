"""Explains a request from the logs of entry hosts."""

import json

from crocuskeel.ctl import tables
from crocuskeel import decoding

__all__ = ["find", "format_rows", "parse"]

# Events about a host's environment, shown as context of a request.
CONTEXT_EVENTS = frozenset((
    "catalog", "peer_up", "reload", "server_added", "server_gone",
    "server_removed", "server_state", "started", "still_stopping", "stopped",
    "stopping", "store_back", "store_left", "store_lost"))
# Events up to this long before a request may explain it, in seconds:
# expired servers are kept for 1.6 s, and an unresponsive host stays listed
# for 1.3 s.
CONTEXT_BEFORE_S = 3.0
MAX_UNIX_S = 1e11
# Fields that have their own columns or are the same on each line.
COLUMN_FIELDS = frozenset(("t", "wall", "host", "event", "rid"))
# How a request can end, and what to check next.
END_EVENTS = {
    "served": "the server's complete response was forwarded",
    "shed": "refused without running: no server had capacity for its rank. "
            "See \"reading\" and \"ahead\" for the work queued before it",
    "refused": "refused: the configuration doesn't allow it; see its version",
    "quarantined": "refused: this request crashed servers",
    "caller_left": "the caller disconnected first",
    "cut_by_stop": "broken off: its host had to exit at the end of a stop. "
                   "\"arrived_s\" is when it came, in seconds after SIGTERM",
    "gave_up": "abandoned: \"why\" is the reason, \"ran\" tells whether a "
               "server may have run it",
}


def parse(texts):
    """Return (rows ordered by time, number of invalid lines)."""
    rows, invalid = [], 0
    for text in texts:
        for line in text.splitlines():
            try:
                rows.append(_parse_row(json.loads(line)))
            except decoding.DECODING_ERRORS:
                invalid += 1
    rows.sort(key=lambda row: row["wall"])
    return rows, invalid


def _parse_row(row):
    """Return a row that is checked; raises ValueError or KeyError."""
    if not (type(row["wall"]) in (int, float)
            and 0 <= row["wall"] <= MAX_UNIX_S):
        raise ValueError("wall is no time")
    for field in ("host", "event", "server", "rid"):
        if not isinstance(row.get(field, ""), str):
            raise ValueError(f"{field} is no text")
    if decoding.is_deep(row) or not (row["host"] and row["event"]):
        raise ValueError("no host, no event, or too deep")
    return row


def _stream_of(rows, rid):
    """Return the ids of the requests that took up a stream, in order."""
    first = next((row["resumes"] for row in rows
                  if row.get("rid") == rid and row.get("resumes")), rid)
    return list(dict.fromkeys(
        row["rid"] for row in rows
        if "rid" in row and first in (row["rid"], row.get("resumes"))))


def _part_lines(rows, rid):
    """Return a line on each part of a stream that came in several."""
    rids = _stream_of(rows, rid)
    parts = [row for row in rows if row["event"] == "stream_part"
             and row.get("rid") in rids]
    return [f"events {row.get('first_event')} to {row.get('last_event')}: "
            f"server {row.get('server')}, version {row.get('software')}, "
            f"through {row['host']} for {row['rid']}, {row.get('ended')}"
            for row in parts]


def find(rows, rid):
    """Return the rows of a request and the context rows around it.

    Those of a stream are of all requests that took it up.
    """
    rids = _stream_of(rows, rid)
    request_rows = [row for row in rows if row.get("rid") in rids]
    if not request_rows:
        return []
    hosts = {row["host"] for row in request_rows}
    servers = {row["server"] for row in request_rows if "server" in row}
    since, until = (request_rows[0]["wall"] - CONTEXT_BEFORE_S,
                    request_rows[-1]["wall"])
    return [row for row in rows if row.get("rid") in rids
            or (since <= row["wall"] <= until
                and _is_context(row, hosts, servers))]


def _is_context(row, hosts, servers):
    if row["event"] not in CONTEXT_EVENTS:
        return False
    if "server" in row:
        return row["server"] in servers
    return row["host"] in hosts


def format_rows(rows, rid):
    """Format the rows returned by ``find`` as text."""
    request_rows = [row for row in rows if row.get("rid") == rid]
    started_at = request_rows[0]["wall"]
    end_rows = [row for row in request_rows if row["event"] in END_EVENTS]
    heading = f"request {rid}: "
    heading += (END_EVENTS[end_rows[-1]["event"]] if end_rows
                else "no final event in these logs")
    heading = "\n".join([heading, *_part_lines(rows, rid)])
    lines = [(f"{row['wall'] - started_at:+.3f}", row["host"],
              _prefix(row, rid) + row["event"], _fields(row))
             for row in rows]
    return heading + "\n" + tables.table(
        ("AFTER S", "HOST", "EVENT", "INPUTS"), lines)


def _prefix(row, rid):
    if row.get("rid", rid) != rid:
        return f"  as {row['rid']}: "
    return "" if "rid" in row else "  meanwhile: "


def _fields(row):
    return " ".join(f"{name}={value}" for name, value in row.items()
                    if name not in COLUMN_FIELDS)
