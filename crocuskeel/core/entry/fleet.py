"""Which entry hosts are alive, and the role of each.

Callers are sent to the hosts with the most capacity, the serving hosts. In
a large fleet a few of these, the readers, read the store, and all other
hosts fetch newer data from their peers. Most hosts don't receive datagrams
of a reader, so each host announces the age of the newest report of a reader
that reached it, directly or through other hosts.
"""

import math

from crocuskeel.core.entry import routing
from crocuskeel.core.entry import serving

__all__ = ["HOP_DELAY_S", "MAX_FANOUT", "PEER_TIMEOUT_S", "STATE_INTERVAL_S",
           "caller_addresses", "hears_all", "invalidate_serving_hosts",
           "is_in_touch", "is_large", "is_peer_ready", "is_ready",
           "is_serving_host", "is_surely_in_touch", "leaving_hosts",
           "note_tick", "rank", "reads_store", "serving_hosts",
           "store_data_age_s"]

# Interval at which hosts send their state, s.
STATE_INTERVAL_S = 0.3
# Up to this many other serving hosts form a full mesh; with more, each sends
# to this many, chosen at random each time.
MAX_FANOUT = 12
# A host that was silent for this long is not named to callers, s: four
# of its datagrams are missing.
PEER_TIMEOUT_S = 1.3
# A host that hears all others has heard each within this, s.
ALL_HEARD_S = 0.35
# Ticks that are further apart than this show that this process was paused, s.
# It has heard all others again this long after that, s: two of their states.
MIN_PAUSE_S = 1.0
WAKE_S = 2 * STATE_INTERVAL_S
# Most of so many others are heard within MOST_HEARD_S, two of their states.
MAX_HEARD = 2 * MAX_FANOUT
MOST_HEARD_S = 0.7
# A host may not notice for so long that the store doesn't answer, s.
UNNOTICED_S = 3.0
MAX_ADDRESSES = 64
# Minimum number of serving hosts, so that the failure of one affects at most
# a fifth of the requests in progress. Hosts with at least half of the largest
# host's capacity are added as needed.
MIN_SERVING_HOSTS = 5
MIN_CAPACITY_SHARE = 0.5
# In a fleet of up to this many hosts all read the store; in a larger one,
# this many serving hosts do.
MAX_SMALL_FLEET = 12
READERS = 3
# The list of serving hosts is cached for this long, s: it is used several
# times for each datagram, and computing it for 65 hosts takes 0.2 ms.
SERVING_CACHE_S = 0.1
# A host that got no report of a reader for this long reads the store itself,
# s: a report takes a serving host's tick and another host's contact interval,
# 0.9 s, and 1.8 s with a datagram lost.
READER_TIMEOUT_S = 2.0
# The same for a serving host, which hears others at each tick. With this
# shorter limit the fleet gets reports again some 2 s after all readers are
# lost, and 3 s without.
SERVING_READER_TIMEOUT_S = 1.0
# Upper bound of the time between sending and handling a report, s: the delay
# between failure domains, and that of a busy host. It is added to the age of
# each report. Without it, hosts that pass on the report of a lost reader to
# each other would keep it recent: its age did not reach 0.5 s in 2 s.
HOP_DELAY_S = 0.1


def note_tick(host, now):
    """Note a tick, which may be the first one after a pause."""
    if now > host.ticked_at + MIN_PAUSE_S:
        host.paused_at = host.ticked_at
        host.woke_at = now
    host.ticked_at = now


def _listened_until(host, now):
    """Return until when this host could hear others: now, or its pause."""
    if now > host.ticked_at + MIN_PAUSE_S:
        return host.ticked_at
    return host.paused_at if now < host.woke_at + WAKE_S else now


def serving_hosts(host, now):
    """Return the serving hosts: peers, and this host if it is one.

    The same list object is returned until the serving hosts change.
    """
    if now >= host.serving_hosts_until:
        serving = _serving_hosts(host, now)
        if serving != host.serving_hosts:
            host.serving_hosts = serving
        host.serving_hosts_until = now + SERVING_CACHE_S
    return host.serving_hosts


def invalidate_serving_hosts(host):
    """Invalidate the cache after a host joined or announced to leave."""
    host.serving_hosts_until = 0.0


def _serving_hosts(host, now):
    live = [host.self_peer] if host.stop_at is None else []
    until = _listened_until(host, now)
    live += [known.peer for known in host.peers.values()
             if _may_serve(known, until)]
    live.sort(key=lambda peer: (
        -peer.capacity, routing.cached_unit_hash(peer.name, "carrier")))
    if not live:
        return []
    min_capacity = live[0].capacity * MIN_CAPACITY_SHARE
    limit = serving.serving_host_limit(host, now)
    return [peer for rank, peer in enumerate(live[:limit])
            if rank < MIN_SERVING_HOSTS or peer.capacity >= min_capacity]


def _may_serve(known, now):
    last_sign_at = max(known.last_seen_at, known.confirmed_ready_at)
    return not known.leaving and now - last_sign_at <= PEER_TIMEOUT_S


def is_serving_host(host, now):
    """Return whether this host is a serving host."""
    return any(peer.name == host.self_peer.name
               for peer in serving_hosts(host, now))


def leaving_hosts(host, now):
    """Return the serving hosts that are stopping and still heard."""
    return [known.peer for known in host.peers.values()
            if known.leaving and known.was_serving
            and now - known.last_seen_at <= PEER_TIMEOUT_S]


