"""How a daemon learns that there is a newer generation.

A few hosts, computed from the live members, watch the head object; the
others read it periodically. Every message between hosts carries its
sender's generation, and a host that holds a new one announces it to its
neighbours. So the number of platform calls stays low as the fleet grows,
a change reaches all hosts in a few hops, and later messages make up for
a lost one.
"""

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.follower import adoption
from crocuskeel.core.follower import loading
from crocuskeel.core.follower import parking
from crocuskeel.core.follower import recovery
from crocuskeel.core.follower import state as states
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement

__all__ = ["handle", "record_peer_generation"]

WATCHERS = 3
WATCH_TIMEOUT_S = 4.0
RETRY_S = 1.0
HEAD_READ_INTERVAL_S = 5.0
# Maximum rate at which all hosts together read the head, in reads per
# second. Watchers are not counted.
READS_PER_S = 20
_READ = ("follower", "read")
_RETRY = ("follower", "retry")
_HEAD = ("follower", "head")


def record_peer_generation(daemon, event, now):
    """Record a peer's generation; return effects.

    Called for each message before the message itself is handled.
    """
    state = daemon.follower
    if event.sender == daemon.identity.host:
        return []
    recovery.note_contact(state, event, now)
    state.heard_at = now
    have = states.held_generation(daemon)
    if state.held is not None and event.generation >= have:
        return adoption.adopt_if_confirmed(daemon, True)
    if event.generation <= have or event.sender in state.asked_peers:
        return []
    # Each peer that is ahead is asked once. The first one may have lost
    # the platform and know the generation only from other hosts.
    state.asked_peers.add(event.sender)
    return [effects.Send(event.sender, messages.SettingsAsk(have)),
            *_record_newer(state, event.generation, now)]


def handle(daemon, event, now):
    """Handle one event; return effects."""
    match event:
        case events.Started():
            recovery.start(daemon, now)
            return [*_read_head(daemon, now),
                    effects.SetTimer(_RETRY, RETRY_S)]
        case events.TimerFired(key=key) if key == _READ:
            return _read_head(daemon, now)
        case events.TimerFired(key=key) if key == _RETRY:
            return _retry(daemon, now)
        case events.StoreAnswered(op=("follower", "head")):
            return _head_answered(daemon, event, now)
        case events.StoreAnswered(op=("follower", "part", digest)):
            return _part_answered(daemon, event, digest, now)
        case events.Received():
            return _message_received(daemon, event, now)
        case events.HostListSeen(entries=entries):
            _host_list_seen(daemon, entries)
        case events.DrainAsked():
            return recovery.farewell(daemon)
    return []


def _message_received(daemon, event, now):
    if recovery.is_of_former_process(daemon.follower, event):
        return []
    match event.message:
        case messages.SettingsAsk() as request:
            return _settings_requested(daemon, event.sender, request, now)
        case messages.SettingsAnswer() as answer:
            return _settings_received(daemon, event.sender, answer, now)
        case messages.PartAsk(digest=digest):
            part = _held_part(daemon.follower, digest)
            blob = part.blob if part is not None else b""
            return [effects.Send(event.sender,
                                 messages.PartAnswer(digest, blob))]
        case messages.PartAnswer() as answer:
            if not answer.data:
                return []
            return loading.part_received(daemon, answer.digest, answer.data)
        case messages.SettingsVouchAsk() as request:
            return [effects.Send(event.sender, recovery.vouch(
                daemon, event.sender, request))]
        case messages.SettingsVouch() as answer:
            return _vouch_received(daemon, event.sender, answer, now)
    return []


def _host_list_seen(daemon, entries):
    daemon.follower.listed = frozenset(
        entry.host for entry in entries
        if entry.host != daemon.identity.host and entry.status == "alive")


def _record_newer(state, generation, now):
    """Record that a newer generation exists; return effects.

    The retry timer runs for as long as this host is behind.
    """
    state.newest_known_generation = max(
        state.newest_known_generation, generation)
    if state.behind_since is not None:
        return []
    state.behind_since = now
    return [effects.SetTimer(_RETRY, RETRY_S)]


# The head object.

def _is_watcher(daemon):
    live = membership.live(daemon)
    return daemon.identity.host in placement.ranked(
        "settings/watch", live)[:WATCHERS]


def _read_head(daemon, now):
    state = daemon.follower
    state.head_reads.append(now)
    timer = effects.SetTimer(_READ, _read_after(daemon))
    if state.version and _is_watcher(daemon):
        return [effects.StoreWatch(_HEAD, storage.HEAD_KEY, state.version,
                                   WATCH_TIMEOUT_S), timer]
    return [effects.StoreGet(_HEAD, storage.HEAD_KEY), timer]


def _read_after(daemon):
    # The answer to a watch renews it; this timer only covers a lost
    # answer.
    interval_s = len(membership.live(daemon)) / READS_PER_S
    return (max(HEAD_READ_INTERVAL_S, interval_s)
            * daemon.rng.uniform(0.9, 1.1))


def _head_answered(daemon, event, now):
    state = daemon.follower
    if not state.head_reads:
        # It answers a read of an earlier process.
        return []
    # Answers may overtake each other; the oldest read is the safe one.
    read_at = state.head_reads.pop(0)
    match event.status:
        case events.StoreStatus.UNCHANGED:
            state.heard_at = now
            recovery.note_head_read(daemon, read_at)
            return _renew_watch(daemon, now)
        case events.StoreStatus.NOT_FOUND:
            state.heard_at = now
            recovery.note_head_read(daemon, read_at)
            return [*recovery.recover(daemon, 0, "platform"),
                    effects.SetTimer(_READ, RETRY_S)]
        case events.StoreStatus.FOUND:
            state.heard_at = now
            return _head_found(daemon, event, read_at, now)
    return recovery.ask(daemon)


