"""Reports of usage: when a window is decided, and when it is sent.

A window is decided once, for good: its counts are written to the lease's
object and are sent only when that write is known to have taken effect.
Whoever holds the lease then sends just these, however often.
"""

from crocuskeel.core.duties import book as books
from crocuskeel.core.duties import counting
from crocuskeel.core.duties import model

__all__ = ["answered", "decide", "due"]

# A window is decided so long after its end, s: a stream's first token is
# known after some tens of milliseconds, a call's answer after one or two
# seconds at the most, and hosts tell the holder each third of a second.
SETTLE_S = 2.5
# A report is sent again until so long after it was due, s.
LATE_S = 60.0


def decide(duties, report_s, wall):
    """Decide the windows that have ended; return their numbers.

    ``wall`` is the time of day that hosts agree on, s.
    """
    current = int(wall // report_s)
    book = duties.book
    if book.done is None:
        # Nobody held the duty before: it begins with this window.
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

    Only counts that the object holds for certain go out: the next holder
    would decide a window otherwise whose write never took effect, and the
    platform would get two counts of it.

    After a window that ``failed`` the later ones come first: one report
    that the platform turned down kept all others back for a minute, which
    is past the time at which they are due.
    """
    for window in list(duties.book.decided):
        if wall > (window + 1) * report_s + due_s + LATE_S:
            _close(duties, window)
    kept = _kept(duties)
    ready = sorted(set(duties.book.decided) & set(kept))
    if not ready:
        return None
    later = [window for window in ready
             if failed is not None and window > failed]
    window = (later or ready)[0]
    return model.Report(window, tuple(sorted(kept[window].items())))


def _kept(duties):
    """Return the decided windows that the object holds for certain.

    Its record is read where it changed, and not at each look.
    """
    record = duties.candidate.lease.kept
    if record is not duties.kept_record:
        duties.kept_record = record
        try:
            duties.kept, _ = books.read(record)
        except ValueError:
            duties.kept = books.Book()
    return duties.kept.decided


def answered(duties, call, outcome):
    """Take the answer to a report."""
    if outcome is model.Outcome.DONE:
        _close(duties, call.window)


def _close(duties, window):
    duties.book.decided.pop(window, None)
    duties.book.done = max(duties.book.done or 0, window)
