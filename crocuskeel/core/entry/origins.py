"""Where each stream began: the service and its software version.

Servers of several versions may serve one service. What two versions write
doesn't fit together, so a stream goes on at the version that wrote its first
event, both within one response and when its caller takes it up again at any
host.

Each host records the streams that it forwards. While a service has several
versions, a host also tells some others before it forwards a first event: those
that rendezvous hashing of the stream's key puts first, so that a host that has
to go on with the stream knows whom to ask. When a second version appears, the
streams of the first one are told as well. A record is kept while the caller
may come back. Nothing is told while a service has one version. What no host
remembers is in the store (stream_log).

A route may lead to several services, by the hash of a request's id. A caller
that names its first request finds the stream's service by that; other names
may lead elsewhere, and their streams are told and written like those of a
second version.
"""

import hashlib
import math

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import model
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import stream_limits
from crocuskeel.core.entry import stream_records as records

__all__ = ["MAX_LIFE_S", "bind", "forget", "former_rows", "has_one_version",
           "keepers", "keys_of", "known", "leads_elsewhere", "life_s",
           "longest_life_s", "merge", "merge_former", "note_limit",
           "note_opened", "note_recorded", "own", "recorded_life_s",
           "recorded_rows", "returns_until", "set_origin",
           "shorten_recorded", "stream_key", "taken_up_key", "told",
           "update_versions", "versions_of"]

# This many hosts are told where a stream began.
KEEPERS = 5
MAX_LIFE_S = stream_limits.MAX_LIFE_S
MAX_RECORDS = 65_536
# Limit of rows in one datagram; a row takes 60 bytes and the names of the
# service and of the version.
MAX_ROWS = 200


def stream_key(workspace, rid):
    """Return the key of the stream that a request began.

    Workspaces choose the ids of their requests independently.
    """
    digest = hashlib.blake2b(f"{workspace}\0{rid}".encode(), digest_size=8)
    return digest.hexdigest()


def returns_until(pending):
    """Return until when the caller of a stream may come back."""
    return (pending.arrived_at + stream_limits.limit_s(pending)
            + stream_limits.MARGIN_S)


def taken_up_key(pending):
    """Return the key of the stream that a request takes up, or None."""
    if not pending.request.resumes:
        return None
    return stream_key(pending.owner, pending.request.resumes)


def versions_of(host, service, now):
    """Return the versions at which streams of a service may have begun."""
    current = host.streams.current.get(service, frozenset())
    for table in (host.streams.former, host.streams.recorded):
        gone = table.get(service)
        if gone:
            current = current | {version for version, until in gone.items()
                                 if until > now}
    return current


def has_one_version(host, now):
    """Return whether no service has streams of several versions."""
    return all(len(versions_of(host, service, now)) < 2
               for service in host.streams.current)


def life_s(host):
    """Return for how long a stream may last, over all tries, s."""
    longest = host.streams.longest_limit_s
    if host.catalog is not None:
        longest = max(longest, max(
            (route.timeout_s for routes in host.catalog.routes.values()
             for route in routes if route.kind is model.Kind.STREAM),
            default=0.0))
    return (min(stream_limits.MAX_ROUTE_LIMIT_S, longest)
            + stream_limits.MARGIN_S)


def longest_life_s(host):
    """Return for how long any host's stream may last, s."""
    return max(MAX_LIFE_S, life_s(host))


def recorded_life_s(life_s):
    """Return a life of streams as records name it.

    It is rounded up to a power of two: records are written again as callers
    turn out to have longer limits.
    """
    return 2.0 ** math.ceil(math.log2(max(1.0, life_s)))


def _life_of_s(host, service):
    """Return for how long streams of a service may last, s.

    Other hosts may have callers with longer limits, by the service's record.
    """
    own_s = life_s(host)
    record = host.streams.history.records.get(service)
    if record is None or record.life_s <= recorded_life_s(own_s):
        return own_s
    if record.life_s <= recorded_life_s(MAX_LIFE_S):
        return min(record.life_s, MAX_LIFE_S)
    return min(record.life_s, stream_limits.LONGEST_LIFE_S)


