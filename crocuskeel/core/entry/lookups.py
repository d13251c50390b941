"""Finds out where a stream began that its caller takes up again.

A host that doesn't know asks those that were told, and reads what killed hosts
wrote to the store. If nobody knows, the stream goes on only where all streams
can have begun at one version: a guess could join parts that don't fit
together. Neither a host that has just started can say that by the servers that
it lists (version_history), nor one that stood still or was cut off, even if it
has just heard all others: answers or a read of the store have to show that it
is in step. If a route leads to several services, or has moved (moved_routes),
what is known of one of them doesn't show where a stream began.
"""

import enum

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import events
from crocuskeel.core.entry import first_events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from crocuskeel.core.entry import moved_routes
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import recorders
from crocuskeel.core.entry import stream_log
from crocuskeel.core.entry import stream_reads
from crocuskeel.core.entry import stream_records as records
from crocuskeel.core.entry import version_history

__all__ = ["Finding", "answer", "note_unknown", "resolve", "waiting",
           "waiting_for"]

# This many hosts are asked: the keepers, and some more, as hosts may differ in
# which others they know to be alive.
ASKED = 8
# Hosts without an answer are asked again, and no longer waited for, after, s:
REPEAT_S = 0.1
TIMEOUT_S = 0.2
# Hosts are asked again after this, s, while the store takes no more calls.
ASK_AGAIN_S = 0.25
# What the store knows is waited for until then, s.
STORE_TIMEOUT_S = 1.2


class Finding(enum.Enum):
    """Whether a request may be sent as far as its stream's origin goes."""

    READY = "ready"
    WAITING = "waiting"
    UNKNOWN = "unknown"


def resolve(host, pending, now):
    """Bind a request that takes up a stream; return (Finding, effects)."""
    if (pending.origin is not None or pending.begins_anew
            or not pending.route.resumable):
        return Finding.READY, []
    if pending.request.relay_origin is not None:
        return _bound(host, pending, pending.request.relay_origin, "relayed",
                      now)
    if not pending.request.is_taken_up:
        return Finding.READY, []
    key = origins.taken_up_key(pending)
    default = None
    if key is not None:
        origin = origins.known(host, key, now)
        if origin is not None:
            return _bound(host, pending, origin, "told", now)
        since = stream_reads.sought_since(host, key, now)
        origin, is_written = stream_reads.find(
            host, pending.service, key, since)
        if is_written and origin is not None:
            return _bound(host, pending, origin, "store", now)
        default = origin
    versions = version_history.possible_versions(host, pending.service, now)
    if key is None and (
            len(versions) > 1 or _may_be_elsewhere(host, pending, now)):
        return _unknown(host, pending, versions, now)
    if pending.lookup is None:
        if _is_unasked(host, pending, now):
            return _bound_to_only_version(host, pending, set(), now)
        _begin(host, pending, key, now)
    # Others may remember what could not be written.
    if (default is not None and _is_answered(pending.lookup, now)
            and _may_be_default(host, default, now)
            and not moved_routes.is_moved(host, pending.route, now)):
        return _bound(host, pending, default, "default", now)
    return _continue(host, pending, key, now)


def _may_be_default(host, origin, now):
    """Return whether a stream of no segment can go on at the default version.

    A record that lacks a version that this host knows may be an old one.
    """
    versions = origins.versions_of(host, origin.service, now)
    return (origin.version in host.streams.current.get(origin.service, ())
            and stream_reads.names_all(host, origin.service, versions))


def _is_unasked(host, pending, now):
    """Return whether answers can't tell, as they are of one service only."""
    return (not pending.request.resumes and len(pending.route.split) > 1
            and _knows_versions(host, pending, now)
            and _is_up_to_date(host, now) and fleet.reads_store(host, now)
            and fleet.hears_all(host, now))


def _knows_versions(host, pending, now):
    return version_history.is_complete(host, pending.service, now)


def _has_one_version(host, pending, now):
    return len(version_history.possible_versions(
        host, pending.service, now)) == 1


def _has_one_origin(host, pending, now):
    return (_has_one_version(host, pending, now)
            and not _may_be_elsewhere(host, pending, now))


def _may_be_elsewhere(host, pending, now):
    """Return whether a stream may have begun at another service."""
    return moved_routes.is_moved(host, pending.route, now) or any(
        origins.versions_of(host, service, now)
        or not version_history.is_complete(host, service, now)
        for service, _ in pending.route.split
        if service != pending.service)


def _bound(host, pending, origin, source, now):
    lookup, pending.lookup = pending.lookup, None
    if _begins_anew(host, pending, origin) or not (
            origins.bind(pending, origin)):
        return _unbound(pending)
    if _would_wait(host, pending):
        return Finding.UNKNOWN, []
    return Finding.READY, [ending.log_line(
        "taken_up", pending.request, resumes=pending.request.resumes,
        last_event=pending.request.last_event_id, service=origin.service,
        software=origin.version, source=source,
        **_search_fields(host, lookup, now))]


