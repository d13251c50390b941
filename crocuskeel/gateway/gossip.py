"""Datagrams between entry hosts, with the state of the sender.

During a rolling upgrade some hosts still run the previous version. Its
states have fewer fields and are understood; a host that sent one receives
states of its version until it sends a newer one. Fields that a later version
appends are ignored.
"""

import dataclasses

from crocuskeel.core import duties
from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import record_events
from crocuskeel.core.entry import serving
from crocuskeel.core import revisions
from crocuskeel.core.scheduling import fleet_demand
from crocuskeel.gateway import datagram_checks as checks
from crocuskeel.gateway import record_datagrams
import msgpack
from twisted.internet import protocol

__all__ = ["Gossip", "MAX_DATAGRAM_BYTES", "decode", "encode",
           "encode_previous"]

# First field of a datagram with counts, of one with hints of servers, of one
# with reports on crashes, of those on where streams began, of one with queued
# requests, of streams to record; other datagrams begin with a name or peer.
USAGE_MARK = 0
HINTS_MARK = 1
CRASHES_MARK = 2
ORIGINS_MARK = 3
ORIGIN_ASKED_MARK = 4
ORIGIN_UNKNOWN_MARK = 5
DEMAND_MARK = 6
RECORD_MARK = 7
ORIGIN_EVENTS = {ORIGINS_MARK: events.OriginsTold,
                 RECORD_MARK: record_events.StreamsToRecord}
ROW_EVENTS = {DEMAND_MARK: events.PeerDemandReceived, **ORIGIN_EVENTS}
# Number of fields of a state after its peer: previous and current version.
PREVIOUS_FIELDS = 10
STATE_FIELDS = 13
# Fields that were added to that since, as of a host that doesn't send them:
# rate limits, draining servers, versions, reports on crashes, services that it
# is cut off from, software versions without a server, brittle services,
# whether it understands datagrams with queued requests, whether it knows all
# software versions that may have served, those that only the store names.
ADDED_DEFAULTS = ((), (), (), None, (), None, (), False, False, None)
# Most that UDP carries over IPv4, bytes.
MAX_DATAGRAM_BYTES = 65507
# Fields of events with rows that a receiver can do without for a while.
SAMPLED_FIELDS = ("parts", "loads", "rate_limits", "servers_leaving", "rows",
                  "refused", "reports", "crashes", "crash_reports", "brittle",
                  "former_versions", "recorded_versions")
# Checks of the fields that hosts of all versions send, from their first on.
STATE_CHECKS = (
    checks.is_flag, checks.is_flag, checks.is_revision, checks.is_revision,
    checks.is_pairs, checks.is_load_rows, checks.is_part_rows,
    checks.is_flag, checks.is_texts, checks.is_age, checks.is_wall)
USAGE_CHECKS = (checks.is_text, checks.is_revision, checks.is_usage_rows)
KINDS = frozenset(map(str, crash_records.Kind))
SIGNS = frozenset(map(str, crash_records.Sign)) | {""}


def encode(event):
    """Return the datagram of an event for another host."""
    if isinstance(event, events.PeerLoadsReceived):
        return msgpack.packb((event.name, event.loads, event.refused))
    if isinstance(event, duties.Usage):
        return msgpack.packb((USAGE_MARK, event.name, event.boot, event.rows))
    if isinstance(event, events.PeerHintsReceived):
        return msgpack.packb((HINTS_MARK, event.name, event.rate_limits,
                              event.servers_leaving))
    if isinstance(event, events.CrashReportsReceived):
        return msgpack.packb((CRASHES_MARK, event.name, event.reports))
    for mark, kind in ROW_EVENTS.items():
        if isinstance(event, kind):
            return msgpack.packb((mark, event.name, event.rows))
    if isinstance(event, events.OriginAsked):
        return msgpack.packb((ORIGIN_ASKED_MARK, event.name, event.key,
                              event.service))
    if isinstance(event, events.OriginUnknown):
        return msgpack.packb((ORIGIN_UNKNOWN_MARK, event.name, event.key,
                              event.service, event.versions))
    fields = record_datagrams.fields(event)
    if fields is not None:
        return msgpack.packb(fields)
    return msgpack.packb((
        *_previous_fields(event), event.wall,
        (revisions.number(event.leader.version), event.leader.host,
         revisions.number(event.leader.fence)),
        (event.serving_demand.serving_hosts, event.serving_demand.measured_at),
        event.rate_limits,
        event.servers_leaving,
        _versions(event), event.crash_reports, event.cut_off,
        event.former_versions, event.brittle, event.takes_demand,
        event.knows_versions, event.recorded_versions))


def _versions(event):
    """Return the versions that the other fields hold without their era."""
    if event.catalog_version is None:
        return ()
    return (event.catalog_version, event.servers_revision,
            event.leader.version, event.leader.fence)


def encode_previous(event):
    """Return the datagram in the format of the previous version, or None.

    That version knows states and changes of loads only.
    """
    if isinstance(event, events.PeerStateReceived):
        return msgpack.packb(_previous_fields(event))
    if isinstance(event, events.PeerLoadsReceived):
        return encode(event)
    return None


