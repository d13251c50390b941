"""Formats plain-text tables."""

import datetime

__all__ = ["format_time", "table"]

_COLUMN_SEPARATOR = "  "


def table(headers, rows):
    """Return rows under column headers; numbers are right-aligned."""
    cells = [tuple(str(cell) for cell in row) for row in rows]
    columns = list(zip(headers, *cells))
    widths = [max(map(len, column)) for column in columns]
    right_aligned = [bool(rows) and all(
        isinstance(row[index], (int, float)) for row in rows)
        for index in range(len(headers))]
    lines = [_line(row, widths, right_aligned) for row in (headers, *cells)]
    return "\n".join(lines) + "\n"


def _line(row, widths, right_aligned):
    cells = (cell.rjust(width) if align_right else cell.ljust(width)
             for cell, width, align_right in zip(row, widths, right_aligned))
    return _COLUMN_SEPARATOR.join(cells).rstrip()


def format_time(unix_s):
    """Format a Unix time as date and time in UTC; 0 becomes ``-``."""
    if not unix_s:
        return "-"
    time = datetime.datetime.fromtimestamp(
        unix_s, tz=datetime.timezone.utc)
    return time.strftime("%Y-%m-%d %H:%M:%S")
