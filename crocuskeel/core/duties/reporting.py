"""Usage reports: when a window is decided, and when it is reported.

A window is decided once and finally: its counts are written to the lease
object and are reported only when that write is known to have taken
effect. From then on every holder reports exactly these counts, however
often.

If the store was restored from an older copy, the object doesn't show what was
decided since, and a write that was sent before may have replaced it. The next
holder then begins with the current window, as the first one does: a missing
report can be made up for, a second one with other counts can't be taken back.
"""

from crocuskeel.core.duties import counting
from crocuskeel.core.duties import handover as handovers
from crocuskeel.core.duties import model

__all__ = ["answered", "decide", "due"]

# A window is decided this long after its end, s: the first token of a
# stream arrives after tens of milliseconds, the response to a call after
# one or two seconds at the most, and hosts send their counts to the holder
# every third of a second.
SETTLE_S = 2.5
# A report is retried until this long after it was due, s.
RETRY_LIMIT_S = 60.0


def decide(duties, report_s, wall):
    """Decide the windows that have ended; return their numbers.

    ``wall`` is the wall clock time that hosts agree on, s.
    """
    current = int(wall // report_s)
    book = duties.handover
    if book.done is None:
        # This is the first holder of all, or the first one that knows nothing
        # of the earlier ones: reports begin with this window.
        book.done = current - 1
    last = max([book.done, *book.decided])
    newest = int((wall - SETTLE_S) // report_s) - 1
    first = max(last + 1, newest - counting.WINDOWS_KEPT)
    ended = range(first, newest + 1)
    for window in ended:
        book.decided[window] = counting.total(
            duties.tables.values(), window)
    counting.prune(duties.tables, newest - counting.WINDOWS_KEPT)
    return list(ended)


def due(duties, report_s, due_s, wall, failed=None):
    """Return the Report that is to be sent next, or None.

    Only counts that are known to be stored in the lease object are sent.
    Otherwise, if the write of a window never took effect, the next holder
    would decide it differently and the platform would get two counts.

    After the report of window ``failed`` failed, later windows are sent
    first: otherwise one report that the platform rejects would delay all
    others for a minute, which is past the time at which they are due.
    """
    for window in list(duties.handover.decided):
        if wall > (window + 1) * report_s + due_s + RETRY_LIMIT_S:
            _close(duties, window)
    committed = _committed(duties)
    ready = sorted(set(duties.handover.decided) & set(committed))
    if not ready:
        return None
    later = [window for window in ready
             if failed is not None and window > failed]
    window = (later or ready)[0]
    return model.Report(window, tuple(sorted(committed[window].items())))


def _committed(duties):
    """Return the decided windows that are stored in the lease object.

    The record is parsed only when it has changed.
    """
    record = duties.lease_state.lease.committed_record
    if record is not duties.committed_record:
        duties.committed_record = record
        try:
            duties.committed, _ = handovers.read(record)
        except ValueError:
            duties.committed = handovers.HandoverState()
    return duties.committed.decided


def answered(duties, call, outcome):
    """Handle the outcome of a report."""
    if outcome is model.Outcome.DONE:
        _close(duties, call.window)


def _close(duties, window):
    duties.handover.decided.pop(window, None)
    duties.handover.done = max(duties.handover.done or 0, window)