def _would_wait(host, pending):
    """Return whether a first event would wait for a store that fails.

    The caller's next try has another id, which may need no write.
    """
    log = host.streams.log
    return bool(pending.request.last_event_id and log.is_failing
                and (log.unwritten or log.told)
                and first_events.may_go_elsewhere(host, pending))


def _begins_anew(host, pending, origin):
    """Return whether a caller without events needs no server of an origin."""
    return (not pending.request.last_event_id
            and pending.request.relay_origin is None
            and origin.version not in host.streams.current.get(
                origin.service, ()))


def _search_fields(host, lookup, now):
    """Return what a host's search for a stream was based on, for the log."""
    fields = {"up_s": round(now - host.started_at, 2)}
    if lookup is not None:
        fields |= {"asked": lookup.asked,
                   "answered": lookup.asked - len(lookup.unanswered)}
    return fields


def _bound_to_only_version(host, pending, named, now):
    versions = version_history.possible_versions(
        host, pending.service, now) | named
    if len(versions) != 1:
        return _unknown(host, pending, versions, now)
    (version, ) = versions
    return _bound(host, pending, model.Origin(pending.service, version),
                  "only version", now)


def _unknown(host, pending, versions, now):
    """Log why a stream's origin can't be told; return the Finding."""
    line = ending.log_line(
        "origin_unknown", pending.request, resumes=pending.request.resumes,
        service=pending.service, versions=sorted(versions),
        complete=_knows_versions(host, pending, now),
        **_search_fields(host, pending.lookup, now))
    finding, out = _unbound(pending)
    if len(versions) > 1 and recorders.may_read(host, now):
        out += stream_reads.read_late(host, now)
    return finding, [line, *out]


def _unbound(pending):
    """Return the Finding; a caller without events gets all of them anew."""
    pending.lookup = None
    if pending.request.last_event_id:
        return Finding.UNKNOWN, []
    pending.begins_anew = True
    return Finding.READY, []


def _is_up_to_date(host, now):
    """Return whether no other host has shown a newer list of servers."""
    return (host.servers_behind_at is None and fleet.store_data_age_s(
        host, now) <= fleet.SERVING_READER_TIMEOUT_S)


def _asked(host, key, now):
    """Return the hosts to ask by their names."""
    readers = [] if key is None else recorders.readers(host, key, now)
    return {peer.name: peer for peer in [
        *origins.keepers(host, key or "", ASKED, now), *readers]}


def _begin(host, pending, key, now):
    names = set(_asked(host, key, now))
    readers = frozenset() if key is None else frozenset(
        peer.name for peer in recorders.readers(host, key, now))
    pending.lookup = records.Lookup(
        len(names), names, next_at=now, ends_at=now + TIMEOUT_S, began_at=now,
        readers=readers)


def _is_answered(lookup, now):
    """Return whether no answer of another host is waited for any more."""
    if not lookup.unanswered or now >= lookup.began_at + STORE_TIMEOUT_S:
        return True
    return (now >= lookup.ends_at
            and not lookup.readers & lookup.unanswered)


def _may_conclude_early(host, pending, now):
    """Return whether enough hosts have answered that know one version only."""
    versions = version_history.possible_versions(host, pending.service, now)
    return (len(versions | pending.lookup.versions) == 1
            and _knows_versions(host, pending, now)
            and _has_one_origin(host, pending, now)
            and _is_up_to_date(host, now) and _is_in_step(host, pending, now))


def _is_in_step(host, pending, now):
    """Return whether other hosts' answers show that this one is in step.

    Those that it doesn't hear count, too: it may hear only others that were
    cut off with it, or none as it stood still. Answers tell of one service.
    """
    lookup = pending.lookup
    if (host.servers_behind_at is not None and recorders.may_read(host, now)
            or not pending.request.resumes and len(pending.route.split) > 1):
        return False
    others = sum(not peer.leaving for peer in host.peers.values())
    answers = lookup.asked - len(lookup.unanswered)
    return (2 * answers >= max(lookup.asked, min(ASKED, others))
            and fleet.is_surely_in_touch(host, now))


def _continue(host, pending, key, now):
    lookup = pending.lookup
    if _is_answered(lookup, now) or _may_conclude_early(host, pending, now):
        if now < lookup.began_at + STORE_TIMEOUT_S:
            reading = _read_store(host, pending, key, now)
            if reading is not None:
                return Finding.WAITING, reading
        return _concluded(host, pending, key, now)
    if now < lookup.next_at:
        return Finding.WAITING, []
    lookup.next_at = now + REPEAT_S
    return Finding.WAITING, _ask(host, pending, key, lookup.unanswered, now)


