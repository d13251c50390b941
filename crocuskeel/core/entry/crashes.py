"""Crashes of servers, inferred from lost attempts and from later signs.

A lost attempt alone doesn't tell a crash from an answer that got lost. The
server is shown to be down by the signs of ``crash_records.Sign``, and to have
been running all the while by a response to a request that was sent after the
loss. A loss stays undecided until one or the other is seen, here or at another
host, or until the store would have removed the entry of a crashed server.

A server that restarts may keep its id, so crashes are counted by its
incarnation.
"""

import math

from crocuskeel.core.entry import crash_attribution
from crocuskeel.core.entry import crash_records as records
from crocuskeel.core.entry import crash_updates as updates
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import prompt_parts

__all__ = ["confirm_if_ended", "forget", "note_closed", "note_down",
           "note_lost", "note_response", "note_served", "note_sound",
           "report_to_others"]

# No server restarts within this time, s.
MIN_RESTART_S = 1.0
# The store removes an entry after three heartbeat intervals without one; one
# more covers its delivery. A connection to the store that is silent is found
# within STORE_SILENCE_S.
EXPIRY_HEARTBEATS = 4
STORE_SILENCE_S = 3.0
# The store removes an entry after three heartbeat intervals without one. So a
# server whose entry is removed now ended at least two intervals ago.
MIN_EXPIRY_HEARTBEATS = 2
# Undecided losses and crashes are kept for this long, s.
LOSS_RETENTION_S = 60.0
CRASH_RETENTION_S = 600.0
# Crashes under a prompt part are kept for longer, s: it is tried again after
# up to MAX_QUARANTINE_S, and the former crashes tell for how long.
PART_RETENTION_S = 3600.0
# A response that ended with its connection is whole if its server shows no
# sign of a crash for this long, s.
CLOSED_S = 5.0
# A report is repeated to other hosts for this long, s: a datagram may be lost.
REPORT_S = 2.0
# With these the server's requests in progress are lost as well, though their
# connections may stay silent. After a restart some may be the new process's
# (restarting.end_orphaned_attempts).
GONE_SIGNS = (records.Sign.REFUSED, records.Sign.REMOVED,
              records.Sign.REPLACED)


def note_lost(host, pending, attempt, now, silent=False):
    """Record that an attempt was lost; return effects.

    ``silent``: it was given up as its server gave no sign of life. Other
    hosts are told once the server is shown to be down: under overload many
    attempts are given up whose server is well.
    """
    digest = pending.digest
    state = host.servers.get(attempt.sid)
    if not digest or state is None or draining.is_draining(
            host, state.server):
        # A server that leaves ends its connections at some time.
        return []
    out = []
    if not silent:
        out += _note_alive(host, attempt, MIN_RESTART_S, now)
    loss = records.Loss(now, attempt.sid, attempt.incarnation, digest,
                        silent=silent)
    updates.add_loss(host, loss)
    if not silent:
        parts = _lost_parts(host, pending, attempt, now)
        report_to_others(host, records.Report(
            records.Kind.LOST, now, digest, attempt.sid,
            attempt.incarnation, parts=parts), now)
        sound = prompt_parts.sound_report(host, parts)
        if sound is not None:
            report_to_others(host, sound, now)
    out.append(updates.line("crash_suspected", digest, attempt.incarnation,
                            silent=silent))
    return out + confirm_if_ended(host, loss, now)


def _lost_parts(host, pending, attempt, now):
    """Record the parts of a lost request if it may have crashed its server."""
    if not prompt_parts.may_have_crashed(attempt, now):
        return ()
    return prompt_parts.note_lost_parts(
        host, pending.digest, pending.part_keys, now)


def confirm_if_ended(host, loss, now):
    """Confirm the crash of a loss whose server is known to be gone."""
    sign, _ = host.crash_records.ended.get(loss.incarnation, (None, 0.0))
    return [] if sign is None else note_down(host, loss.sid, sign, now)


