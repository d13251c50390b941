"""Shows from logs who holds the duties and how a window was handled."""

from crocuskeel.ctl import entry_logs
from crocuskeel.ctl import files
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl import tables
from result import Err
from result import Ok

__all__ = ["duties"]

LEASE_EVENTS = frozenset((
    "lease_acquired", "lease_lapsed", "lease_lost", "lease_released",
    "lease_not_read", "lease_not_written", "clock_jump", "bad_record"))
DUTY_EVENTS = frozenset(("window_decided", "duty_sent", "duty_answered"))
# Fields that have their own columns.
COLUMN_FIELDS = frozenset(("t", "wall", "host", "event"))


async def duties(session, args):
    """``duties``: the holders of the duties and their actions."""
    texts = [files.read(session, name) for name in args.files]
    rows, invalid = entry_logs.parse(
        [text.unwrap() for text in texts if text.is_ok()])
    notes = (f"{invalid} lines could not be read",) if invalid else ()
    notes += tuple(str(text.unwrap_err()) for text in texts
                   if text.is_err())
    found = select(rows, args.window)
    if not found:
        return Err(Failure(
            Code.NOT_FOUND,
            "\n".join(("no log line about the duties", *notes)),
            "Give the logs of all entry hosts: any of them may hold "
            "the duties."))
    return Ok(Report(format_rows(found), found, notes))


def select(rows, window=None):
    """Return the rows about the lease and one window, or all duties."""
    return [row for row in rows if row["event"] in LEASE_EVENTS
            or (row["event"] in DUTY_EVENTS
                and window in (None, row.get("window")))]


def holder(rows):
    """Return the row of the last lease that was not given up, or None."""
    found = None
    for row in rows:
        if row["event"] == "lease_acquired":
            found = row
        elif (found and row["host"] == found["host"] and row["event"] in (
                "lease_lost", "lease_released")):
            found = None
    return found


def format_rows(rows):
    """Format the rows returned by ``select`` as text."""
    current = holder(rows)
    heading = "no host holds the duties according to these logs"
    if current is not None:
        heading = (f"{current['host']} has held the duties since "
                   f"{tables.format_time(current['wall'])}, "
                   f"fence {current.get('fence')}")
    lines = [(tables.format_time(row["wall"]), row["host"], row["event"],
              " ".join(f"{name}={value}" for name, value in row.items()
                       if name not in COLUMN_FIELDS)) for row in rows]
    return heading + "\n" + tables.table(
        ("WHEN", "HOST", "EVENT", "INPUTS"), lines)
