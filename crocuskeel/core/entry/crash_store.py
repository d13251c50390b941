"""Keeps confirmed crashes in the store, for hosts that start.

Hosts tell each other which requests were lost in crashes. When all of them are
killed, the next ones would count the crashes of each request from none. So the
store holds what hosts have confirmed, and a host that starts merges that as if
another host had told it.

A crash is stored with all requests that were in progress, or not at all unless
a cause is among them: those left out might be the cause, and those beside them
would be blamed. Of prompt parts only causes are stored, as the others would
count as never answered.

Ages are by hosts' wall clocks. A clock that is wrong lets a quarantine lapse
early, or begin anew.

Load: a host reads one object twice as it starts, by calls that may return old
data. It is written by the first serving host, ten times a second at most,
while crashes are confirmed or withdrawn; the next two read it then.
"""

import math

from crocuskeel.core.entry import crash_attribution
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import crash_reports
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import stored_crashes

__all__ = ["begin", "crashes_changed", "is_unwritten", "read", "restored",
           "step", "wanted", "write_changes", "written"]

# What was read may be some seconds old, so that it is read again after this,
# s.
SECOND_READ_S = 2.5
# Calls that failed are repeated after this, s, at first and at most.
RETRY_S = 0.5
MAX_RETRY_S = 4.0
# What is to be written is looked for this often at most, s. Rows are removed
# less often: requests that were beside a cause are served one after the other.
LOOK_INTERVAL_S = 0.1
REMOVE_INTERVAL_S = 5.0
# So many hosts write what is missing, each this much after the one before it,
# s.
MAX_TURNS = 3
TURN_S = 0.5
# Rows that are further ahead of this host's wall clock don't count, s: they
# would never lapse.
MAX_AHEAD_S = 60.0
# Name under which reports from the store are logged.
STORE = "store"


def begin(host, now):
    """Read the rows as this host first knows servers; return effects."""
    log = host.crash_log
    if log.wall_offset is None or log.is_reading:
        return []
    return _request_read(log, is_exact=False)


def step(host, wall, now):
    """Read or write what is due; ``wall`` is the time of day, s.

    Returns effects.
    """
    host.crash_log.wall_offset = wall - now
    return _do_due(host, now)


def crashes_changed(host):
    """Return whether crashes were confirmed or withdrawn since a write."""
    return host.crash_records.causes is not host.crash_log.settled


def write_changes(host, now):
    """Write crashes that were confirmed or withdrawn; return effects."""
    return [] if host.crash_log.wall_offset is None else _do_due(host, now)


def _do_due(host, now):
    log = host.crash_log
    if (log.is_reading or log.writing is not None or not host.servers_loaded
            or host.store_down_since is not None):
        return []
    if now >= log.next_read_at:
        return _request_read(log, is_exact=log.is_exact)
    if (log.revision is None or log.is_exact
            or now < log.looked_at + LOOK_INTERVAL_S
            or not log.is_checked and now < log.due_at < math.inf):
        return []
    causes = crash_attribution.causes(host)
    if causes is log.settled:
        return []
    log.looked_at = now
    rows = wanted(host)
    if not _differs(host, rows, now):
        return _settle(log, causes)
    return _write_in_turn(host, rows, now)


def is_unwritten(host, now):
    """Return whether this host is to write what nobody else will."""
    log = host.crash_log
    if log.writing is not None:
        return True
    return (log.wall_offset is not None and crashes_changed(host)
            and _turn(host, now) == 0
            and _differs(host, wanted(host), now))


def _settle(log, causes):
    log.settled = causes
    log.due_at = math.inf
    log.is_checked = False
    return []


def _request_read(log, is_exact):
    log.is_reading = True
    log.next_read_at = math.inf
    return [record_effects.ReadCrashes(is_exact)]


def _differs(host, rows, now):
    """Return whether the store lacks rows, or has some that were withdrawn.

    Those that lapsed go with the next write, or as none is left.
    """
    log = host.crash_log
    if rows.keys() - log.stored.keys():
        return True
    return any(not rows or _is_kept(host, row, now)
               for key, row in log.stored.items() if key not in rows)


def _is_kept(host, row, now):
    return _age_s(host, row, now) < crashes.CRASH_RETENTION_S


def _age_s(host, row, now):
    """Return a crash's age, infinite if its time can't be right."""
    age_s = now + host.crash_log.wall_offset - row.wall_at
    return max(0.0, age_s) if age_s >= -MAX_AHEAD_S else math.inf


