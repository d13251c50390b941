"""Reports on lost attempts and crashes that hosts send each other.

A row of a report holds its kind, its age in ms, the request's digest, the
server's id and incarnation, the sign of a crash, and in ms for how long before
that an ALIVE server is known to have been running, None for always. A host
keeps the time at which it first heard of a fact, so that hosts don't renew it
for each other.

The parts of a lost request's prompt follow in a row of their own, as keys in
the server's place.

When many servers crash at once, each host has a report for each request that
was in progress. They are bounded by what the link of a small host carries
beside its requests: those on requests that were lost more than once come
first, as they may be a cause, then the host's own.
"""

import heapq
import math

from crocuskeel.core import crash_causes
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import crash_updates as updates
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import prompt_parts
from crocuskeel.core.entry import trials

__all__ = ["merge", "recent", "rows", "take_unsent"]

# Reports of other hosts are repeated for this long, s: in two states.
RELAY_S = 0.65
# Limit of rows in one datagram; each takes up to 80 bytes.
MAX_ROWS = 16
# Kinds of which a row holds parts.
PART_KINDS = frozenset((records.Kind.PARTS, records.Kind.SOUND))
# A later time of a fact that is known counts as news from this on, s: clocks
# and delays make the times of one fact differ between hosts.
MIN_NEWER_S = 1.0


def rows(reports, now):
    """Return reports as rows."""
    found = []
    for report in reports:
        age_ms = max(0, round((now - report.at) * 1000))
        if report.kind in PART_KINDS:
            found.append(_parts_row(report.kind, age_ms, report))
            continue
        found.append((
            str(report.kind), age_ms, report.digest, report.sid,
            report.incarnation, str(report.sign or ""),
            None if math.isinf(report.span_s) else round(
                report.span_s * 1000)))
        if report.parts:
            found.append(_parts_row(records.Kind.PARTS, age_ms, report))
    return tuple(dict.fromkeys(found))


def _parts_row(kind, age_ms, report):
    return (str(kind), age_ms, report.digest, ",".join(report.parts), "", "",
            0)


def _report(row, now):
    kind, age_ms, digest, sid, incarnation, sign, span_ms = row
    kind = records.Kind(kind)
    at = now - age_ms / 1000
    if kind in PART_KINDS:
        return records.Report(kind, at, digest, parts=tuple(
            part for part in sid.split(",") if part))
    return records.Report(
        kind, at, digest, sid, incarnation,
        records.Sign(sign) if sign else None,
        math.inf if span_ms is None else span_ms / 1000)


def recent(host, now):
    """Return the reports to repeat in this host's state."""
    return _first(host, [entry for entry in host.crash_records.reports
                         if entry.until > now])


def take_unsent(host):
    """Return the own reports that were not yet sent, and mark them sent."""
    known = host.crash_records
    unsent, known.unsent = known.unsent, []
    return _first(host, unsent)


def _first(host, entries):
    """Return the reports that one datagram holds, by importance."""
    if len(entries) > MAX_ROWS:
        counts = updates.loss_counts(host)
        entries = heapq.nlargest(MAX_ROWS, entries, key=lambda entry: (
            counts[entry.report.digest] >= crash_causes.MIN_CRASHES,
            entry.is_own, entry.report.at))
    return tuple(entry.report for entry in entries)


def merge(host, name, received, now):
    """Merge the rows of another host and repeat the new ones."""
    out = []
    for row in received:
        report = _report(row, now)
        found = MERGERS[report.kind](host, report, now)
        if found is not None:
            host.crash_records.reports.append(
                records.QueuedReport(now + RELAY_S, report, is_own=False))
            out += [effects.LogEvent(each.event, {**each.fields, "peer": name})
                    for each in found]
    return out


def _merge_loss(host, report, now):
    known = host.crash_records
    if (now - report.at > crashes.LOSS_RETENTION_S
            or _is_known_crash(known, report)
            or any(loss.incarnation == report.incarnation
                   and loss.digest == report.digest for loss in known.losses)
            or _is_excluded(host, report, now)):
        return None
    loss = records.Loss(
        report.at, report.sid, report.incarnation, report.digest,
        silent=report.kind is records.Kind.SILENT)
    updates.add_loss(host, loss)
    return crashes.confirm_if_ended(host, loss, now)


def _merge_crash(host, report, now):
    known = host.crash_records
    if (now - report.at > crashes.CRASH_RETENTION_S
            or _is_known_crash(known, report)
            or _is_excluded(host, report, now)):
        return None
    updates.drop_losses(known, lambda loss: (
        loss.incarnation == report.incarnation
        and loss.digest == report.digest))
    return updates.record_crash(host, report, now)


def _is_known_crash(known, report):
    crash = known.crashes.get(report.incarnation)
    return crash is not None and report.digest in crash.lost


def _is_excluded(host, report, now):
    """Return whether this host knows that a report is wrong or harmless.

    Others are told if this host has served the request.
    """
    known = host.crash_records
    refuted_at = known.refuted.get((report.incarnation, report.digest),
                                   -math.inf)
    if report.at < refuted_at + MIN_NEWER_S:
        return True
    served_at = updates.served_before(host, report)
    if served_at is None:
        return False
    if known.told.get(report.digest, -math.inf) < now - crashes.REPORT_S:
        known.told[report.digest] = now
        crashes.report_to_others(host, records.Report(
            records.Kind.SERVED, served_at, report.digest), now)
    return True


def _merge_alive(host, report, now):
    return updates.refute(host, report) or None


def _merge_served(host, report, now):
    served_at = host.crash_records.served.get(report.digest, -math.inf)
    if report.at < served_at + MIN_NEWER_S:
        return None
    return updates.clear(host, report)


MERGERS = {records.Kind.LOST: _merge_loss,
           records.Kind.SILENT: _merge_loss,
           records.Kind.CRASHED: _merge_crash,
           records.Kind.ALIVE: _merge_alive,
           records.Kind.SERVED: _merge_served,
           records.Kind.PARTS: prompt_parts.merge_parts,
           records.Kind.SOUND: prompt_parts.merge_sound,
           records.Kind.TRIAL: trials.merge}