def _renew_watch(daemon, now):
    # A pending watch counts as one call, so it is renewed immediately.
    # A plain read waits for its timer.
    return _read_head(daemon, now) if _is_watcher(daemon) else []


def _head_found(daemon, event, read_at, now):
    state = daemon.follower
    try:
        head = storage.decode_head(event.body)
    except conf.PartCorrupt as exc:
        return [effects.Record("settings_corrupt", "",
                               (("fault", str(exc)),))]
    state.version = max(state.version, event.version)
    recovery.note_head_read(daemon, read_at)
    out = recovery.recover(daemon, head.generation, "platform")
    out += _renew_watch(daemon, now)
    if head.generation <= states.held_generation(daemon):
        # Read from a lagging replica of the store: generations never go
        # back.
        return out + adoption.adopt_if_confirmed(daemon, False)
    out += _record_newer(state, head.generation, now)
    return out + loading.start_load(daemon, head, "")


def _part_answered(daemon, event, digest, now):
    if event.status != events.StoreStatus.FOUND:
        return []
    daemon.follower.heard_at = now
    return loading.part_received(daemon, digest, event.body)


# Peers.

def _settings_requested(daemon, sender, request, now):
    # The request states which generation its sender holds, which may be
    # newer than the one held here.
    state = daemon.follower
    held = states.held_generation(daemon)
    if request.have > held:
        out = _record_newer(state, request.have, now)
        if state.asked_holder:
            # One holder is enough, since each answer carries the head.
            return out
        state.asked_holder = sender
        return [effects.Send(sender, messages.SettingsAsk(held)), *out]
    if request.have == held:
        return adoption.adopt_if_confirmed(daemon, True)
    return _answer_peer(state, sender, request)


def _answer_peer(state, sender, request):
    if not state.encoded_head:
        return []
    head = storage.decode_head(state.encoded_head)
    digests = [storage.find_delta_digest(head, number)
               for number in range(request.have + 1, head.generation + 1)]
    deltas = [state.deltas.get(digest) for digest in digests]
    blobs = () if None in deltas else tuple(p.blob for p in deltas)
    answer = messages.SettingsAnswer(
        head.generation, request.have, state.encoded_head, blobs)
    return [effects.Send(sender, answer)]


def _settings_received(daemon, sender, answer, now):
    if answer.generation <= states.held_generation(daemon):
        return []
    try:
        head = storage.decode_head(answer.head)
    except conf.PartCorrupt:
        return []
    out = _record_newer(daemon.follower, head.generation, now)
    numbers = range(answer.base + 1, head.generation + 1)
    digests = [storage.find_delta_digest(head, number) for number in numbers]
    received = [conf.Part(digest, blob)
                for digest, blob in zip(digests, answer.deltas) if digest]
    return out + loading.start_load(daemon, head, sender, received)


def _vouch_received(daemon, sender, answer, now):
    state = daemon.follower
    held = states.held_generation(daemon)
    out = recovery.record_vouch(daemon, sender, answer)
    if answer.floor > held:
        out += _record_newer(state, answer.floor, now)
        if answer.held > held:
            out.append(effects.Send(sender, messages.SettingsAsk(held)))
    return out + adoption.adopt_if_confirmed(daemon, answer.held >= held)


def _held_part(state, digest):
    if digest in state.deltas:
        return state.deltas[digest]
    tree = state.held if state.held is not None else state.tree
    if tree is None:
        return None
    for part in tree.shards.values():
        if part.digest == digest:
            return part
    return storage.tree_parts(tree).get(digest)


# Retries after lost answers.

def _retry(daemon, now):
    state = daemon.follower
    if state.behind_since is None and states.is_recovered(daemon):
        return []
    if (state.behind_since is not None
            and now - state.behind_since >= states.MAX_PARK_S):
        parking.release(state)
    state.asked_peers.clear()
    state.asked_holder = ""
    out = [effects.SetTimer(_RETRY, RETRY_S), *recovery.retry(daemon)]
    if state.held is not None:
        # No peer has confirmed that it holds the generation. Announce it
        # again, or adopt it once membership has no live peers.
        out += adoption.announce(daemon)
        out += adoption.adopt_if_confirmed(daemon, False)
    load = state.load
    if load is None:
        if state.newest_known_generation <= states.held_generation(daemon):
            return out
        state.head_reads.append(now)
        return out + [effects.StoreGet(_HEAD, storage.HEAD_KEY),
                      *_ask_random_peer(daemon)]
    load.requested.clear()
    load.source = _alternate_source(daemon, load.source)
    return out + loading.continue_load(daemon)


def _ask_random_peer(daemon):
    peer = _alternate_source(daemon, "")
    if not peer:
        return []
    have = states.held_generation(daemon)
    return [effects.Send(peer, messages.SettingsAsk(have))]


def _alternate_source(daemon, source):
    # After a peer fails the platform is asked, and the other way round:
    # either may be down alone.
    if source:
        return ""
    me = daemon.identity.host
    peers = [host for host in membership.live(daemon) if host != me]
    return daemon.rng.choice(peers) if peers else ""
