"""Who holds the duties, and what became of a window, out of logs."""

from crocuskeel.ctl import entry_logs
from crocuskeel.ctl import files
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl import tables
from result import Err
from result import Ok

__all__ = ["duties"]

HOLDING = frozenset((
    "lease_acquired", "lease_lapsed", "lease_lost", "lease_released",
    "lease_not_read", "lease_not_written", "clock_jump", "bad_record"))
DUTIES = frozenset(("window_decided", "duty_sent", "duty_answered"))
# Fields that stand in columns of their own.
KNOWN = frozenset(("t", "wall", "host", "event"))


async def duties(session, args):
    """``duties``: the holders of the duties, and what they did."""
    texts = [files.read(session, name) for name in args.files]
    rows, bad = entry_logs.read(
        [text.unwrap() for text in texts if text.is_ok()])
    notes = (f"{bad} lines could not be read",) if bad else ()
    notes += tuple(str(text.unwrap_err()) for text in texts
                   if text.is_err())
    found = select(rows, args.window)
    if not found:
        return Err(Failure(
            Code.NOT_FOUND, "\n".join(("no line on the duties", *notes)),
            "Give the logs of all entry hosts: any of them may hold "
            "the duties."))
    return Ok(Report(tell(found), found, notes))


def select(rows, window=None):
    """Return the rows on the lease and on a window, or on all duties."""
    return [row for row in rows if row["event"] in HOLDING
            or (row["event"] in DUTIES
                and window in (None, row.get("window")))]


def holder(rows):
    """Return the last row of a lease acquired and not given up, or None."""
    found = None
    for row in rows:
        if row["event"] == "lease_acquired":
            found = row
        elif (found and row["host"] == found["host"] and row["event"] in (
                "lease_lost", "lease_released")):
            found = None
    return found


def tell(rows):
    """Return the story as text; ``rows`` are those of ``select``."""
    last = holder(rows)
    head = "nobody is seen to hold the duties"
    if last is not None:
        head = (f"{last['host']} holds the duties since "
                f"{tables.moment(last['wall'])}, fence {last['fence']}")
    lines = [(tables.moment(row["wall"]), row["host"], row["event"],
              " ".join(f"{name}={value}" for name, value in row.items()
                       if name not in KNOWN)) for row in rows]
    return head + "\n" + tables.table(
        ("WHEN", "HOST", "EVENT", "INPUTS"), lines)