def _write_in_turn(host, rows, now):
    """Write the rows if it is this host's turn; return effects.

    Others add what the first host, which may not reach the store, has not
    written. Only the first one removes rows.
    """
    log = host.crash_log
    turn = _turn(host, now)
    if turn >= MAX_TURNS or turn and not rows.keys() - log.stored.keys():
        return _settle(log, crash_attribution.causes(host))
    if turn and not log.is_checked:
        if log.due_at == math.inf:
            log.due_at = now + turn * TURN_S
        if now < log.due_at:
            return []
        log.is_checked = True
        return _request_read(log, is_exact=False)
    if not rows.keys() - log.stored.keys() and (
            now < log.written_at + REMOVE_INTERVAL_S):
        return []
    log.writing = rows
    log.written_at = now
    return [record_effects.WriteCrashes(
        tuple(rows.values()), log.revision)]


def _turn(host, now):
    """Return how many serving hosts write before this one.

    Those that are listed but that nobody has heard may not run. Those that
    are stopping come last.
    """
    heard = [peer for peer in fleet.serving_hosts(host, now)
             if peer.name != host.self_peer.name
             and _is_heard(host.peers[peer.name], now)]
    return fleet.rank(host, STORE, heard, now)


def _is_heard(known, now):
    return (fleet.is_peer_ready(known, now)
            or now - known.confirmed_ready_at <= fleet.PEER_TIMEOUT_S)


def wanted(host):
    """Return the StoredCrash rows that the store should hold, by key.

    Crashes with a cause come first, then those with fewest requests.
    """
    known = host.crash_records
    causes = crash_attribution.causes(host)
    parts = _blamed_parts(causes)
    blamed = {
        incarnation: [
            digest for digest in crash.lost if _may_be_cause(causes, digest)
            or _lost_parts(host, digest, parts.get(incarnation, ()))]
        for incarnation, crash in known.crashes.items()}
    found = {}
    for incarnation in sorted(blamed, key=lambda each: (
            not blamed[each], len(known.crashes[each].lost), each)):
        crash = known.crashes[incarnation]
        for digests in (crash.lost, blamed[incarnation]):
            if len(found) + len(digests) <= stored_crashes.MAX_ROWS:
                rows = (_row(host, digest, incarnation, crash,
                             parts.get(incarnation, ()))
                        for digest in digests)
                found.update((row.key, row) for row in rows)
                break
    return found


def _blamed_parts(causes):
    """Return the parts that are causes, by incarnation."""
    found = {}
    for cause in causes.parts:
        if not cause.is_suspect:
            for incarnation in cause.crashes:
                found[incarnation] = found.get(
                    incarnation, frozenset()) | cause.parts
    return found


def _may_be_cause(causes, digest):
    return digest in causes.culprits or digest in causes.suspects


def _lost_parts(host, digest, parts):
    return tuple(sorted(set(parts).intersection(
        host.crash_records.parts.get(digest, ()))))


def _row(host, digest, incarnation, crash, parts):
    return stored_crashes.StoredCrash(
        digest, incarnation, str(crash.sign),
        crash.lost[digest] + host.crash_log.wall_offset,
        _lost_parts(host, digest, parts))


def read(host, event, now):
    """Merge the rows that were read; return effects."""
    log = host.crash_log
    log.is_reading = False
    if event.revision is None:
        log.failures += 1
        return _read_later(log, log.failures, now)
    log.failures = 0
    log.is_exact = False
    log.reads += 1
    if log.reads == 1:
        log.next_read_at = now + SECOND_READ_S
    if log.revision is not None and event.revision < log.revision:
        # It was read before this host's own write.
        return []
    log.revision = event.revision
    log.stored = {row.key: row for row in event.crashes}
    log.settled = None
    reports = [_report(host, row, now) for row in event.crashes
               if _is_kept(host, row, now)]
    out = crash_reports.merge(
        host, STORE, crash_reports.rows(reports, now), now)
    return out + _do_due(host, now)


def _report(host, row, now):
    return records.Report(
        records.Kind.CRASHED, now - _age_s(host, row, now), row.digest,
        incarnation=row.incarnation, sign=records.Sign(row.sign),
        parts=row.parts)


def _read_later(log, failures, now):
    """Read again some time after a call that failed."""
    log.next_read_at = now + min(
        MAX_RETRY_S, RETRY_S * 2 ** min(failures - 1, 8))
    return []


def written(host, event, now):
    """Note the result of a write; return effects.

    After one that failed the object is read, as another host may have written
    it, or nobody knows whether this write did.
    """
    log = host.crash_log
    rows, log.writing = log.writing, None
    if rows is None:
        return []
    if event.revision is None:
        log.is_exact = True
        log.write_failures += 1
        return _read_later(log, log.write_failures, now)
    log.write_failures = 0
    log.revision = event.revision
    log.stored = rows
    return []


def restored(host, now):
    """Read again, as the store came back from an older copy.

    What the copy lacks is written again.
    """
    log = host.crash_log
    if _turn(host, now) >= MAX_TURNS:
        return []
    log.is_exact = True
    log.looked_at = log.written_at = -math.inf
    log.next_read_at = now
    return write_changes(host, now)
