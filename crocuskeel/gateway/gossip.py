"""Datagrams between entry hosts: each host's state, some bytes long.

While hosts are upgraded one after the other, some still run the version
before. A state of that version has fewer fields and is understood; a host
that sent one gets states of its version until it sends a newer one.
Fields that a later version adds at the end are passed over.
"""

from crocuskeel.core import duties
from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
import msgpack
from twisted.internet import protocol

__all__ = ["Gossip", "decode", "encode", "encode_former"]

# First in a datagram with counts, and in one with what servers name; a
# host's own name or peer stands there in the others.
USAGE = 0
HINTS = 1
# Fields of a state after its peer: in the version before, and now.
FORMER_FIELDS = 10
FIELDS = 13


def encode(heard):
    """Return the datagram of an event that one host tells another."""
    if isinstance(heard, events.LoadHeard):
        return msgpack.packb((heard.name, heard.loads, heard.refused))
    if isinstance(heard, duties.Usage):
        return msgpack.packb((USAGE, heard.name, heard.boot, heard.rows))
    if isinstance(heard, events.HintsHeard):
        return msgpack.packb((HINTS, heard.name, heard.rate_limits,
                              heard.servers_leaving))
    return msgpack.packb((
        *_former_fields(heard), heard.wall,
        (heard.leader.version, heard.leader.host, heard.leader.fence),
        (heard.wanted.carriers, heard.wanted.at), heard.rate_limits,
        heard.servers_leaving))


def encode_former(heard):
    """Return the datagram as the version before reads it, or None.

    That version knows of no duties, and so of no counts, and of no rates.
    """
    if isinstance(heard, duties.Usage | events.HintsHeard):
        return None
    if isinstance(heard, events.Heard):
        return msgpack.packb(_former_fields(heard))
    return encode(heard)


def _former_fields(heard):
    peer = heard.peer
    return (
        (peer.name, peer.boot, peer.domain, peer.front, peer.control,
         peer.gossip, peer.capacity),
        heard.ready, heard.leaving, heard.catalog_revision,
        heard.servers_revision, heard.crashed, heard.loads, heard.parts,
        heard.reads_store, heard.carriers, heard.informed_s)


def decode(data):
    """Return the event of a datagram; raises ValueError."""
    return _event(_fields(data))


def _fields(data):
    try:
        fields = msgpack.unpackb(data, use_list=False)
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f"no datagram of a host: {exc}") from exc
    if not isinstance(fields, tuple) or not fields:
        raise ValueError("no datagram of a host")
    return fields


def _event(fields):
    try:
        first, *rest = fields
        if first == USAGE:
            return duties.Usage(*rest)
        if first == HINTS:
            name, limits, leaving = rest
            return events.HintsHeard(
                name, _rate_limits(limits), _servers_leaving(leaving))
        if isinstance(first, str):
            loads, refused = rest
            return events.LoadHeard(first, loads, refused)
        return _state(first, rest)
    except (TypeError, ValueError) as exc:
        raise ValueError(f"no datagram of a host: {exc}") from exc


def _state(peer, rest):
    name, boot, domain, front, control, gossip, capacity = peer
    sender = model.Peer(
        name, boot, domain, front, control, gossip, capacity)
    if len(rest) == FORMER_FIELDS:
        return events.Heard(sender, *rest)
    *former, wall, leader, wanted = rest[:FIELDS]
    if len(former) != FORMER_FIELDS:
        raise ValueError(f"{len(rest)} fields")
    # A host of the version before ends its state here.
    limits, leaving = (*rest[FIELDS:], (), ())[:2]
    return events.Heard(sender, *former, wall, duties.Leader(*leader),
                        carrying.Wanted(*wanted), _rate_limits(limits),
                        _servers_leaving(leaving))


def _rate_limits(rows):
    """Check rows of (incarnation, rate or None, age in ms)."""
    for incarnation, rate, age_ms in rows:
        if not isinstance(incarnation, str):
            raise ValueError(f"server {incarnation!r}")
        if min(0.0 if rate is None else rate, age_ms) < 0:
            raise ValueError(f"rate {rate!r}, {age_ms!r} ms ago")
    return rows


def _servers_leaving(rows):
    """Check rows of (server id, incarnation)."""
    for sid, incarnation in rows:
        if not isinstance(sid, str) or not isinstance(incarnation, str):
            raise ValueError(f"server {sid!r}, {incarnation!r}")
    return rows


class Gossip(protocol.DatagramProtocol):
    """Sends and takes hosts' states.

    ``former`` names the hosts of the version before.
    """

    def __init__(self, gateway):
        self.gateway = gateway
        self.former = set()
        # What was told last: it goes to up to twelve hosts, one by one.
        self.told = None
        self.data = b""

    def datagramReceived(self, datagram, addr):
        try:
            fields = _fields(datagram)
            event = _event(fields)
        except ValueError as exc:
            self.gateway.log("datagram_refused", {"why": str(exc)})
            return
        if isinstance(event, events.Heard):
            self._learn(event.peer.name,
                        len(fields) == 1 + FORMER_FIELDS)
        self.gateway.feed(event)

    def _learn(self, name, former):
        if former:
            self.former.add(name)
        else:
            self.former.discard(name)

    def tell(self, effect):
        """Send what this host tells to one peer."""
        if effect.peer.name in self.former:
            data = encode_former(effect.event)
        else:
            data = self._encoded(effect.event)
        if data is not None:
            self.transport.write(data, effect.peer.gossip)

    def _encoded(self, event):
        if event is not self.told:
            self.told = event
            self.data = encode(event)
        return self.data