def _previous_fields(event):
    peer = event.peer
    return (
        (peer.name, peer.boot, peer.domain, peer.public_address, peer.control,
         peer.gossip, peer.capacity),
        event.ready, event.leaving, event.catalog_revision,
        revisions.number(event.servers_revision), event.crashes,
        event.loads, event.parts, event.reads_store, event.serving_hosts,
        event.store_data_age_s)


def decode(data):
    """Return the event of a datagram; raises ValueError."""
    return _decode_fields(_unpack(data))


def _unpack(data):
    try:
        fields = msgpack.unpackb(data, use_list=False)
    except (RecursionError, TypeError, ValueError,
            msgpack.UnpackException) as exc:
        raise ValueError(f"invalid datagram: {exc}") from exc
    if not isinstance(fields, tuple) or not fields:
        raise ValueError("invalid datagram")
    return fields


def _decode_fields(fields):
    try:
        first, *rest = fields
        if first == USAGE_MARK:
            name, boot, rows = rest
            _check(USAGE_CHECKS, rest)
            return duties.Usage(name, boot, rows)
        if first == HINTS_MARK:
            name, limits, leaving = rest
            return events.PeerHintsReceived(
                *_texts(name), _rate_limits(limits), _servers_leaving(leaving))
        if first == CRASHES_MARK:
            name, reports = rest
            if reports is None:
                raise ValueError("no reports")
            return events.CrashReportsReceived(
                *_texts(name), _crash_reports(reports))
        if first in (ORIGINS_MARK, RECORD_MARK):
            name, rows = rest
            return ORIGIN_EVENTS[first](*_texts(name), tuple(
                _origin_row(*row) for row in rows))
        if first == ORIGIN_ASKED_MARK:
            return events.OriginAsked(*_texts(*rest))
        if first == ORIGIN_UNKNOWN_MARK:
            *texts, versions = rest
            return events.OriginUnknown(*_texts(*texts), _texts(*versions))
        if first == DEMAND_MARK:
            name, rows = rest
            return events.PeerDemandReceived(*_texts(name), _demand(rows))
        if first in record_datagrams.MARKS:
            return record_datagrams.decode(first, rest)
        if isinstance(first, str):
            loads, refused = rest
            _check((checks.is_load_rows, checks.is_texts), rest)
            return events.PeerLoadsReceived(first, loads, refused)
        return _decode_state(first, rest)
    except (RecursionError, TypeError, ValueError) as exc:
        raise ValueError(f"invalid datagram: {exc}") from exc


def _check(field_checks, fields):
    """Raise ValueError unless each field is valid."""
    for number, (is_valid, value) in enumerate(zip(field_checks, fields)):
        if not is_valid(value):
            raise ValueError(f"field {number}: {str(value)[:100]!a}")


def _decode_state(peer, rest):
    _check((checks.is_peer,), (peer,))
    _check(STATE_CHECKS, rest)
    name, boot, domain, front, control, gossip, capacity = peer
    sender = model.Peer(
        name, boot, domain, front, control, gossip, capacity)
    if len(rest) == PREVIOUS_FIELDS:
        return events.PeerStateReceived(sender, *rest)
    *previous, wall, leader, wanted = rest[:STATE_FIELDS]
    if len(previous) != PREVIOUS_FIELDS:
        raise ValueError(f"state has {len(rest)} fields")
    # A state of the version without rate limits ends here, one of the
    # version without eras after the next two fields, one of the version
    # without reports on crashes after the next one, and so on.
    added = rest[STATE_FIELDS:][:len(ADDED_DEFAULTS)]
    (limits, leaving, versions, reports, cut_off, former, brittle,
     takes_demand, knows_versions, recorded) = (
         *added, *ADDED_DEFAULTS[len(added):])
    state = events.PeerStateReceived(sender, *previous, wall,
                                     _leader(*leader),
                                     _serving_demand(*wanted),
                                     _rate_limits(limits),
                                     _servers_leaving(leaving))
    if not versions:
        return state
    catalog_version, servers_revision, leader_version, fence = map(
        _integer, versions)
    return dataclasses.replace(
        state, crash_reports=_crash_reports(reports),
        cut_off=_texts(*cut_off), former_versions=_former_versions(former),
        brittle=tuple((*_texts(service), _duration_ms(age_ms))
                      for service, age_ms in brittle),
        takes_demand=_boolean(takes_demand),
        knows_versions=_boolean(knows_versions),
        recorded_versions=_former_versions(recorded),
        catalog_version=catalog_version,
        servers_revision=servers_revision, leader=dataclasses.replace(
            state.leader, version=leader_version, fence=fence))


def _leader(version, host, fence):
    _check((checks.is_revision, checks.is_text, checks.is_revision),
           (version, host, fence))
    return duties.Leader(version, host, fence)


def _serving_demand(count, age_s):
    _check((checks.is_count, checks.is_age), (count, age_s))
    return serving.ServingDemand(count, age_s)


