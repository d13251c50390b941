"""Records of versions that other hosts tell, while the store tells none.

A host that has the list of servers but can't read the records doesn't know
which version is the default one. It asks a few others, which tell what they
know. A told record serves to decide which streams have to be written, and is
never written itself.

Load: none, but while the records can't be read and streams begin.
"""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import record_events
from crocuskeel.core.entry import stream_records as records
from crocuskeel.core import revisions

__all__ = ["answer", "drop_gone", "hear", "outlasting", "record", "step"]

# Others are asked this often, s, also once they have told, and so many at a
# time.
ASK_INTERVAL_S = 0.3
REPEAT_S = 1.0
ASKED = 4
# A read that takes longer than this, s, may fail.
SLOW_S = 0.2


def record(host, service):
    """Return what this host knows of a service's record, or None.

    The default version of one that was read may have been replaced since.
    """
    history = host.streams.history
    if service in history.told and (
            service not in history.records or service in history.doubted):
        return history.told[service]
    return history.records.get(service)


def outlasting(host, now):
    """Return the records whose defaults can't have been replaced meanwhile.

    Changes of the list of servers were missed for a time that is over now. A
    version is removed after its servers have been gone for half of the
    record's life at least; other hosts may have noticed that earlier.
    """
    history = host.streams.history
    since, history.missed_since = history.missed_since, None
    if since is None:
        return {}
    known = history.told | {found.service: found for found in _certain(host)}
    return {service: found for service, found in known.items()
            if now - since < found.life_s / 4}


def step(host, now):
    """Ask for the records if the store doesn't tell them; return effects.

    Nobody is asked but for streams that begin.
    """
    history = host.streams.history
    lacks = not history.is_read or history.doubted
    is_slow = history.is_reading and now >= history.read_began_at + SLOW_S
    if not (lacks and (history.failures or is_slow) and host.servers_loaded
            and now >= history.next_ask_at and host.streams.log.awaiting):
        return []
    is_told = all(record(host, service) is not None
                  for service in history.services & host.by_service.keys())
    history.next_ask_at = now + (REPEAT_S if is_told else ASK_INTERVAL_S)
    others = [peer for peer in fleet.serving_hosts(host, now)
              if peer.name != host.self_peer.name
              and host.peers[peer.name].writes_records]
    asked = host.rng.sample(others, min(ASKED, len(others)))
    return [effects.SendToPeer(peer, record_events.RecordsAsked(
        host.self_peer.name)) for peer in asked]


def answer(host, event, now):
    """Tell a host the records of which this one is sure; return effects."""
    asker = host.peers.get(event.name)
    rows = tuple((found.service, found.versions, found.life_s, found.revision,
                  found.default) for found in _certain(host))
    if asker is None or not rows:
        return []
    return [effects.SendToPeer(asker.peer, record_events.RecordsTold(
        host.self_peer.name, host.servers_revision, rows))]


def _certain(host):
    """Return the records that were read, with defaults that serve since."""
    history = host.streams.history
    if not history.is_read:
        return []
    return [found for service, found in history.records.items()
            if found.is_complete and service not in history.doubted
            and found.default in host.streams.current.get(service, ())
            and _is_of_era(host, found.revision)]


def _is_of_era(host, revision):
    return revisions.era(revision) == revisions.era(host.servers_revision)


def hear(host, event, now):
    """Note the records that another host knows.

    Its list of servers must be as new as this host's: the default version may
    have left, and be back after it was replaced. Returns no effects.
    """
    if not host.servers_loaded or (
            event.servers_revision < host.servers_revision):
        return []
    history = host.streams.history
    for service, versions, life_s, revision, default in event.rows:
        known = history.records.get(service)
        if _is_of_era(host, revision) and (
                known is None or known.revision <= revision):
            history.told[service] = records.VersionRecord(
                service, tuple(versions), life_s, True, revision, default)
    drop_gone(host)
    return []


def drop_gone(host):
    """Forget records whose default version may be replaced from now on."""
    told = host.streams.history.told
    for service in [service for service, found in told.items()
                    if found.default not in host.streams.current.get(
                        service, ())
                    or not _is_of_era(host, found.revision)]:
        del told[service]
