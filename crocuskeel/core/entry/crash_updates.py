"""Changes of what a host knows of crashes, by own signs or others' reports.

The functions that withdraw or add a crash return log lines, none if nothing
has changed.
"""

import collections
import math

from crocuskeel.core.entry import crash_attribution
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import effects

__all__ = ["add_loss", "clear", "drop_from_crash", "drop_losses", "line",
           "loss_counts", "lost_at", "record_crash", "refute",
           "served_before", "undecided", "withdraw"]

# A response proves that its server was running before the request was sent,
# but for the time by which hosts may differ on when a connection ended, s.
ALIVE_MARGIN_S = 0.1
# A request that was served this recently before a loss is not its cause, s.
SERVED_S = 10.0
MAX_SERVED = 1024
MAX_REFUTED = 1024
MAX_LOSSES = 512
MAX_CRASHES = 256


def add_loss(host, loss):
    """Record a lost attempt."""
    known = host.crash_records
    known.losses.append(loss)
    del known.losses[:-MAX_LOSSES]


def record_crash(host, report, now):
    """Record that a request was lost in a crash, unless it is known."""
    known = host.crash_records
    digest, incarnation = report.digest, report.incarnation
    crash = known.crashes.get(incarnation)
    if crash is not None and digest in crash.lost:
        return []
    if served_before(host, report) is not None:
        return []
    if crash is None:
        _limit_crashes(host)
        crash = records.Crash(report.sign)
        known.crashes[incarnation] = crash
    crash.lost[digest] = report.at
    known.causes = None
    return [line("crash_confirmed", digest, incarnation, sign=report.sign,
                 after_s=round(now - report.at, 3),
                 crashes=len(lost_at(host, digest)))]


def served_before(host, report):
    """Return when a request was served, if that clears it, or None."""
    served_at = host.crash_records.served.get(report.digest, -math.inf)
    return served_at if served_at > report.at - SERVED_S else None


def _limit_crashes(host):
    """Make room for a crash: drop the oldest without a likely cause."""
    known = host.crash_records
    if len(known.crashes) < MAX_CRASHES:
        return
    counts = collections.Counter(
        digest for crash in known.crashes.values() for digest in crash.lost)
    dropped = next(
        (incarnation for incarnation, crash in known.crashes.items()
         if all(counts[digest] == 1 for digest in crash.lost)
         and not crash_attribution.is_explained_by_part(host, incarnation)),
        next(iter(known.crashes)))
    del known.crashes[dropped]


def refute(host, report):
    """Withdraw the losses and crashes that a server's response refutes."""
    known = host.crash_records
    incarnation = report.incarnation
    since, until = report.at - report.span_s, report.at - ALIVE_MARGIN_S
    refuted = {loss.digest: loss.at for loss in known.losses
               if loss.incarnation == incarnation
               and since <= loss.at <= until}
    crash = known.crashes.get(incarnation)
    if crash is not None:
        refuted |= {digest: at for digest, at in crash.lost.items()
                    if since <= at <= until}
    if incarnation in known.ended and (
            since <= known.ended[incarnation][1] <= until):
        del known.ended[incarnation]
    return withdraw(known, incarnation, refuted, "response")


def withdraw(known, incarnation, refuted, reason):
    """Withdraw what digests were lost in a crash that was none.

    ``refuted`` maps them to when they were lost. They are remembered, as
    other hosts may report them again.
    """
    drop_losses(known, lambda loss: (
        loss.incarnation == incarnation
        and loss.at <= refuted.get(loss.digest, -math.inf)))
    if incarnation in known.crashes:
        drop_from_crash(known, incarnation, [
            digest for digest, at in known.crashes[incarnation].lost.items()
            if at <= refuted.get(digest, -math.inf)])
    for digest, at in refuted.items():
        known.refuted[incarnation, digest] = at
    while len(known.refuted) > MAX_REFUTED:
        del known.refuted[next(iter(known.refuted))]
    return [line("crash_refuted", digest, incarnation, by=reason)
            for digest in sorted(refuted)]


def drop_losses(known, is_dropped):
    """Drop losses by a predicate; return whether there were any."""
    kept = [loss for loss in known.losses if not is_dropped(loss)]
    has_dropped = len(kept) < len(known.losses)
    known.losses = kept
    return has_dropped


def drop_from_crash(known, incarnation, digests):
    """Drop digests from a crash."""
    crash = known.crashes[incarnation]
    for digest in digests:
        del crash.lost[digest]
        known.causes = None
    if not crash.lost:
        del known.crashes[incarnation]


def clear(host, report):
    """Record that a request was served, and forget its crashes."""
    known = host.crash_records
    digest = report.digest
    if not digest:
        return []
    known.served[digest] = report.at
    known.served.move_to_end(digest)
    if len(known.served) > MAX_SERVED:
        known.served.popitem(last=False)
    was_lost = drop_losses(known, lambda loss: loss.digest == digest)
    crashes = lost_at(host, digest)
    for incarnation in crashes:
        drop_from_crash(known, incarnation, (digest,))
    if not was_lost and not crashes:
        return []
    return [effects.LogEvent("crash_cleared", {
        "digest": digest, "crashes": len(crashes)})]


def lost_at(host, digest):
    """Return when a request was lost in crashes, by incarnation."""
    return {incarnation: crash.lost[digest] for incarnation, crash
            in host.crash_records.crashes.items() if digest in crash.lost}


def undecided(host, digest):
    """Return when a request was lost at servers that may have crashed.

    By incarnation, the latest time.
    """
    return {loss.incarnation: loss.at for loss in host.crash_records.losses
            if loss.digest == digest and not (loss.silent or loss.doubtful)}


def loss_counts(host):
    """Return how often each request was lost, as a Counter by digest."""
    known = host.crash_records
    counts = collections.Counter(
        digest for crash in known.crashes.values() for digest in crash.lost)
    counts.update(loss.digest for loss in known.losses if not loss.silent)
    return counts


def line(event, digest, incarnation, **fields):
    """Return a log line about a request and a server."""
    return effects.LogEvent(
        event, {"digest": digest, "incarnation": incarnation, **fields})
