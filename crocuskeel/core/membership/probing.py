"""Probes: one per period, alternating between ring and random order.

In the ring, each host has one predecessor that probes it every second
period, so that a death is detected within two periods whatever the
number of hosts. The random round disseminates updates and detects
failures that the predecessor can't observe.
"""

from crocuskeel.core import effects
from crocuskeel.core.membership import gossip
from crocuskeel.core.membership import params
from crocuskeel.core.membership import state as st
from crocuskeel.core.membership import updates
from crocuskeel.core import messages

__all__ = [
    "DIRECT_TIMEOUT", "PROBE_FAILED", "TICK", "ack_received", "detect_pause",
    "direct_probe_timed_out", "probe_failed", "probe_on_behalf", "start",
    "tick",
]

TICK = ("members", "tick")
DIRECT_TIMEOUT = "direct"
PROBE_FAILED = "failed"
_JITTER = 0.05


def start(daemon, now):
    """Start probing and contact the first members."""
    state = daemon.membership
    span = daemon.rng.uniform(0.0, params.PERIOD_S)
    state.tick_due = now + span
    gossip.enqueue(daemon, state.own_update.host)
    return [*_contact_random(daemon, params.CONTACTS_WITHOUT_PEERS),
            effects.SetTimer(TICK, span)]


def tick(daemon, now):
    """Run one protocol period; return effects."""
    state = daemon.membership
    if state.superseded:
        return []
    out = _probe_next(daemon, now)
    out += gossip.continue_syncs(daemon)
    out += gossip.send_extra(daemon)
    out += _discover_members(daemon, now)
    _remove_relays(state, now)
    span = _period(state) * daemon.rng.uniform(1 - _JITTER, 1 + _JITTER)
    state.tick_due = now + span
    return [*out, effects.SetTimer(TICK, span)]


def _host_count(state):
    return len(st.peers(state)) + 1


def _period(state):
    return params.probe_period(_host_count(state))


def detect_pause(state, now):
    """Raise the health score if this process was paused.

    After a pause, timers are due while answers are still unread: this
    host would suspect every host it had probed and declare its suspects
    dead. A late tick reveals the pause, whichever event is handled
    first.
    """
    late = now - state.tick_due
    if not state.tick_due or late <= params.PAUSE_THRESHOLD_S:
        return
    state.tick_due = now
    state.probes.clear()
    state.health_score = min(state.health_score + 1, params.MAX_HEALTH_SCORE)
    for host in st.peers(state):
        state.members[host].deadline += late


def _probe_next(daemon, now):
    state = daemon.membership
    host = ""
    if state.ring_next:
        host = _ring_successor(state)
    state.ring_next = not state.ring_next
    host = host or _next_in_round(daemon)
    return _probe(daemon, host, now) if host else []


def _ring(state):
    # The hosts of each failure domain are spaced evenly, so that
    # neighbours are in different domains where possible. Otherwise the
    # loss of a domain would also take the predecessors of its hosts, and
    # be detected late.
    if state.ring_cache is None:
        groups = {}
        for host in sorted((*st.peers(state), state.own_update.host)):
            groups.setdefault(_domain(state, host), []).append(host)
        positions = []
        for number, domain in enumerate(sorted(groups)):
            group = groups[domain]
            offset = number / len(groups)
            positions += [((index + offset) / len(group), host)
                          for index, host in enumerate(group)]
        state.ring_cache = tuple(host for _, host in sorted(positions))
    return state.ring_cache


def _domain(state, host):
    if host == state.own_update.host:
        return state.own_update.domain
    return state.members[host].update.domain


def _ring_successor(state):
    ring = _ring(state)
    position = ring.index(state.own_update.host)
    for host in ring[position + 1:] + ring[:position]:
        if state.members[host].update.status != st.SUSPECT:
            return host
    return ""


def _next_in_round(daemon):
    state = daemon.membership
    if not state.round:
        state.round = list(st.peers(state))
        daemon.rng.shuffle(state.round)
    while state.round:
        host = state.round.pop()
        member = state.members.get(host)
        if member is not None and member.update.status != st.DEAD:
            return host
    return ""


def _probe(daemon, host, now):
    state = daemon.membership
    state.seq += 1
    state.probes[state.seq] = st.PendingProbe(host, now)
    span = params.probe_timeout(_host_count(state), state.health_score)
    key = ("members", DIRECT_TIMEOUT, state.seq)
    return [_probe_message(daemon, host, state.seq),
            effects.SetTimer(key, span * params.DIRECT_PROBE_SHARE)]


def _probe_message(daemon, host, seq):
    first = (gossip.own_update(daemon), *gossip.suspicion_notice(daemon, host))
    return effects.Send(
        host, messages.Probe(seq, gossip.pack(daemon, first)))


