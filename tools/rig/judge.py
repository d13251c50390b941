"""Judges what callers, servers and the operator saw by the users' rules.

LOST and ORDER in all their forms, and three of MIXED, TWICE and REFUSED. The
judge knows nothing of the hosts' own logs.
"""

import collections
import dataclasses

from tools.rig import fleet as fleets
from tools.rig import load as loads

__all__ = ["Finding", "Record", "crossed", "judge", "refusals",
           "taken_and_cut"]

# The bounds of the users' rules, s.
STABLE_S = 3.0
SLACK_S = 0.2
APPLY_S = 2.0
AFTER_GRACE_S = 1.0
AFTER_APPLY_S = 1.0
EXCUSED_SENT_S = 3.0
EXCUSED_WORK_S = fleets.GRACE_S * 5 / 6
# A request whose limit is nearer than this has reached it, s.
LIMIT_S = 0.05
USED_SHARE = 0.7
# Beside a configuration requests may be cut so much as often as at others.
CONFIG_FACTOR = 3.0
# Kept connections that may be closed without an answer.
MAX_KEPT = 3
# Where an outage of the store is.
STORE = ("store",)
PROMISES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True)
class Finding:
    """A broken rule: the request, its host and what was seen."""

    rule: str
    rid: str
    host: str
    at: float
    text: str


@dataclasses.dataclass(frozen=True)
class Record:
    """What was seen: Tries, and rows of servers and of the operator."""

    tries: list
    work: list
    actions: list


class _Seen:
    """A record by request and by host."""

    def __init__(self, record):
        self.record = record
        self.runs = collections.defaultdict(list)
        self.ends = collections.defaultdict(list)
        self.crashed = collections.defaultdict(list)
        self.passed = set()
        self.acked = {}
        for row in record.work:
            if row["what"] in ("began", "refused"):
                self.passed.add(row["rid"])
            if row["what"] == "configured":
                self.acked[row["version"]] = row["at"]
            elif row["what"] == "began":
                self.runs[row["rid"]].append(row)
            elif row["what"] in ("ended", "left"):
                self.ends[row["rid"]].append(row["at"])
            elif row["what"] == "crashed":
                for rid in row["rids"]:
                    self.crashed[rid].append(row["at"])
        self.by_what = collections.defaultdict(list)
        for row in record.actions:
            self.by_what[row["what"]].append(row)
        self.disturbed = self._disturbances()

    def _disturbances(self):
        """Return (since, until, hosts) of what wasn't planned.

        A kill at the end of a grace period is part of a planned stop.
        """
        found = [(row["at"], row["at"] + row["for_s"], {row["host"]})
                 for row in self.by_what["paused"]]
        # Requests that other hosts relay are lost with a host.
        hosts = {row["host"] for row in self.by_what["started"]}
        found += [(row["at"], row["at"] + STABLE_S, hosts)
                  for row in self.by_what["sigkill"]]
        begun = None
        for row in sorted(self.by_what["cut"] + self.by_what["store"],
                          key=lambda row: row["at"]):
            if begun is not None:
                found.append((begun["at"], row["at"],
                              begun.get("hosts", STORE)))
            begun = row if row["begins"] else None
        if begun is not None:
            found.append((begun["at"], float("inf"),
                          begun.get("hosts", STORE)))
        return found

    def is_disturbed(self, host, since, until, by_store=True):
        """Return whether something unplanned disturbed a host."""
        return any(begin <= until and end + STABLE_S >= since
                   and (host in hosts or by_store and hosts == STORE)
                   for begin, end, hosts in self.disturbed)

    def is_kept(self, row):
        """Return whether a kept connection was closed without an answer."""
        return row.kept and not row.status and row.rid in self.passed and all(
            at is None or at < row.sent_at - STABLE_S for at in (
                self.latest(what, row.host, row.ended_at)
                for what in ("sigterm", "started")))

    def is_configuring(self, at):
        """Return whether a configuration may come into force."""
        return any(row["at"] <= at <= (
            self.acked.get(row["version"], row["at"])
            + APPLY_S + AFTER_APPLY_S) for row in self.by_what["configured"])

    def latest(self, what, host, at):
        """Return when something was done to a host last, by then."""
        times = [row["at"] for row in self.by_what[what]
                 if row.get("host", host) == host and row["at"] <= at]
        return max(times, default=None)

    def cause(self, row):
        """Return which planned work is around the end of a try, or None."""
        at = self.latest("sigterm", row.host, row.ended_at)
        if at is not None and row.ended_at <= (
                at + fleets.GRACE_S + AFTER_GRACE_S):
            return "SIGTERM"
        at = self.latest("sighup", row.host, row.ended_at)
        if at is not None and row.sent_at <= at + APPLY_S:
            return "SIGHUP"
        return "configuration" if self.is_configuring(row.ended_at) else None

    def is_excused(self, row):
        """Return whether a server worked on it until late in the grace."""
        stopped_at = self.latest("sigterm", row.host, row.ended_at)
        if stopped_at is None or row.sent_at > stopped_at + EXCUSED_SENT_S:
            return False
        if row.ended_at > stopped_at + fleets.GRACE_S + AFTER_GRACE_S:
            return False
        return any(at > stopped_at + EXCUSED_WORK_S
                   for at in self.ends[row.rid] or (
                       [row.ended_at] if self.runs[row.rid] else []))