def _integer(value):
    if not checks.is_revision(value):
        raise ValueError(f"invalid version {value!r}")
    return value


def _boolean(value):
    if not isinstance(value, bool):
        raise ValueError(f"invalid truth value {value!r}")
    return value


def _rate_limits(rows):
    """Check rows of (incarnation, rate or None, age in ms)."""
    for incarnation, rate, age_ms in rows:
        if not isinstance(incarnation, str):
            raise ValueError(f"invalid incarnation {incarnation!r}")
        if not (checks.is_count(age_ms) and age_ms >= 0 and (
                rate is None or checks.is_number(rate) and rate >= 0)):
            raise ValueError(f"invalid rate {rate!r} or age {age_ms!r} ms")
    return rows


def _crash_reports(rows):
    """Check rows of core.entry.crash_reports; None stands for no field.

    Rows of a kind or with a sign that a later version adds are left out.
    """
    if rows is None:
        return None
    for kind, age_ms, digest, sid, incarnation, sign, span_ms in rows:
        spans_ms = (age_ms,) if span_ms is None else (age_ms, span_ms)
        if (not all(checks.is_count(value) and value >= 0
                    for value in spans_ms)
                or not checks.is_texts((kind, digest, sid, incarnation,
                                        sign))):
            raise ValueError(f"invalid report {kind!r} on {incarnation!r}")
    return tuple(row for row in rows if row[0] in KINDS and row[5] in SIGNS)


def _texts(*values):
    """Check names and return them."""
    if not checks.is_texts(values):
        raise ValueError(f"invalid names {values!r}")
    return values


def _origin_row(key, service, version, left_ms):
    """Check a row of core.entry.origins."""
    return (*_texts(key, service, version), _duration_ms(left_ms))


def _demand(rows):
    """Check rows of (service, route, priority, requests, tokens)."""
    if not checks.is_demand(rows, fleet_demand.MAX_ROWS):
        raise ValueError("invalid rows of queued requests")
    return rows


def _former_versions(rows):
    """Check rows as _version_rows; None stands for no field."""
    return None if rows is None else _version_rows(rows)


def _version_rows(rows):
    """Check rows of (service, version, ms left)."""
    return tuple((*_texts(service, version), _duration_ms(left_ms))
                 for service, version, left_ms in rows)


def _duration_ms(value):
    if not checks.is_count(value) or value < 0:
        raise ValueError(f"invalid duration {value!r} ms")
    return value


def _servers_leaving(rows):
    """Check rows of (server id, incarnation)."""
    _check((checks.is_pairs,), (rows,))
    return rows


class Gossip(protocol.DatagramProtocol):
    """Sends and receives states of hosts, also of the previous version.

    ``previous_version_hosts`` holds names of hosts that run that version.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.previous_version_hosts = set()
        # The last event and its encoding: an event goes to up to twelve hosts.
        self.last_event = None
        self.last_datagram = b""

    def datagramReceived(self, datagram, addr):
        try:
            fields = _unpack(datagram)
            event = _decode_fields(fields)
        except ValueError as exc:
            self.gateway.log("datagram_refused", {"why": str(exc)})
            return
        if isinstance(event, events.PeerStateReceived):
            self._note_version(event.peer.name,
                               len(fields) == 1 + PREVIOUS_FIELDS)
        self.gateway.feed(event)

    def _note_version(self, name, is_previous):
        if is_previous:
            self.previous_version_hosts.add(name)
        else:
            self.previous_version_hosts.discard(name)

    def send(self, effect):
        """Send an event to a peer."""
        if effect.peer.name in self.previous_version_hosts:
            data = self._encode_to_fit(effect.event, encode_previous)
        else:
            data = self._encode_cached(effect.event)
        if data is not None:
            self.transport.write(data, effect.peer.gossip)

    def _encode_cached(self, event):
        if event is not self.last_event:
            self.last_event = event
            self.last_datagram = self._encode_to_fit(event, encode)
        return self.last_datagram

    def _encode_to_fit(self, event, encode_event):
        """Return a datagram, or None if there is none of the event.

        Of one that is too large half of the rows are left out until it fits:
        they are samples, which the next state replaces.
        """
        data = encode_event(event)
        while data is not None and len(data) > MAX_DATAGRAM_BYTES:
            shorter = _without_half_of_rows(event)
            self.gateway.log("datagram_shortened", {
                "kind": type(event).__name__, "bytes": len(data),
                "left_out": shorter is None})
            if shorter is None:
                return None
            event, data = shorter, encode_event(shorter)
        return data


def _without_half_of_rows(event):
    """Return an event with half of each kind of rows, None without any."""
    shorter = {field: rows[:len(rows) // 2] for field in SAMPLED_FIELDS
               if (rows := getattr(event, field, None))}
    if not shorter:
        return None
    if {"former_versions", "recorded_versions"} & shorter.keys():
        shorter["knows_versions"] = False
    return dataclasses.replace(event, **shorter)
