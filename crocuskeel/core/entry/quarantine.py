"""Quarantine of requests that crash the servers that run them.

Such a request is sent again by its caller, to any host, and would crash one
server after another. It is refused once it is shown to be the cause of two
crashes (:mod:`crocuskeel.core.crash_causes`), and for a shorter time if others
were beside it in the same crashes. After that it runs again, one at a time
(:mod:`crocuskeel.core.entry.trials`): a whole response clears it, a further
crash tells which of several is the cause. While it is undecided whether
servers crashed under a request, it doesn't run at a third one.
"""

import heapq

from crocuskeel.core import crash_causes
from crocuskeel.core.entry import crash_attribution
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import crash_updates as updates
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import part_quarantine

__all__ = ["digest_of", "may_be_cause", "must_wait", "pending_time_left_s",
           "standing_reports", "time_left_s", "trial_key"]

# Quarantine after the second crash, s, of a cause and of one of several that
# may be it; each further crash doubles it.
CULPRIT_S = 60.0
SUSPECT_S = 3.0
MAX_QUARANTINE_S = 600.0
# A request waits once this many servers may have crashed under it, at one less
# if one of them did, or if it was lost there within RECENT_S: what became of
# these is known soon.
MAX_UNDECIDED = 3
RECENT_S = 0.8
# Limit of these reports in one datagram.
MAX_REPORTS = 16


def digest_of(request, workspace):
    """Return what identifies a request that its caller sends again.

    A workspace has several keys, and another workspace's request may differ
    in what this host doesn't see.
    """
    return f"{request.digest}.{workspace}" if request.digest else ""


def time_left_s(host, digest, now):
    """Return the time left of a request's quarantine, s."""
    causes = crash_attribution.causes(host)
    if digest in causes.culprits:
        count, span_s = causes.culprits[digest], CULPRIT_S
    elif digest in causes.suspects:
        count, span_s = causes.suspects[digest], SUSPECT_S
    else:
        return 0.0
    span_s *= 2 ** (count - crash_causes.MIN_CRASHES)
    last_at = max(updates.lost_at(host, digest).values())
    return max(0.0, last_at + min(span_s, MAX_QUARANTINE_S) - now)


def pending_time_left_s(host, pending, now):
    """Return the time left of the quarantine of a request or its parts, s."""
    return max(time_left_s(host, pending.digest, now),
               part_quarantine.time_left_s(host, pending.part_keys, now))


def trial_key(host, pending):
    """Return the digest or part for which a request runs alone, or ""."""
    if may_be_cause(host, pending.digest):
        return pending.digest
    return part_quarantine.trial_key(host, pending.part_keys)


def must_wait(host, pending, key, now):
    """Return whether a request must not run until more is known.

    ``key`` is its :func:`trial_key`.
    """
    digest = pending.digest
    undecided = updates.undecided(host, digest)
    if undecided:
        crashed = len(updates.lost_at(host, digest))
        recent = sum(at > now - RECENT_S for at in undecided.values())
        if (crashed + len(undecided) >= MAX_UNDECIDED - bool(crashed)
                or recent >= MAX_UNDECIDED - 1):
            return True
    if not key:
        return False
    if key != digest and part_quarantine.has_undecided(host, key):
        return True
    return any(ending.active_attempts(other) and trial_key(host, other)
               for other in host.pending.values())


def standing_reports(host, now):
    """Return reports on the crashes of requests that may be their cause.

    A host that has just started, or was cut off, learns of them by these.
    """
    causes = crash_attribution.causes(host)
    parts = part_quarantine.standing_reports(host, now)
    if not (causes.culprits or causes.suspects):
        return parts
    rows = [records.Report(records.Kind.CRASHED, at, digest,
                           incarnation=incarnation, sign=crash.sign)
            for incarnation, crash in host.crash_records.crashes.items()
            for digest, at in crash.lost.items()
            if may_be_cause(host, digest)]
    return parts + tuple(heapq.nlargest(
        MAX_REPORTS, rows, key=lambda report: (
            report.digest in causes.culprits, report.at)))


def may_be_cause(host, digest):
    """Return whether a request may have caused several crashes."""
    causes = crash_attribution.causes(host)
    return (digest in causes.suspects or digest in causes.culprits
            or digest in causes.partly_excused)
