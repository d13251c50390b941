"""Which software versions of a service served before this host started.

A list of servers names those that serve now. A stream that a caller takes up
may have begun at a version that has left since, and a host that has just
started can't tell. So each service whose streams may be resumed has a
VersionRecord in the store (version_records). A host that has read it, or is
told by another one that knows, knows which versions served.

One of the versions is the default, that of all streams that are not written to
the store (stream_log). Another one takes its place once it is removed: none of
its streams is left then.

Load: the first MAX_TURNS serving hosts read all records once as they start,
and again after they missed changes of the list. The others rely on their word
and read late; those that serve no callers don't if they are told.
"""

import math

from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import stream_limits
from crocuskeel.core.entry import told_records
from crocuskeel.core import revisions

__all__ = ["FIRST_ERA", "LATE_S", "MAX_RETRY_S", "MAX_TURNS", "begin",
           "begin_reading", "default", "has_no_default", "hear", "is_complete",
           "is_first", "is_unrecorded", "knows_all", "list_applied",
           "must_log", "possible_versions", "rank", "read", "read_early",
           "refresh_later", "request_read", "restored", "retry_later",
           "spread", "unrecorded"]

# Records that could not be read or written are read again after this, s, at
# first and at most.
RETRY_S = 0.5
MAX_RETRY_S = 4.0
# The era of a store that was never restored, 0 if it names none.
FIRST_ERA = 1
# So many hosts read the records at once, and write them (version_records).
# The others read them this late, s, and as much later for each host before
# them.
MAX_TURNS = 8
LATE_S = 2.0
LATE_TURN_S = 0.02
# A record that a stream waits for is read after this, s: the first host will
# have written it.
EARLY_S = 0.05


def begin(host, now):
    """Read the records as versions may have come and gone unseen.

    That is so as this host begins to follow the list of servers, and as it
    missed changes. The records are read after the list: a version that joins
    and leaves in between would be in neither.
    """
    history = host.streams.history
    history.lived_at = now + origins.longest_life_s(host)
    history.told = told_records.outlasting(host, now)
    history.is_read = history.is_new = False
    history.records = {}
    history.complete = set()
    return begin_reading(host, now)


def list_applied(host):
    """Note that the list is in force that was read before the records."""
    host.streams.history.steady = host.streams.current


def begin_reading(host, now):
    """Read the records now or, if others do, somewhat later."""
    turn = rank(host, now)
    if turn < MAX_TURNS:
        return request_read(host, now)
    host.streams.history.next_read_at = now + LATE_S + LATE_TURN_S * (
        min(turn, len(host.peers)) + len(host.peers) * spread(host, "read"))
    return []


def restored(host, now):
    """Read the records again, as the store came back from an older copy.

    This host still knows what it knew, and writes what the copy lacks. If the
    store was away before, versions may have come and gone unseen.
    """
    if not host.servers_loaded:
        return []
    if host.store_down_since is not None:
        return begin(host, now)
    if rank(host, now) < MAX_TURNS:
        return request_read(host, now)
    refresh_later(host, now)
    return []


def request_read(host, now):
    """Read the records, once more if a read is on its way; return effects."""
    history = host.streams.history
    if history.is_reading:
        history.read_again = True
        return []
    history.is_reading = True
    history.steady = host.streams.current
    history.read_began_at = now
    history.next_read_at = math.inf
    return [record_effects.ReadVersions()]


def read_early(host, service, now):
    """Read the records soon, as a stream waits for them; return effects."""
    history = host.streams.history
    if (history.is_reading or history.failures
            or service in history.writing):
        return []
    if not history.is_read:
        return [] if history.next_read_at == math.inf else (
            request_read(host, now))
    history.next_read_at = min(history.next_read_at, now + EARLY_S)
    return []


def spread(host, word):
    """Return a number in [0, 1) that differs between hosts."""
    return routing.unit_hash(host.self_peer.name, word)


def read(host, event, now):
    """Merge the records of all services; return effects."""
    history = host.streams.history
    history.is_reading = False
    if history.read_again:
        history.read_again = False
        return request_read(host, now)
    if event.records is None:
        retry_later(host, history.failures, now)
        history.failures += 1
        return []
    history.failures = 0
    history.outdated.clear()
    history.told.clear()
    if not history.is_read:
        history.is_read = True
        history.is_new = not (event.records or event.former_hosts
                              or _was_restored(host))
    rows = []
    known, history.records = history.records, {}
    for record in event.records:
        rows += _merge(host, record, known.get(record.service), now)
    history.doubted = {
        record.service for record in event.records if record.default
        and record.default not in history.steady.get(record.service, ())}
    return origins.note_recorded(host, rows, now)


