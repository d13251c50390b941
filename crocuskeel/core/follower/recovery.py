"""Which generation a host may put in force after a restart.

Hosts keep nothing over a restart, so the host may have had a newer
generation in force than the one that a peer offers. A read of the head
settles it. While the platform is away, peers do: a generation comes into
force once two hosts hold it, so one of them still knows of it, unless both
have lost their memory. This host has lost its own, so every other host has
to vouch that it held no newer one:

* A host that has restarted and not recovered can't vouch.
* Neither can a dead host. A peer does it instead if it has read the head
  since then, or was told by the host when that left.
* An answer to an earlier process of this host doesn't count, nor does a
  confirmation by an earlier process of a peer.

Else the host waits for the platform.
"""

import xxhash

from crocuskeel.core import effects
from crocuskeel.core.follower import state as states
from crocuskeel.core import membership
from crocuskeel.core import messages

__all__ = ["ask", "farewell", "is_of_former_process", "live_digest", "missing",
           "note_contact", "note_head_read", "record_vouch", "recover",
           "retry", "start", "vouch", "waits_for"]

# Hosts asked first. Each that vouches makes room for as many more: one that
# can't ends the growth, as its answer is needed anyway.
FANOUT = 3
MAX_LOGGED_HOSTS = 8


def start(daemon, now):
    """Begin the rounds of a new process."""
    daemon.follower.round_id = round(now * 1e6)


def note_contact(state, event, now):
    """Record that a peer sent a message, and its incarnation."""
    contact = state.contacts.get(event.sender)
    if contact is None:
        contact = states.Contact(event.incarnation, now)
        state.contacts[event.sender] = contact
    if event.incarnation > contact.incarnation:
        contact.incarnation = event.incarnation
        contact.has_left = False
    contact.heard_at = now


def is_of_former_process(state, event):
    """Return whether a peer has restarted since it sent a message.

    It may have lost by now what the message says that it holds.
    """
    contact = state.contacts.get(event.sender)
    return contact is not None and event.incarnation < contact.incarnation


# Reads of the head.

def note_head_read(daemon, read_at):
    """Record that the head is known as of a read sent at ``read_at``."""
    daemon.follower.head_read_at = read_at
    _forget_contacts(daemon)


def recover(daemon, floor, source):
    """Take ``floor`` for the oldest generation that may come into force.

    Return effects. ``source`` says who knows it, for the log.
    """
    state = daemon.follower
    if states.is_recovered(daemon):
        return []
    state.floor = floor
    state.candidates.clear()
    state.asked_vouches.clear()
    return [effects.Record("settings_recovered", "", (
        ("floor", floor), ("source", source)))]


def _forget_contacts(daemon):
    state = daemon.follower
    live = set(membership.live(daemon))
    for host in [host for host in state.contacts if host not in live]:
        if (membership.member_info(daemon, host) is None
                and _is_gone(daemon, host)):
            del state.contacts[host]


def _is_gone(daemon, host):
    """Return whether a host that is not live knows of nothing newer."""
    state = daemon.follower
    contact = state.contacts[host]
    if contact.has_left:
        return True
    if state.head_read_at is None:
        return False
    if membership.member_info(daemon, host) is None:
        silence_s = daemon.limits.stale_settings_s
        return contact.heard_at + silence_s <= state.head_read_at
    died_at = membership.died_at(daemon, host)
    return died_at is not None and died_at <= state.head_read_at


# Answers.

def vouch(daemon, sender, request):
    """Return the answer to a host that has restarted."""
    state = daemon.follower
    live = membership.live(daemon)
    others = {host for host in state.contacts
              if host not in live and host != sender}
    gone = {host for host in others if _is_gone(daemon, host)}
    is_same = live_digest(daemon, sender) == request.live_digest
    floor = _floor(daemon)
    if gone:
        # They may have held what this host only knows to exist.
        floor = max(floor, state.newest_known_generation)
    return messages.SettingsVouch(
        request.round_id, states.is_recovered(daemon), floor,
        states.held_generation(daemon),
        absent=tuple(sorted(others - gone)), gone=tuple(sorted(gone)),
        live=() if is_same else tuple(live))


