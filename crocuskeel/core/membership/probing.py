"""Probes: one a period, by turns along the ring and at random.

The ring gives each host one watcher that probes it in every second
period, so that a death is noticed within two periods at any size; the
random round spreads news and finds what the ring's watcher can't see.
"""

from crocuskeel.core import effects
from crocuskeel.core.membership import gossip
from crocuskeel.core.membership import params
from crocuskeel.core.membership import state as st
from crocuskeel.core.membership import updates
from crocuskeel.core import messages

__all__ = ["DIRECT", "FAILED", "TICK", "acked", "failed", "notice_pause",
           "probe_for", "start", "tick", "unanswered"]

TICK = ("members", "tick")
DIRECT = "direct"
FAILED = "failed"
_JITTER = 0.05


def start(daemon, now):
    """Begin to probe and to look for the others."""
    state = daemon.members
    span = daemon.rng.uniform(0.0, params.PERIOD_S)
    state.tick_due = now + span
    gossip.enqueue(daemon, state.me.host)
    return [*_contact_some(daemon, params.CONTACTS_ALONE),
            effects.SetTimer(TICK, span)]


def tick(daemon, now):
    """Do one period's work; return effects."""
    state = daemon.members
    if state.superseded:
        return []
    out = _probe_next(daemon, now)
    out += gossip.sync_more(daemon)
    out += gossip.gossip_more(daemon)
    out += _look_for_others(daemon, now)
    _forget_relays(state, now)
    span = _period(state) * daemon.rng.uniform(1 - _JITTER, 1 + _JITTER)
    state.tick_due = now + span
    return [*out, effects.SetTimer(TICK, span)]


def _hosts(state):
    return len(st.peers(state)) + 1


def _period(state):
    return params.period(_hosts(state))


def notice_pause(state, now):
    """Doubt ourselves after this host stood still.

    A paused host wakes with its timers due and the answers unread: it
    would suspect everyone it had probed and declare its suspects dead.
    A tick that comes late shows the pause, whichever event is first.
    """
    late = now - state.tick_due
    if not state.tick_due or late <= params.LATE_S:
        return
    state.tick_due = now
    state.probes.clear()
    state.doubt = min(state.doubt + 1, params.MAX_DOUBT)
    for host in st.peers(state):
        state.members[host].deadline += late


def _probe_next(daemon, now):
    state = daemon.members
    host = ""
    if state.ring_next:
        host = _ring_successor(state)
    state.ring_next = not state.ring_next
    host = host or _next_of_round(daemon)
    return _probe(daemon, host, now) if host else []


def _ring(state):
    # Each domain's hosts are spread evenly, so that neighbours are of
    # different domains where possible: a domain's loss would else take
    # its hosts' watchers along and be noticed late.
    if state.ring_cache is None:
        groups = {}
        for host in sorted((*st.peers(state), state.me.host)):
            groups.setdefault(_domain(state, host), []).append(host)
        placed = []
        for number, domain in enumerate(sorted(groups)):
            group = groups[domain]
            offset = number / len(groups)
            placed += [((index + offset) / len(group), host)
                       for index, host in enumerate(group)]
        state.ring_cache = tuple(host for _, host in sorted(placed))
    return state.ring_cache


def _domain(state, host):
    if host == state.me.host:
        return state.me.domain
    return state.members[host].update.domain


def _ring_successor(state):
    ring = _ring(state)
    at = ring.index(state.me.host)
    for host in ring[at + 1:] + ring[:at]:
        if state.members[host].update.status != st.SUSPECT:
            return host
    return ""


def _next_of_round(daemon):
    state = daemon.members
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
    state = daemon.members
    state.seq += 1
    state.probes[state.seq] = st.PendingProbe(host, now)
    span = params.probe_span(_hosts(state), state.doubt)
    key = ("members", DIRECT, state.seq)
    return [_probe_message(daemon, host, state.seq),
            effects.SetTimer(key, span * params.DIRECT_SHARE)]


def _probe_message(daemon, host, seq):
    first = (gossip.of_me(daemon), *gossip.told(daemon, host))
    return effects.Send(
        host, messages.Probe(seq, gossip.pack(daemon, first)))


