"""Which entry hosts live, and what each is there for.

Callers are sent to the hosts with the most capacity, the carriers. In a
large fleet a few of them read the store, and the others fetch from these
what is newer. Most hosts don't hear a reader themselves: each tells how
long ago a reader's word reached it, at whatever distance.
"""

from crocuskeel.core.entry import carrying
from crocuskeel.core.entry import routing

__all__ = ["HOP_S", "SILENT_S", "addresses", "carriers", "changed",
           "informed_s", "is_carrier", "is_heard", "is_large", "is_ready",
           "reads_store"]

# A host that was silent for this long is not named to callers, s: four
# of its datagrams are missing.
SILENT_S = 1.3
ADDRESSES_MOST = 64
# At least so many hosts carry callers, so that one that fails takes a
# fifth of the requests under way; and of those that have half of the
# largest's capacity as many as are needed.
CARRIERS_LEAST = 5
CAPACITY_SHARE = 0.5
# Up to so many hosts all read the store; of more, so many carriers.
ALL_READ_MOST = 12
READERS = 3
# Who carries is worked out this often at most, s: it is asked for several
# times with each datagram, and among 65 hosts it takes 0.2 ms.
KEPT_S = 0.1
# A host that no reader's word reached for this long reads itself, s: it
# takes a carrier's tick and another host's contact, 0.9 s, and 1.8 s with
# a datagram lost.
UNTOLD_S = 2.0
# The same for a carrier, which hears others at each tick. When all readers
# are lost, the fleet is told again within some 2 s by this, 3 s without.
CARRIER_UNTOLD_S = 1.0
# A word is older by at most so much when it is read than when it was sent,
# s: delay between failure domains, and a busy host's. Without it hosts that
# tell each other what a lost reader said would keep its word young: its age
# did not reach 0.5 s in 2 s.
HOP_S = 0.1


def carriers(host, now):
    """Return the peers and this host that callers are sent to.

    It is the same list object for as long as they are the same.
    """
    if now >= host.carriers_until:
        found = _carriers(host, now)
        if found != host.carriers:
            host.carriers = found
        host.carriers_until = now + KEPT_S
    return host.carriers


def changed(host):
    """Note that hosts came, or said that they leave."""
    host.carriers_until = 0.0


def _carriers(host, now):
    live = [host.me] if host.stop_at is None else []
    live += [known.peer for known in host.peers.values()
             if _may_carry(known, now)]
    live.sort(key=lambda peer: (
        -peer.capacity, routing.name_hash(peer.name, "carrier")))
    if not live:
        return []
    least = live[0].capacity * CAPACITY_SHARE
    most = carrying.count(host, now)
    return [peer for place, peer in enumerate(live[:most])
            if place < CARRIERS_LEAST or peer.capacity >= least]


def _may_carry(known, now):
    signs = max(known.heard_at, known.vouched_at)
    return not known.leaving and now - signs <= SILENT_S


def is_carrier(host, now):
    """Say whether this host is one of the carriers."""
    return any(peer.name == host.me.name for peer in carriers(host, now))


def is_heard(known, now):
    """Say whether this host itself hears that a peer is ready."""
    return known.ready and now - known.heard_at <= SILENT_S


def is_large(host):
    """Say whether the fleet is so large that a few hosts read for all."""
    return len(host.peers) >= ALL_READ_MOST


def reads_store(host, now):
    """Say whether this host should follow the store itself."""
    if not is_large(host):
        return True
    if _is_among_readers(host, now):
        return True
    limit = CARRIER_UNTOLD_S if is_carrier(host, now) else UNTOLD_S
    return min(_told_s(host, now), now - host.seen_at) > limit


def _is_among_readers(host, now):
    """Say whether fewer than READERS carriers before this one read."""
    readers = 0
    for peer in carriers(host, now):
        if peer.name == host.me.name:
            return True
        readers += host.peers[peer.name].reads_store
        if readers >= READERS:
            return False
    return False


def _told_s(host, now):
    """Return the age of the freshest word of a reader, s.

    On 195 hosts half of the small ones hear no reader themselves, as
    each hears three of fifteen carriers: told by readers alone, these
    followed the store for good: 84 hosts, 79 calls a second in calm. Now
    three do, with 3.6 calls.
    """
    return now - host.told_at


def informed_s(host, now):
    """Return how old what this host knows of the store may be, s.

    One that knows of something newer and can't get it is behind since
    then, or it would keep others from reading the store themselves.
    """
    if host.store_lost_at is None and host.servers_known and (
            reads_store(host, now)):
        return 0.0
    age = _told_s(host, now)
    for since in (host.catalog_behind_at, host.servers_behind_at):
        if since is not None:
            age = max(age, now - since)
    return age


def is_ready(host):
    """Say whether this host can serve callers."""
    return (host.catalog is not None and host.servers_known
            and host.stop_at is None)


def addresses(host, now):
    """Return the front addresses of hosts that callers may use."""
    found = []
    for peer in carriers(host, now):
        if peer.name == host.me.name:
            usable = is_ready(host)
        else:
            known = host.peers[peer.name]
            usable = (is_heard(known, now)
                      or now - known.vouched_at <= SILENT_S)
        if usable:
            found.append((peer.name, peer.front))
    if len(found) > ADDRESSES_MOST:
        # Each host leaves out others, so that all get their callers.
        found.sort(key=lambda row: routing.name_hash(
            host.me.name, row[0]))
    return [front for _, front in found[:ADDRESSES_MOST]]
