"""Dispatches each event of an entry host to its handler."""

from crocuskeel.core.duties import model as duties_model
from crocuskeel.core.entry import attempts
from crocuskeel.core.entry import backoff
from crocuskeel.core.entry import body_memory
from crocuskeel.core.entry import brittle
from crocuskeel.core.entry import crash_store
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import duration_events
from crocuskeel.core.entry import duties
from crocuskeel.core.entry import duty_lease
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import gossip
from crocuskeel.core.entry import lifecycle
from crocuskeel.core.entry import lookups
from crocuskeel.core.entry import memory_events
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import peers
from crocuskeel.core.entry import probe_events
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import reachability
from crocuskeel.core.entry import record_events
from crocuskeel.core.entry import registry
from crocuskeel.core.entry import requests
from crocuskeel.core.entry import response_hints
from crocuskeel.core.entry import restores
from crocuskeel.core.entry import sending
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import stream_log
from crocuskeel.core.entry import stream_reads
from crocuskeel.core.entry import told_durations
from crocuskeel.core.entry import told_records
from crocuskeel.core.entry import trials
from crocuskeel.core.entry import usage
from crocuskeel.core.entry import version_history
from crocuskeel.core.entry import version_records
from crocuskeel.core import exceptions
from crocuskeel.core.leadership import events as lease_events
from crocuskeel.core.scheduling import fleet_demand

__all__ = ["reduce"]


def _started(host, event, now):
    host.self_peer = event.me
    host.started_at = now
    duties.begin(host, now)
    return []


def _settings_seen(host, event, now):
    host.cfg = event.settings
    return []


def _ticked(host, event, now):
    lifecycle.note_lateness(host, event.late_s)
    fleet.note_tick(host, now)
    server_load.sample_prefill(host, now)
    ratelimits.refill_buckets(host, now)
    draining.remove_unlisted(host, now)
    restores.forget_removed(host, now)
    backoff.forget(host, now)
    brittle.forget(host, now)
    trials.renew(host, now)
    origins.forget(host, now)
    return (registry.drop_expired(host, now) + crashes.forget(host, now)
            + reachability.step(host, now)
            + body_memory.step(host, now)
            + gossip.send_state(host, now)
            + gossip.send_demand(host, now)
            + duties.step(host, event.wall, now)
            + _record_streams(host, now)
            + crash_store.step(host, event.wall, now)
            + lifecycle.step(host, event.reading, now))


def _record_streams(host, now):
    out = (version_records.step(host, now) + told_records.step(host, now)
           + stream_log.step(host, now)
           + stream_reads.step(host, now))
    stream_reads.note_settled(host, origins.has_one_version(host, now), now)
    if (version_history.knows_all(host, now)
            and version_history.is_first(host, now)):
        out += stream_reads.clean(host, now)
    return out


def _demand_received(host, event, now):
    fleet_demand.merge(host.queued_elsewhere, event.name, event.rows, now)
    return []


def _origins_told(host, event, now):
    streams = origins.merge(host, event, now)
    stream_log.note_told(host, streams, now)
    out = _forward_confirmed(host, now)
    found = lookups.waiting_for(host, {key for key, *_ in event.rows})
    return out + _send(host, found, now)


def _origin_unknown(host, event, now):
    return _send(host, lookups.note_unknown(host, event), now)


def _versions_read(host, event, now):
    out = version_records.read(host, event, now)
    return out + _send(host, lookups.waiting(host), now)


def _segments_read(host, event, now):
    stream_reads.read(host, event, now)
    out = [effect for question in stream_reads.questions(host)
           for effect in lookups.answer(host, question, now, True)]
    return out + _send(host, lookups.waiting(host), now)


def _store_era_seen(host, event, now):
    """Write again what the copy that the store came back from may lack."""
    out = duty_lease.store_era_seen(host, event, now)
    streams = {key: record.origin
               for key, record in origins.own(host, now).items()
               if version_history.must_log(host, record.origin, now)}
    if streams:
        out += stream_log.note(host, streams, origins.life_s(host), now)
    return (out + version_history.restored(host, now)
            + crash_store.restored(host, now))