def unanswered(daemon, seq):
    """Ask helpers: the path may be broken and not the host."""
    state = daemon.members
    probe = state.probes.get(seq)
    if probe is None:
        return []
    others = [host for host in st.peers(state)
              if host != probe.host
              and state.members[host].update.status != st.SUSPECT]
    helpers = daemon.rng.sample(others, min(params.HELPERS, len(others)))
    span = params.probe_span(_hosts(state), state.doubt)
    out = [effects.SetTimer(("members", FAILED, seq),
                            span * (1 - params.DIRECT_SHARE))]
    for helper in helpers:
        ask = messages.ProbeVia(seq, probe.host, gossip.pack(daemon))
        out.append(effects.Send(helper, ask))
    return out


def probe_for(daemon, asker, ask, now):
    """Probe a host for another one."""
    state = daemon.members
    if ask.target not in state.members:
        return []
    state.seq += 1
    state.relays[state.seq] = st.Relay(asker, ask.seq, now)
    return [_probe_message(daemon, ask.target, state.seq)]


def acked(daemon, seq):
    """Take an answer in, or pass it on to whom it was for."""
    state = daemon.members
    relay = state.relays.pop(seq, None)
    if relay is not None:
        ack = messages.ProbeAck(relay.seq, gossip.pack(daemon))
        return [effects.Send(relay.asker, ack)]
    probe = state.probes.pop(seq, None)
    if probe is None:
        return []
    state.doubt = max(0, state.doubt - 1)
    member = state.members.get(probe.host)
    if member is not None:
        member.missed = 0
    return []


def failed(daemon, seq, now):
    """Judge a probe that neither the host nor a helper answered."""
    state = daemon.members
    probe = state.probes.pop(seq, None)
    member = state.members.get(probe.host) if probe else None
    if member is None or member.update.status in (st.SUSPECT, st.DEAD):
        return []
    if state.heard_at < probe.sent_at and state.doubt < params.MAX_DOUBT:
        # Nobody at all was heard: it is likely this host that is cut
        # off, and it would call everyone dead.
        state.doubt += 1
        return []
    if _forgive(state, member, probe):
        return []
    return updates.suspect(daemon, member, now)


def _forgive(state, member, probe):
    # Heard while helpers were asked: datagrams were lost. But a host
    # that only sends and hears nothing can't work: it is forgiven a
    # bounded number of times.
    asked_at = probe.sent_at + (params.DIRECT_SHARE * params.probe_span(
        _hosts(state), 0))
    member.missed += 1
    return (member.heard_at > asked_at
            and member.missed <= params.MAX_FORGIVEN)


def _look_for_others(daemon, now):
    state = daemon.members
    if not st.peers(state):
        return _contact_some(daemon, params.CONTACTS_ALONE)
    if state.contested:
        host = next(iter(state.contested))
        del state.contested[host]
        return _contact(daemon, host, _contacts(state).get(host))
    if now < state.retry_due:
        return []
    state.retry_due = now + params.RETRY_S
    _forget_dead(state, now)
    return _contact_some(daemon, 1)


def _contacts(state):
    # Seeds, listed hosts and dead ones: a split heals only if its
    # sides go on trying to reach each other.
    known = {**state.seeds, **state.listed}
    for host, member in state.members.items():
        known[host] = (member.update.address, member.update.peer_port)
    gone = {**known}
    for host in (*st.peers(state), state.me.host):
        gone.pop(host, None)
    return gone


def _contact_some(daemon, count):
    contacts = _contacts(daemon.members)
    names = sorted(contacts)
    out = []
    for host in daemon.rng.sample(names, min(count, len(names))):
        out += _contact(daemon, host, contacts[host])
    return out


def _contact(daemon, host, place):
    if place is None:
        return []
    first = (gossip.of_me(daemon), *gossip.told(daemon, host))
    return [effects.Send(host, messages.Probe(0, first), *place)]


def _forget_dead(state, now):
    dead = sorted((member.died_at, host)
                  for host, member in state.members.items()
                  if member.update.status == st.DEAD)
    spare = len(dead) - params.DEAD_KEPT
    for index, (died_at, host) in enumerate(dead):
        if index < spare or now - died_at > params.DEAD_KEPT_S:
            del state.members[host]


def _forget_relays(state, now):
    limit = 2 * params.probe_span(_hosts(state), params.MAX_DOUBT)
    for seq, relay in list(state.relays.items()):
        if now - relay.sent_at > limit:
            del state.relays[seq]
