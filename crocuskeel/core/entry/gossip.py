"""What a host sends to other hosts about itself, to whom and how often.

Serving hosts send each other their state several times a second, and load
changes at engines immediately. Any other host sends its state to a few
serving hosts and receives theirs in reply, so the traffic of a host doesn't
grow with the fleet.
"""

import math

from crocuskeel.core.duties import clock
from crocuskeel.core.entry import brittle
from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import crash_reports
from crocuskeel.core.entry import draining
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import ratelimits
from crocuskeel.core.entry import reachability
from crocuskeel.core.entry import routing
from crocuskeel.core.entry import server_load
from crocuskeel.core.entry import serving
from crocuskeel.core.entry import version_history
from crocuskeel.core.scheduling import fleet_demand
from crocuskeel.core.scheduling import queueing

__all__ = ["announce_stop", "broadcast_change", "broadcast_hints",
           "broadcast_lease", "broadcast_state", "reply",
           "schedule_load_update", "send_demand", "send_load_update",
           "send_state"]

# Limit of rows in one datagram, which holds 64 kB: a row with streams takes
# up to 100 bytes.
MAX_ROWS = 400
# Minimum interval between broadcasts of a change, s; in between, the next
# periodic state carries it. While 3,000 servers registered, each host that
# reads the store sent its whole state to 12 others for each change, 250
# times a second.
MIN_CHANGE_INTERVAL_S = 0.1
# Minimum interval between load updates, s: a host with 30 requests a second
# changes loads 90 times a second, and each change went to nine hosts; an
# engine takes 100 ms and more to read a prompt.
LOAD_UPDATE_INTERVAL_S = 0.03
# Prompt parts sent to engines are included in the state for this long, s:
# in two datagrams.
PARTS_REPEAT_S = 0.6
# Number of serving hosts that a non-serving host sends its state to, and
# the interval, s.
CONTACT_COUNT = 3
CONTACT_INTERVAL_S = 0.6
# A silent host with enough capacity to serve callers is sent the state
# again at this interval, s, and at most this many of them at a time.
SILENT_RETRY_S = 1.0
MAX_SILENT_RETRIES = 2


def send_state(host, now):
    """Send this host's state to its contacts, each at its interval."""
    contacts = _contacts(host, now)
    is_serving = fleet.is_serving_host(host, now)
    if is_serving:
        serving.note_own_demand(
            host, len(fleet.serving_hosts(host, now)), now)
    contacts += _silent_contacts(host, now, contacts)
    has_loads = is_serving or host.was_serving
    state = _state(host, now, has_loads)
    out = []
    interval = 0.0 if has_loads else CONTACT_INTERVAL_S
    for peer in contacts:
        known = host.peers[peer.name]
        if now >= known.last_sent_at + interval - 0.01:
            known.last_sent_at = now
            out.append(effects.SendToPeer(peer, state))
    return out


def announce_stop(host, now):
    """Tell all hosts that name this one to callers that it is stopping."""
    state = _state(host, now, False)
    return [effects.SendToPeer(peer, state)
            for peer in fleet.serving_hosts(host, now)]


def broadcast_change(host, now):
    """Send the state to all contacts at once, as newer data is known."""
    if now < host.state_pushed_at + MIN_CHANGE_INTERVAL_S:
        # The next periodic state includes it.
        return []
    host.state_pushed_at = now
    return broadcast_state(host, now)


def broadcast_lease(host, now):
    """Send what this host knows of the lease to all contacts at once.

    When a holder was killed before it had announced its last renewal, its
    successor took over after 7 s, and with this after 4 s: other hosts
    count from the last renewal that they know.
    """
    return broadcast_state(host, now)


def broadcast_hints(host, now):
    """Send the hints in servers' answers to all contacts at once."""
    update = events.PeerHintsReceived(
        host.self_peer.name, _sample_rows(host, ratelimits.rows(host, now)),
        _sample_rows(host, draining.rows(host)))
    return [effects.SendToPeer(peer, update) for peer in _contacts(host, now)]


def _sample_rows(host, rows):
    """Return rows, or a random sample if one datagram can't hold all."""
    if len(rows) <= MAX_ROWS:
        return rows
    return tuple(host.rng.sample(rows, MAX_ROWS))