def _ask(host, pending, key, names, now):
    # Where a route has moved, no version of its service says anything.
    is_moved = moved_routes.is_moved(host, pending.route, now)
    question = events.OriginAsked(
        host.self_peer.name, key or "", "" if is_moved else pending.service)
    return [effects.SendToPeer(peer, question)
            for name, peer in _asked(host, key, now).items() if name in names]


def _read_store(host, pending, key, now):
    """Return effects if the store or others have yet to tell, else None.

    A host that has read that versions are missing in the record is told which
    by others, and finds the streams that are in a segment all the same.
    """
    knows = _knows_versions(host, pending, now)
    has_read = host.streams.history.is_read
    if (key is None or not (knows or has_read)
            or knows and _has_one_origin(host, pending, now) and (
                host.store_down_since is not None
                or _is_in_step(host, pending, now))
            or not recorders.may_read(host, now)
            or stream_reads.is_failing(host)
            or stream_reads.has_read_since(
                host, stream_reads.sought_since(host, key, now))):
        return None if knows else []
    return stream_reads.request_read(host, now) + _ask_again(
        host, pending, key, now)


def _ask_again(host, pending, key, now):
    """Ask what others have read while the store takes no calls of this host.

    Those asked remember since when the stream is sought.
    """
    lookup = pending.lookup
    if not host.streams.log.is_limited or now < lookup.next_at:
        return []
    lookup.next_at = now + ASK_AGAIN_S
    return _ask(host, pending, key, _asked(host, key, now), now)


def _concluded(host, pending, key, now):
    """Return the Finding if neither other hosts nor the store know."""
    lookup = pending.lookup
    is_elsewhere = _may_be_elsewhere(host, pending, now) and (
        moved_routes.is_moved(host, pending.route, now)
        or not stream_reads.is_in_no_segment(
            host, pending.service, key,
            stream_reads.sought_since(host, key, now)))
    if (not is_elsewhere and _knows_versions(host, pending, now)
            and _is_in_step(host, pending, now)):
        return _bound_to_only_version(host, pending, lookup.versions, now)
    versions = version_history.possible_versions(host, pending.service, now)
    return _unknown(host, pending, versions | lookup.versions, now)


def answer(host, event, now, has_read=False):
    """Answer another host's question; return effects.

    ``has_read``: it has waited until this host read the store.
    """
    asker = host.peers.get(event.name)
    if asker is None:
        return []
    record = host.streams.origins.get(event.key)
    if record is not None and record.until > now:
        return [origins.told(host, asker.peer, event.key, record, now)]
    if stream_log.is_key(event.key) and not (
            _has_one_version(host, event, now)
            and _knows_versions(host, event, now)
            and not stream_reads.is_one_of_several(host, event.service)):
        origin, counts = _read(host, event, has_read, now)
        if counts:
            return [origins.told(host, asker.peer, event.key, records.Record(
                origin, now + origins.life_s(host), is_own=False), now)]
        if recorders.reads_for_all(host, now):
            if origin is not None:
                # The host that asks does so again.
                return []
            if not has_read:
                return stream_reads.wait_for_read(host, event, now)
    versions = version_history.possible_versions(host, event.service, now)
    return [effects.SendToPeer(asker.peer, events.OriginUnknown(
        host.self_peer.name, event.key, event.service,
        tuple(sorted(versions))))]


def _read(host, event, has_read, now):
    """Return (Origin or None, whether it counts) by what this host has read.

    The host that asks may not have been able to read the store. The default
    version counts only once those that remember the stream have answered.
    """
    asked_at = stream_reads.asked_since(host, event.key, now)
    since = host.streams.log.read_began_at if has_read else asked_at
    origin, is_written = stream_reads.find(
        host, event.service, event.key, since)
    if origin is None or is_written:
        return origin, is_written
    if not _may_be_default(host, origin, now):
        return None, False
    return origin, now >= asked_at + TIMEOUT_S


def waiting(host):
    """Return the requests whose streams are sought."""
    return [pending for pending in map(host.pending.get, host.held)
            if pending.lookup is not None]


def waiting_for(host, keys):
    """Return the requests that seek streams of some keys, "" for versions."""
    return [pending for pending in waiting(host)
            if (origins.taken_up_key(pending) or "") in keys]


def note_unknown(host, event):
    """Note that a host doesn't know a stream; return what waits for it."""
    found = [pending for pending in waiting_for(host, {event.key})
             if event.service in ("", pending.service)
             and event.name in pending.lookup.unanswered]
    for pending in found:
        pending.lookup.unanswered.discard(event.name)
        pending.lookup.versions.update(event.versions)
    return found
