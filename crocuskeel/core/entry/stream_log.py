"""Writes the origins of streams to the store, for when no host remembers them.

Hosts tell each other where streams began, and forget it as they are killed.
So each service has a default version (version_history), and a stream that
begins at another one is also written to the store, in segments. Its first
event is forwarded once the store has confirmed that: a stream that is in no
segment began at the default version. What is written stays true: from its
first event on, a request goes to servers of that version only.

How long that may take is up to first_events. While writes fail here, other
hosts write; while theirs fail, too, new streams begin at the default version
if it serves.

Load: none for services with one version. For others all hosts together make
WRITES_PER_S at most, each of the streams that began in the last SEGMENT_S.
"""

import dataclasses
import re

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import first_events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import record_events
from crocuskeel.core.entry import recorders
from crocuskeel.core.entry import stream_limits
from crocuskeel.core.entry import stream_records as records
from crocuskeel.core.entry import told_records
from crocuskeel.core.entry import version_history

__all__ = ["confirmed", "due", "is_key", "note", "note_opened", "note_told",
           "record", "step", "store_back", "written"]

# Writes a second of all hosts together, and the least time between two of one
# host, s.
WRITES_PER_S = 200.0
MIN_INTERVAL_S = 0.05
# A segment takes the streams that begin within this time, s, or so many.
SEGMENT_S = 4.0
SEGMENT_STREAMS = 4096
# A write that takes longer than this, s, may never be answered: its streams
# are written once more, under another name.
SLOW_S = 0.3
MAX_WRITES = 4
# The next write after one that failed, s, at first, at first while the store
# takes no more calls, and at most. First events wait as long (first_events).
RETRY_S = 0.1
LIMITED_RETRY_S = 0.5
MAX_RETRY_S = 4.0
# Another host that has not confirmed a stream is told again after this, s,
# and later and later once nothing waits for it.
TELL_AGAIN_S = 0.3
# A stream that no other host confirms for so long, s, is written by this one.
OWN_WRITE_S = 0.6
# Another host that confirms nothing for so long, s, can't write.
TOLD_TIMEOUT_S = 1.0
MAX_UNWRITTEN = 65_536
# Names in one effect that deletes segments, and rows in one message.
MAX_DELETED = 32
MAX_ROWS = 200
_KEY = re.compile(f"[0-9a-f]{{{2 * records.KEY_BYTES}}}")


def is_key(text):
    """Return whether a text is the key of a stream."""
    return _KEY.fullmatch(text) is not None


def note_opened(host, pending, keys, life_s, now):
    """Have the origin of a stream that has begun written; return effects.

    ``keys`` are those of the stream, which goes on at this origin only.
    """
    if pending.log_origin is not None or not (
            first_events.must_log(host, pending, pending.origin, now)):
        return []
    pending.log_origin = pending.origin
    pending.unlogged = set(keys)
    host.streams.log.awaiting.update(dict.fromkeys(keys, pending.key))
    out = note(host, dict.fromkeys(keys, pending.origin), life_s, now)
    if version_history.is_unrecorded(host, pending.origin, now):
        out += version_history.read_early(host, pending.origin.service, now)
    return out + told_records.step(host, now)


def note(host, rows, life_s, now):
    """Have streams written to the store; return effects.

    ``rows`` maps keys to Origins; the streams end within ``life_s``.
    """
    log = host.streams.log
    log.life_s = max(log.life_s, life_s)
    log.must_clean = True
    rows = {key: origin for key, origin in rows.items() if is_key(key)}
    if _recorder_name(host, host.self_peer.name, now) != host.self_peer.name:
        _note_telling(log, rows, now)
        return _tell_recorder(host, rows, now)
    _add(log, rows, now)
    out = _ask_helper(host, rows, now) if log.write_failures else []
    return out + _write(host, now)


def _ask_helper(host, rows, now):
    """Have another host write streams whose write fails here, or is slow."""
    log = host.streams.log
    rows = {key: origin for key, origin in rows.items()
            if key in log.unwritten and key not in log.senders}
    peer = recorders.helper(host, now)
    if peer is None or not rows:
        return []
    _note_telling(log, rows, now)
    return _messages(host, peer, record_events.StreamsToRecord, rows)


def _recorder_name(host, name, now):
    return recorders.recorder(host, name, now).name


def _add(log, rows, now):
    for key, origin in rows.items():
        if len(log.unwritten) < MAX_UNWRITTEN:
            log.unwritten[key] = origin
            log.ends_at[key] = now + log.life_s