def _was_restored(host):
    """Return whether the store came back from a copy at any time.

    The copy may be older than the first record.
    """
    return revisions.era(host.servers_revision) > FIRST_ERA


def retry_later(host, failures, now):
    """Read again before anything else is written."""
    delay_s = min(MAX_RETRY_S, RETRY_S * 2 ** min(failures, 8))
    host.streams.history.next_read_at = now + delay_s * (
        0.5 + spread(host, str(failures))) / 2


def _merge(host, record, known, now):
    """Keep a record that was read; return rows for origins.note_recorded.

    Versions that were known from it before are not renewed, unless their
    streams turn out to last longer.
    """
    history = host.streams.history
    if known is not None and known.revision > record.revision:
        # It was read before this host's own write.
        record = known
    history.records[record.service] = record
    if record.is_complete:
        history.complete.add(record.service)
    until = now + max(record.life_s, origins.life_s(host))
    return [(record.service, version, until) for version in record.versions
            if known is None or version not in known.versions
            or record.life_s > known.life_s]


def hear(host, event, now):
    """Rely on another host that knows which versions served.

    Its list of servers must be as new as this host's: it has seen all versions
    that had left by then. With another configuration it may know others'
    services. Returns effects.
    """
    history = host.streams.history
    if not (event.knows_versions and host.servers_loaded
            and event.servers_revision >= host.servers_revision
            and host.catalog is not None
            and event.catalog_version == host.catalog.version):
        return []
    if event.servers_revision == host.servers_revision:
        origins.shorten_recorded(host, event.recorded_versions or (), now)
    if now >= history.lived_at or knows_all(host, now):
        return []
    history.lived_at = now
    return origins.note_recorded(host, [
        (service, version,
         now + min(left_ms / 1000, stream_limits.LONGEST_LIFE_S))
        for service, version, left_ms in event.recorded_versions or ()], now)


def knows_all(host, now):
    """Return whether this host knows the versions of all services."""
    history = host.streams.history
    if host.catalog is None or not host.servers_loaded:
        return False
    return now >= history.lived_at or (
        history.is_read and history.services <= history.complete)


def is_complete(host, service, now):
    """Return whether all versions that may have served are known."""
    history = host.streams.history
    return now >= history.lived_at or service in history.complete


def default(host, service):
    """Return the default version of a service, None if it isn't known."""
    record = told_records.record(host, service)
    return record.default if record is not None and record.is_complete else (
        None)


def possible_versions(host, service, now):
    """Return the versions that a stream of a service may have begun at.

    They hold those of its record, whose streams may last longer than this
    host's own callers wait: the first host removes them in time.
    """
    record = host.streams.history.records.get(service)
    named = frozenset() if record is None else frozenset(record.versions)
    return origins.versions_of(host, service, now) | named


def has_no_default(host, origin):
    """Return whether nobody takes an unwritten stream for another version's.

    A complete record without a default version gets one once its others are
    removed.
    """
    history = host.streams.history
    record = history.records.get(origin.service)
    return (record is not None and record.is_complete
            and record.default is None and origin.version in record.versions
            and origin.service not in history.outdated)


def must_log(host, origin, now):
    """Return whether a stream of an origin has to be written to the store.

    A host that doesn't know the record doesn't know the default version. One
    that other versions serve than it names may be an old one.
    """
    history = host.streams.history
    record = told_records.record(host, origin.service)
    versions = origins.versions_of(host, origin.service, now)
    if record is None:
        return not history.is_new or len(versions) > 1
    return (default(host, origin.service) != origin.version
            or versions != frozenset(record.versions)
            or origin.service in history.doubted
            and origin.service not in history.told)


def unrecorded(host, service):
    """Return the versions at which no streams of a service begin yet."""
    return host.streams.history.waiting.get(service, {})


def is_unrecorded(host, origin, now):
    """Return whether the store's record may have yet to name a version.

    A host that starts later would take the others for all that served. While
    one version serves alone, nobody waits for a record that isn't known.
    """
    record = told_records.record(host, origin.service)
    if record is None:
        return not host.streams.history.is_new and len(
            origins.versions_of(host, origin.service, now)) > 1
    return (origin.version not in record.versions
            and origin.version in unrecorded(host, origin.service))


def refresh_later(host, now):
    """Read what the first host will have written by then."""
    history = host.streams.history
    if history.next_read_at == math.inf and not history.is_reading:
        history.next_read_at = now + LATE_S + LATE_TURN_S * (
            len(host.peers) * spread(host, "refresh"))


def is_first(host, now):
    """Return whether this host does what one host has to do."""
    return rank(host, now) == 0


def rank(host, now):
    """Return how many hosts come before this one."""
    others = [peer for peer in fleet.serving_hosts(host, now)
              if peer.name != host.self_peer.name]
    return fleet.rank(host, "versions", others, now)
