"""Writes which software versions streams of a service may have begun at.

Each service whose streams may be resumed has a VersionRecord in the store. A
version is added before streams begin at it, and removed by a host that has
known it to be gone for as long as a stream may last.

Load: while the versions don't change, nothing is read or written. A new
version costs one write, and one read of each of the first hosts.
"""

import collections
import dataclasses
import math

from crocuskeel.core.entry import origins
from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import stream_records as records
from crocuskeel.core.entry import told_records
from crocuskeel.core.entry import version_history

__all__ = ["MAX_WAIT_S", "MAX_WRITES", "catalog_applied", "ensure", "read",
           "step", "written"]

# Another host writes what is missing unless it sees it written within this, s,
# for each host before it; those after the first ones never do.
TURN_S = 0.1
# The first host writes the records of so many services at a time.
MAX_WRITES = 32
# Streams begin at a version without a record after this, s: the store may
# take no writes for long.
MAX_WAIT_S = 1.0


def catalog_applied(host, now):
    """Note which services have streams that may be resumed."""
    host.streams.history.services = frozenset(
        service for routes in host.catalog.routes.values()
        for route in routes if route.resumable for service, _ in route.split)
    return ensure(host, now)


def read(host, event, now):
    """Merge the records that were read; return effects."""
    return version_history.read(host, event, now) + ensure(host, now)


def step(host, now):
    """Do what is due; return effects."""
    history = host.streams.history
    for service, versions in list(history.waiting.items()):
        for version, until in list(versions.items()):
            if until <= now:
                del versions[version]
        if not versions:
            del history.waiting[service]
    if history.next_read_at <= now:
        history.next_read_at = math.inf
        if (now < history.lived_at or history.is_read
                or version_history.rank(host, now) != math.inf):
            return version_history.request_read(host, now)
    if (host.servers_loaded and not history.is_read
            and not history.is_reading and history.next_read_at == math.inf):
        return version_history.begin_reading(host, now)
    return ensure(host, now)


def ensure(host, now):
    """Have the store name the versions that serve; return effects."""
    history = host.streams.history
    told_records.drop_gone(host)
    if host.self_peer is None or not host.servers_loaded:
        return []
    life_s = origins.recorded_life_s(origins.life_s(host))
    changed = [service for service in sorted(history.services)
               if not _is_settled(host, service, life_s)]
    out = []
    for service in changed:
        out += _ensure_service(host, service, life_s, now)
    if any(history.due_at.get(service, math.inf) <= now
           and service not in history.checked for service in changed):
        # The read shows whether another host has written meanwhile.
        history.checked.update(
            service for service in changed
            if history.due_at.get(service, math.inf) <= now)
        out += version_history.request_read(host, now)
    return out


def _is_settled(host, service, life_s):
    """Return whether a service's record is as it should be.

    This is done for all services at each tick, so it must be cheap.
    """
    streams = host.streams
    current = streams.current.get(service, frozenset())
    if not streams.history.is_read:
        return current == streams.history.noticed.get(service, frozenset())
    record = streams.history.records.get(service)
    return (record is not None and record.is_complete
            and record.life_s >= life_s
            and len(record.versions) == len(current)
            and all(version in current for version in record.versions)
            and service not in streams.former
            and service not in streams.recorded
            and service not in streams.history.due_at
            and service not in streams.history.doubted)


def _ensure_service(host, service, life_s, now):
    history = host.streams.history
    former = history.records.get(service, records.VersionRecord(
        service, (), 0.0, True))
    current = host.streams.current.get(service, frozenset())
    missing = current - set(former.versions)
    _have_streams_wait(history, service, missing, now)
    if not history.is_read or service in history.writing:
        return []
    if former.default not in current:
        # Another host may replace it, and it may be back after that.
        history.doubted.add(service)
        if not current >= set(former.versions):
            history.outdated.add(service)
    elif service in history.doubted:
        version_history.refresh_later(host, now)
    wanted = _wanted(host, former, life_s, now)
    is_longer = wanted.life_s > former.life_s
    is_urgent = bool(missing) or is_longer
    if not is_urgent:
        history.due_at.pop(service, None)
        history.checked.discard(service)
        if wanted == former:
            return []
    return _write_in_turn(host, wanted, is_urgent, is_longer, now)


def _have_streams_wait(history, service, missing, now):
    """Note since when versions serve that have no record."""
    noticed = history.noticed.pop(service, frozenset())
    if missing:
        history.noticed[service] = missing
    waiting = history.waiting.pop(service, {})
    waiting = {version: waiting.get(version, now + MAX_WAIT_S)
               for version in missing
               if version in waiting or version not in noticed}
    if waiting:
        history.waiting[service] = waiting


def _wanted(host, former, life_s, now):
    """Return the record that a service should have.

    Hosts of a former program write no streams. The first record may say that
    no other versions served; until the store has taken it nobody knows.
    """
    knows = host.streams.history.is_new or version_history.is_complete(
        host, former.service, now)
    complete = knows and not any(
        not peer.writes_records
        and peer.last_seen_at >= now - origins.longest_life_s(host)
        for peer in host.peers.values())
    versions = origins.versions_of(host, former.service, now)
    if not complete or not host.streams.current.get(former.service):
        versions = versions | set(former.versions)
    return dataclasses.replace(
        former, versions=tuple(sorted(versions)), is_complete=complete,
        life_s=max(former.life_s, life_s),
        default=_next_default(host, former, versions, complete))


def _next_default(host, former, versions, complete):
    """Return the default version, which stays while it may have streams.

    Where there was none, hosts may rely on a former record until just one
    version is left. Most streams begin at the version with most servers.
    """
    if not complete:
        return None
    known = former.default if former.is_complete else None
    if known in versions:
        return known
    if known is None and len(versions) > 1:
        return None
    counts = collections.Counter(
        state.server.version
        for state in host.by_service.get(former.service, ())
        if not state.server.draining)
    return max(sorted(versions), key=lambda version: counts[version],
               default=None)


def _write_in_turn(host, wanted, is_urgent, is_longer, now):
    """Write a record if it is this host's turn.

    Any host adds a version, as the first one may not reach the store. A
    longer life may be known to one host only. Only the first host does what
    is not urgent.
    """
    history = host.streams.history
    turn = version_history.rank(host, now)
    last_turn = math.inf if is_longer else version_history.MAX_TURNS
    if turn and (not is_urgent or turn >= last_turn):
        version_history.refresh_later(host, now)
        return []
    if turn and wanted.service not in history.checked:
        history.due_at.setdefault(
            wanted.service,
            now + TURN_S * (
                turn + version_history.spread(host, wanted.service)))
        return []
    if (history.is_reading or history.next_read_at != math.inf
            or len(history.writing) >= MAX_WRITES):
        return []
    history.due_at.pop(wanted.service, None)
    history.checked.discard(wanted.service)
    history.writing[wanted.service] = wanted
    return [record_effects.WriteVersions(wanted)]


def written(host, event, now):
    """Note the result of a write; return effects."""
    history = host.streams.history
    wanted = history.writing.pop(event.service, None)
    if wanted is None:
        return []
    if event.revision is None:
        # Another host wrote it, or nobody knows whether this write did.
        if history.next_read_at == math.inf:
            version_history.retry_later(host, history.write_failures, now)
            history.write_failures += 1
        return []
    history.write_failures = 0
    history.doubted.discard(event.service)
    history.records[event.service] = dataclasses.replace(
        wanted, revision=event.revision)
    if wanted.is_complete and history.is_read:
        history.complete.add(event.service)
    return _ensure_service(
        host, event.service,
        origins.recorded_life_s(origins.life_s(host)), now)
