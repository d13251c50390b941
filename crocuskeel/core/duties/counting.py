"""Counts of the requests that engines began, by window and workspace.

Each life of a host has a table of its own whose counts only grow, and
whoever holds the table of several merges by the larger count. So a table
may be told twice, late, or by the store after the host's death, without
a request that counts twice.
"""

__all__ = ["WINDOWS_KEPT", "began", "merge", "prune", "total"]

# Windows that are kept, back from the newest: a report that is still not
# out after so many, a minute with windows of 5 s, is of no use.
WINDOWS_KEPT = 12


def began(table, window, workspace):
    """Count a request of a workspace that an engine began in a window."""
    counts = table.setdefault(window, {})
    counts[workspace] = counts.get(workspace, 0) + 1


def merge(table, rows):
    """Take what is known of the same table elsewhere."""
    for window, counts in rows:
        known = table.setdefault(window, {})
        for workspace, count in counts:
            known[workspace] = max(count, known.get(workspace, 0))


def total(tables, window):
    """Return the counts of a window over all tables, by workspace."""
    found = {}
    for table in tables:
        for workspace, count in table.get(window, {}).items():
            found[workspace] = found.get(workspace, 0) + count
    return found


def prune(tables, before):
    """Forget windows before one, and tables that have none left."""
    for key in list(tables):
        table = tables[key]
        if table and max(table) < before:
            del tables[key]
            continue
        for window in [each for each in table if each < before]:
            del table[window]