def note_down(host, sid, sign, now):
    """Record a sign that a server is down; return effects.

    The attempts lost there are taken to be due to that, as are those in
    progress if the sign shows that it is gone.
    """
    known = host.crash_records
    state = host.servers.get(sid)
    if sign in records.HARD_SIGNS and state is not None:
        known.ended[state.server.incarnation] = sign, now
    found = [loss for loss in known.losses if loss.sid == sid
             and not (loss.doubtful and sign is records.Sign.UNREACHABLE)]
    if found:
        known.losses = [loss for loss in known.losses if loss not in found]
    if state is not None and sign is not records.Sign.UNREACHABLE:
        found += _closed_streams(host, state, now)
    if state is not None and sign in GONE_SIGNS:
        begun_by = _ended_by(host, state, now)
        if sign is records.Sign.REMOVED:
            begun_by -= MIN_EXPIRY_HEARTBEATS * host.cfg.heartbeat_s
        found += _attempts_in_progress(host, state, begun_by, now)
    out = []
    for loss in found:
        report = records.Report(
            records.Kind.CRASHED, loss.at, loss.digest, loss.sid,
            loss.incarnation, sign,
            parts=host.crash_records.parts.get(loss.digest, ()))
        lines = updates.record_crash(host, report, now)
        if lines:
            report_to_others(host, report, now)
        out += lines
    return out


def _ended_by(host, state, now):
    """Return by when a server that is gone had ended, as far as is known."""
    crash = host.crash_records.crashes.get(state.server.incarnation)
    return now if crash is None else min(now, *crash.lost.values())


def _attempts_in_progress(host, state, begun_by, now):
    """Return the attempts in progress at a server as if lost now.

    Only those sent by ``begun_by``: a server that had ended began no others.
    """
    found = []
    for key, attempt_number in state.own_attempts:
        pending = host.pending[key]
        digest = pending.digest
        attempt = pending.attempts[attempt_number]
        if (digest and attempt.sent_at <= begun_by
                and attempt.incarnation == state.server.incarnation):
            _lost_parts(host, pending, attempt, now)
            found.append(records.Loss(
                now, attempt.sid, attempt.incarnation, digest))
    return found


def _closed_streams(host, state, now):
    """Return the responses that a server's crash ended, as losses."""
    incarnation = state.server.incarnation
    found = []
    for row in host.crash_records.closed.pop(incarnation, ()):
        if row.at < now - CLOSED_S:
            continue
        prompt_parts.note_lost_parts(host, row.digest, row.lost_parts, row.at)
        found.append(records.Loss(row.at, state.server.sid, incarnation,
                                  row.digest))
    return found


def note_closed(host, pending, attempt, now):
    """Record a response that ended with its connection.

    A server that crashed between two events ends its streams alike.
    """
    lost_parts = ()
    if prompt_parts.may_have_crashed(attempt, now):
        lost_parts = pending.part_keys
    host.crash_records.closed.setdefault(attempt.incarnation, []).append(
        records.ClosedStream(now, pending.digest, _sound_parts(
            pending, attempt), attempt.opened_at, lost_parts))
    return []


def note_sound(host, pending, attempt, now):
    """Record that a server answers a request, and has done so for a while."""
    _note_sound(host, _sound_parts(pending, attempt), attempt.opened_at, now)


def _sound_parts(pending, attempt):
    """Return the parts of which an attempt's response is a proof."""
    return pending.part_keys if attempt.is_first_run else ()


def _note_sound(host, keys, begun_at, now):
    cleared = prompt_parts.note_sound(host, keys, begun_at)
    if cleared:
        report_to_others(host, records.Report(
            records.Kind.SOUND, begun_at, parts=cleared), now)


def note_response(host, attempt, now):
    """Record that a server responded to an attempt; return effects.

    It was running until the attempt was sent, so losses there before that
    were due to no crash.
    """
    out = []
    for row in _take_closed(host, attempt.incarnation, attempt.sent_at):
        out += _note_whole(host, row, now)
    return out + _note_running(host, attempt, now)


def _take_closed(host, incarnation, until):
    """Remove and return the responses that ended by ``until``."""
    rows = host.crash_records.closed.get(incarnation)
    if not rows:
        return []
    later = [row for row in rows if row.at > until]
    if later:
        host.crash_records.closed[incarnation] = later
    else:
        del host.crash_records.closed[incarnation]
    return rows[:len(rows) - len(later)]


def _note_whole(host, row, now):
    """Record that a response that ended with its connection is whole."""
    _note_sound(host, row.parts, row.begun_at, now)
    return _clear(host, row.digest, now)


def _note_running(host, attempt, now):
    span_s = math.inf
    state = host.servers.get(attempt.sid)
    if state is not None and state.server.started_ms is not None:
        # It may have restarted under its id without this host knowing.
        span_s = MIN_RESTART_S
    return _note_alive(host, attempt, span_s, now)


