"""Counts of the requests that engines began, by window and workspace.

Each incarnation of a host has its own table, whose counts only grow.
Copies of a table are merged by taking the larger count. So a table may
arrive twice, late, or from the store after the host's failure, and no
request is counted twice.
"""

__all__ = ["WINDOWS_KEPT", "count_request", "merge", "prune", "total"]

# Number of most recent windows that are kept: a report that was not sent
# within so many, a minute with windows of 5 s, is of no use.
WINDOWS_KEPT = 12


def count_request(table, window, workspace):
    """Count a request of a workspace that an engine began in a window."""
    counts = table.setdefault(window, {})
    counts[workspace] = counts.get(workspace, 0) + 1


def merge(table, rows):
    """Merge the rows of another copy of the table into it."""
    for window, counts in rows:
        merged = table.setdefault(window, {})
        for workspace, count in counts:
            merged[workspace] = max(count, merged.get(workspace, 0))


def total(tables, window):
    """Return the counts of a window over all tables, by workspace."""
    totals = {}
    for table in tables:
        for workspace, count in table.get(window, {}).items():
            totals[workspace] = totals.get(workspace, 0) + count
    return totals


def prune(tables, before):
    """Remove windows before ``before``, and tables that have no others."""
    for key in list(tables):
        table = tables[key]
        if table and max(table) < before:
            del tables[key]
            continue
        for window in [each for each in table if each < before]:
            del table[window]