def _is_cut(seen, row):
    """Return whether a try ended without a whole answer, unexcused."""
    if not row.is_broken_off:
        return False
    if any(at <= row.ended_at for at in seen.crashed[row.rid]):
        return False
    if row.ended_at - row.sent_at >= row.limit_s - LIMIT_S:
        return False
    if seen.is_excused(row):
        return False
    return row.rid in seen.passed or row.ended_at - row.sent_at > SLACK_S


def _lost(seen):
    """Return what LOST names, and as CUT what ended so in none of its ways.

    The latter is no broken rule, but has to be explained.
    """
    # A disturbance of the store excuses streams that may be resumed only.
    tries = [row for row in seen.record.tries if not seen.is_disturbed(
        row.host, row.sent_at, row.ended_at,
        by_store=loads.NAMED[row.kind].resumable)]
    cuts = [row for row in tries if _is_cut(seen, row)]
    often = _cut_often(seen, tries, cuts)
    kept = {row.rid for row in cuts if seen.is_kept(row)}
    findings = []
    for row in cuts:
        cause = seen.cause(row)
        is_lost = cause is not None
        if cause == "configuration":
            is_lost = row.host in often and (
                row.ended_at - row.sent_at < USED_SHARE * row.limit_s)
        rule = "LOST" if is_lost else "CUT"
        if row.rid in kept and len(kept) > MAX_KEPT and not is_lost:
            rule = "LOST, kept"
        findings.append(Finding(
            rule, row.rid, row.host, row.ended_at,
            f"{row.kind} by {cause or 'nothing planned'}, "
            f"{row.ending}, status {row.status}, "
            f"{len(row.events)} events, sent "
            f"{row.ended_at - row.sent_at:.2f} s before, runs "
            f"{[(run['sid'], run['version']) for run in seen.runs[row.rid]]}"))
    return findings


def _cut_often(seen, tries, cuts):
    """Return the hosts that cut more beside configurations than usual."""
    def count(rows):
        return collections.Counter(
            (row.host, seen.is_configuring(row.ended_at)) for row in rows)

    cut, total = count(cuts), count(tries)

    def share(host, near):
        return cut[host, near] / max(1, total[host, near])

    return {row.host for row in cuts if share(row.host, True)
            > CONFIG_FACTOR * share(row.host, False)}


def _order(seen):
    """Return what ORDER names, over all tries of each stream."""
    findings = []
    streams = collections.defaultdict(list)
    for row in seen.record.tries:
        is_stream = loads.NAMED[row.kind].is_stream
        if is_stream and row.whole and row.status == 200 and not (
                row.events) and (row.last_event < row.total or not row.total):
            findings.append(_disorder(
                row, f"whole, with no event after {row.last_event}", [row]))
        if is_stream and row.events:
            streams[row.stream].append(row)
    for rows in streams.values():
        rows.sort(key=lambda row: row.sent_at)
        is_resumable = loads.NAMED[rows[0].kind].resumable
        versions = {(each[3].partition("-")[0], each[2])
                    for row in rows for each in row.events}
        if len(versions) > 1:
            findings.append(_disorder(
                rows[-1], f"events of versions {sorted(versions)}", rows))
        for row in rows:
            numbers = [each[0] for each in row.events]
            if numbers != list(range(row.last_event + 1,
                                     row.last_event + 1 + len(numbers))):
                findings.append(_disorder(
                    row, f"events {numbers} after {row.last_event}", rows))
            if not is_resumable and len({each[3] for each in row.events}) > 1:
                findings.append(_disorder(row, "events of two runs", rows))
            if row.whole and row.status == 200 and (
                    row.events[-1][0] != row.events[-1][1]):
                findings.append(_disorder(
                    row, f"whole after event {numbers[-1:]}", rows))
    return findings