def broadcast_state(host, now):
    """Send the state without loads to all contacts at once."""
    state = _state(host, now, False)
    return [effects.SendToPeer(peer, state) for peer in _contacts(host, now)]


def schedule_load_update(host, now):
    """Send load changes to other serving hosts now or at the next interval.

    An engine reads a prompt in a tenth of a second: hosts that learned of
    each other's requests only with the next periodic state would all send
    to the same idle engine.
    """
    due_at = host.loads_sent_at + _load_update_interval_s(host, now)
    if now >= due_at:
        return _send_loads(host, now)
    if host.loads_scheduled:
        return []
    host.loads_scheduled = True
    return [effects.ScheduleLoadsDue(due_at)]


def _load_update_interval_s(host, now):
    """Return the minimum interval between load updates, s.

    With many serving hosts an update reaches only a part of them, and each
    engine gets fewer requests of each host: 72 hosts that each sent to 12
    others every 30 ms would send and receive 800 datagrams a second each.
    """
    others = len(fleet.serving_hosts(host, now)) - 1
    return LOAD_UPDATE_INTERVAL_S * max(1.0, others / fleet.MAX_FANOUT)


def send_load_update(host, event, now):
    """Send the load changes since the last update."""
    host.loads_scheduled = False
    return _send_loads(host, now)


def _send_loads(host, now):
    host.loads_sent_at = now
    changed, host.changed_loads = host.changed_loads, set()
    refusing, host.refused_servers = tuple(host.refused_servers), set()
    rows = tuple(_load_row(host.servers[sid], now) for sid in changed
                 if sid in host.servers)
    out = _send_crash_reports(host, now)
    if host.self_peer is None or not (rows or refusing):
        return out
    update = events.PeerLoadsReceived(host.self_peer.name, rows, refusing)
    return out + [effects.SendToPeer(peer, update)
                  for peer in _contacts(host, now)]


def send_demand(host, now):
    """Send what waits here to other hosts, if that has changed."""
    if host.self_peer is None or not host.schedules:
        return []
    rows = fleet_demand.due(host.demand_sender, queueing.rows(host), now)
    if rows is None:
        return []
    update = events.PeerDemandReceived(host.self_peer.name, rows)
    return [effects.SendToPeer(peer, update) for peer in _contacts(host, now)
            if host.peers[peer.name].takes_demand]


def _send_crash_reports(host, now):
    reports = crash_reports.take_unsent(host)
    if host.self_peer is None or not reports:
        return []
    update = events.CrashReportsReceived(
        host.self_peer.name, crash_reports.rows(reports, now))
    return [effects.SendToPeer(peer, update) for peer in _contacts(host, now)
            if host.peers[peer.name].takes_crash_reports]


def reply(host, known, now):
    """Send the state to a host that is no contact of this one."""
    if now < known.last_sent_at + CONTACT_INTERVAL_S / 2:
        return []
    if known.peer.name in {peer.name for peer in _contacts(host, now)}:
        return []
    known.last_sent_at = now
    return [effects.SendToPeer(known.peer, _state(host, now, False))]


def _contacts(host, now):
    """Return the peers that this host sends its state to unasked.

    Hosts that are stopping still have requests at engines, and begin some.
    """
    serving = fleet.serving_hosts(host, now)
    others = [peer for peer in serving if peer.name != host.self_peer.name]
    if len(others) == len(serving) and not host.was_serving:
        others.sort(key=lambda peer: routing.cached_unit_hash(
            host.self_peer.name, peer.name))
        return others[:CONTACT_COUNT]
    others += fleet.leaving_hosts(host, now)
    if len(others) > fleet.MAX_FANOUT:
        return host.rng.sample(others, fleet.MAX_FANOUT)
    return others


def _silent_contacts(host, now, contacts):
    """Return silent peers that may be back and would be contacts then."""
    min_capacity = min((peer.capacity for peer in contacts), default=0.0)
    silent = [known.peer for known in host.peers.values()
              if now - known.last_seen_at > fleet.PEER_TIMEOUT_S
              and now - known.confirmed_ready_at > fleet.PEER_TIMEOUT_S
              and known.peer.capacity >= min_capacity
              and now >= known.last_sent_at + SILENT_RETRY_S]
    return host.rng.sample(silent, min(len(silent), MAX_SILENT_RETRIES))