def _floor(daemon):
    return max(daemon.follower.floor or 0, states.held_generation(daemon))


def live_digest(daemon, peer):
    """Return the digest of the live hosts, this one and a peer."""
    # Either host may not list itself or the other one as live.
    hosts = {*membership.live(daemon), daemon.identity.host, peer}
    return xxhash.xxh3_64_intdigest("\0".join(sorted(hosts)).encode())


def farewell(daemon):
    """Tell all hosts what this host knows, as it leaves; return effects."""
    state = daemon.follower
    if state.leaving:
        return []
    state.leaving = True
    message = messages.SettingsVouch(
        0, states.is_recovered(daemon), _floor(daemon),
        states.held_generation(daemon), leaving=True)
    return [effects.Send(host, message)
            for host in membership.live(daemon)
            if host != daemon.identity.host]


def record_vouch(daemon, sender, answer):
    """Record the answer of a host; return effects.

    Effects ask further hosts, or say that this host has recovered.
    """
    state = daemon.follower
    contact = state.contacts[sender]
    if answer.leaving:
        contact.has_left = answer.recovered
        return []
    if answer.round_id != state.round_id or states.is_recovered(daemon):
        return []
    contact.vouch = answer
    if not answer.recovered:
        return []
    if missing(daemon):
        return ask(daemon)
    floor = max(each.floor for each in _vouches(state).values())
    return recover(daemon, floor, "peers")


def _vouches(state):
    return {host: contact.vouch for host, contact in state.contacts.items()
            if contact.vouch is not None and contact.vouch.recovered}


def missing(daemon):
    """Return the hosts without whose word this host has to wait, sorted."""
    state = daemon.follower
    vouches = _vouches(state)
    # A host may have died since it was live here, or where an answer to
    # this host was sent.
    named, gone = set(state.candidates), set()
    for each in vouches.values():
        named.update(each.absent, each.live)
        gone.update(each.gone)
    needed = (named - gone).union(membership.live(daemon))
    needed.discard(daemon.identity.host)
    return sorted(needed.difference(vouches))


def waits_for(daemon):
    """Return the hosts that this host waits for, () once it has recovered."""
    if states.is_recovered(daemon):
        return ()
    return tuple(missing(daemon))


# Requests.

def ask(daemon):
    """Ask some of the missing hosts; return effects."""
    state = daemon.follower
    if states.is_recovered(daemon):
        return []
    names = [host for host in missing(daemon)
             if host not in state.asked_vouches]
    chosen = daemon.rng.sample(names, min(FANOUT, len(names)))
    state.asked_vouches.update(chosen)
    state.candidates.update(membership.live(daemon))
    return [effects.Send(host, messages.SettingsVouchAsk(
        state.round_id, live_digest(daemon, host))) for host in chosen]


def retry(daemon):
    """Ask again after lost answers; return effects."""
    state = daemon.follower
    if states.is_recovered(daemon):
        return []
    state.asked_vouches.clear()
    awaited = missing(daemon)
    _drop_outdated(daemon, awaited)
    return _record_awaited(state, awaited) + ask(daemon)


def _record_awaited(state, awaited):
    # An outage may last for hours; the time line has each change once.
    if awaited == state.recorded_awaited:
        return []
    state.recorded_awaited = awaited
    return [effects.Record("settings_unconfirmed", "", (
        ("count", len(awaited)),
        ("hosts", ", ".join(awaited[:MAX_LOGGED_HOSTS]))))]


def _drop_outdated(daemon, awaited):
    # A host that named a missing one may know by now that it is gone.
    state = daemon.follower
    named_by = sorted(
        host for host, each in _vouches(state).items()
        if not set(awaited).isdisjoint((*each.live, *each.absent)))
    for host in daemon.rng.sample(named_by, min(FANOUT, len(named_by))):
        state.contacts[host].vouch = None