def note_limit(host, pending):
    """Record the time limit of a caller's stream."""
    host.streams.longest_limit_s = max(
        host.streams.longest_limit_s, stream_limits.limit_s(pending))


def known(host, key, now):
    """Return the Origin of a stream, or None."""
    record = host.streams.origins.get(key)
    return record.origin if record is not None and record.until > now else None


def bind(pending, origin):
    """Have a request go on at an origin; return whether its route allows it.

    The route may lead to another service by now.
    """
    if origin.service not in dict(pending.route.split):
        return False
    pending.origin = origin
    pending.service = origin.service
    return True


def note_opened(host, pending, attempt, is_moved, now):
    """Record a stream's first event of an attempt; return effects.

    They precede the one that forwards the event. ``is_moved``: the route has
    led to another service of late.
    """
    if attempt.relayed or not pending.route.resumable:
        return []
    set_origin(pending, attempt)
    record = records.Record(
        pending.origin, returns_until(pending), is_own=True)
    rows = dict.fromkeys(keys_of(pending), record)
    for key in rows:
        _store(host, key, record)
    if not (is_moved or leads_elsewhere(pending, pending.service)
            or len(versions_of(host, pending.service, now)) > 1):
        return []
    return _tell_keepers(host, rows, now)


def set_origin(pending, attempt):
    """Have a request go on at the version of an attempt."""
    if pending.origin is None:
        pending.origin = model.Origin(pending.service, attempt.version)


def keys_of(pending):
    """Return the keys by which the caller may take up a request's stream."""
    return [stream_key(pending.owner, rid) for rid in _names_of(pending)]


def _names_of(pending):
    request = pending.request
    if pending.begins_anew or not request.resumes:
        return [request.rid]
    return [request.rid, request.resumes]


def leads_elsewhere(pending, service):
    """Return whether a stream of a service has a name of another one.

    A host that doesn't know the stream would go on with it there.
    """
    return len(pending.route.split) > 1 and any(
        routing.service_of(pending.route, rid) != service
        for rid in _names_of(pending))


def _store(host, key, record):
    origins = host.streams.origins
    origins.pop(key, None)
    origins[key] = record
    if len(origins) > MAX_RECORDS:
        origins.popitem(last=False)


def _tell_keepers(host, rows, now):
    """Return effects that tell the keepers of streams their Records."""
    by_keeper = {}
    for key, record in rows.items():
        for peer in keepers(host, key, KEEPERS, now):
            by_keeper.setdefault(peer, []).append(_row(key, record, now))
    return [_message(host, peer, found[first:first + MAX_ROWS])
            for peer, found in by_keeper.items()
            for first in range(0, len(found), MAX_ROWS)]


def told(host, peer, key, record, now):
    """Return the effect that tells one host of a stream."""
    return _message(host, peer, [_row(key, record, now)])


def _message(host, peer, rows):
    return effects.SendToPeer(
        peer, events.OriginsTold(host.self_peer.name, tuple(rows)))


def _row(key, record, now):
    return (key, record.origin.service, record.origin.version,
            max(0, int((record.until - now) * 1000)))


def keepers(host, key, count, now):
    """Return the first ``count`` other hosts by the hash of a stream's key."""
    others = [peer for peer in fleet.serving_hosts(host, now)
              if peer.name != host.self_peer.name
              and host.peers[peer.name].takes_origins]
    if len(others) > count:
        others.sort(key=lambda peer: routing.unit_hash(key, peer.name))
    return others[:count]


def merge(host, event, now):
    """Record what another host told; return the Origins by their keys."""
    streams = {}
    for key, service, version, left_ms in event.rows:
        left_s = min(left_ms / 1000, stream_limits.LONGEST_LIFE_S)
        streams[key] = model.Origin(service, version)
        if known(host, key, now) is None:
            _store(host, key, records.Record(
                streams[key], now + left_s, is_own=False))
    return streams