def _forget_ended(log, now):
    """Forget streams that ended before they could be written."""
    while log.ends_at:
        key = next(iter(log.ends_at))
        if key in log.unwritten and log.ends_at[key] > now:
            return
        del log.ends_at[key]
        log.unwritten.pop(key, None)
        log.senders.pop(key, None)


def _note_telling(log, rows, now):
    for key, origin in rows.items():
        if key not in log.told or log.told[key].origin != origin:
            ends_at = log.ends_at.get(key, now + log.life_s)
            log.told[key] = records.ToldStream(
                origin, now, now + TELL_AGAIN_S, ends_at)


def _tell_recorder(host, rows, now):
    peer = recorders.recorder(host, host.self_peer.name, now)
    return _messages(host, peer, record_events.StreamsToRecord, rows)


def _tell_late(host, now):
    """Tell streams again that no other host has confirmed; return effects.

    They may have been forwarded unwritten, and count until they have ended.
    Any host that writes is told: the recorder may be refused, too.
    """
    log = host.streams.log
    log.told = {key: row for key, row in log.told.items() if row.ends_at > now}
    if any(now >= row.told_at + TOLD_TIMEOUT_S for row in log.told.values()):
        log.is_failing = True
    late = {key: row for key, row in log.told.items() if now >= row.next_at}
    out = _write_unconfirmed(host, late, now)
    peer = recorders.helper(host, now) if late else None
    if peer is None:
        return out
    for key, row in late.items():
        pause_s = 0.0 if key in log.awaiting else now - row.told_at
        log.told[key] = dataclasses.replace(
            row, next_at=now + TELL_AGAIN_S + pause_s)
    return out + _messages(host, peer, record_events.StreamsToRecord, {
        key: row.origin for key, row in late.items()})


def _write_unconfirmed(host, late, now):
    """Write streams that another host should have written by now."""
    log = host.streams.log
    if host.store_down_since is not None:
        return []
    for key, row in late.items():
        if now >= row.told_at + OWN_WRITE_S and key not in log.unwritten:
            log.unwritten[key] = row.origin
            log.ends_at[key] = row.ends_at
    return _write(host, now)


def _messages(host, peer, kind, rows):
    left_ms = int(host.streams.log.life_s * 1000)
    found = [(key, origin.service, origin.version, left_ms)
             for key, origin in rows.items()]
    return [effects.SendToPeer(peer, kind(
        host.self_peer.name, tuple(found[first:first + MAX_ROWS])))
        for first in range(0, len(found), MAX_ROWS)]


def note_told(host, rows, now):
    """Note the streams that another host told: it may have written them."""
    log = host.streams.log
    written = {key: origin for key, origin in rows.items()
               if key in log.told and log.told[key].origin == origin}
    for key in written:
        del log.told[key]
        if key in log.awaiting:
            # No host knows it but the one that has written it.
            log.unwritten.pop(key, None)
    if written:
        log.is_failing = False
        log.helped_at = log.taken_at = now
    _confirm(host, written)


def record(host, event, now):
    """Write the streams of another host; return effects."""
    log = host.streams.log
    log.must_clean = True
    for key, service, version, left_ms in event.rows:
        log.life_s = max(log.life_s, min(
            left_ms / 1000, stream_limits.LONGEST_LIFE_S))
        if is_key(key) and len(log.unwritten) < MAX_UNWRITTEN:
            log.senders[key] = event.name
            _add(log, {key: model.Origin(service, version)}, now)
    return _write(host, now)


def _confirm(host, rows):
    """Note that the store has streams."""
    log = host.streams.log
    for key, origin in rows.items():
        pending = host.pending.get(log.awaiting.pop(key, None))
        if pending is not None and pending.log_origin == origin:
            pending.unlogged.discard(key)
            log.confirmed.append(pending.key)


def confirmed(host):
    """Return the requests whose streams the store has by now."""
    found, host.streams.log.confirmed = host.streams.log.confirmed, []
    return [host.pending[key] for key in dict.fromkeys(found)
            if key in host.pending and not host.pending[key].unlogged]