def rank(host, purpose, others, now):
    """Return how many hosts do something before this one.

    ``others`` are the other serving hosts that count. A host that served
    callers and is stopping comes after them; other hosts never do it.
    """
    own = routing.cached_unit_hash(host.self_peer.name, purpose)
    before = 0
    if host.stop_at is not None:
        if not host.was_serving:
            return math.inf
        before, others = len(others), leaving_hosts(host, now)
    elif not is_serving_host(host, now):
        return math.inf
    return before + sum(
        routing.cached_unit_hash(peer.name, purpose) < own
        for peer in others)


def is_peer_ready(known, now):
    """Return whether a peer that this host hears directly is ready."""
    return known.ready and now - known.last_seen_at <= PEER_TIMEOUT_S


def is_large(host):
    """Return whether the fleet is so large that a few hosts read for all."""
    return len(host.peers) >= MAX_SMALL_FLEET


def reads_store(host, now):
    """Return whether this host should read the store itself."""
    if not is_large(host):
        return True
    if _is_among_readers(host, now):
        return True
    limit = (SERVING_READER_TIMEOUT_S if is_serving_host(host, now)
             else READER_TIMEOUT_S)
    return min(_report_age_s(host, now), now - host.peers_read_at) > limit


def _is_among_readers(host, now):
    """Return whether fewer than READERS serving hosts before this one read."""
    readers = 0
    for peer in serving_hosts(host, now):
        if peer.name == host.self_peer.name:
            return True
        readers += host.peers[peer.name].reads_store
        if readers >= READERS:
            return False
    return False


def _report_age_s(host, now):
    """Return the age of the newest report of a reader, s.

    It may come through other hosts. Of 195 hosts, half of the small ones
    hear no reader directly, as each hears three of fifteen serving hosts.
    When only a reader's own datagrams counted, these read the store
    permanently: 84 hosts, with 79 calls a second in normal operation. With
    reports through other hosts three hosts read it, with 3.6 calls.
    """
    return now - host.informed_at


def store_data_age_s(host, now):
    """Return the greatest possible age of this host's data of the store, s.

    For a host that knows of newer data and can't fetch it, the age counts at
    least from when it learned of that. Otherwise it would keep other hosts
    from reading the store themselves.
    """
    if host.store_down_since is None and host.servers_loaded and (
            reads_store(host, now)):
        return 0.0
    age = _report_age_s(host, now)
    for since in (host.catalog_behind_at, host.servers_behind_at):
        if since is not None:
            age = max(age, now - since)
    return age


def is_ready(host):
    """Return whether this host can serve callers."""
    return (host.catalog is not None and host.servers_loaded
            and host.stop_at is None)


def caller_addresses(host, now):
    """Return the caller-facing addresses of usable serving hosts."""
    reachable = []
    until = _listened_until(host, now)
    for peer in serving_hosts(host, now):
        if peer.name == host.self_peer.name:
            usable = is_ready(host)
        else:
            known = host.peers[peer.name]
            usable = (is_peer_ready(known, until)
                      or until - known.confirmed_ready_at <= PEER_TIMEOUT_S)
        if usable:
            reachable.append((peer.name, peer.public_address))
    if len(reachable) > MAX_ADDRESSES:
        # Each host omits different ones, so that all get callers.
        reachable.sort(key=lambda row: routing.cached_unit_hash(
            host.self_peer.name, row[0]))
    return [front for _, front in reachable[:MAX_ADDRESSES]]


def hears_all(host, now):
    """Return whether all hosts but those that leave were heard just now.

    A host that stood still, or is cut off, may not have noticed anything else.
    Those that are merely listed were not heard, and are not known to be ready.
    """
    return all(known.leaving or (
        known.ready and known.last_seen_at >= now - ALL_HEARD_S)
        for known in host.peers.values())


def is_in_touch(host, now):
    """Return whether most hosts are heard that were when the list was new.

    Hosts that are cut off from the others and from the store together know
    only each other.
    """
    before = now - store_data_age_s(host, now) - PEER_TIMEOUT_S
    known = [peer.last_seen_at for peer in host.peers.values()
             if peer.last_seen_at >= before]
    heard = sum(at >= now - PEER_TIMEOUT_S for at in known)
    return 2 * (heard + 1) > len(known) + 1


def _may_lack_hosts(host, now):
    """Return whether others may exist that this host has never heard of.

    It hasn't read which there are, and may not reach the store.
    """
    return not host.hosts_listed and (
        host.store_down_since is not None
        or now < host.started_at + PEER_TIMEOUT_S + UNNOTICED_S)


def is_surely_in_touch(host, now, since=0.0):
    """Return the same for a host that may not have noticed a cut yet.

    Hosts have to be heard since ``since``, as something failed here. In a
    large fleet each host hears only some of the others in that time. Those
    that are merely listed were not heard.
    """
    if _may_lack_hosts(host, now):
        return False
    if len(host.peers) > MAX_HEARD:
        return is_in_touch(host, now)
    before = (now - store_data_age_s(host, now)
              - PEER_TIMEOUT_S - UNNOTICED_S)
    known = [peer for peer in host.peers.values()
             if peer.last_seen_at >= before]
    since = max(since, now - MOST_HEARD_S)
    heard = sum(peer.ready and peer.last_seen_at >= since for peer in known)
    return 2 * (heard + 1) > len(known) + 1