def _disorder(row, text, rows):
    parts = [(each.host, each.rid, sorted({(event[2], event[3])
                                           for event in each.events}))
             for each in rows]
    return Finding("ORDER", row.rid, row.host, row.ended_at,
                   f"{text}; tries: {parts}")


def _promises(seen):
    """Return requests that ran though they mayn't, or an answer denies it."""
    findings = []
    for row in seen.record.tries:
        runs = seen.runs[row.rid]
        if len(runs) > 1 and not loads.NAMED[row.kind].is_repeatable:
            findings.append(Finding("TWICE", row.rid, row.host, row.ended_at,
                                    f"ran at {[run['sid'] for run in runs]}"))
        if runs and row.status in PROMISES and (
                not loads.NAMED[row.kind].is_repeatable):
            findings.append(Finding("REFUSED", row.rid, row.host,
                                    row.ended_at, f"ran at {runs[0]['sid']}"))
        if row.whole and row.status == 200 and not runs:
            findings.append(Finding("MIXED", row.rid, row.host, row.ended_at,
                                    "a success that no server sent"))
        if row.mixed:
            findings.append(Finding("MIXED", row.rid, row.host, row.ended_at,
                                    row.mixed))
    return findings


def _ends(seen):
    """Return the hosts that had to be killed after their grace period."""
    return [Finding("KILLED", "", row["host"], row["at"],
                    "hadn't ended by itself")
            for row in seen.by_what["killed"]
            if not any(row["at"] - fleets.GRACE_S <= end + STABLE_S
                       and begin < row["at"]
                       and (row["host"] in hosts or hosts == STORE)
                       for begin, end, hosts in seen.disturbed)]


def judge(record):
    """Return the Findings of a Record, in order of time."""
    seen = _Seen(record)
    found = _lost(seen) + _order(seen) + _promises(seen) + _ends(seen)
    return sorted(found, key=lambda each: each.at)


def crossed(record):
    """Return how many tries crossed the close of their connection.

    They aren't counted by the rules, and cost their callers a new try.
    """
    seen = _Seen(record)
    return sum(row.is_broken_off and row.rid not in seen.passed
               and row.ended_at - row.sent_at <= SLACK_S
               for row in record.tries)


def taken_and_cut(record):
    """Return how many tries a stopping host took, and broke off excused."""
    seen = _Seen(record)
    return sum(row.is_broken_off
               and row.rid in seen.passed and seen.is_excused(row)
               and row.sent_at > seen.latest("sigterm", row.host, row.ended_at)
               for row in record.tries)


def refusals(record):
    """Return how many tries stopping hosts refused, and how many in vain.

    A refusal was in vain if the request was served elsewhere in less time
    than the host had left.
    """
    seen = _Seen(record)
    served = collections.defaultdict(list)
    for row in record.tries:
        if row.whole and row.status == 200:
            served[_name(row)].append(row)
    count = in_vain = 0
    for row in record.tries:
        stopped_at = seen.latest("sigterm", row.host, row.ended_at)
        started_at = seen.latest("started", row.host, row.ended_at)
        if not row.is_refused or stopped_at is None or (
                started_at is not None and started_at > stopped_at):
            continue
        count += 1
        left_s = stopped_at + fleets.GRACE_S - row.ended_at
        in_vain += any(
            each.sent_at >= row.ended_at
            and each.ended_at - each.sent_at < left_s
            for each in served[_name(row)])
    return count, in_vain


def _name(row):
    """Return what all tries of one request have in common."""
    return row.rid.rpartition("-")[0]
