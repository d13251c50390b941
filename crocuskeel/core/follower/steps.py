"""How a daemon learns that there is a newer generation.

A few hosts, computed from the live members, watch the head object; the
others read it now and then. Every message between hosts carries its
sender's generation, and a host that adopted one tells its neighbours.
So the platform's calls stay few as the fleet grows, a change reaches
all in a few hops, and a lost message is made up for by the next one.
"""

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core.follower import force
from crocuskeel.core.follower import loading
from crocuskeel.core.follower import parking
from crocuskeel.core.follower import state as states
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement

__all__ = ["handle", "hear"]

WATCHERS = 3
WATCH_S = 4.0
RETRY_S = 1.0
READ_S = 5.0
# Hosts a second that read the head beside the watchers, at most.
READS_PER_S = 20
_READ = ("follower", "read")
_RETRY = ("follower", "retry")
_HEAD = ("follower", "head")


def hear(daemon, event, now):
    """Note a peer's generation; return effects.

    Called for each message before the message itself is judged.
    """
    state = daemon.follower
    if event.sender == daemon.me.host:
        return []
    state.heard_at = now
    have = states.held_generation(daemon)
    if state.held is not None and event.generation >= have:
        return force.consider(daemon, True)
    if event.generation <= have or event.sender in state.asked_peers:
        return []
    # Each peer that is ahead is asked once: the first may have lost
    # the platform and not hold what it has itself only heard of.
    state.asked_peers.add(event.sender)
    _note_newer(state, event.generation, now)
    return [effects.Send(event.sender, messages.SettingsAsk(have)),
            effects.SetTimer(_RETRY, RETRY_S)]


def handle(daemon, event, now):
    """Reduce one event; return effects."""
    match event:
        case events.Started():
            return _read_head(daemon)
        case events.TimerFired(key=key) if key == _READ:
            return _read_head(daemon)
        case events.TimerFired(key=key) if key == _RETRY:
            return _retry(daemon, now)
        case events.StoreAnswered(op=("follower", "head")):
            return _head_answered(daemon, event, now)
        case events.StoreAnswered(op=("follower", "part", digest)):
            return _part_answered(daemon, event, digest, now)
        case events.Received(message=messages.SettingsAsk() as ask):
            return _peer_asks(daemon, event.sender, ask, now)
        case events.Received(message=messages.SettingsAnswer() as got):
            return _peer_answered(daemon, event.sender, got, now)
        case events.Received(message=messages.PartAsk(digest=digest)):
            part = _held_part(daemon.follower, digest)
            blob = part.blob if part is not None else b""
            return [effects.Send(event.sender,
                                 messages.PartAnswer(digest, blob))]
        case events.Received(message=messages.PartAnswer() as got):
            if not got.data:
                return []
            return loading.part_got(daemon, got.digest, got.data)
    return []


def _note_newer(state, generation, now):
    state.newest = max(state.newest, generation)
    if state.behind_since is None:
        state.behind_since = now


# The head object.

def _is_watcher(daemon):
    live = membership.live(daemon)
    return daemon.me.host in placement.ranked(
        "settings/watch", live)[:WATCHERS]


def _read_head(daemon):
    state = daemon.follower
    again = effects.SetTimer(_READ, _read_after(daemon))
    if state.version and _is_watcher(daemon):
        return [effects.StoreWatch(_HEAD, storage.HEAD_KEY, state.version,
                                   WATCH_S), again]
    return [effects.StoreGet(_HEAD, storage.HEAD_KEY), again]


def _read_after(daemon):
    # The watch is renewed by its answer; this timer only makes up for
    # an answer that never comes.
    fleet = len(membership.live(daemon)) / READS_PER_S
    return max(READ_S, fleet) * daemon.rng.uniform(0.9, 1.1)


def _head_answered(daemon, event, now):
    state = daemon.follower
    match event.status:
        case events.StoreStatus.UNCHANGED:
            state.heard_at = now
            return _renew(daemon)
        case events.StoreStatus.NOT_FOUND:
            state.heard_at = now
            return [effects.SetTimer(_READ, RETRY_S)]
        case events.StoreStatus.FOUND:
            state.heard_at = now
            return _head_found(daemon, event, now)
    return []


