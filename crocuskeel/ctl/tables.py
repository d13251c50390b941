"""Tables in plain text for people."""

import datetime

__all__ = ["moment", "table"]

_GAP = "  "


def table(heads, rows):
    """Return rows under heads; numbers are set to the right."""
    cells = [tuple(str(cell) for cell in row) for row in rows]
    columns = list(zip(heads, *cells))
    widths = [max(map(len, column)) for column in columns]
    right = [bool(rows) and all(
        isinstance(row[at], (int, float)) for row in rows)
        for at in range(len(heads))]
    lines = [_line(row, widths, right) for row in (heads, *cells)]
    return "\n".join(lines) + "\n"


def _line(row, widths, right):
    cells = (cell.rjust(width) if to_right else cell.ljust(width)
             for cell, width, to_right in zip(row, widths, right))
    return _GAP.join(cells).rstrip()


def moment(unix_s):
    """Return Unix seconds as a date and time in UTC, ``-`` for 0."""
    if not unix_s:
        return "-"
    when = datetime.datetime.fromtimestamp(
        unix_s, tz=datetime.timezone.utc)
    return when.strftime("%Y-%m-%d %H:%M:%S")
