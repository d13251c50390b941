"""Whether this host reaches the servers of a service.

A host can lose its paths to all servers while callers, the store and other
hosts still reach it. It is taken to be cut off from a service if its attempts
fail at several of its servers, and none has answered one that was sent since;
or if several don't answer while other hosts hear from them; and if a probe
gets no answer either, which has more time if no attempt has failed: a request
may merely take long. Requests are then relayed to another host that is not cut
off. A host that is asks a server now and then for its health, and sends to
servers again once one answers.

If all hosts are cut off, as when all servers are down, none relays.
"""

import dataclasses
import math

from crocuskeel.core.entry import draining
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import ending
from crocuskeel.core.entry import fleet

__all__ = ["Reach", "cut_off_services", "is_cut_off", "is_in_doubt",
           "may_relay", "note_answer", "note_failure", "probed",
           "relay_host", "step", "unanswered"]

# Attempts have to fail at so many servers, or at all of a service with fewer.
MIN_SERVERS = 2
# A failure counts for this long, s.
FAILURE_TTL_S = 5.0
# A server that others hear from doesn't answer an attempt of this age, s. Its
# report to others takes a state's interval.
SILENCE_S = 1.0
HEARD_MARGIN_S = 2 * fleet.STATE_INTERVAL_S
# A probe that is sent after attempts failed is answered within this time, s,
# and one that is sent as servers are silent, which may be busy, within that.
PROBE_ANSWER_S = 0.1
SLOW_ANSWER_S = 0.8
# Interval at which a host that is cut off asks a server for its health, s.
PROBE_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True)
class Reach:
    """What this host's attempts at the servers of a service showed.

    ``answered_at`` is when the latest attempt or probe was sent that got an
    answer, ``failed`` maps a server to when its latest one was sent that
    failed. ``is_doubted`` while servers are not taken to be reachable, and
    ``is_cut`` once a probe has shown that they aren't.
    """

    answered_at: float = -math.inf
    failed: dict = dataclasses.field(default_factory=dict)
    is_doubted: bool = False
    is_cut: bool = False
    probed_at: float = -math.inf


def is_cut_off(host, service):
    """Return whether this host is cut off from a service."""
    reach = host.reach.get(service)
    return reach is not None and reach.is_cut


def is_in_doubt(host, service):
    """Return whether a probe may show that this host is not cut off."""
    reach = host.reach.get(service)
    return reach is not None and reach.is_doubted and not reach.is_cut


def cut_off_services(host):
    """Return the names of the services that this host is cut off from."""
    return tuple(sorted(service for service in host.reach
                        if is_cut_off(host, service)))


def note_answer(host, pending, attempt):
    """Record that a server answered an attempt; return effects."""
    if attempt.relayed:
        return []
    reach = host.reach.setdefault(pending.service, Reach())
    reach.answered_at = max(reach.answered_at, attempt.sent_at)
    if reach.failed:
        reach.failed = {sid: at for sid, at in reach.failed.items()
                        if at > reach.answered_at}
    if not reach.is_doubted or attempt.sent_at < reach.probed_at:
        return []
    return _end_cut(host, pending.service)


def note_failure(host, pending, attempt, now):
    """Record that an attempt got no answer; return effects."""
    reach = host.reach.setdefault(pending.service, Reach())
    if attempt.relayed or attempt.opened or (
            attempt.sent_at <= reach.answered_at):
        return []
    reach.failed[attempt.sid] = attempt.sent_at
    return _doubt(host, pending.service, reach.failed, PROBE_ANSWER_S, now)


def _doubt(host, service, failed, answer_s, now):
    reach = host.reach[service]
    usable = sum(not (draining.is_draining(host, state.server)
                      or state.address_reused)
                 for state in host.by_service.get(service, ()))
    if reach.is_doubted or len(failed) < min(
            MIN_SERVERS, usable) or not failed:
        return []
    reach.is_doubted = True
    return [effects.LogEvent("path_doubted", {
        "service": service, "servers": sorted(failed)}),
        *_probe(host, service, reach, answer_s, now)]


def _end_cut(host, service):
    reach = host.reach[service]
    reach.is_doubted = reach.is_cut = False
    reach.failed = {}
    for state in host.by_service.get(service, ()):
        # What made it seem lost was this host's path.
        state.unreachable_at = -math.inf
    return [effects.LogEvent("reconnected", {"service": service})]


def step(host, now):
    """Look for servers that don't answer, and probe; once a tick."""
    out = []
    for service, failed in _unanswered(host, now).items():
        out += _doubt(host, service, failed, SLOW_ANSWER_S, now)
    for service, reach in host.reach.items():
        if reach.failed:
            reach.failed = {sid: at for sid, at in reach.failed.items()
                            if at > now - FAILURE_TTL_S}
        if reach.is_doubted and now >= reach.probed_at + PROBE_INTERVAL_S:
            out += _probe(host, service, reach, SLOW_ANSWER_S, now)
    return out


def _unanswered(host, now):
    """Return the servers that answer others and not this host, by service.

    Only of services of which no server has answered since.
    """
    found = {}
    for pending in host.pending.values():
        reach = host.reach.setdefault(pending.service, Reach())
        for attempt in ending.active_attempts(pending):
            if (attempt.relayed or attempt.opened
                    or attempt.sent_at > now - SILENCE_S
                    or attempt.sent_at <= reach.answered_at):
                continue
            servers = found.setdefault(pending.service, {})
            state = host.servers.get(attempt.sid)
            if state is not None:
                servers[attempt.sid] = (
                    state.last_seen_at > attempt.sent_at + HEARD_MARGIN_S)
    return {service: servers for service, servers in found.items()
            if any(servers.values())}


def _probe(host, service, reach, answer_s, now):
    servers = [state.server for state in host.by_service.get(service, ())
               if not draining.is_draining(host, state.server)]
    known = host.catalog.services.get(service)
    if not servers or known is None:
        return _end_cut(host, service)
    reach.probed_at = now
    untried = [server for server in servers if server.sid not in reach.failed]
    return [effects.ProbeServer(
        host.rng.choice(untried or servers), known.health_path, now,
        answer_s)]


def probed(host, event, now):
    """Handle the answer of a server that was asked for its health."""
    reach = host.reach.get(event.service)
    if reach is None or not reach.is_doubted:
        return []
    reach.answered_at = max(reach.answered_at, reach.probed_at)
    return _end_cut(host, event.service)


def unanswered(host, event, now):
    """Handle that a server that was asked for its health didn't answer."""
    reach = host.reach.get(event.service)
    if reach is None or reach.is_cut or not reach.is_doubted or (
            event.sent_at != reach.probed_at):
        return []
    reach.is_cut = True
    return [effects.LogEvent("cut_off", {"service": event.service})]


def relay_host(host, pending, now):
    """Return the Peer to relay a request to, or None."""
    if pending.request.max_servers is not None:
        return None
    tried = {attempt.sid for attempt in pending.attempts}
    usable = [peer for peer in fleet.serving_hosts(host, now)
              if peer.name != host.self_peer.name
              and fleet.is_peer_ready(host.peers[peer.name], now)
              and pending.service not in host.peers[peer.name].cut_off
              and peer.name not in tried]
    return host.rng.choice(usable) if usable else None


def may_relay(host, pending, now):
    """Return whether a request is to be relayed, and can be."""
    return (is_cut_off(host, pending.service)
            and relay_host(host, pending, now) is not None)