def _write(host, now):
    """Write what is due; return effects."""
    log = host.streams.log
    if not log.unwritten:
        return []
    if log.name in log.writing:
        slow_at = log.writing[log.name].began_at + SLOW_S
        if now < slow_at:
            return _schedule(log, slow_at)
        slow = log.writing[log.name].rows
        _close_segment(log, now)
        return _ask_helper(host, slow, now) + _write(host, now)
    if now < log.next_write_at or len(log.writing) >= MAX_WRITES:
        return _schedule(log, max(log.next_write_at, now + MIN_INTERVAL_S))
    if (log.name is None or now >= log.opened_at + SEGMENT_S
            or len(log.written) >= SEGMENT_STREAMS):
        _open_segment(host, now)
    room = SEGMENT_STREAMS - len(log.written)
    taken = {key: log.unwritten[key]
             for key in list(log.unwritten)[:max(1, room)]}
    log.writing[log.name] = records.SegmentWrite(taken, now)
    log.next_write_at = now + max(
        MIN_INTERVAL_S, recorders.count(host, now) / WRITES_PER_S)
    return [record_effects.WriteSegment(
        records.Segment(log.name, _rows({**log.written, **taken})),
        log.revision)]


def _schedule(log, at):
    if log.is_scheduled:
        return []
    log.is_scheduled = True
    return [record_effects.ScheduleSegment(at)]


def _open_segment(host, now):
    log = host.streams.log
    _close_segment(log, now)
    log.number += 1
    me = host.self_peer
    log.name = f"{me.name}.{me.boot:x}.{log.number}"
    log.opened_at = now


def _close_segment(log, now):
    if log.name is not None:
        log.closed[log.name] = now + log.life_s
    log.name = None
    log.written = {}
    log.revision = 0


def _rows(streams):
    by_origin = {}
    for key, origin in streams.items():
        by_origin.setdefault(origin, bytearray()).extend(bytes.fromhex(key))
    return tuple((origin.service, origin.version, bytes(keys))
                 for origin, keys in by_origin.items())


def due(host, event, now):
    """Write the streams that began since; return effects."""
    host.streams.log.is_scheduled = False
    return _write(host, now)


def store_back(host, now):
    """Write what the store did not take while it was away; return effects."""
    log = host.streams.log
    if log.name not in log.writing:
        log.next_write_at = min(log.next_write_at, now)
    return _write(host, now)


def written(host, event, now):
    """Note the result of a write; return effects.

    One that failed may take effect later, so that nothing else is written
    under its name. The streams of a segment that is gone are written again.
    """
    log = host.streams.log
    write = log.writing.pop(event.name, None)
    if write is None:
        return []
    log.is_failing = (event.revision is None
                      and now > log.helped_at + TOLD_TIMEOUT_S)
    if event.revision is None:
        if event.name == log.name:
            if event.is_lost:
                _add(log, log.written, now)
            _close_segment(log, now)
        first_s = LIMITED_RETRY_S if event.is_limited else RETRY_S
        log.next_write_at = max(log.next_write_at, now + min(
            MAX_RETRY_S, first_s * 2 ** min(log.write_failures, 8)))
        log.write_failures += 1
        return _ask_helper(host, write.rows, now) + _write(host, now)
    log.write_failures = 0
    log.taken_at = now
    if event.name == log.name:
        log.revision = event.revision
        log.written.update(write.rows)
    for key, origin in write.rows.items():
        if log.unwritten.get(key) == origin:
            del log.unwritten[key]
        log.told.pop(key, None)
    _confirm(host, write.rows)
    return _answer_senders(host, write.rows) + _write(host, now)


def _answer_senders(host, rows):
    """Tell the hosts that wanted streams written that they are."""
    by_sender = {}
    for key, origin in rows.items():
        name = host.streams.log.senders.pop(key, None)
        if name in host.peers:
            by_sender.setdefault(name, {})[key] = origin
    return [effect for name, found in by_sender.items()
            for effect in _messages(host, host.peers[name].peer,
                                    events.OriginsTold, found)]


def step(host, now):
    """Do what is due; return effects."""
    log = host.streams.log
    _forget_ended(log, now)
    if log.name is not None and log.name not in log.writing and (
            now >= log.opened_at + SEGMENT_S):
        _close_segment(log, now)
    out = _tell_late(host, now)
    log.awaiting = {key: request for key, request in log.awaiting.items()
                    if request in host.pending}
    return out + _delete_ended(log, now)


def _delete_ended(log, now):
    """Return effects that delete segments, some at a time.

    A host that lives may have written to a segment of its own since that was
    read.
    """
    log.ended.update((name, 0) for name, at in log.closed.items()
                     if at <= now and name not in log.writing)
    log.closed = {name: at for name, at in log.closed.items()
                  if name not in log.ended}
    rows = tuple(log.ended.items())[:MAX_DELETED]
    for name, _ in rows:
        del log.ended[name]
    return [record_effects.DeleteSegments(rows)] if rows else []