def _note_alive(host, attempt, span_s, now):
    """Record that a server was running for ``span_s`` before an attempt."""
    known = host.crash_records
    if not (known.losses or known.crashes or known.ended):
        return []
    report = records.Report(
        records.Kind.ALIVE, attempt.sent_at, incarnation=attempt.incarnation,
        span_s=span_s)
    was_told = attempt.incarnation in known.crashes or _has_told_of(
        known, lambda loss: loss.incarnation == attempt.incarnation)
    out = updates.refute(host, report)
    if out and was_told:
        report_to_others(host, report, now)
    return out


def _has_told_of(known, is_meant):
    """Return whether others were told of a loss, by a predicate."""
    return any(is_meant(loss) and not loss.silent for loss in known.losses)


def note_served(host, pending, attempt, now):
    """Record the whole response to a request; return effects.

    It crashes no server. Losses at its server since it was sent are doubtful:
    the response may have been sent before them and read late.
    """
    out = _doubt(host, attempt)
    note_sound(host, pending, attempt, now)
    return out + _clear(host, pending.digest, now)


def _clear(host, digest, now):
    report = records.Report(records.Kind.SERVED, now, digest)
    was_told = bool(updates.lost_at(host, digest)) or _has_told_of(
        host.crash_records, lambda loss: loss.digest == digest)
    lines = updates.clear(host, report)
    if lines and was_told:
        report_to_others(host, report, now)
    return lines


def _doubt(host, attempt):
    known = host.crash_records
    incarnation = attempt.incarnation
    out = []
    for loss in known.losses:
        if (loss.incarnation == incarnation and not loss.doubtful
                and loss.at >= attempt.sent_at):
            loss.doubtful = True
            out.append(updates.line("crash_doubted", loss.digest, incarnation))
    crash = known.crashes.get(incarnation)
    if crash is not None and crash.sign is records.Sign.UNREACHABLE:
        out += updates.withdraw(known, incarnation, {
            digest: at for digest, at in crash.lost.items()
            if at >= attempt.sent_at}, "earlier request")
    return out


def forget(host, now):
    """Drop what is old, and losses at servers that outlived an expiry."""
    known = host.crash_records
    out = _drop_decided(host, now) if known.losses else []
    for incarnation in list(known.closed):
        for row in _take_closed(host, incarnation, now - CLOSED_S):
            out += _note_whole(host, row, now)
    for incarnation, crash in list(known.crashes.items()):
        retention_s = CRASH_RETENTION_S
        if crash_attribution.is_explained_by_part(host, incarnation):
            retention_s = PART_RETENTION_S
        updates.drop_from_crash(known, incarnation, [
            digest for digest, at in crash.lost.items()
            if at < now - retention_s])
    prompt_parts.forget(host)
    _drop_old(known.ended, lambda row: row[1] < now - LOSS_RETENTION_S)
    _drop_old(known.refuted, lambda at: at < now - CRASH_RETENTION_S)
    _drop_old(known.told, lambda at: at < now - REPORT_S)
    while known.reports and known.reports[0].until < now:
        known.reports.popleft()
    return out


def _drop_old(rows, is_old):
    for key in [key for key, row in rows.items() if is_old(row)]:
        del rows[key]


def _drop_decided(host, now):
    known = host.crash_records
    informed_at = now - fleet.store_data_age_s(host, now)
    outlived = [loss for loss in known.losses
                if _outlived_expiry(host, loss, informed_at)]
    known.losses = [loss for loss in known.losses if loss not in outlived
                    and loss.at >= now - LOSS_RETENTION_S]
    return [updates.line("crash_refuted", loss.digest, loss.incarnation,
                         by="entry") for loss in outlived]


def _outlived_expiry(host, loss, informed_at):
    """Return whether the store would have removed a crashed server by then.

    A store that was restored from a copy lists a crashed server anew.
    """
    state = host.servers.get(loss.sid)
    if (state is None or state.lapses_at is not None
            or state.server.incarnation != loss.incarnation):
        return False
    expiry_s = EXPIRY_HEARTBEATS * host.cfg.heartbeat_s + STORE_SILENCE_S
    return informed_at > max(loss.at, host.store_restored_at) + expiry_s


def report_to_others(host, report, now):
    """Have a report sent to other hosts, now and in the next states."""
    queued = records.QueuedReport(now + REPORT_S, report)
    host.crash_records.reports.append(queued)
    host.crash_records.unsent.append(queued)
