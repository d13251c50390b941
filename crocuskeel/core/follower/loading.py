"""Fetching and adopting a newer generation, from a peer or the platform.

By deltas where the head still names all that are missing; else whole,
by the head's index and the parts not held yet. A tree is adopted only
when it is complete and checked, and only if its generation is greater:
generations never go back.
"""

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import effects
from crocuskeel.core.follower import parking
from crocuskeel.core.follower import state as states
from crocuskeel.core import membership
from crocuskeel.core import messages

__all__ = ["begin", "go_on", "neighbours", "part_got"]

MAX_ASKED = 16
MAX_DELTAS_KEPT = 64
# Each host tells the hosts 1, 3, 9, 27, ... places after it in the
# sorted list of a new generation: at most twice that many hops lead to
# any other host, and everyone is told by as many as it tells.
STRIDE = 3


def begin(daemon, head, source, given=()):
    """Start to load the generation of ``head``; return effects.

    ``given`` are parts that came along. A load that is under way for
    the same or a newer generation goes on instead, with them.
    """
    state = daemon.follower
    if head.generation <= states.generation(daemon):
        return []
    state.newest = max(state.newest, head.generation)
    load = state.load
    if load is None or load.head.generation < head.generation:
        load = states.Load(head, source)
        if state.load is not None:
            load.got.update(state.load.got)
        state.load = load
    for part in given:
        load.got[part.digest] = part
    return go_on(daemon)


def part_got(daemon, digest, blob):
    """Take one part that was asked for; return effects."""
    load = daemon.follower.load
    if load is None or digest not in load.asked:
        return []
    load.asked.discard(digest)
    load.got[digest] = conf.Part(digest, blob)
    return go_on(daemon)


def go_on(daemon):
    """Ask for what is missing, or adopt when nothing is."""
    load = daemon.follower.load
    try:
        missing = _missing(daemon, load)
        if missing:
            return _fetch(load, missing)
        tree = _build(daemon, load)
    except conf.PartCorrupt as exc:
        # A damaged part must not be judged by; drop all that was got
        # and let the retry timer ask another source.
        load.got.clear()
        load.asked.clear()
        fields = (("source", load.source), ("fault", str(exc)))
        return [effects.Record("settings_corrupt", "", fields)]
    if tree is None:
        load.whole = True
        return go_on(daemon)
    return _adopt(daemon, load, tree)


def _delta_digests(daemon, load):
    # None: some delta between ours and the head's is not named there.
    have = states.generation(daemon)
    if load.whole or have == 0:
        return None
    wanted = range(have + 1, load.head.generation + 1)
    digests = [storage.delta_of(load.head, number) for number in wanted]
    return None if None in digests else digests


def _missing(daemon, load):
    digests = _delta_digests(daemon, load)
    if digests is None:
        digests = [load.head.index]
        index = load.got.get(load.head.index)
        if index is not None:
            digests = sorted(storage.missing_parts(
                storage.decode_index(index), daemon.follower.tree))
    return [name for name in digests if name not in load.got]


def _fetch(load, missing):
    room = MAX_ASKED - len(load.asked)
    fresh = [name for name in missing if name not in load.asked][:room]
    load.asked.update(fresh)
    if load.source:
        return [effects.Send(load.source, messages.PartAsk(name))
                for name in fresh]
    return [effects.StoreGet(("follower", "part", name),
                             storage.part_key(name))
            for name in fresh]


def _build(daemon, load):
    # The new tree; None where the deltas do not lead there.
    digests = _delta_digests(daemon, load)
    if digests is None:
        index = storage.decode_index(load.got[load.head.index])
        return storage.assemble(load.head.generation, index, load.got,
                                daemon.follower.tree)
    tree = daemon.follower.tree
    for digest in digests:
        delta = storage.decode_delta(load.got[digest])
        reached = storage.advance(tree, delta)
        if reached.is_err():
            return None
        tree = reached.unwrap()
    return tree


def _adopt(daemon, load, tree):
    state = daemon.follower
    _keep_deltas(state, load)
    state.tree = tree
    state.head = storage.encode_head(load.head)
    state.load = None
    if state.newest <= tree.generation:
        state.behind_since = None
        state.asked_peers.clear()
        parking.release(state)
    fields = (("to", tree.generation), ("source", load.source),
              ("batch", load.head.batch_id))
    return [effects.Record("settings_adopted", "", fields),
            effects.Measure("settings.generation", tree.generation, "g"),
            *_tell_neighbours(daemon)]


def _keep_deltas(state, load):
    for entry in load.head.recent:
        part = load.got.get(entry.delta)
        if part is not None:
            state.deltas[entry.delta] = part
    while len(state.deltas) > MAX_DELTAS_KEPT:
        state.deltas.pop(next(iter(state.deltas)))


def neighbours(host, live):
    """Return the hosts that ``host`` tells of a new generation.

    ``live`` is sorted. A random choice would leave one host in 400
    without anyone to tell it.
    """
    at = live.index(host) if host in live else 0
    told = []
    step = 1
    while step < len(live):
        told.append(live[(at + step) % len(live)])
        step *= STRIDE
    return [name for name in told if name != host]


def _tell_neighbours(daemon):
    news = messages.SettingsAsk(states.generation(daemon))
    near = neighbours(daemon.me.host, membership.live(daemon))
    return [effects.Send(host, news) for host in near]
