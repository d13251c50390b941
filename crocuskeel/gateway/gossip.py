"""Datagrams between entry hosts: each host's state, some bytes long."""

from crocuskeel.core import duties
from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
import msgpack
from twisted.internet import protocol

__all__ = ["Gossip", "decode", "encode"]

# First in a datagram with counts; a host's own name or peer stands there
# in the others.
USAGE = 0


def encode(heard):
    """Return the datagram of a Heard or LoadHeard event."""
    if isinstance(heard, events.LoadHeard):
        return msgpack.packb((heard.name, heard.loads, heard.refused))
    if isinstance(heard, duties.Usage):
        return msgpack.packb((USAGE, heard.name, heard.boot, heard.rows))
    peer = heard.peer
    return msgpack.packb((
        (peer.name, peer.boot, peer.domain, peer.front, peer.control,
         peer.gossip, peer.capacity),
        heard.ready, heard.leaving, heard.catalog_revision,
        heard.servers_revision, heard.crashed, heard.loads, heard.parts,
        heard.reads_store, heard.carriers, heard.informed_s, heard.wall,
        (heard.leader.version, heard.leader.host, heard.leader.fence),
        (heard.wanted.carriers, heard.wanted.at)))


def decode(data):
    """Return the event of a datagram; raises ValueError."""
    try:
        peer, *state = msgpack.unpackb(data, use_list=False)
        if peer == USAGE:
            return duties.Usage(*state)
        if isinstance(peer, str):
            loads, refused = state
            return events.LoadHeard(peer, loads, refused)
        (ready, leaving, catalog, servers, crashed, loads, parts,
         reads_store, carriers, informed_s, wall, leader, wanted) = state
        leader = duties.Leader(*leader)
        wanted = carrying.Wanted(*wanted)
        name, boot, domain, front, control, gossip, capacity = peer
    except (TypeError, ValueError, msgpack.UnpackException) as exc:
        raise ValueError(f"no datagram of a host: {exc}") from exc
    return events.Heard(
        model.Peer(name, boot, domain, front, control, gossip, capacity),
        ready, leaving, catalog, servers, crashed, loads, parts,
        reads_store, carriers, informed_s, wall, leader, wanted)


class Gossip(protocol.DatagramProtocol):
    """Sends and takes hosts' states."""

    def __init__(self, gateway):
        self.gateway = gateway

    def datagramReceived(self, datagram, addr):
        try:
            event = decode(datagram)
        except ValueError as exc:
            self.gateway.log("datagram_refused", {"why": str(exc)})
            return
        self.gateway.feed(event)

    def tell(self, effect):
        """Send this host's state to one peer."""
        self.transport.write(encode(effect.event), effect.peer.gossip)