def _store_back(host, event, now):
    out = registry.store_back(host, event, now)
    return out + stream_log.store_back(host, now)


def _segment_written(host, event, now):
    out = stream_log.written(host, event, now)
    return out + _forward_confirmed(host, now)


def _forward_confirmed(host, now):
    return [effect for pending in stream_log.confirmed(host)
            if pending.waiting_attempt is not None
            for effect in attempts.forward_stream(host, pending, now)]


def _send(host, found, now):
    return [effect for pending in found
            for effect in sending.send(host, pending, now)]


HANDLERS = {
    events.Started: _started,
    events.Ticked: _ticked,
    events.StopAsked: lifecycle.stop_asked,
    events.StopDue: lifecycle.stop_due,
    duration_events.DurationsAsked: told_durations.answer,
    duration_events.DurationsTold: told_durations.hear,
    memory_events.BodyAnnounced: body_memory.announced,
    memory_events.BodyReleased: body_memory.released,
    memory_events.MemoryMeasured: body_memory.measured,
    events.RequestReceived: requests.request_arrived,
    events.CallerDisconnected: requests.caller_left,
    events.TimerFired: requests.timer_fired,
    events.HintsReceived: response_hints.handle_response_hints,
    events.PeerHintsReceived: response_hints.handle_peer_hints,
    events.StreamOpened: attempts.opened,
    events.StreamProgressed: attempts.progressed,
    events.StreamEnded: attempts.ended,
    memory_events.StreamPaused: attempts.paused,
    events.ResponseReceived: attempts.answered,
    events.AttemptFailed: attempts.broken,
    events.CatalogRead: registry.catalog_seen,
    events.ServersListed: registry.servers_listed,
    events.ServersChanged: registry.servers_changed,
    events.SettingsRead: _settings_seen,
    events.StoreUnavailable: registry.store_lost,
    events.StoreAvailable: _store_back,
    events.StoreEraSeen: _store_era_seen,
    events.StoreReadingStopped: registry.store_reading_stopped,
    events.PeersListed: peers.handle_peer_list,
    events.PeerStateReceived: peers.handle_peer_state,
    events.LoadsDue: gossip.send_load_update,
    events.PeerLoadsReceived: peers.handle_peer_loads,
    events.PeerDemandReceived: _demand_received,
    events.CrashReportsReceived: peers.handle_crash_reports,
    events.DutyAnswered: duties.answered,
    events.OriginsTold: _origins_told,
    events.OriginAsked: lookups.answer,
    events.OriginUnknown: _origin_unknown,
    events.ServerProbed: reachability.probed,
    probe_events.ProbeUnanswered: reachability.unanswered,
    record_events.VersionsRead: _versions_read,
    record_events.VersionsWritten: version_records.written,
    record_events.SegmentsRead: _segments_read,
    record_events.SegmentWritten: _segment_written,
    record_events.SegmentDue: stream_log.due,
    record_events.StreamsToRecord: stream_log.record,
    record_events.RecordsAsked: told_records.answer,
    record_events.RecordsTold: told_records.hear,
    record_events.CrashesRead: crash_store.read,
    record_events.CrashesWritten: crash_store.written,
    duties_model.Usage: usage.received,
    lease_events.LeaseRead: duty_lease.lease_read,
    lease_events.LeaseWritten: duty_lease.lease_written,
}


def reduce(host, event, now):
    """Reduce one event into the host's state; return effects in order.

    ``now`` is the runtime's clock, s; ``host`` is changed in place.
    Raises :class:`UnknownEvent` for an event without a handler.
    """
    handler = HANDLERS.get(type(event))
    if handler is None:
        raise exceptions.UnknownEvent(type(event).__name__)
    out = handler(host, event, now)
    if host.held:
        out += sending.dispatch(host, now)
        out += gossip.send_demand(host, now)
    if (host.changed_loads or host.refused_servers
            or host.crash_records.unsent):
        out += gossip.schedule_load_update(host, now)
    if crash_store.crashes_changed(host):
        out += crash_store.write_changes(host, now)
    return out