def direct_probe_timed_out(daemon, seq):
    """Ask helpers to probe: the path may have failed, not the host."""
    state = daemon.membership
    probe = state.probes.get(seq)
    if probe is None:
        return []
    others = [host for host in st.peers(state)
              if host != probe.host
              and state.members[host].update.status != st.SUSPECT]
    helpers = daemon.rng.sample(others, min(params.HELPERS, len(others)))
    span = params.probe_timeout(_host_count(state), state.health_score)
    out = [effects.SetTimer(("members", PROBE_FAILED, seq),
                            span * (1 - params.DIRECT_PROBE_SHARE))]
    for helper in helpers:
        request = messages.ProbeVia(seq, probe.host, gossip.pack(daemon))
        out.append(effects.Send(helper, request))
    return out


def probe_on_behalf(daemon, requester, request, now):
    """Probe a host on behalf of another one."""
    state = daemon.membership
    if request.target not in state.members:
        return []
    state.seq += 1
    state.relays[state.seq] = st.Relay(requester, request.seq, now)
    return [_probe_message(daemon, request.target, state.seq)]


def ack_received(daemon, seq):
    """Handle an ack, or forward it to the host that requested it."""
    state = daemon.membership
    relay = state.relays.pop(seq, None)
    if relay is not None:
        ack = messages.ProbeAck(relay.seq, gossip.pack(daemon))
        return [effects.Send(relay.requester, ack)]
    probe = state.probes.pop(seq, None)
    if probe is None:
        return []
    state.health_score = max(0, state.health_score - 1)
    member = state.members.get(probe.host)
    if member is not None:
        member.failed_probes = 0
    return []


def probe_failed(daemon, seq, now):
    """Handle a probe that neither the host nor a helper answered."""
    state = daemon.membership
    probe = state.probes.pop(seq, None)
    member = state.members.get(probe.host) if probe else None
    if member is None or member.update.status in (st.SUSPECT, st.DEAD):
        return []
    if (state.last_contact_at < probe.sent_at
            and state.health_score < params.MAX_HEALTH_SCORE):
        # Nothing was received from any host: this host is probably
        # the isolated one, and would declare all others dead.
        state.health_score += 1
        return []
    if _ignore_failure(state, member, probe):
        return []
    return updates.suspect(daemon, member, now)


def _ignore_failure(state, member, probe):
    # A message arrived after the helpers were asked, so datagrams were
    # lost. The number of ignored failures is bounded, because a host
    # that sends but receives nothing can't do its work.
    helpers_asked_at = probe.sent_at + (
        params.DIRECT_PROBE_SHARE
        * params.probe_timeout(_host_count(state), 0))
    member.failed_probes += 1
    return (member.last_contact_at > helpers_asked_at
            and member.failed_probes <= params.MAX_IGNORED_FAILURES)


def _discover_members(daemon, now):
    state = daemon.membership
    if not st.peers(state):
        return _contact_random(daemon, params.CONTACTS_WITHOUT_PEERS)
    if state.contested:
        host = next(iter(state.contested))
        del state.contested[host]
        return _contact(daemon, host, _contacts(state).get(host))
    if now < state.reconnect_due:
        return []
    state.reconnect_due = now + params.RECONNECT_INTERVAL_S
    _remove_dead(state, now)
    return _contact_random(daemon, 1)


def _contacts(state):
    # Seeds, listed hosts and dead hosts: a partition heals only if both
    # sides keep trying to reach each other.
    addresses = {**state.seeds, **state.listed}
    for host, member in state.members.items():
        addresses[host] = (member.update.address, member.update.peer_port)
    unreached = {**addresses}
    for host in (*st.peers(state), state.own_update.host):
        unreached.pop(host, None)
    return unreached


def _contact_random(daemon, count):
    contacts = _contacts(daemon.membership)
    names = sorted(contacts)
    out = []
    for host in daemon.rng.sample(names, min(count, len(names))):
        out += _contact(daemon, host, contacts[host])
    return out


def _contact(daemon, host, endpoint):
    if endpoint is None:
        return []
    first = (gossip.own_update(daemon), *gossip.suspicion_notice(daemon, host))
    return [effects.Send(host, messages.Probe(0, first), *endpoint)]


def _remove_dead(state, now):
    dead = sorted((member.died_at, host)
                  for host, member in state.members.items()
                  if member.update.status == st.DEAD)
    excess = len(dead) - params.MAX_DEAD_HOSTS
    for index, (died_at, host) in enumerate(dead):
        if index < excess or now - died_at > params.DEAD_RETENTION_S:
            del state.members[host]


def _remove_relays(state, now):
    limit = 2 * params.probe_timeout(
        _host_count(state), params.MAX_HEALTH_SCORE)
    for seq, relay in list(state.relays.items()):
        if now - relay.sent_at > limit:
            del state.relays[seq]