def update_versions(host, now):
    """Note the versions of all services; return effects.

    Where a second one has appeared, the streams so far are told.
    """
    known_before = host.streams.current
    several_before = _with_several(host, now)
    host.streams.current = {
        service: frozenset(state.server.version for state in states)
        for service, states in host.by_service.items()}
    history = host.streams.history
    if history.is_reading:
        history.steady = {
            service: versions & history.steady.get(service, frozenset())
            for service, versions in host.streams.current.items()}
    for service, versions in known_before.items():
        gone = versions - host.streams.current.get(service, frozenset())
        until = now + _life_of_s(host, service) if gone else 0.0
        for version in gone:
            _note(host.streams.former, service, version, until)
    return _tell_joined(host, several_before, now)


def _with_several(host, now):
    """Return the services with streams of several versions."""
    return {service for service in host.streams.current
            if len(versions_of(host, service, now)) > 1}


def _tell_joined(host, several_before, now):
    """Tell the streams of services that have several versions only now."""
    joined = _with_several(host, now) - several_before
    return _tell_own(host, joined, now) if joined else []


def _tell_own(host, services, now):
    """Tell other hosts of this host's streams of services."""
    if host.self_peer is None:
        return []
    rows = {key: record for key, record in own(host, now).items()
            if record.origin.service in services}
    return _tell_keepers(host, rows, now) if rows else []


def own(host, now):
    """Return the Records of this host's streams by their keys."""
    return {key: record for key, record in host.streams.origins.items()
            if record.is_own and record.until > now}


def former_rows(host, now):
    """Return the (service, version, ms left) of versions without a server."""
    return tuple(
        (service, version, int((until - now) * 1000))
        for service, former in host.streams.former.items()
        for version, until in former.items() if until > now)


def merge_former(host, rows, now):
    """Record versions without a server that another host knows of.

    The delay is subtracted, so that hosts don't renew them for each other.
    Returns effects.
    """
    if not rows:
        return []
    several_before = _with_several(host, now)
    for service, version, left_ms in rows:
        left_s = min(left_ms / 1000,
                     stream_limits.LONGEST_LIFE_S) - fleet.HOP_DELAY_S
        _note(host.streams.former, service, version, now + left_s)
    return _tell_joined(host, several_before, now)


def recorded_rows(host, now):
    """Return the (service, version, ms left) that only the store names.

    So are the versions of servers that this host keeps though the list has
    them no more, as other hosts may not keep them.
    """
    services = host.streams.history.services
    rows = {}
    for server in (host.servers[sid].server for sid in host.lapsing):
        if server.service in services:
            rows[server.service, server.version] = None
    for service, version in rows:
        rows[service, version] = now + _life_of_s(host, service)
    for service, recorded in host.streams.recorded.items():
        if service in services:
            for version, until in recorded.items():
                rows[service, version] = max(
                    until, rows.get((service, version), until))
    return tuple((service, version, int((until - now) * 1000))
                 for (service, version), until in rows.items() if until > now)


def note_recorded(host, rows, now):
    """Record versions that the store names; return effects.

    ``rows`` holds (service, version, until). Those without a server may have
    left just before the store was read.
    """
    several_before = _with_several(host, now)
    for service, version, until in rows:
        if version not in host.streams.current.get(service, ()):
            _note(host.streams.recorded, service, version, until)
    return _tell_joined(host, several_before, now)


def shorten_recorded(host, rows, now):
    """Forget recorded versions as early as another host does.

    ``rows`` are its own: it has seen the same list, and whoever knows best
    when a version has left forgets it first.
    """
    heard = {(service, version): left_ms for service, version, left_ms in rows}
    for service, recorded in host.streams.recorded.items():
        for version, until in recorded.items():
            left_ms = heard.get((service, version), 0)
            recorded[version] = min(until, now + left_ms / 1000)


def _note(table, service, version, until):
    known = table.setdefault(service, {})
    known[version] = max(known.get(version, until), until)


def forget(host, now):
    """Forget streams whose callers no longer come back."""
    origins = host.streams.origins
    while origins and next(iter(origins.values())).until <= now:
        origins.popitem(last=False)
    for table in (host.streams.former, host.streams.recorded):
        for service in list(table):
            kept = {version: until for version, until
                    in table[service].items() if until > now}
            if kept:
                table[service] = kept
            else:
                del table[service]