def _state(host, now, with_loads):
    """Return this host's state, ``with_loads`` and prompt parts or not."""
    reads = fleet.reads_store(host, now) and host.store_down_since is None
    reports = (crash_reports.recent(host, now)
               + quarantine.standing_reports(host, now))
    return events.PeerStateReceived(
        peer=host.self_peer, ready=fleet.is_ready(host),
        leaving=host.stop_at is not None,
        catalog_revision=host.catalog.revision if host.catalog else 0,
        catalog_version=host.catalog.version if host.catalog else 0,
        servers_revision=host.servers_revision,
        crashes=_former_crashes(reports),
        loads=_load_rows(host, now) if with_loads else (),
        parts=_recent_parts(host, now) if with_loads else (),
        reads_store=reads and host.servers_loaded,
        serving_hosts=_ready_serving_hosts(host, now),
        store_data_age_s=fleet.store_data_age_s(host, now),
        serving_demand=serving.advertised(host, now),
        rate_limits=_sample_rows(host, ratelimits.rows(host, now)),
        servers_leaving=_sample_rows(host, draining.rows(host)),
        crash_reports=crash_reports.rows(reports, now),
        cut_off=reachability.cut_off_services(host),
        former_versions=origins.former_rows(host, now),
        brittle=_sample_rows(host, brittle.rows(host, now)),
        takes_demand=True,
        knows_versions=version_history.knows_all(host, now),
        recorded_versions=origins.recorded_rows(host, now),
        **_duty_fields(host, now))


def _former_crashes(reports):
    """Return the (digest, incarnation) of crashes, for the former version."""
    return tuple((report.digest, report.incarnation) for report in reports
                 if report.kind is crash_records.Kind.CRASHED)


def _duty_fields(host, now):
    duties = host.duties
    if duties is None:
        return {}
    return {"wall": clock.own_wall_time(duties.offsets, host.self_peer.name,
                                        now),
            "leader": duties.leader}


def _ready_serving_hosts(host, now):
    """Return the names of serving hosts that this host hears directly.

    In a small fleet every host hears all others, so none are named. Only
    serving hosts name them: among 300 hosts, one that serves no callers
    sends and receives 3.3 kB a second of datagrams, and 3.7 kB with the
    names in all states.
    """
    if not fleet.is_large(host) or not fleet.is_serving_host(host, now):
        return ()
    return tuple(peer.name for peer in fleet.serving_hosts(host, now)
                 if peer.name != host.self_peer.name
                 and fleet.is_peer_ready(host.peers[peer.name], now))


def _load_rows(host, now):
    """Return rows of servers with work of this host or recent activity.

    With many serving hosts each reports only its own work: otherwise 72
    hosts passed on what others reported of 2,000 engines, 400 rows a state.
    If there are too many rows, those with work of this host come first:
    with 3,000 servers just listed the state was 66 kB, more than a datagram
    holds, and reached no host; it is 9 kB with the limit.
    """
    since = now - server_load.REPORT_HEARD_S
    if len(fleet.serving_hosts(host, now)) > fleet.MAX_FANOUT + 1:
        since = math.inf
    reported = [state for state in map(host.servers.get, host.active_servers)
                if state.own_attempts or state.last_seen_at > since]
    if len(reported) > MAX_ROWS:
        reported.sort(
            key=lambda state: (not state.own_attempts, -state.last_seen_at))
    return tuple(_load_row(state, now) for state in reported[:MAX_ROWS])


def _load_row(state, now):
    tokens = state.own_attempts.values()
    return (state.server.sid, len(state.own_attempts), sum(tokens),
            sum(count > 0 for count in tokens),
            int(min(server_load.REPORT_HEARD_S,
                    now - state.last_seen_at) * 1000),
            tuple((*kind, streams)
                  for kind, streams in state.streams_by_gap.items()),
            state.memory_tokens)


def _recent_parts(host, now):
    while host.recent_parts and host.recent_parts[0][0] < now - PARTS_REPEAT_S:
        host.recent_parts.popleft()
    return tuple({row[1:]: None for row in host.recent_parts})