def _renew(daemon):
    # A waiting watch counts as one call, so it is renewed at once; a
    # plain read waits for its timer.
    return _read_head(daemon) if _is_watcher(daemon) else []


def _head_found(daemon, event, now):
    state = daemon.follower
    state.version = max(state.version, event.version)
    try:
        head = storage.decode_head(event.body)
    except conf.PartCorrupt as exc:
        return [effects.Record("settings_corrupt", "",
                               (("fault", str(exc)),))]
    out = _renew(daemon)
    if head.generation <= states.held_generation(daemon):
        # A lagging replica of the store: generations never go back.
        return out
    _note_newer(state, head.generation, now)
    out.append(effects.SetTimer(_RETRY, RETRY_S))
    return out + loading.begin(daemon, head, "")


def _part_answered(daemon, event, digest, now):
    if event.status != events.StoreStatus.FOUND:
        return []
    daemon.follower.heard_at = now
    return loading.part_got(daemon, digest, event.body)


# Peers.

def _peer_asks(daemon, sender, ask, now):
    # The question tells what its sender holds, which may be more than
    # we do.
    state = daemon.follower
    held = states.held_generation(daemon)
    if ask.have > held:
        _note_newer(state, ask.have, now)
        if state.asked_holder:
            # One holder is enough; each answer carries the head.
            return []
        state.asked_holder = sender
        return [effects.Send(sender, messages.SettingsAsk(held)),
                effects.SetTimer(_RETRY, RETRY_S)]
    if ask.have == held:
        return force.consider(daemon, True)
    return _answer_peer(state, sender, ask)


def _answer_peer(state, sender, ask):
    if not state.head:
        return []
    head = storage.decode_head(state.head)
    digests = [storage.delta_of(head, number)
               for number in range(ask.have + 1, head.generation + 1)]
    deltas = [state.deltas.get(digest) for digest in digests]
    blobs = () if None in deltas else tuple(p.blob for p in deltas)
    answer = messages.SettingsAnswer(
        head.generation, ask.have, state.head, blobs)
    return [effects.Send(sender, answer)]


def _peer_answered(daemon, sender, got, now):
    if got.generation <= states.held_generation(daemon):
        return []
    try:
        head = storage.decode_head(got.head)
    except conf.PartCorrupt:
        return []
    _note_newer(daemon.follower, head.generation, now)
    numbers = range(got.base + 1, head.generation + 1)
    digests = [storage.delta_of(head, number) for number in numbers]
    given = [conf.Part(digest, blob)
             for digest, blob in zip(digests, got.deltas) if digest]
    return loading.begin(daemon, head, sender, given)


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


# Making up for answers that never came.

def _retry(daemon, now):
    state = daemon.follower
    if state.behind_since is None:
        return []
    if now - state.behind_since >= states.PARK_S:
        parking.release(state)
    state.asked_peers.clear()
    state.asked_holder = ""
    out = [effects.SetTimer(_RETRY, RETRY_S)]
    if state.held is not None:
        # Nobody answered that they hold it: tell them again, or go on
        # alone once membership says that nobody is there.
        out += force.tell(daemon)
        out += force.consider(daemon, False)
    load = state.load
    if load is None:
        if state.newest <= states.held_generation(daemon):
            return out
        return out + [effects.StoreGet(_HEAD, storage.HEAD_KEY),
                      *_ask_some_peer(daemon)]
    load.asked.clear()
    load.source = _other_source(daemon, load.source)
    return out + loading.go_on(daemon)


def _ask_some_peer(daemon):
    peer = _other_source(daemon, "")
    if not peer:
        return []
    have = states.held_generation(daemon)
    return [effects.Send(peer, messages.SettingsAsk(have))]


def _other_source(daemon, source):
    # A peer's failure is answered by the platform, the platform's by a
    # peer: either may be down alone.
    if source:
        return ""
    me = daemon.me.host
    peers = [host for host in membership.live(daemon) if host != me]
    return daemon.rng.choice(peers) if peers else ""
